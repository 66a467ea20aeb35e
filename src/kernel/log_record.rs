use serde::{Deserialize, Serialize};

use crate::kernel::{BundleRecord, JobOutcome, SnapshotPiece};
use crate::prelude::*;

/// One entry of the control log. An entry that is not valid at its offset has no effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, derive_more::From)]
#[serde(rename_all = "snake_case")]
pub enum LogRecord {
    /// Publishes a bundle; valid if its base is in force and it carries enough signatures.
    Bundle(BundleRecord),
    /// Makes a process the owner of a shard; valid if `over` is the present token, 0 if unclaimed, and if the
    /// new or the present owner wrote it.
    #[from(skip)]
    Claim {
        /// The shard to own.
        shard: ShardId,
        /// The new owner.
        process: ProcessId,
        /// Token of the claim that this one replaces.
        over: FencingToken,
    },
    /// Accepts a job; valid if the id is new.
    #[from(skip)]
    Submit {
        /// The job.
        spec: JobSpec,
        /// The shard that places it.
        shard: ShardId,
    },
    /// Asks to cancel a job.
    #[from(skip)]
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Hands a waiting job to another shard; valid under the present token of its shard.
    #[from(skip)]
    Move {
        /// The job.
        job: JobId,
        /// Its new shard.
        to: ShardId,
        /// Token of its old shard.
        token: FencingToken,
    },
    /// Moves allotment between shards; valid under the present token of `from` and within its allotment.
    #[from(skip)]
    Transfer {
        /// The team whose limit is divided.
        team: TeamId,
        /// The giving shard.
        from: ShardId,
        /// The receiving shard.
        to: ShardId,
        /// How much moves.
        amount: ResourceVector,
        /// Token of the giving shard.
        token: FencingToken,
    },
    /// Announces a non-idempotent request; valid under the present token and if the id is new.
    #[from(skip)]
    Intent {
        /// The request.
        request: RequestId,
        /// Digest of its body.
        digest: Sha256Digest,
        /// The service partition.
        shard: ShardId,
        /// Token of the partition.
        token: FencingToken,
        /// When it was announced, in milliseconds of Unix time.
        at_ms: u64,
    },
    /// Ends a job; valid under the present token of its shard and if it has no outcome.
    #[from(skip)]
    Outcome {
        /// The job.
        job: JobId,
        /// Token of its shard.
        token: FencingToken,
        /// The outcome.
        outcome: JobOutcome,
    },
    /// Shows that the process is alive to those that do not hear it; changes nothing.
    #[from(skip)]
    Alive,
    /// Holds a part of the ledger for processes that missed older groups.
    Snapshot(SnapshotPiece),
}

impl LogRecord {
    /// Returns an estimate of the encoded size in bytes, upwards.
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
