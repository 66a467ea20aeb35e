use serde::{Deserialize, Serialize};

use crate::kernel::{BundleRecord, JobState, ProcessWatermark, ShardClaim};
use crate::prelude::*;

/// One part of the ledger in a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SnapshotItem {
    /// Ledger time in milliseconds, and the offset of its last step.
    Clock(u64, LogOffset),
    /// The bundle in force.
    Bundle(BundleRecord),
    /// Last sequence of a process.
    Process(ProcessId, ProcessWatermark),
    /// Present claim of a shard.
    Claim(ShardId, ShardClaim),
    /// Allotment of a team in a shard.
    Allotment(ShardId, TeamId, ResourceVector),
    /// A job without an outcome.
    Open(JobState),
    /// A job that ended at the ledger time; in the order of their ends.
    Ended(JobState, u64),
    /// An announced request; in the order of their offsets.
    Intent(RequestId, Sha256Digest, u64),
}

impl SnapshotItem {
    /// Returns an estimate of the encoded size in bytes, upwards.
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

/// One piece of a snapshot of the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPiece {
    /// The snapshot holds the effect of all groups below this offset.
    pub covers: LogOffset,
    /// Number of this piece, from 0.
    pub index: u32,
    /// Number of pieces.
    pub count: u32,
    /// What the piece holds.
    pub items: Vec<SnapshotItem>,
}

impl SnapshotPiece {
    /// Bound of the estimated size of a piece.
    pub const MAX_BYTES: usize = 192 << 10;

    /// Cuts the items of a snapshot into pieces.
    #[must_use]
    pub fn cut(covers: LogOffset, items: Vec<SnapshotItem>) -> Vec<Self> {
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

    /// Returns an estimate of the encoded size in bytes, upwards.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        64 + self.items.iter().map(SnapshotItem::estimated_bytes).sum::<usize>()
    }
}
