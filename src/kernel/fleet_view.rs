use std::collections::BTreeMap;

use crate::kernel::{
    FreeIndex, PlacementCandidate, PlacementPolicy, SearchStep, SpreadCount, WorkerState, WorkerVm,
};
use crate::prelude::*;

/// Maximum number of workers with room that are scored in one zone.
const MAX_CANDIDATES_PER_ZONE: u32 = 8;
/// Number of workers without room in a bucket of the index after which a search skips the rest of the bucket.
const MISSES_PER_BUCKET_SKIP: u32 = 8;
/// Maximum number of workers examined in one zone per search.
const MAX_EXAMINED_PER_ZONE: u32 = 256;
/// Maximum number of workers examined to place all tasks of a gang job.
const MAX_EXAMINED_FOR_GANG: u64 = 4_096;

/// Workers of a shard by slot, with an index by free capacity.
///
/// A slot is the index of a worker in the view; it stays the same until the worker is removed.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    workers: Vec<Option<WorkerState>>,
    vacant_slots: Vec<u32>,
    slots_by_vm: FastMap<VmId, u32>,
    zone_numbers: FastMap<ZoneId, u32>,
    rack_numbers: FastMap<RackId, u32>,
    index: FreeIndex,
    capacity_counts: BTreeMap<(u64, u64, u64), u32>,
    /// Total capacity of all known workers.
    pub capacity: ResourceVector,
    /// Slots of workers that gained room since the list was last taken; a slot may occur more than once.
    pub freed: Vec<u32>,
    /// Slots of reserved workers that gained room since the list was last taken.
    pub reserved_freed: Vec<u32>,
    /// Total number of workers examined by searches.
    pub workers_examined: u64,
}

/// Result of a search for a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerChoice {
    /// Slot of the best worker found; `None` if none has room.
    pub slot: Option<u32>,
    /// Number of examined workers that were rejected, by reason.
    pub rejected: Vec<(&'static str, u32)>,
    /// Whether the bounds of the search skipped workers that may have room.
    pub search_truncated: bool,
}

impl FleetView {
    /// Returns the slot of a worker.
    #[must_use]
    pub fn slot(&self, vm: &str) -> Option<u32> {
        self.slots_by_vm.get(vm).copied()
    }

    /// Returns the worker in a slot.
    #[must_use]
    pub fn get(&self, slot: u32) -> Option<&WorkerState> {
        self.workers.get(slot as usize)?.as_ref()
    }

