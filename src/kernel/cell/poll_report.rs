use serde::{Deserialize, Serialize};

use crate::kernel::cell::TaskKey;
use crate::prelude::*;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// It finished its work.
    #[display("done")]
    Done,
    /// It failed, by its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// It was stopped.
    #[display("stopped")]
    Stopped,
    /// The lease of its worker ended.
    #[serde(rename = "lapsed")]
    #[display("lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[serde(rename = "broken")]
    #[display("broken")]
    GangBroken,
    /// The other members of its gang did not arrive.
    #[serde(rename = "alone")]
    #[display("alone")]
    GangIncomplete,
}

/// A run that a worker reports as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRun {
    /// The task.
    pub task: TaskKey,
    /// The start.
    pub run: RunNumber,
    /// Its newest checkpoint.
    pub checkpoint: Option<CheckpointId>,
    /// Progress in percent; 100 for a lasting task that is at work.
    pub percent: u32,
    /// Tail latency in milliseconds of a task with a bound on it; millicores in use of any other task.
    pub figure: u64,
}

/// A run that a worker reports as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number in the list of the worker.
    pub number: TaskEndNumber,
    /// The task.
    pub task: TaskKey,
    /// The start.
    pub run: RunNumber,
    /// How it ended.
    pub cause: EndCause,
    /// Its newest checkpoint.
    pub checkpoint: Option<CheckpointId>,
}

/// What a worker says that it runs, at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollReport {
    /// When the question was sent; the answer is at least this recent.
    pub asked: Instant,
    /// This life of the worker.
    pub incarnation: WorkerIncarnation,
    /// What runs.
    pub running: Vec<RunningRun>,
    /// Ends that are not acknowledged.
    pub ended: Vec<EndedRun>,
}
