use crate::kernel::TaskEnd;
use crate::prelude::*;

/// A running task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskReport {
    /// Name of the running attempt.
    pub task: TaskId,
    /// Team of the task.
    pub team: TeamId,
    /// Resources with which the task was started.
    pub need: ResourceVector,
    /// Resources that the task used recently; it lags behind the actual usage.
    pub used: ResourceVector,
    /// Whether the task has saved a checkpoint.
    pub checkpointed: bool,
}

/// Report of a worker in its answer to an accepted sync.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// All running tasks.
    pub running: Vec<TaskReport>,
    /// Ends of tasks that have not been acknowledged yet.
    pub ended: Vec<TaskEnd>,
}
