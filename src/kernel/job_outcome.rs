use serde::{Deserialize, Serialize};

/// Final outcome of a job; a job has exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// All tasks finished; holds the result of each task by index.
    #[display("finished")]
    Finished(Vec<String>),
    /// A task failed more often than its retries allow; holds the result of the last failure.
    #[display("failed: {_0}")]
    Failed(String),
    /// The team cancelled the job.
    #[display("cancelled")]
    Cancelled,
    /// The job can never run; holds the reason.
    #[display("refused: {_0}")]
    Refused(String),
}

impl JobOutcome {
    /// Returns the outcome without its data, as it appears in metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Finished(_) => "finished",
            Self::Failed(_) => "failed",
            Self::Cancelled => "cancelled",
            Self::Refused(_) => "refused",
        }
    }

    /// Returns an upper estimate of the encoded size in bytes, without the escaping of strings.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        match self {
            Self::Finished(results) => 32 + results.iter().map(|result| 8 + result.len()).sum::<usize>(),
            Self::Failed(reason) | Self::Refused(reason) => 32 + reason.len(),
            Self::Cancelled => 32,
        }
    }
}
