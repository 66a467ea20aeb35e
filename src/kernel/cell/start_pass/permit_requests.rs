use super::{Candidate, PendingStep, StartPass};
use crate::kernel::cell::{
    CellEffect, PermitDemand, PermitOption, PermitPlan, PermitPlanner, PermitRequest, PermitRequestKind,
    PermitRule, PermitSkip, RoomForecast,
};
use crate::prelude::*;

/// Number of workers for which the decision time is estimated before it is known how many a request names.
const TYPICAL_WORKERS: usize = 40;
/// Blocked steps per kind of demand that learn their verdicts whether or not room is expected.
const MAX_STEPS_ASKING_EARLY: usize = 4;
/// Part of the validity of a ticket, as a divisor, for which a request may wait to be sent, and by which room may
/// become free after the answer.
const VALIDITY_DIVISOR: u32 = 4;
/// Number of requests for which the tasks of a step that are not done suffice, if each request starts as many as
/// are worth it.
const MAX_REQUESTS_PER_STEP: u32 = 8;
/// Time since the last request of a step after which it asks for a small part of its tasks, as a multiple of the
/// decision time: such requests then take at most a sixteenth of the time of a process for a step.
const SMALL_BATCH_FACTOR: u32 = 16;
/// The same while most processes are busy.
const BUSY_BATCH_FACTOR: u32 = 32;
/// Bounds that time for a step without any run: if few workers are granted to it, a small part is all that they can
/// hold, and its job must not stand still beside free workers for 3 s.
const IDLE_STEP_DELAY: Duration = Duration::from_secs(1);

/// Age of a job without a run from which a step asks in its turn, behind many blocked steps. The decision time is
/// better used for those until then.
const MIN_TURN_WAIT: Duration = Duration::from_secs(2);

