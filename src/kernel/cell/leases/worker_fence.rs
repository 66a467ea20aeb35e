use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// From when an incarnation of a worker refuses calls that were meant for a former one, by its own clock.
///
/// The clock is that of the worker, so no wall clock has to be right.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct WorkerFence {
    /// The incarnation.
    pub incarnation: WorkerIncarnation,
    /// Its clock in the first answer since which it refuses those calls.
    pub clock: WorkerTime,
}

impl From<(u64, u64)> for WorkerFence {
    /// Returns the fence from the milliseconds in a record.
    fn from((incarnation_ms, clock_ms): (u64, u64)) -> Self {
        Self { incarnation: Duration::from_millis(incarnation_ms), clock: Duration::from_millis(clock_ms) }
    }
}

impl From<WorkerFence> for (u64, u64) {
    /// Returns the milliseconds for a record. The clock of the platform's workers counts in milliseconds.
    fn from(fence: WorkerFence) -> Self {
        let milliseconds = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        (milliseconds(fence.incarnation), milliseconds(fence.clock))
    }
}
