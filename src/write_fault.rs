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

impl WriteFault {
    /// Returns the fault with lines behind the failed write that are not written either.
    #[must_use]
    pub fn with_further_lines(self, lines: u64) -> Self {
        Self { unwritten_lines: self.unwritten_lines + lines, ..self }
    }
}
