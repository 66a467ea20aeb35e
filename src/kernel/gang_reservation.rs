use crate::kernel::{ShardState, WorkerState};
use crate::prelude::*;

/// Longest time for which workers are kept for one job.
const LONGEST: Duration = Duration::from_secs(600);
/// Time after an unused reservation in which other jobs may reserve first.
const REST: Duration = Duration::from_secs(30);
/// Workers that are considered for one reservation.
const CONSIDERED: usize = 1_024;

/// Workers that are kept for one gang job until all its tasks fit.
///
/// A shard has at most one reservation, and a gang job starts completely or not at all, so two of them cannot
/// hold parts of what both need.
#[derive(Clone, Debug, Default)]
pub struct GangReservation {
    held: Option<HeldWorkers>,
    resting: FastMap<JobId, Instant>,
}

/// The workers of a reservation.
#[derive(Clone, Debug)]
pub struct HeldWorkers {
    /// The job.
    pub job: JobId,
    /// The workers.
    pub workers: Vec<VmId>,
    /// When the reservation is given up.
    pub until: Instant,
    /// When the workers are expected to have room for all tasks.
    pub ready_at: Instant,
}

impl GangReservation {
    /// Returns the reservation.
    #[must_use]
    pub const fn held(&self) -> Option<&HeldWorkers> {
        self.held.as_ref()
    }

    /// Returns the numbers of the workers that are kept for the job and may start tasks.
    #[must_use]
    pub fn workers_of(&self, job: &JobId, state: &ShardState) -> Vec<u32> {
        let held = self.held.iter().filter(|held| held.job == *job).flat_map(|held| &held.workers);
        held.filter_map(|vm| state.fleet.slot(vm)).filter(|slot| usable(state, *slot)).collect()
    }

    /// Returns a reserved worker on which a task fits that ends before the workers are needed.
    #[must_use]
    pub fn backfill(
        &self,
        state: &ShardState,
        need: ResourceVector,
        run_time: Duration,
        now: Instant,
    ) -> Option<u32> {
        let held = self.held.as_ref().filter(|held| now + run_time <= held.ready_at)?;
        let slots = held.workers.iter().filter_map(|vm| state.fleet.slot(vm));
        slots
            .filter(|slot| usable(state, *slot))
            .find(|slot| state.fleet.get(*slot).is_some_and(|worker| need.fits(worker.free())))
    }

    /// Reserves workers that together will have room for the tasks soonest; returns whether the job holds them.
    pub fn reserve(&mut self, state: &mut ShardState, spec: &JobSpec, tasks: u32, now: Instant) -> bool {
        if let Some(held) = &self.held {
            return held.job == spec.id;
        }
        if self.resting.get(&spec.id).is_some_and(|rest| *rest > now) {
            return false;
        }
        let mut candidates: Vec<(Instant, u64, u32)> = state
            .fleet
            .members(spec.need.accelerators > 0, CONSIDERED)
            .filter_map(|slot| candidate(state, slot, spec.need, now))
            .collect();
        candidates.sort_unstable_by_key(|(at, room, _)| (*at, std::cmp::Reverse(*room)));
        let (mut room, mut ready_at, mut workers) = (0, now, Vec::new());
        for (at, count, slot) in candidates {
            if room >= u64::from(tasks) {
                break;
            }
            room += count;
            ready_at = ready_at.max(at);
            workers.push(slot);
        }
        if room < u64::from(tasks) || ready_at > now + LONGEST {
            return false;
        }
        let names = workers.iter().filter_map(|slot| Some(state.fleet.get(*slot)?.vm.vm.clone())).collect();
        for slot in workers {
            state.fleet.update(slot, |worker| worker.reserved = true);
        }
        self.held =
            Some(HeldWorkers { job: spec.id.clone(), workers: names, until: now + LONGEST, ready_at });
        true
    }

    /// Gives the reservation up.
    pub fn release(&mut self, state: &mut ShardState) {
        let Some(held) = self.held.take() else { return };
        for slot in held.workers.iter().filter_map(|vm| state.fleet.slot(vm)).collect::<Vec<_>>() {
            state.fleet.update(slot, |worker| worker.reserved = false);
        }
        state.queue.unblock_reserved();
    }

    /// Gives the reservation up if its time is over or its job does not wait any more.
    pub fn expire(&mut self, state: &mut ShardState, now: Instant) {
        self.resting.retain(|_, rest| *rest > now);
        let Some(held) = &self.held else { return };
        let waits = state.jobs.get(&held.job).is_some_and(|job| job.is_live() && !job.waiting.is_empty());
        if waits && held.until > now {
            return;
        }
        if waits {
            self.resting.insert(held.job.clone(), now + REST);
        }
        self.release(state);
    }
}

/// Whether a worker is kept and could start tasks; one that was listed anew is like any other worker.
fn usable(state: &ShardState, slot: u32) -> bool {
    state.fleet.get(slot).and_then(WorkerState::obstacle) == Some("reserved")
}

/// Returns when the worker is expected to be empty, how many tasks then fit, and its number.
fn candidate(
    state: &ShardState,
    slot: u32,
    need: ResourceVector,
    now: Instant,
) -> Option<(Instant, u64, u32)> {
    let worker = state.fleet.get(slot)?;
    let mut fixed = ResourceVector::default();
    let mut empty_at = now;
    for placed in worker.tasks.iter().filter_map(|task| state.tasks.get(task)) {
        match placed.expected_end {
            Some(end) => empty_at = empty_at.max(end),
            // A service stays, so its room does not become free.
            None => fixed = fixed.plus(placed.need),
        }
    }
    let free_now = need.count_in(worker.free());
    let room = need.count_in(worker.vm.capacity.minus(fixed));
    if free_now == room {
        empty_at = now;
    }
    (room > 0).then_some((empty_at, room, slot))
}
