use serde::{Deserialize, Serialize};

use crate::kernel::{BundleRecord, JobOutcome, SnapshotPiece};
use crate::prelude::*;

/// One record of the control log. A record that is not valid at its offset has no effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, derive_more::From)]
#[serde(rename_all = "snake_case")]
pub enum LogRecord {
    /// Publishes a bundle. Valid if its base is in force and it carries enough signatures.
    Bundle(BundleRecord),
    /// Makes a process the owner of a shard. Valid if `over` is the current token of the shard, and if the
    /// new or the current owner appended the record.
    #[from(skip)]
    Claim {
        /// Shard to claim.
        shard: ShardId,
        /// New owner of the shard.
        process: ProcessId,
        /// Token of the claim that this one replaces; 0 if the shard is unclaimed.
        over: FencingToken,
    },
    /// Accepts a job. Valid if the id is new and the bound on the team's open tasks in the shard allows it.
    #[from(skip)]
    Submit {
        /// The job to accept.
        spec: JobSpec,
        /// Worker shard that places the job.
        shard: ShardId,
    },
    /// Requests the cancellation of a job.
    #[from(skip)]
    Cancel {
        /// Name of the job.
        job: JobId,
    },
    /// Moves a waiting job to another shard. Valid under the current token of its
    /// shard, unless the job is cancelled.
    #[from(skip)]
    Move {
        /// Name of the job.
        job: JobId,
        /// New shard of the job.
        to: ShardId,
        /// Fencing token of the shard that the job leaves.
        token: FencingToken,
    },
    /// Transfers allotment of a team between shards. Valid if the owner of `from` appended it under the
    /// current token, and within the allotment of `from`.
    #[from(skip)]
    Transfer {
        /// Team whose limit the allotments divide.
        team: TeamId,
        /// Shard whose allotment decreases.
        from: ShardId,
        /// Shard whose allotment increases.
        to: ShardId,
        /// Amount to transfer.
        amount: ResourceVector,
        /// Fencing token of `from`.
        token: FencingToken,
    },
    /// Records that a non-idempotent request is about to be dispatched. Valid if the owner of the partition
    /// appended it under the current token, and if the id is new.
    #[from(skip)]
    Intent {
        /// Id of the request.
        request: RequestId,
        /// Digest of service, idempotency and body of the request.
        digest: Sha256Digest,
        /// Service partition that dispatches the request.
        shard: ShardId,
        /// Fencing token of the partition.
        token: FencingToken,
        /// Time of the record in milliseconds of Unix time. The ledger uses its own clock instead.
        at_ms: u64,
    },
    /// Ends a job. Valid under the current token of its shard and if the job has no outcome yet.
    #[from(skip)]
    Outcome {
        /// Name of the job.
        job: JobId,
        /// Fencing token of the job's shard.
        token: FencingToken,
        /// How the job ended.
        outcome: JobOutcome,
    },
    /// Tells processes that do not receive the heartbeats of the appending process that it is alive. Changes
    /// no state.
    #[from(skip)]
    Alive,
    /// Holds a piece of a ledger snapshot, for processes that can no longer read older groups.
    Snapshot(SnapshotPiece),
}

impl LogRecord {
    /// Returns an upper estimate of the encoded size in bytes, without the escaping of strings.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        match self {
            Self::Alive => 16,
            Self::Bundle(record) => record.estimated_bytes(),
            Self::Snapshot(piece) => piece.estimated_bytes(),
            Self::Submit { spec, shard } => spec.estimated_bytes() + shard.len(),
            Self::Outcome { job, outcome, .. } => 128 + job.len() + outcome.estimated_bytes(),
            Self::Claim { shard, process, .. } => 128 + shard.len() + process.len(),
            Self::Cancel { job } => 64 + job.len(),
            Self::Move { job, to, .. } => 96 + job.len() + to.len(),
            Self::Transfer { team, from, to, .. } => 224 + team.len() + from.len() + to.len(),
            Self::Intent { request, shard, .. } => 320 + request.len() + shard.len(),
        }
    }
}