    /// Returns all workers with their slots.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &WorkerState)> {
        (0u32..).zip(&self.workers).filter_map(|(slot, state)| Some((slot, state.as_ref()?)))
    }

    /// Returns the total capacity of the workers that are listed, not leaving and in open zones.
    #[must_use]
    pub fn schedulable_capacity(&self) -> ResourceVector {
        let open = self.workers.iter().flatten();
        let open = open.filter(|worker| worker.listed && worker.zone_open && !worker.vm.leaving);
        open.map(|worker| worker.vm.capacity).fold(ResourceVector::default(), ResourceVector::plus)
    }

    /// Returns the number of known workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots_by_vm.len()
    }

    /// Whether no worker is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots_by_vm.is_empty()
    }

    /// Adds a worker, or updates a known one from the VM list; returns its slot.
    pub fn upsert(&mut self, vm: WorkerVm, zone_open: bool) -> u32 {
        let slot = self.slot(&vm.vm).unwrap_or_else(|| self.add(vm.clone()));
        let old = self.get(slot).map(|state| state.vm.capacity).unwrap_or_default();
        if old != vm.capacity {
            self.remove_capacity(old);
            self.add_capacity(vm.capacity);
        }
        let (zone, rack) =
            (intern(&mut self.zone_numbers, &vm.zone), intern(&mut self.rack_numbers, &vm.rack));
        self.update(slot, |state| {
            state.vm = vm;
            (state.zone, state.rack) = (zone, rack);
            state.listed = true;
            state.zone_open = zone_open;
        });
        slot
    }

    /// Removes a worker and returns it; its slot is reused.
    pub fn remove(&mut self, slot: u32) -> Option<WorkerState> {
        let state = self.workers.get_mut(slot as usize)?.take()?;
        self.index.remove(slot);
        self.slots_by_vm.remove(&state.vm.vm);
        self.remove_capacity(state.vm.capacity);
        self.vacant_slots.push(slot);
        Some(state)
    }

    /// Changes a worker, updates the index, and records whether the worker gained room.
    pub fn update(&mut self, slot: u32, change: impl FnOnce(&mut WorkerState)) {
        let Some(state) = self.workers.get_mut(slot as usize).and_then(Option::as_mut) else { return };
        let before =
            if state.unavailable_reason().is_some() { ResourceVector::default() } else { state.free() };
        let used = state.used;
        change(state);
        if state.unavailable_reason().is_some() {
            if state.reserved && !used.fits(state.used) {
                self.reserved_freed.push(slot);
            }
            self.index.remove(slot);
            return;
        }
        let free = state.free();
        self.index.put(slot, state.zone, state.vm.capacity, free);
        if !free.fits(before) {
            self.freed.push(slot);
        }
    }

    /// Returns the worker with the highest score among a bounded number of workers with room for the task.
    pub fn choose(
        &mut self,
        need: ResourceVector,
        policy: &PlacementPolicy,
        spread_count: &SpreadCount,
    ) -> WorkerChoice {
        let mut zone_numbers: Vec<u32> =
            (0..u32::try_from(self.zone_numbers.len()).unwrap_or(u32::MAX)).collect();
        if policy.spread {
            zone_numbers.sort_by_key(|zone| spread_count.in_zone(*zone));
        }
        let mut choice = WorkerChoice::default();
        let mut best = None;
        let rotation = usize::try_from(self.workers_examined).unwrap_or(0);
        for zone in zone_numbers {
            let (mut compared, mut examined, mut misses) = (0, 0, 0);
            self.index.search(zone, need, policy.spread, rotation, |slot, visited| {
                if visited == 0 {
                    misses = 0;
                }
                if compared >= MAX_CANDIDATES_PER_ZONE || examined >= MAX_EXAMINED_PER_ZONE {
                    choice.search_truncated = true;
                    return SearchStep::Stop;
                }
                examined += 1;
                let Some(state) = self.get(slot) else { return SearchStep::Next };
                if let Some(reason) = state.rejection_reason(need) {
                    count_reason(&mut choice.rejected, reason);
                    misses += 1;
                    if misses >= MISSES_PER_BUCKET_SKIP {
                        choice.search_truncated = true;
                        return SearchStep::NextBucket;
                    }
                    return SearchStep::Next;
                }
                compared += 1;
                let candidate = PlacementCandidate { state, need, spread: spread_count };
                let score = (policy.score)(&candidate);
                if best.is_none_or(|(highest, _)| score > highest) {
                    best = Some((score, slot));
                }
                SearchStep::Next
            });
            self.workers_examined += u64::from(examined);
            if policy.spread && best.is_some() {
                break;
            }
        }
        choice.slot = best.map(|(_, slot)| slot);
        choice
    }

    /// Returns a slot for each of `tasks` tasks, or `None` if not all of them fit; `reserved` are the slots
    /// reserved for the job, which are tried first.
    pub fn choose_for_gang(
        &mut self,
        need: ResourceVector,
        tasks: u32,
        reserved: &[u32],
    ) -> Option<Vec<u32>> {
        let mut chosen: Vec<u32> = Vec::new();
        let mut examined = 0u64;
        let wanted = tasks as usize;
        let mut take = |slot: u32| {
            examined += 1;
            let Some(state) = self.get(slot) else { return SearchStep::Next };
            let mut free = state.free();
            while need.fits(free) && chosen.len() < wanted && !need.is_zero() {
                chosen.push(slot);
                free = free.minus(need);
            }
            if chosen.len() < wanted && examined < MAX_EXAMINED_FOR_GANG {
                SearchStep::Next
            } else {
                SearchStep::Stop
            }
        };
        reserved.iter().all(|slot| take(*slot) == SearchStep::Next);
        for zone in 0..u32::try_from(self.zone_numbers.len()).unwrap_or(u32::MAX) {
            self.index.search(zone, need, true, 0, |slot, _| take(slot));
        }
        self.workers_examined += examined;
        (chosen.len() == wanted).then_some(chosen)
    }

    /// Returns the workers with accelerators, or those without, on which tasks may start: up to
    /// `limit_per_zone` of each zone, those with the most free capacity first.
    pub fn workers_by_room(&self, accelerated: bool, limit_per_zone: usize) -> impl Iterator<Item = u32> {
        let zone_numbers = 0..u32::try_from(self.zone_numbers.len()).unwrap_or(u32::MAX);
        zone_numbers.flat_map(move |zone| self.index.workers_by_room(zone, accelerated).take(limit_per_zone))
    }

    /// Returns why the tasks can never run on the known workers; `None` if they can, or if no worker is
    /// known.
    #[must_use]
    pub fn infeasible_reason(&self, need: ResourceVector, tasks: u64) -> Option<String> {
        let tasks_per_worker =
            |key: &(u64, u64, u64)| need.count_in(ResourceVector::new(key.0, key.1, key.2));
        let room: u64 =
            self.capacity_counts.iter().map(|(key, count)| tasks_per_worker(key) * u64::from(*count)).sum();
        if room >= tasks || self.capacity_counts.is_empty() {
            return None;
        }
        if room > 0 {
            return Some(format!("{tasks} tasks must run together, but the workers hold at most {room}"));
        }
        // The message calls the VM largest that lacks the fewest dimensions, then the one with the most
        // memory.
        let lacking_count = |key: &(u64, u64, u64)| {
            u32::from(need.cores_milli > key.0)
                + u32::from(need.memory_mib > key.1)
                + u32::from(need.accelerators > key.2)
        };
        let key =
            self.capacity_counts.keys().min_by_key(|key| (lacking_count(key), std::cmp::Reverse(key.1)))?;
        let largest = ResourceVector::new(key.0, key.1, key.2);
        let dimension = need.lacking(largest)?;
        Some(format!("{dimension}: a task needs {need}, the largest VM holds {largest}"))
    }

    /// Returns the distinct capacities of the known workers, each with the number of workers that have it.
    pub fn capacity_counts(&self) -> impl Iterator<Item = (ResourceVector, u32)> {
        self.capacity_counts.iter().map(|(key, count)| (ResourceVector::new(key.0, key.1, key.2), *count))
    }

    fn add(&mut self, vm: WorkerVm) -> u32 {
        let slot = self.vacant_slots.pop().unwrap_or_else(|| {
            self.workers.push(None);
            u32::try_from(self.workers.len() - 1).unwrap_or(u32::MAX)
        });
        self.slots_by_vm.insert(vm.vm.clone(), slot);
        self.add_capacity(vm.capacity);
        self.workers[slot as usize] = Some(WorkerState::new(vm));
        slot
    }

    fn add_capacity(&mut self, capacity: ResourceVector) {
        self.capacity = self.capacity.plus(capacity);
        *self.capacity_counts.entry(capacity_key(capacity)).or_default() += 1;
    }

    fn remove_capacity(&mut self, capacity: ResourceVector) {
        self.capacity = self.capacity.minus(capacity);
        if let Some(count) = self.capacity_counts.get_mut(&capacity_key(capacity)) {
            *count -= 1;
            if *count == 0 {
                self.capacity_counts.remove(&capacity_key(capacity));
            }
        }
    }
}

const fn capacity_key(capacity: ResourceVector) -> (u64, u64, u64) {
    (capacity.cores_milli, capacity.memory_mib, capacity.accelerators)
}

/// Returns the number of a zone or rack name and assigns the next one to a new name.
fn intern(numbers: &mut FastMap<Arc<str>, u32>, name: &Arc<str>) -> u32 {
    let next = u32::try_from(numbers.len()).unwrap_or(u32::MAX);
    *numbers.entry(name.clone()).or_insert(next)
}

fn count_reason(counts: &mut Vec<(&'static str, u32)>, reason: &'static str) {
    match counts.iter_mut().find(|(known, _)| *known == reason) {
        Some((_, count)) => *count += 1,
        None => counts.push((reason, 1)),
    }
}
