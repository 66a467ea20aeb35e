use crate::kernel::{JobOutcome, ShardClaim};
use crate::prelude::*;

/// An effective change of the ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerChange {
    /// A bundle came into force.
    BundleAdopted(Arc<PolicyBundle>),
    /// A published bundle was refused; holds version and reason.
    BundleRefused(BundleVersion, String),
    /// A shard has a new owner.
    ShardClaimed(ShardId, ShardClaim),
    /// A job was accepted.
    JobAccepted(Arc<JobSpec>, ShardId),
    /// A submission was a repeat of the same job.
    JobRepeated(JobId),
    /// A submission reused an id with another body.
    JobConflict(JobId),
    /// A submission would have taken its team above the bound of open tasks in its shard.
    JobRefused(JobId),
    /// A team asked to cancel a job.
    JobCancelled(JobId, ShardId),
    /// A job moved to another shard.
    JobMoved(Arc<JobSpec>, ShardId, LogOffset),
    /// A job ended.
    JobEnded(JobId, JobOutcome),
    /// The allotment of a team in a shard changed.
    AllotmentChanged(ShardId, TeamId, ResourceVector),
    /// A request may be dispatched by the owner of the shard.
    IntentAccepted(ShardId, RequestId),
    /// An intent was refused: the id is known or the token is old.
    IntentRefused(ShardId, RequestId),
    /// A group of a process was folded.
    GroupApplied(ProcessId, GroupSequence),
}
