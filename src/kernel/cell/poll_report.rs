use serde::{Deserialize, Serialize};

use crate::kernel::cell::TaskKey;
use crate::prelude::*;

/// Why a run ended, as its worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// The run finished its work.
    #[display("done")]
    Done,
    /// The run failed, by its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// The run was stopped by a command.
    #[display("stopped")]
    Stopped,
    /// The lease of its worker expired.
    #[serde(rename = "lapsed")]
    #[display("lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[serde(rename = "broken")]
    #[display("broken")]
    GangBroken,
    /// The other members of its gang did not start in time.
    #[serde(rename = "alone")]
    #[display("alone")]
    GangIncomplete,
}

/// A run that a worker reports as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRun {
    /// Task that the run belongs to.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Newest checkpoint of the run; `None` if there is none.
    pub checkpoint: Option<CheckpointId>,
    /// Progress in percent; 100 for a long-running task that is ready.
    pub percent: u32,
    /// Tail latency in milliseconds for a task with a bound on it; for any other task, the millicores that it
    /// uses. The scheduler does not use it.
    pub latency_ms_or_millicores: u64,
}

/// A run that a worker reports as ended until the owner acknowledges it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number in the worker's list of ended runs, which the acknowledgement refers to.
    pub number: TaskEndNumber,
    /// Task that the run belongs to.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Why the run ended.
    pub cause: EndCause,
    /// Newest checkpoint of the run; `None` if there is none.
    pub checkpoint: Option<CheckpointId>,
}

/// Answer of a worker to a poll: what it runs at one moment, and what has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollReport {
    /// When the poll was sent; the report is at least this recent.
    pub poll_sent_at: Instant,
    /// Incarnation of the worker that answered.
    pub incarnation: WorkerIncarnation,
    /// Runs that have not ended.
    pub running: Vec<RunningRun>,
    /// Ended runs that are not acknowledged, in the order of their numbers.
    pub ended: Vec<EndedRun>,
    /// Whether `ended` names all such runs. A worker lists a bounded number of them at a time, so that a run
    /// that is neither running nor listed may have ended.
    pub ends_complete: bool,
}
