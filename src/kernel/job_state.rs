use serde::{Deserialize, Serialize};

use crate::kernel::JobOutcome;
use crate::prelude::*;

/// An accepted job as the ledger records it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// The job as submitted.
    pub spec: JobSpec,
    /// Shard whose owner places the job.
    pub shard: ShardId,
    /// Log offset of the record group that accepted the job.
    pub offset: LogOffset,
    /// Whether its team asked to cancel it.
    pub cancelled: bool,
    /// Final outcome; `None` while the job is open.
    pub outcome: Option<JobOutcome>,
}

impl JobState {
    /// Returns an upper estimate of the encoded size in bytes, without the escaping of strings.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        128 + self.spec.estimated_bytes()
            + self.shard.len()
            + self.outcome.as_ref().map_or(0, JobOutcome::estimated_bytes)
    }
}
