use serde::{Deserialize, Serialize};

use crate::kernel::JobOutcome;
use crate::prelude::*;

/// An accepted job in the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// The job as submitted.
    pub spec: JobSpec,
    /// The shard whose owner places it.
    pub shard: ShardId,
    /// Offset of the group that accepted it.
    pub offset: LogOffset,
    /// Whether its team asked to cancel it.
    pub cancelled: bool,
    /// The final outcome, once there is one.
    pub outcome: Option<JobOutcome>,
}

impl JobState {
    /// Returns an estimate of the encoded size in bytes, upwards.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        128 + self.spec.estimated_bytes()
            + self.shard.len()
            + self.outcome.as_ref().map_or(0, JobOutcome::estimated_bytes)
    }
}
