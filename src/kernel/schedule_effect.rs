use crate::kernel::{JobOutcome, WorkerCommand};
use crate::prelude::*;

/// What a shard's scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduleEffect {
    /// Send a command to a worker, again until a sync that carried it is answered.
    ///
    /// A stop removes a start of the same task that waits to be sent.
    Command(VmId, WorkerCommand),
    /// Record the outcome of a job.
    RecordOutcome(JobId, JobOutcome),
    /// Hand a job of which nothing runs to another shard.
    MoveJob(JobId, ShardId),
    /// Log a placement decision.
    Placed {
        /// The task.
        task: TaskId,
        /// Its team.
        team: TeamId,
        /// The chosen worker.
        vm: VmId,
        /// Why this worker.
        reason: &'static str,
        /// Workers that were rejected, counted by reason.
        rejected: Vec<(&'static str, u32)>,
    },
    /// Log that a task is stopped, and why.
    Stopped {
        /// The task.
        task: TaskId,
        /// Its worker.
        vm: VmId,
        /// Why it is stopped.
        reason: &'static str,
    },
    /// Stop syncing with a worker that left the VM list and whose lease is over.
    DisconnectWorker(VmId),
}
