use serde::{Deserialize, Serialize};

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// The job is accepted and no task has started.
    #[display("queued")]
    Queued,
    /// At least one task has started.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task or gang has used up its attempts.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl JobStatus {
    /// Whether the state is final, so that no task of the job starts any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
