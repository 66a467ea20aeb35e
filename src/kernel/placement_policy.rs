use crate::kernel::{JobKind, SpreadCount, WorkerState};
use crate::prelude::*;

/// A placement policy plug-in: chooses among the workers on which a task fits.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// Name in the bundle.
    pub name: &'static str,
    /// The kind of job that it places.
    pub kind: JobKind,
    /// Whether zones with the fewest tasks of the job, and the emptiest workers in them, are examined first.
    pub spread: bool,
    /// Scores a worker on which the task fits; the highest score wins.
    pub score: fn(&PlacementCandidate) -> i64,
}

/// A worker on which a task fits.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCandidate<'a> {
    /// The worker.
    pub state: &'a WorkerState,
    /// What the task needs.
    pub need: ResourceVector,
    /// Where the other tasks of the job are.
    pub spread: &'a SpreadCount,
}

impl PlacementCandidate<'_> {
    /// Returns the part of the worker that would stay unused, in thousandths summed over all dimensions.
    #[must_use]
    pub fn rest(&self) -> i64 {
        let rest = self.state.free().minus(self.need);
        let capacity = self.state.vm.capacity;
        let part = |rest: u64, whole: u64| (rest * 1_000).checked_div(whole).unwrap_or(0);
        let sum = part(rest.cores_milli, capacity.cores_milli)
            + part(rest.memory_mib, capacity.memory_mib)
            + part(rest.accelerators, capacity.accelerators);
        i64::try_from(sum).unwrap_or(i64::MAX)
    }

    /// Whether the task would occupy an accelerator VM without using an accelerator.
    #[must_use]
    pub const fn wastes_accelerators(&self) -> bool {
        self.need.accelerators == 0 && self.state.vm.capacity.accelerators > 0
    }
}
