use crate::kernel::WorkerState;
use crate::prelude::*;

/// Number of placed tasks of one job per zone, rack and worker, by which placement policies spread them.
#[derive(Clone, Debug, Default)]
pub struct SpreadCount {
    /// By zone number of the fleet view.
    zones: FastMap<u32, u32>,
    /// By rack number of the fleet view.
    racks: FastMap<u32, u32>,
    workers: FastMap<VmId, u32>,
}

impl SpreadCount {
    /// Counts a task placed on the worker.
    pub fn add(&mut self, state: &WorkerState) {
        *self.zones.entry(state.zone).or_default() += 1;
        *self.racks.entry(state.rack).or_default() += 1;
        *self.workers.entry(state.vm.vm.clone()).or_default() += 1;
    }

    /// Removes a task on the worker from the counts.
    pub fn remove(&mut self, state: &WorkerState) {
        decrease(&mut self.zones, &state.zone);
        decrease(&mut self.racks, &state.rack);
        decrease(&mut self.workers, &state.vm.vm);
    }

    /// Returns the number of tasks in a zone.
    #[must_use]
    pub fn in_zone(&self, zone: u32) -> u32 {
        self.zones.get(&zone).copied().unwrap_or(0)
    }

    /// Returns the number of tasks in the rack of the worker.
    #[must_use]
    pub fn in_rack(&self, state: &WorkerState) -> u32 {
        self.racks.get(&state.rack).copied().unwrap_or(0)
    }

    /// Returns the number of tasks on the worker.
    #[must_use]
    pub fn on_worker(&self, state: &WorkerState) -> u32 {
        self.workers.get(&state.vm.vm).copied().unwrap_or(0)
    }
}

fn decrease<K: std::hash::Hash + Eq>(counts: &mut FastMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}
