use crate::kernel::{ShardCapacities, WorkerReport, WorkerVm};
use crate::prelude::*;

/// What a shard's scheduler is told.
#[derive(Clone, Debug)]
pub enum ScheduleEvent {
    /// A bundle came into force.
    BundleAdopted(Arc<PolicyBundle>),
    /// The present workers of the shard; workers that are missing are gone.
    WorkersListed(Vec<WorkerVm>),
    /// Workers that left the VM list less than a lease ago; tasks of an earlier owner may still run there.
    WorkersVanished(Vec<VmId>),
    /// What the workers of the other shards hold.
    OtherShardsListed(ShardCapacities),
    /// The allotment of a team in the shard changed.
    AllotmentChanged(TeamId, ResourceVector),
    /// A job of the shard was accepted.
    JobAccepted(Arc<JobSpec>),
    /// A team cancelled a job.
    JobCancelled(JobId),
    /// The outcome of a job is in the ledger.
    JobEnded(JobId),
    /// A waiting job was handed to this shard, which numbers its attempts from the given one on.
    JobMovedIn(Arc<JobSpec>, AttemptNumber),
    /// A waiting job was handed to another shard.
    JobMovedOut(JobId),
    /// An answered sync carried the starts and stops of these tasks; its report follows.
    CommandsDelivered(VmId, Vec<TaskId>),
    /// A start was dropped before any sync carried it, because a stop followed.
    StartWithdrawn(VmId, TaskId),
    /// A worker accepted a sync.
    SyncAnswered(VmId, WorkerReport),
    /// A worker did not answer a sync; its commands may or may not have taken effect.
    SyncFailed(VmId),
    /// The bundle is known to be recent until the time; no task starts after it.
    BundleFreshUntil(Instant),
    /// Time passed.
    Tick,
}
