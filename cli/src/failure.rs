//! Failures of commands and their exit codes.

use std::fmt::Display;
use std::process::ExitCode;

use miette::Report;

/// Why a command failed, and how that is reported.
pub enum CommandFailure {
    /// The command line is invalid; holds the message. Exit code 2.
    Usage(String),
    /// The command failed or was refused; holds the message. Exit code 1.
    Failed(String),
    /// The command failed; holds a report that shows places in a file. Exit code 1.
    Diagnostic(Report),
    /// The command failed and has already printed the reason, for example as JSON. Exit code 1.
    Printed,
}

impl CommandFailure {
    /// Returns a [`Self::Failed`] with the message `SUBJECT: REASON`.
    pub fn failed(subject: impl Display, reason: impl Display) -> Self {
        Self::Failed(format!("{subject}: {reason}"))
    }

    /// Prints the message to standard error and returns the exit code.
    pub fn print_and_exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(text) => {
                eprintln!("{text}\nsee godwithaven --help");
                return ExitCode::from(2);
            }
            Self::Failed(text) => eprintln!("{text}"),
            Self::Diagnostic(report) => eprintln!("{report:?}"),
            Self::Printed => {}
        }
        ExitCode::FAILURE
    }
}
