/// Definition of one setting.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub variable: &'static str,
    /// Default value; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Description in the help text and in faults, with the unit or form of the value.
    pub help: &'static str,
}
