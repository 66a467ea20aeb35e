//! Failed write of log lines.

use derive_more::{Display, Error};

/// A chunk of log lines that could not be written completely.
#[derive(Debug, Display, Error)]
#[display("{error}")]
pub struct WriteFault {
    /// Why the write failed.
    #[error(source)]
    pub error: std::io::Error,
    /// Number of lines of the chunk that are not written, or only in part.
    pub unwritten_lines: u64,
}
