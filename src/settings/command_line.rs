use crate::prelude::*;
use crate::settings::{ENTRY_SETTINGS, SettingFault};

/// A parsed command line of `godwithaven-entry`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandLine {
    /// Print the help text and exit.
    Help,
    /// Print the version and exit.
    Version,
    /// Start the process with these values by flag name, without dashes.
    Start(FastMap<String, String>),
}

impl CommandLine {
    /// Parses arguments of the forms `--flag value` and `--flag=value`, without the program name.
    ///
    /// # Errors
    ///
    /// Returns a fault for the first argument that is unknown, repeated or has no value.
    pub fn parse(mut args: impl Iterator<Item = String>) -> Result<Self, SettingFault> {
        let mut flags = FastMap::default();
        while let Some(arg) = args.next() {
            match arg.as_str() {
                "--help" | "-h" => return Ok(Self::Help),
                "--version" => return Ok(Self::Version),
                _ => {}
            }
            let Some(flag) = arg.strip_prefix("--") else {
                return Err(fault(format!("unexpected argument {arg:?}; see --help")));
            };
            let (name, given) = match flag.split_once('=') {
                Some((name, value)) => (name, Some(value.to_owned())),
                None => (flag, None),
            };
            if !ENTRY_SETTINGS.iter().any(|spec| spec.flag == name) {
                return Err(fault(format!("unknown flag --{name}; see --help")));
            }
            let value =
                given.or_else(|| args.next()).ok_or_else(|| fault(format!("--{name} needs a value")))?;
            if flags.insert(name.to_owned(), value).is_some() {
                return Err(fault(format!("--{name} is given twice")));
            }
        }
        Ok(Self::Start(flags))
    }
}

const fn fault(text: String) -> SettingFault {
    SettingFault { text }
}
