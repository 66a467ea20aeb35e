use serde::{Deserialize, Serialize};

use crate::kernel::{BundleRecord, JobState, ProcessWatermark, ShardClaim};
use crate::prelude::*;

/// One entry of the ledger state in a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SnapshotItem {
    /// Ledger time in milliseconds of Unix time, and the log offset of the last step of the ledger clock.
    Clock(u64, LogOffset),
    /// Log record of the bundle in force.
    Bundle(BundleRecord),
    /// Last applied group of an appending process.
    Process(ProcessId, ProcessWatermark),
    /// Current claim of a shard.
    Claim(ShardId, ShardClaim),
    /// Allotment of a team in a shard.
    Allotment(ShardId, TeamId, ResourceVector),
    /// A job without an outcome.
    Open(JobState),
    /// An ended job, with the ledger time of its end in milliseconds; in the order of their ends.
    Ended(JobState, u64),
    /// Recorded intent of a request, with the request digest and the ledger time in
    /// milliseconds; in log order.
    Intent(RequestId, Sha256Digest, u64),
}

impl SnapshotItem {
    /// Returns an upper estimate of the encoded size in bytes, without the escaping of strings.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        match self {
            Self::Clock(..) => 64,
            Self::Bundle(record) => record.estimated_bytes(),
            Self::Process(process, _) => 128 + process.len(),
            Self::Claim(shard, claim) => 96 + shard.len() + claim.process.len(),
            Self::Allotment(shard, team, _) => 128 + shard.len() + team.len(),
            Self::Open(state) | Self::Ended(state, _) => state.estimated_bytes(),
            Self::Intent(request, ..) => 224 + request.len(),
        }
    }
}

/// One piece of a ledger snapshot, small enough for one log record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPiece {
    /// Log offset below which the snapshot includes the effect of all groups.
    pub covers: LogOffset,
    /// Index of this piece, from 0.
    pub index: u32,
    /// Number of pieces of the snapshot.
    pub count: u32,
    /// Entries of the ledger in this piece.
    pub items: Vec<SnapshotItem>,
}

impl SnapshotPiece {
    /// Bound on the estimated size of a piece in bytes; below
    /// [`GroupCommit::MAX_BYTES`](crate::kernel::GroupCommit::MAX_BYTES), so that a piece fits into one
    /// group.
    pub const MAX_BYTES: usize = 192 << 10;

    /// Splits the items of a snapshot into pieces in order. A piece exceeds [`MAX_BYTES`](Self::MAX_BYTES)
    /// only if it is a single item.
    #[must_use]
    pub fn split(covers: LogOffset, items: Vec<SnapshotItem>) -> Vec<Self> {
        let mut parts: Vec<Vec<SnapshotItem>> = vec![Vec::new()];
        let mut bytes = 0;
        for item in items {
            bytes += item.estimated_bytes();
            if bytes > Self::MAX_BYTES {
                bytes = item.estimated_bytes();
                parts.push(Vec::new());
            }
            if let Some(part) = parts.last_mut() {
                part.push(item);
            }
        }
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        let pieces = (0..).zip(parts).map(|(index, items)| Self { covers, index, count, items });
        pieces.collect()
    }

    /// Returns an upper estimate of the encoded size in bytes, without the escaping of strings.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        64 + self.items.iter().map(SnapshotItem::estimated_bytes).sum::<usize>()
    }
}
