use crate::kernel::TaskEnd;
use crate::prelude::*;

/// A running task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// Its team.
    pub team: TeamId,
    /// What it was started with.
    pub need: ResourceVector,
    /// What it used lately; reports lag.
    pub used: ResourceVector,
    /// Whether its progress is saved.
    pub checkpointed: bool,
}

/// The answer of a worker to an accepted sync.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// All tasks that run.
    pub running: Vec<TaskReport>,
    /// Ended tasks that were not acknowledged yet.
    pub ended: Vec<TaskEnd>,
}
