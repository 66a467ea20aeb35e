use crate::kernel::{JobOutcome, ShardClaim};
use crate::prelude::*;

/// A change that an applied record made in the ledger, or the reason why a record had no effect.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerChange {
    /// A published bundle came into force.
    BundleAdopted(Arc<PolicyBundle>),
    /// A published bundle was invalid and had no effect; holds its version and a one-line reason.
    BundleRefused(BundleVersion, String),
    /// A shard was claimed by its new owner.
    ShardClaimed(ShardId, ShardClaim),
    /// A job was accepted into a shard.
    JobAccepted(Arc<JobSpec>, ShardId),
    /// A submission repeated an accepted job with the same spec.
    JobRepeated(JobId),
    /// A submission used the id of a job with another spec.
    JobConflict(JobId),
    /// A submission would have exceeded the bound on its team's open tasks in the shard.
    JobRefused(JobId),
    /// The cancellation of a job was requested; its shard has to stop it.
    JobCancelled(JobId, ShardId),
    /// A waiting job moved to another shard; holds the new shard and the offset of the move. If the change
    /// comes from a snapshot, the offset is the first one after the snapshot instead, which is higher.
    JobMoved(Arc<JobSpec>, ShardId, LogOffset),
    /// A job ended with an outcome.
    JobEnded(JobId, JobOutcome),
    /// The allotment of a team in a shard was set; holds the new amount, which may equal the old one.
    AllotmentChanged(ShardId, TeamId, ResourceVector),
    /// The intent of a request was recorded, so the owner of the service partition may dispatch the request.
    IntentAccepted(ShardId, RequestId),
    /// An intent had no effect, because the request id is known or the fencing token is not current.
    IntentRefused(ShardId, RequestId),
    /// A group of a process was applied completely.
    GroupApplied(ProcessId, GroupSequence),
}
