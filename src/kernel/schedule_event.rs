use crate::kernel::{ShardCapacities, WorkerReport, WorkerVm};
use crate::prelude::*;

/// An input of a shard's scheduler.
#[derive(Clone, Debug)]
pub enum ScheduleEvent {
    /// A policy bundle came into force.
    BundleAdopted(Arc<PolicyBundle>),
    /// The workers of the shard according to the VM list. Known workers that are missing have left the list.
    WorkersListed(Vec<WorkerVm>),
    /// Workers that left the VM list before this process claimed the shard, but whose leases from an earlier
    /// owner may not have expired; they may still run its tasks.
    WorkersDelisted(Vec<VmId>),
    /// An earlier owner synced with workers that were not on the VM list and may still run tasks.
    UnknownWorkersReported,
    /// Worker capacities of the other shards according to the VM list.
    OtherShardsListed(ShardCapacities),
    /// The allotment of a team in the shard changed.
    AllotmentChanged(TeamId, ResourceVector),
    /// A job was accepted for the shard.
    JobAccepted(Arc<JobSpec>),
    /// A team cancelled a job.
    JobCancelled(JobId),
    /// The outcome of a job was recorded in the ledger.
    JobEnded(JobId),
    /// Another shard handed over a job; attempts here are numbered from the given number.
    JobMovedIn(Arc<JobSpec>, AttemptNumber),
    /// The move of a job to another shard was recorded in the ledger.
    JobMovedOut(JobId),
    /// An answered sync delivered the starts and stops of these tasks; its report follows.
    CommandsDelivered(VmId, Vec<TaskId>),
    /// A start was dropped before any sync carried it, because a stop followed.
    StartWithdrawn(VmId, TaskId),
    /// A worker accepted a sync and sent its report.
    SyncAnswered(VmId, WorkerReport),
    /// A worker did not answer a sync; its commands may or may not have taken effect.
    SyncFailed(VmId),
    /// The policy bundle is known to be fresh until this time; no task starts after it.
    BundleFreshUntil(Instant),
    /// Time has passed, or work is left over from an earlier call.
    Tick,
}
