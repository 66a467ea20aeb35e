use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The age at which an incarnation of a worker was known to refuse calls that were meant for a former one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerFence {
    /// The incarnation.
    pub incarnation: WorkerIncarnation,
    /// Time since its start, by the wall clock of the owner.
    pub age: Duration,
}

impl WorkerFence {
    /// Returns the fence of an incarnation that refuses those calls from `unix_time` on at the latest.
    #[must_use]
    pub const fn new(incarnation: WorkerIncarnation, unix_time: Duration) -> Self {
        Self { incarnation, age: unix_time.saturating_sub(incarnation) }
    }
}
