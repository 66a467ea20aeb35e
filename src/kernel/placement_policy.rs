use crate::kernel::{JobKind, SpreadCount, WorkerState};
use crate::prelude::*;

/// A placement policy plug-in, which chooses among the workers that have room for a task.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// Name by which the policy bundle selects it; also logged as the reason of a placement.
    pub name: &'static str,
    /// Kind of job that it places.
    pub kind: JobKind,
    /// Whether a search starts in the zones with the fewest tasks of the job, and there with the emptiest
    /// workers. It then ends in the first zone with room, so scores of different zones are not compared.
    pub spread: bool,
    /// Scores a worker that has room for the task; the worker with the highest score is chosen.
    pub score: fn(&PlacementCandidate) -> i64,
}

/// A worker with room for a task, as a policy scores it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementCandidate<'a> {
    /// State of the worker.
    pub state: &'a WorkerState,
    /// Resources that the task needs.
    pub need: ResourceVector,
    /// Number of placed tasks of the job per zone, rack and worker.
    pub spread: &'a SpreadCount,
}

impl PlacementCandidate<'_> {
    /// Returns the part of the worker that would stay free, in thousandths summed over all dimensions.
    #[must_use]
    pub fn unused_per_mille(&self) -> i64 {
        let unused = self.state.free().minus(self.need);
        let capacity = self.state.vm.capacity;
        let part = |unused: u64, whole: u64| (unused * 1_000).checked_div(whole).unwrap_or(0);
        let sum = part(unused.cores_milli, capacity.cores_milli)
            + part(unused.memory_mib, capacity.memory_mib)
            + part(unused.accelerators, capacity.accelerators);
        i64::try_from(sum).unwrap_or(i64::MAX)
    }

    /// Whether the task needs no accelerator but the worker has some.
    #[must_use]
    pub const fn wastes_accelerators(&self) -> bool {
        self.need.accelerators == 0 && self.state.vm.capacity.accelerators > 0
    }
}
