/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    #[default]
    Pairs,
    /// One JSON object a line.
    Json,
}

impl LogFormat {
    /// Returns the form of the given name.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "pairs" => Some(Self::Pairs),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}
