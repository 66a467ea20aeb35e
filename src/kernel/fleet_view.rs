use std::collections::BTreeMap;

use crate::kernel::{
    FreeIndex, PlacementCandidate, PlacementPolicy, SearchStep, SpreadCount, WorkerState, WorkerVm,
};
use crate::prelude::*;

/// Workers with room that are compared in one zone before the best of them is taken.
const COMPARED: u32 = 8;
/// Workers without room that are examined in one cell before the next, roomier one is tried.
const MISSES: u32 = 8;
/// Workers examined in one zone in one search.
const EXAMINED: u32 = 256;
/// Workers examined to place all tasks of a job.
const EXAMINED_FOR_ALL: u64 = 4_096;

/// Capacity, use and health of the workers of a shard, indexed.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    workers: Vec<Option<WorkerState>>,
    vacant: Vec<u32>,
    names: FastMap<VmId, u32>,
    zones: FastMap<ZoneId, u32>,
    racks: FastMap<RackId, u32>,
    index: FreeIndex,
    shapes: BTreeMap<(u64, u64, u64), u32>,
    /// What all known workers hold.
    pub capacity: ResourceVector,
    /// Workers that gained room since the list was last taken.
    pub freed: Vec<u32>,
    /// Reserved workers that gained room since the list was last taken.
    pub reserved_freed: Vec<u32>,
    /// Workers examined by searches so far.
    pub examined: u64,
}

/// Result of a search for a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerChoice {
    /// The best worker found.
    pub slot: Option<u32>,
    /// Examined workers that were rejected, by reason.
    pub rejected: Vec<(&'static str, u32)>,
    /// Whether workers that may have room were left out to bound the search.
    pub search_truncated: bool,
}

impl FleetView {
    /// Returns the number of a worker.
    #[must_use]
    pub fn slot(&self, vm: &str) -> Option<u32> {
        self.names.get(vm).copied()
    }

    /// Returns a worker by its number.
    #[must_use]
    pub fn get(&self, slot: u32) -> Option<&WorkerState> {
        self.workers.get(slot as usize)?.as_ref()
    }

