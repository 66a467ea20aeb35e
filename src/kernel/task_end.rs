use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// How an attempt of a task ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// It ran to completion.
    #[display("finished")]
    Finished,
    /// It failed.
    #[display("failed")]
    Failed,
    /// It was stopped by a command.
    #[display("stopped")]
    Stopped,
    /// The lease of its worker ended.
    #[serde(rename = "lapsed")]
    #[display("lapsed")]
    LeaseExpired,
}

/// The end of an attempt of a task, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskEnd {
    /// The task.
    pub task: TaskId,
    /// How it ended.
    pub ending: TaskOutcome,
    /// Result or reason.
    pub result: String,
}
