use crate::kernel::{JobProgress, ShardState, WorkerState};
use crate::prelude::*;

/// Longest time for which workers are kept for one job.
const LONGEST: Duration = Duration::from_secs(600);
/// Longest time for which workers are kept whose tasks are stopped: a plan takes a few seconds.
const EMPTIED: Duration = Duration::from_secs(30);
/// Time after which a gang job starts even if its team then is far above its fair part.
const STARVED: Duration = Duration::from_secs(600);
/// Part of a gang job by which its team must be below its fair part: from one half on, the job brings it closer.
const ENTITLED_PART: f64 = 0.5;
/// Part of a gang job that other teams must use above their fair parts before tasks are stopped for it; its team
/// lacks at least half of it, which the others have in other proportions.
const LENT_PART: f64 = 0.25;
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
    held: Option<ReservedWorkers>,
    resting: FastMap<JobId, Instant>,
    /// Gang jobs that were not entitled, and since when.
    deferred: FastMap<JobId, Instant>,
    /// Gang jobs that started because they had waited for long; they are not stopped again.
    granted: FastSet<JobId>,
}

/// The workers of a reservation.
#[derive(Clone, Debug)]
pub struct ReservedWorkers {
    /// The job.
    pub job: JobId,
    /// The workers.
    pub workers: Vec<VmId>,
    /// When the reservation is given up.
    pub until: Instant,
    /// When the workers are expected to have room for all tasks.
    pub ready_at: Instant,
    /// Whether tasks on the workers are stopped for the job.
    pub reclaims: bool,
}

impl GangReservation {
    /// Returns the reservation.
    #[must_use]
    pub const fn held(&self) -> Option<&ReservedWorkers> {
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

    /// Whether a gang job may start and have tasks of others stopped: it brings its team closer to its fair part, or
    /// has waited for long.
    ///
    /// A gang job is not divisible, so without the second rule one of more than twice the fair part might never run.
    #[must_use]
    pub fn is_entitled(&self, state: &ShardState, job: &JobProgress, now: Instant) -> bool {
        let (team, total) = (&job.spec.team, state.fleet.capacity);
        let used = state.shares.used(team);
        let with_job = used.plus(job.spec.need.times(job.waiting.len() as u64));
        let (before, after) = (used.dominant_fraction(total), with_job.dominant_fraction(total));

        let fair = state.shares.fair_share(team);
        before + (after - before) * ENTITLED_PART <= fair || self.is_starved(&job.spec.id, now)
    }

    /// Whether a gang job has waited for long because it was not entitled, or started for that reason.
    #[must_use]
    pub fn is_starved(&self, job: &JobId, now: Instant) -> bool {
        self.granted.contains(job) || self.deferred.get(job).is_some_and(|since| now >= *since + STARVED)
    }

    /// Notes that a gang job starts.
    pub fn note_start(&mut self, job: &JobId, now: Instant) {
        if self.deferred.remove(job).is_some_and(|since| now >= since + STARVED) {
            self.granted.insert(job.clone());
        }
    }

    /// Notes that a gang job waits because it is not entitled; returns whether this is new.
    pub fn defer(&mut self, job: &JobId, now: Instant) -> bool {
        let known = self.deferred.len();
        self.deferred.entry(job.clone()).or_insert(now);
        self.deferred.len() > known
    }

    /// Reserves workers that together will have room for the tasks soonest; returns whether the job holds them.
    pub fn reserve(&mut self, state: &mut ShardState, spec: &JobSpec, tasks: u32, now: Instant) -> bool {
        let reclaims = is_lent(state, spec, tasks);
        if let Some(held) = &self.held {
            if held.job == spec.id && held.reclaims == reclaims || held.reclaims || !reclaims {
                return held.job == spec.id;
            }
            self.release(state);
        }
        if self.resting.get(&spec.id).is_some_and(|rest| *rest > now) {
            return false;
        }
        let mut candidates: Vec<(Duration, u64, u32)> = state
            .fleet
            .members(spec.need.accelerators > 0, CONSIDERED)
            .filter_map(|slot| {
                if reclaims {
                    cheap_candidate(state, slot, spec.need, now)
                } else {
                    candidate(state, slot, spec.need, now)
                }
            })
            .collect();
        candidates.sort_unstable_by_key(|(at, room, _)| (*at, std::cmp::Reverse(*room)));
        let (mut room, mut ready_in, mut workers) = (0, Duration::ZERO, Vec::new());
        for (at, count, slot) in candidates {
            if room >= u64::from(tasks) {
                break;
            }
            room += count;
            ready_in = ready_in.max(at);
            workers.push(slot);
        }
        if room < u64::from(tasks) || !reclaims && ready_in > LONGEST {
            return false;
        }
        let names = workers.iter().filter_map(|slot| Some(state.fleet.get(*slot)?.vm.vm.clone())).collect();
        for slot in workers {
            state.fleet.update(slot, |worker| worker.reserved = true);
        }
        // Nothing is backfilled on workers that are being emptied.
        let (until, ready_at) = if reclaims { (now + EMPTIED, now) } else { (now + LONGEST, now + ready_in) };
        self.held = Some(ReservedWorkers { job: spec.id.clone(), workers: names, until, ready_at, reclaims });
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
        self.deferred.retain(|id, _| state.jobs.contains_key(id));
        self.granted.retain(|id| state.jobs.contains_key(id));
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
    state.fleet.get(slot).and_then(WorkerState::unavailable_reason) == Some("reserved")
}

/// Whether other teams use so much above their fair parts that tasks may be stopped for a gang job.
fn is_lent(state: &ShardState, spec: &JobSpec, tasks: u32) -> bool {
    let total = state.fleet.capacity;
    let others = state.shares.iter().filter(|(team, ..)| **team != spec.team);
    let above = others.map(|(team, used, _)| used.dominant_fraction(total) - state.shares.fair_share(team));
    let lent: f64 = above.filter(|above| *above > 0.0).sum();
    // A job may take most of the accelerators and few of the processors, which are all that the others give.
    lent >= LENT_PART * spec.need.times(u64::from(tasks)).least_fraction(total)
}

/// Returns the cost of emptying a worker per task, how many tasks then fit, and its number.
fn cheap_candidate(
    state: &ShardState,
    slot: u32,
    need: ResourceVector,
    now: Instant,
) -> Option<(Duration, u64, u32)> {
    let worker = state.fleet.get(slot)?;
    let (mut fixed, mut lost_work) = (ResourceVector::default(), 0);
    for placed in worker.tasks.iter().filter_map(|task| state.tasks.get(task)) {
        if placed.is_preemptible_by_gang() {
            lost_work += placed.lost_work(now);
        } else {
            fixed = fixed.plus(placed.need);
        }
    }
    let room = need.count_in(worker.vm.capacity.minus(fixed));
    if need.count_in(worker.free()) == room {
        lost_work = 0;
    }
    (room > 0).then(|| (Duration::from_millis(lost_work / room), room, slot))
}

/// Returns how long the worker is expected not to be empty, how many tasks then fit, and its number.
fn candidate(
    state: &ShardState,
    slot: u32,
    need: ResourceVector,
    now: Instant,
) -> Option<(Duration, u64, u32)> {
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
    (room > 0).then(|| (empty_at.saturating_duration_since(now), room, slot))
}
