use serde::{Deserialize, Serialize};

/// How the tasks of a job start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Replicas that run until the job is cancelled.
    #[display("service")]
    Service,
    /// Independent tasks that each run to completion.
    #[display("batch")]
    Batch,
    /// Tasks that start together or not at all, and each run to completion.
    #[display("gang")]
    Gang,
}

/// Priority of a job; it takes precedence over fair shares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Placed before all normal jobs; may preempt them.
    Urgent,
    /// Priority of jobs that do not declare one.
    #[default]
    Normal,
}
