use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// How an attempt of a task ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The attempt ran to completion.
    #[display("finished")]
    Finished,
    /// The attempt failed.
    #[display("failed")]
    Failed,
    /// A stop command ended the attempt.
    #[display("stopped")]
    Stopped,
    /// The worker ended the attempt because its lease expired.
    #[serde(rename = "lapsed")]
    #[display("lapsed")]
    LeaseExpired,
}

/// The end of an attempt of a task, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskEnd {
    /// Name of the attempt.
    pub task: TaskId,
    /// How the attempt ended.
    pub outcome: TaskOutcome,
    /// Result of a finished attempt, or the reason of a failure.
    pub result: String,
}