    /// Returns all workers with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &WorkerState)> {
        (0u32..).zip(&self.workers).filter_map(|(slot, state)| Some((slot, state.as_ref()?)))
    }

    /// Returns what the workers hold that are listed, stay and are in open zones.
    #[must_use]
    pub fn open_capacity(&self) -> ResourceVector {
        let open = self.workers.iter().flatten();
        let open = open.filter(|worker| worker.listed && worker.zone_open && !worker.vm.leaving);
        open.map(|worker| worker.vm.capacity).fold(ResourceVector::default(), ResourceVector::plus)
    }

    /// Returns the number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there is no worker.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Adds a worker or updates what the VM list says of it.
    pub fn upsert(&mut self, vm: WorkerVm, zone_open: bool) -> u32 {
        let slot = self.slot(&vm.vm).unwrap_or_else(|| self.add(vm.clone()));
        let old = self.get(slot).map(|state| state.vm.capacity).unwrap_or_default();
        if old != vm.capacity {
            self.uncount(old);
            self.count(vm.capacity);
        }
        let (zone, rack) = (number(&mut self.zones, &vm.zone), number(&mut self.racks, &vm.rack));
        self.update(slot, |state| {
            state.vm = vm;
            (state.zone, state.rack) = (zone, rack);
            state.listed = true;
            state.zone_open = zone_open;
        });
        slot
    }

    /// Forgets a worker and returns it.
    pub fn remove(&mut self, slot: u32) -> Option<WorkerState> {
        let state = self.workers.get_mut(slot as usize)?.take()?;
        self.index.remove(slot);
        self.names.remove(&state.vm.vm);
        self.uncount(state.vm.capacity);
        self.vacant.push(slot);
        Some(state)
    }

    /// Changes a worker and keeps the index right.
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

    /// Returns the best of a bounded number of workers on which the task fits.
    pub fn choose(
        &mut self,
        need: ResourceVector,
        policy: &PlacementPolicy,
        spread: &SpreadCount,
    ) -> WorkerChoice {
        let mut zones: Vec<u32> = (0..u32::try_from(self.zones.len()).unwrap_or(u32::MAX)).collect();
        if policy.spread {
            zones.sort_by_key(|zone| spread.in_zone(*zone));
        }
        let mut choice = WorkerChoice::default();
        let mut best = None;
        let turn = usize::try_from(self.examined).unwrap_or(0);
        for zone in zones {
            let (mut compared, mut examined, mut misses) = (0, 0, 0);
            self.index.search(zone, need, policy.spread, turn, |slot| {
                if compared >= COMPARED || examined >= EXAMINED {
                    choice.search_truncated = true;
                    return SearchStep::Stop;
                }
                examined += 1;
                let Some(state) = self.get(slot) else { return SearchStep::Next };
                if let Some(reason) = state.rejection_reason(need) {
                    count_reason(&mut choice.rejected, reason);
                    misses += 1;
                    if misses % MISSES == 0 {
                        choice.search_truncated = true;
                        return SearchStep::NextBucket;
                    }
                    return SearchStep::Next;
                }
                compared += 1;
                let candidate = PlacementCandidate { state, need, spread };
                let score = (policy.score)(&candidate);
                if best.is_none_or(|(highest, _)| score > highest) {
                    best = Some((score, slot));
                }
                SearchStep::Next
            });
            self.examined += u64::from(examined);
            if policy.spread && best.is_some() {
                break;
            }
        }
        choice.slot = best.map(|(_, slot)| slot);
        choice
    }

    /// Returns workers for all tasks, or `None` if fewer fit; `extra` are workers reserved for the job.
    pub fn choose_all(&mut self, need: ResourceVector, tasks: u32, extra: &[u32]) -> Option<Vec<u32>> {
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
            if chosen.len() < wanted && examined < EXAMINED_FOR_ALL {
                SearchStep::Next
            } else {
                SearchStep::Stop
            }
        };
        extra.iter().all(|slot| take(*slot) == SearchStep::Next);
        for zone in 0..u32::try_from(self.zones.len()).unwrap_or(u32::MAX) {
            self.index.search(zone, need, true, 0, &mut take);
        }
        self.examined += examined;
        (chosen.len() == wanted).then_some(chosen)
    }

    /// Returns up to `most` workers of each zone on which tasks may start, those with most room first.
    pub fn members(&self, accelerated: bool, most: usize) -> impl Iterator<Item = u32> {
        let zones = 0..u32::try_from(self.zones.len()).unwrap_or(u32::MAX);
        zones.flat_map(move |zone| self.index.members(zone, accelerated).take(most))
    }

    /// Returns why the tasks can never run on the known workers, naming the largest VM.
    #[must_use]
    pub fn infeasible_reason(&self, need: ResourceVector, tasks: u64) -> Option<String> {
        let fits = |shape: &(u64, u64, u64)| need.count_in(ResourceVector::new(shape.0, shape.1, shape.2));
        let room: u64 = self.shapes.iter().map(|(shape, count)| fits(shape) * u64::from(*count)).sum();
        if room >= tasks || self.shapes.is_empty() {
            return None;
        }
        if room > 0 {
            return Some(format!("{tasks} tasks must run together, but the workers hold at most {room}"));
        }
        // The largest VM is the one that lacks the fewest dimensions, then the one with the most memory.
        let lacking = |shape: &(u64, u64, u64)| {
            u32::from(need.cores_milli > shape.0)
                + u32::from(need.memory_mib > shape.1)
                + u32::from(need.accelerators > shape.2)
        };
        let shape = self.shapes.keys().min_by_key(|shape| (lacking(shape), std::cmp::Reverse(shape.1)))?;
        let largest = ResourceVector::new(shape.0, shape.1, shape.2);
        let dimension = need.lacking(largest)?;
        Some(format!("{dimension}: a task needs {need}, the largest VM holds {largest}"))
    }

    /// Returns the known worker shapes with their numbers.
    pub fn shapes(&self) -> impl Iterator<Item = (ResourceVector, u32)> {
        self.shapes.iter().map(|(shape, count)| (ResourceVector::new(shape.0, shape.1, shape.2), *count))
    }

    fn add(&mut self, vm: WorkerVm) -> u32 {
        let slot = self.vacant.pop().unwrap_or_else(|| {
            self.workers.push(None);
            u32::try_from(self.workers.len() - 1).unwrap_or(u32::MAX)
        });
        self.names.insert(vm.vm.clone(), slot);
        self.count(vm.capacity);
        self.workers[slot as usize] = Some(WorkerState::new(vm));
        slot
    }

    fn count(&mut self, capacity: ResourceVector) {
        self.capacity = self.capacity.plus(capacity);
        *self.shapes.entry(shape(capacity)).or_default() += 1;
    }

    fn uncount(&mut self, capacity: ResourceVector) {
        self.capacity = self.capacity.minus(capacity);
        if let Some(count) = self.shapes.get_mut(&shape(capacity)) {
            *count -= 1;
            if *count == 0 {
                self.shapes.remove(&shape(capacity));
            }
        }
    }
}

const fn shape(capacity: ResourceVector) -> (u64, u64, u64) {
    (capacity.cores_milli, capacity.memory_mib, capacity.accelerators)
}

fn number(numbers: &mut FastMap<Arc<str>, u32>, name: &Arc<str>) -> u32 {
    let next = u32::try_from(numbers.len()).unwrap_or(u32::MAX);
    *numbers.entry(name.clone()).or_insert(next)
}

fn count_reason(counts: &mut Vec<(&'static str, u32)>, reason: &'static str) {
    match counts.iter_mut().find(|(known, _)| *known == reason) {
        Some((_, count)) => *count += 1,
        None => counts.push((reason, 1)),
    }
}
