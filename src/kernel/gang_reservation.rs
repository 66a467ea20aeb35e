use crate::kernel::{JobProgress, ShardState, WorkerState};
use crate::prelude::*;

/// Maximum time for which workers are reserved for one job while their tasks run to completion.
const MAX_RESERVATION: Duration = Duration::from_secs(600);
/// Maximum time for which workers with preempted tasks are reserved; a reclaim plan takes a few seconds.
const MAX_RECLAIM_RESERVATION: Duration = Duration::from_secs(30);
/// Time after which a deferred gang job starts even if that takes its team far above its fair share.
const STARVATION_TIMEOUT: Duration = Duration::from_secs(600);
/// Fraction of the increase in dominant share that a gang job causes, by which its team must be below its
/// fair share for the job to start. At 0.5 or more, starting the job brings the team closer to its fair
/// share.
const MIN_DEFICIT_FRACTION: f64 = 0.5;
/// Minimum usage of other teams above their fair shares for which tasks are preempted for a gang job, as a
/// fraction of the job's smallest share of a resource. The team of the job lacks at least
/// `MIN_DEFICIT_FRACTION` of the job, but the other teams hold their excess in other proportions of
/// resources, so less is required of them.
const MIN_EXCESS_FRACTION: f64 = 0.25;
/// Time after an expired reservation during which its job cannot reserve again, so that other jobs get a
/// turn.
const RESERVATION_COOLDOWN: Duration = Duration::from_secs(30);
/// Maximum number of workers of each zone that are considered for one reservation.
const MAX_CANDIDATES_PER_ZONE: usize = 1_024;

/// The reservation of workers for one gang job until all its tasks fit, and the gang jobs of the shard that
/// are deferred, have starved or may not reserve again yet.
///
/// A shard has at most one reservation, and a gang job starts completely or not at all. So two gang jobs
/// cannot deadlock by each holding part of the workers that both need.
#[derive(Clone, Debug, Default)]
pub struct GangReservation {
    held: Option<ReservedWorkers>,
    /// Jobs whose reservation expired unused, and when they may reserve again.
    cooldowns: FastMap<JobId, Instant>,
    /// Gang jobs that wait because they are not entitled to start, and since when.
    deferred_since: FastMap<JobId, Instant>,
    /// Gang jobs that started because they had starved; they are not preempted.
    exempt_from_reclaim: FastSet<JobId>,
}

/// A reservation that is held for a gang job.
#[derive(Clone, Debug)]
pub struct ReservedWorkers {
    /// Gang job that holds the reservation.
    pub job: JobId,
    /// VMs of the reserved workers.
    pub workers: Vec<VmId>,
    /// When the reservation expires.
    pub until: Instant,
    /// When the reserved workers are expected to have room for all tasks of the job. If `reclaims`, the time
    /// of the reservation, so that nothing is backfilled.
    pub ready_at: Instant,
    /// Whether tasks on the reserved workers are preempted for the job.
    pub reclaims: bool,
}

impl GangReservation {
    /// Returns the current reservation of the shard.
    #[must_use]
    pub const fn held(&self) -> Option<&ReservedWorkers> {
        self.held.as_ref()
    }

    /// Returns the slots of the workers that are reserved for the job and could start tasks.
    #[must_use]
    pub fn workers_of(&self, job: &JobId, state: &ShardState) -> Vec<u32> {
        let held = self.held.iter().filter(|held| held.job == *job).flat_map(|held| &held.workers);
        held.filter_map(|vm| state.fleet.slot(vm)).filter(|slot| is_usable(state, *slot)).collect()
    }

