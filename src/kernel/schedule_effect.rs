use crate::kernel::{JobOutcome, WorkerCommand};
use crate::prelude::*;

/// An action that a shard's scheduler requests from the code that drives it.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduleEffect {
    /// Send a command to a worker, and resend it until a sync that carried it is answered.
    ///
    /// A stop removes an unsent start of the same task.
    Command(VmId, WorkerCommand),
    /// Record the outcome of a job in the ledger.
    RecordOutcome(JobId, JobOutcome),
    /// Hand over a job to another shard; none of its tasks is placed here.
    MoveJob(JobId, ShardId),
    /// Log the placement of a task.
    Placed {
        /// Name of the placed attempt.
        task: TaskId,
        /// Team of the task.
        team: TeamId,
        /// VM of the chosen worker.
        vm: VmId,
        /// Name of the placement policy that chose the worker.
        reason: &'static str,
        /// Number of examined workers that were rejected, by reason.
        rejected: Vec<(&'static str, u32)>,
    },
    /// Log that a task is stopped.
    Stopped {
        /// Name of the stopped attempt.
        task: TaskId,
        /// VM of its worker.
        vm: VmId,
        /// Label of the [`StopReason`](crate::kernel::StopReason).
        reason: &'static str,
    },
    /// Stop syncing with a worker that is no longer listed and whose lease has expired.
    DisconnectWorker(VmId),
}