impl StartPass<'_> {
    /// Sends a permit request for the step if [`PermitPlanner`] finds one of use.
    pub(super) fn request_permits(
        &mut self,
        pending: &PendingStep<'_>,
        permit_rule: PermitRule,
        candidates: &[Candidate],
        missing: u32,
    ) {
        let skip = self.try_request(pending, permit_rule, candidates, missing).err();
        if let Some(state) = self.state.step_mut(pending.key) {
            state.permit_skip = skip;
        }
    }

    fn try_request(
        &mut self,
        pending: &PendingStep<'_>,
        permit_rule: PermitRule,
        candidates: &[Candidate],
        missing: u32,
    ) -> Result<(), PermitSkip> {
        let now = self.now;
        let Some((spec, step, state)) = self.state.step(pending.key) else { return Ok(()) };
        let rank = pending.rank;
        if !state.permit_cache.may_request(now) {
            return Err(PermitSkip::Requested);
        }
        let known_since = self.state.jobs.get(&pending.key.job).map_or(now, |job| job.known_since);
        let stands_still = state.placed == 0 && now.saturating_duration_since(known_since) >= MIN_TURN_WAIT;
        if pending.in_turn && !stands_still {
            return Err(PermitSkip::Behind);
        }
        let assured = step.long_running || step.gang;
        let wait = self.state.permit_load.expected_wait(rank, assured);
        let max_wait = permit_rule.validity / VALIDITY_DIVISOR;
        if wait > max_wait && (pending.in_turn || !rank.skips_request_bound()) {
            return Err(PermitSkip::Queue);
        }
        let (queue, gang) = (spec.queue.clone(), step.gang);
        // Few tasks of a wide step wait again after they were preempted or have failed.
        let waiting = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
        let worthwhile_tasks = waiting.div_ceil(2).max(state.remaining.div_ceil(MAX_REQUESTS_PER_STEP));
        let busy = self.state.permit_load.is_busy();
        let small_batch_delay =
            permit_rule.decision_time * if busy { BUSY_BATCH_FACTOR } else { SMALL_BATCH_FACTOR };
        let small_batch_delay =
            if state.placed == 0 { small_batch_delay.min(IDLE_STEP_DELAY) } else { small_batch_delay };
        let accepts_small_batch =
            step.long_running || state.permit_cache.last_request_is_older(small_batch_delay, now);
        let verdicts = state.permit_cache.verdict_count();
        let unused_renewals = state.permit_cache.unused_renewals();
        self.refresh_forecast();
        let answered_at = now + wait + permit_rule.decision_time_for(TYPICAL_WORKERS);
        let used_by = answered_at + permit_rule.validity / VALIDITY_DIVISOR;
        let expire_at = answered_at + permit_rule.validity;
        let options = self.permit_options(pending, candidates, [answered_at, used_by, expire_at]);
        let claimed = self.claimed_by_service.get(&pending.rule.service).copied().unwrap_or_default();
        let demand = PermitDemand {
            missing,
            worthwhile_tasks,
            gang,
            verdicts,
            accepts_small_batch,
            asks_early: !pending.in_turn
                && (pending.may_preempt
                    || (rank.may_claim_room() && pending.position <= MAX_STEPS_ASKING_EARLY)),
            position: pending.position,
            claimed_tasks: tasks_in(claimed, pending.task_capacity),
            unused_renewals,
            grant_rate: self.state.permit_stats.of(&queue).grant_rate(),
        };
        let (kind, slots) = match (PermitPlanner { demand }).plan(&options) {
            PermitPlan::Request(kind, slots) => (kind, slots),
            PermitPlan::Skip(skip) => return Err(skip),
        };
        let workers = slots.iter().filter_map(|slot| self.state.worker(*slot));
        let workers: Vec<WorkerId> = workers.map(|worker| worker.listing.worker.clone()).collect();
        if workers.is_empty() {
            return Err(PermitSkip::NoRoom);
        }
        let step = pending.key.clone();
        let request = PermitRequest { step, queue, kind, rule: permit_rule, rank, assured, workers };
        self.send_request(request, kind);
        Ok(())
    }

    fn send_request(&mut self, request: PermitRequest, kind: PermitRequestKind) {
        let now = self.now;
        let (rank, assured, decision_time) = (request.rank, request.assured, request.decision_time());
        if let Some(state) = self.state.step_mut(&request.step) {
            state.permit_cache.begin_request(kind, now);
        }
        self.state.permit_load.add(&request.step, rank, assured, decision_time);
        self.state.permit_stats.count_request(&request.queue, kind);
        self.state.effects.push(CellEffect::RequestPermits(request));
    }

    /// Returns the workers that a request of the step may name. The times are when its answer is expected, until
    /// when its tickets are to be used, and when they expire.
    fn permit_options(
        &self,
        pending: &PendingStep<'_>,
        candidates: &[Candidate],
        [answered_at, used_by, expire_at]: [Instant; 3],
    ) -> Vec<PermitOption> {
        let Some((_, _, state)) = self.state.step(pending.key) else { return Vec::new() };
        let need = pending.task_capacity;
        let option = |candidate: &Candidate| {
            let worker = self.state.worker(candidate.slot)?;
            Some(PermitOption {
                slot: candidate.slot,
                granted: state.permit_cache.was_granted(candidate.slot),
                ticketed: state.permit_cache.ticket(candidate.slot, answered_at).is_some(),
                fitting_now: candidate.fitting,
                fitting_soon: count_tasks(need, self.room_at(candidate.slot, used_by), candidate),
                fitting_later: count_tasks(need, self.room_at(candidate.slot, expire_at), candidate),
                fitting_empty: count_tasks(need, worker.listing.capacity, candidate),
            })
        };
        candidates.iter().filter_map(option).collect()
    }

    /// Counts the room that a step waits for beside the room that is reserved for it, so that steps behind it do
    /// not ask for permits for the same room. It is counted by worker as far as tasks end on workers that are
    /// granted to the step.
    pub(super) fn claim_room(
        &mut self,
        pending: &PendingStep<'_>,
        permit_rule: PermitRule,
        candidates: &[Candidate],
        unreserved_tasks: u32,
    ) {
        let Some((_, _, state)) = self.state.step(pending.key) else { return };
        if unreserved_tasks == 0 || (state.permit_cache.is_empty() && !state.permit_cache.has_open_request())
        {
            return;
        }
        self.refresh_forecast();
        let expire_at = self.now + permit_rule.decision_time_for(TYPICAL_WORKERS) + permit_rule.validity;
        let mut left = unreserved_tasks;
        for candidate in candidates {
            if left == 0 {
                break;
            }
            if self.may_start_soon(pending, candidate.slot) {
                let room = self.room_at(candidate.slot, expire_at);
                let tasks = count_tasks(pending.task_capacity, room, candidate).min(left);
                if tasks > 0 {
                    let claimed = self.claimed_by_worker.entry(candidate.slot).or_default();
                    *claimed = claimed.plus(pending.task_capacity.times(u64::from(tasks)));
                    left -= tasks;
                }
            }
        }
        let claimed = self.claimed_by_service.entry(pending.rule.service.clone()).or_default();
        *claimed = claimed.plus(pending.task_capacity.times(u64::from(left)));
    }

    fn refresh_forecast(&mut self) {
        if self.state.room_forecast.is_stale(self.now) {
            self.state.room_forecast = RoomForecast::of(self.state, self.now);
        }
    }

    /// Returns the room on a worker that is expected at a time and that no step before holds or waits for.
    fn room_at(&self, slot: u32, at: Instant) -> ResourceVector {
        let Some(worker) = self.state.worker(slot) else { return ResourceVector::default() };
        let freed = self.state.room_forecast.freed_by(slot, at).min(worker.used);
        let reserved = self.reserved_by_worker.get(&slot).copied().unwrap_or_default();
        let claimed = self.claimed_by_worker.get(&slot).copied().unwrap_or_default();
        worker.free().plus(freed).minus(reserved.plus(claimed))
    }

    /// Whether the step has a ticket for the worker or is about to get one: the worker was granted before, and the
    /// step asks, or it will once there is room.
    pub(super) fn may_start_soon(&self, pending: &PendingStep<'_>, slot: u32) -> bool {
        if pending.rule.permits.is_none() {
            return true;
        }
        let Some((_, _, state)) = self.state.step(pending.key) else { return false };
        let at_front = pending.position <= PermitPlanner::MAX_STEPS_AT_FRONT;
        state.permit_cache.ticket(slot, self.now).is_some()
            || (state.permit_cache.was_granted(slot) && (at_front || state.permit_cache.has_open_request()))
    }
}

/// Returns the number of tasks that fit into the room on a worker.
fn count_tasks(need: ResourceVector, room: ResourceVector, candidate: &Candidate) -> u32 {
    let fitting = if need.fits(room) { need.count_in(room) } else { 0 };
    u32::try_from(fitting).unwrap_or(u32::MAX).min(candidate.allowed_by_worker_limit)
}

/// Returns the number of tasks that would take up `claimed`, by the resource of which there would be the fewest.
fn tasks_in(claimed: ResourceVector, task_capacity: ResourceVector) -> u64 {
    let tasks = |claimed: u64, need: u64| claimed.checked_div(need).unwrap_or_default();
    tasks(claimed.accelerators, task_capacity.accelerators)
        .max(tasks(claimed.cores_milli, task_capacity.cores_milli))
        .max(tasks(claimed.memory_mib, task_capacity.memory_mib))
}