    /// Returns a reserved worker with room for a task that ends before the reservation needs the worker.
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
            .filter(|slot| is_usable(state, *slot))
            .find(|slot| state.fleet.get(*slot).is_some_and(|worker| need.fits(worker.free())))
    }

    /// Whether a gang job may start and preempt tasks of other teams: it brings its team closer to its fair
    /// share, or it has starved.
    ///
    /// A gang job is indivisible, so without the second rule one that needs more than twice the fair share
    /// might never run.
    #[must_use]
    pub fn is_entitled(&self, state: &ShardState, job: &JobProgress, now: Instant) -> bool {
        let (team, total) = (&job.spec.team, state.fleet.capacity);
        let used = state.shares.used(team);
        let with_job = used.plus(job.spec.need.times(job.waiting.len() as u64));
        let (before, after) = (used.dominant_fraction(total), with_job.dominant_fraction(total));

        let fair = state.shares.fair_share(team);
        before + (after - before) * MIN_DEFICIT_FRACTION <= fair || self.has_starved(&job.spec.id, now)
    }

    /// Whether a gang job has been deferred for the starvation timeout, or started for that reason.
    #[must_use]
    pub fn has_starved(&self, job: &JobId, now: Instant) -> bool {
        self.exempt_from_reclaim.contains(job)
            || self.deferred_since.get(job).is_some_and(|since| now >= *since + STARVATION_TIMEOUT)
    }

    /// Records that a gang job starts.
    pub fn record_start(&mut self, job: &JobId, now: Instant) {
        if self.deferred_since.remove(job).is_some_and(|since| now >= since + STARVATION_TIMEOUT) {
            self.exempt_from_reclaim.insert(job.clone());
        }
    }

    /// Records that a gang job waits because it is not entitled to start; returns whether it is newly
    /// deferred.
    pub fn defer(&mut self, job: &JobId, now: Instant) -> bool {
        let deferred_before = self.deferred_since.len();
        self.deferred_since.entry(job.clone()).or_insert(now);
        self.deferred_since.len() > deferred_before
    }

    /// Reserves the workers that together are expected to have room for all tasks soonest; returns whether
    /// the job holds a reservation.
    ///
    /// If other teams use enough above their fair shares, it reserves instead the workers on which preemption
    /// loses the least work per gang task. Such a reservation replaces one that waits for tasks to end.
    pub fn reserve(&mut self, state: &mut ShardState, spec: &JobSpec, tasks: u32, now: Instant) -> bool {
        let reclaims = others_exceed_shares(state, spec, tasks);
        if let Some(held) = &self.held {
            if held.job == spec.id && held.reclaims == reclaims || held.reclaims || !reclaims {
                return held.job == spec.id;
            }
            self.release(state);
        }
        if self.cooldowns.get(&spec.id).is_some_and(|cooldown_end| *cooldown_end > now) {
            return false;
        }
        let mut candidates: Vec<(Duration, u64, u32)> = state
            .fleet
            .workers_by_room(spec.need.accelerators > 0, MAX_CANDIDATES_PER_ZONE)
            .filter_map(|slot| {
                if reclaims {
                    reclaim_candidate(state, slot, spec.need, now)
                } else {
                    waiting_candidate(state, slot, spec.need, now)
                }
            })
            .collect();
        candidates.sort_unstable_by_key(|(cost, room, _)| (*cost, std::cmp::Reverse(*room)));
        // The cost of a waiting candidate is the time until it is ready; with `reclaims`, `ready_in` is not
        // used.
        let (mut room, mut ready_in, mut workers) = (0, Duration::ZERO, Vec::new());
        for (cost, count, slot) in candidates {
            if room >= u64::from(tasks) {
                break;
            }
            room += count;
            ready_in = ready_in.max(cost);
            workers.push(slot);
        }
        if room < u64::from(tasks) || !reclaims && ready_in > MAX_RESERVATION {
            return false;
        }
        let names = workers.iter().filter_map(|slot| Some(state.fleet.get(*slot)?.vm.vm.clone())).collect();
        for slot in workers {
            state.fleet.update(slot, |worker| worker.reserved = true);
        }
        // As `ready_at` is `now`, nothing is backfilled on workers whose tasks are preempted.
        let (until, ready_at) = if reclaims {
            (now + MAX_RECLAIM_RESERVATION, now)
        } else {
            (now + MAX_RESERVATION, now + ready_in)
        };
        self.held = Some(ReservedWorkers { job: spec.id.clone(), workers: names, until, ready_at, reclaims });
        true
    }

    /// Gives up the reservation and retries the jobs that waited for it.
    pub fn release(&mut self, state: &mut ShardState) {
        let Some(held) = self.held.take() else { return };
        for slot in held.workers.iter().filter_map(|vm| state.fleet.slot(vm)).collect::<Vec<_>>() {
            state.fleet.update(slot, |worker| worker.reserved = false);
        }
        state.queue.unblock_reserved();
    }

    /// Gives up the reservation if it has expired or its job no longer waits, and forgets ended jobs.
    pub fn expire(&mut self, state: &mut ShardState, now: Instant) {
        self.cooldowns.retain(|_, cooldown_end| *cooldown_end > now);
        self.deferred_since.retain(|id, _| state.jobs.contains_key(id));
        self.exempt_from_reclaim.retain(|id| state.jobs.contains_key(id));
        let Some(held) = &self.held else { return };
        let waits = state.jobs.get(&held.job).is_some_and(|job| job.is_live() && !job.waiting.is_empty());
        if waits && held.until > now {
            return;
        }
        if waits {
            self.cooldowns.insert(held.job.clone(), now + RESERVATION_COOLDOWN);
        }
        self.release(state);
    }
}

