/// One setting: flag, environment variable, default and help text.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Flag without dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: &'static str,
    /// Default; `None` if the setting must be given.
    pub default: Option<&'static str>,
    /// What it means, with its unit.
    pub help: &'static str,
}
