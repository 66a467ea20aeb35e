/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Each line consists of `key=value` pairs.
    #[default]
    Pairs,
    /// Each line is one JSON object.
    Json,
}

impl LogFormat {
    /// Returns the format that the setting `log-format` names `text`; `None` if there is none.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "pairs" => Some(Self::Pairs),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}
