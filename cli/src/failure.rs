//! How a command fails.

use std::fmt::Display;
use std::process::ExitCode;

use miette::Report;

/// Why a command did not do what was asked.
pub enum CommandFailure {
    /// The command line cannot be used.
    Usage(String),
    /// The command failed or was refused.
    Failed(String),
    /// The command failed, with a report that points into a file.
    Reported(Report),
    /// The command failed and has printed why.
    Printed,
}

impl CommandFailure {
    /// Returns a failure of `what` with the reason.
    pub fn failed(what: impl Display, reason: impl Display) -> Self {
        Self::Failed(format!("{what}: {reason}"))
    }

    /// Prints the failure and returns its exit code.
    pub fn report(&self) -> ExitCode {
        match self {
            Self::Usage(text) => {
                eprintln!("{text}\nsee godwithaven --help");
                return ExitCode::from(2);
            }
            Self::Failed(text) => eprintln!("{text}"),
            Self::Reported(report) => eprintln!("{report:?}"),
            Self::Printed => {}
        }
        ExitCode::FAILURE
    }
}