/// Whether the reservation is the only reason why no tasks start on a worker: `unavailable_reason` returns
/// any other reason first. A worker that was removed and listed again is not reserved any more.
fn is_usable(state: &ShardState, slot: u32) -> bool {
    state.fleet.get(slot).and_then(WorkerState::unavailable_reason) == Some("reserved")
}

/// Whether other teams use so much above their fair shares that tasks may be preempted for a gang job.
fn others_exceed_shares(state: &ShardState, spec: &JobSpec, tasks: u32) -> bool {
    let total = state.fleet.capacity;
    let others = state.shares.iter().filter(|(team, ..)| **team != spec.team);
    let excess = others.map(|(team, used, _)| used.dominant_fraction(total) - state.shares.fair_share(team));
    let total_excess: f64 = excess.filter(|excess| *excess > 0.0).sum();
    // Compares with the job's smallest share of a resource: the job may need most of the accelerators but few
    // of the cores, and cores may be all that the other teams can free.
    total_excess >= MIN_EXCESS_FRACTION * spec.need.times(u64::from(tasks)).least_fraction(total)
}

/// Returns the work lost per gang task if a worker is emptied, the number of tasks that then fit, and its
/// slot. The lost work is a sort key: one millisecond stands for one millicore second.
fn reclaim_candidate(
    state: &ShardState,
    slot: u32,
    need: ResourceVector,
    now: Instant,
) -> Option<(Duration, u64, u32)> {
    let worker = state.fleet.get(slot)?;
    let (mut not_freed, mut lost_work) = (ResourceVector::default(), 0);
    for placed in worker.tasks.iter().filter_map(|task| state.tasks.get(task)) {
        if placed.is_preemptible_by_gang() {
            lost_work += placed.lost_work(now);
        } else {
            not_freed = not_freed.plus(placed.need);
        }
    }
    let room = need.count_in(worker.vm.capacity.minus(not_freed));
    if need.count_in(worker.free()) == room {
        lost_work = 0;
    }
    (room > 0).then(|| (Duration::from_millis(lost_work / room), room, slot))
}

/// Returns the time until the tasks on a worker are expected to end, the number of gang tasks that then fit,
/// and its slot.
fn waiting_candidate(
    state: &ShardState,
    slot: u32,
    need: ResourceVector,
    now: Instant,
) -> Option<(Duration, u64, u32)> {
    let worker = state.fleet.get(slot)?;
    let mut not_freed = ResourceVector::default();
    let mut empty_at = now;
    for placed in worker.tasks.iter().filter_map(|task| state.tasks.get(task)) {
        match placed.expected_end {
            Some(end) => empty_at = empty_at.max(end),
            // A service runs until it is cancelled, and the run time of other tasks may not be known. Their
            // resources do not count as freed.
            None => not_freed = not_freed.plus(placed.need),
        }
    }
    let free_now = need.count_in(worker.free());
    let room = need.count_in(worker.vm.capacity.minus(not_freed));
    if free_now == room {
        empty_at = now;
    }
    (room > 0).then(|| (empty_at.saturating_duration_since(now), room, slot))
}
