use serde::{Deserialize, Serialize};

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// Accepted, nothing has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task was given up.
    #[display("failed")]
    Failed,
    /// The caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

impl JobStatus {
    /// Whether nothing of the job starts any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
