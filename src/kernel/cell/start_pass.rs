use std::cmp::Reverse;
use std::hash::{BuildHasher, BuildHasherDefault};

use rustc_hash::FxHasher;

use crate::kernel::cell::{
    CellEffect, CellState, PermitRule, PreemptionRule, QueueRule, StepKey, StepSpec, StepWait, TaskKey,
    TaskRank, VictimSearch,
};
use crate::prelude::*;

/// Bounds the workers that one permit request may name.
const MAX_WORKERS_PER_REQUEST: usize = 40;
/// Workers of a service that are compared for one step before the advisor has given verdicts. A larger window
/// costs time and hardly gives better placements.
const SEARCH_WINDOW_WORKERS: usize = 128;
/// Bounds the steps that one pass tries to place, so that a long queue does not slow it down.
const MAX_STEPS_PER_PASS: usize = 4_000;
/// Blocked steps, which found no room or no permit, after which a pass skips further steps of the same
/// priority that need the same kind of worker. The search over the workers costs most of a pass, and the
/// skipped steps would hardly find room or a permit either.
const MAX_BLOCKED_STEPS_PER_DEMAND: usize = 40;
/// Blocked steps per kind of worker whose permits are renewed before they expire, so that capacity that
/// becomes free is used at once.
const MAX_STEPS_RENEWED_AHEAD: usize = 8;
/// How long before its ticket becomes unusable such a permit is renewed; a ticket becomes unusable shortly
/// before it expires.
const PERMIT_RENEWAL_MARGIN: Duration = Duration::from_millis(500);
/// Permit requests that may be open per process that sends them to the advisor, so that an urgent request
/// does not wait long.
const MAX_OPEN_REQUESTS_PER_PROXY: usize = 2;
/// Added to the priority of permit requests for teams above their submission rate, so that these come last.
const EXCESS_PRIORITY_OFFSET: u32 = 1_000;
/// Number of preemptions after which a pass starts no further one. The tasks that have to stop on a worker
/// for one task are preempted together, so a pass may exceed the number by a few.
const MAX_PREEMPTIONS_PER_PASS: usize = 24;

/// One pass over the ready steps. It decides which waiting tasks start, on which workers, and which running
/// tasks are preempted for them.
pub struct StartPass<'a> {
    /// State of the cell that the pass changes.
    pub state: &'a mut CellState,
    /// Time at which the pass runs.
    pub now: Instant,
    /// Room that is reserved for tasks that could not start, by worker slot.
    reserved_by_worker: FastMap<u32, ResourceVector>,
    /// Resources of the tasks that are being stopped, by team; summed up when first needed.
    stopping_by_team: Option<FastMap<TeamId, ResourceVector>>,
    /// Teams in which a search found no task to preempt in this pass, with the rank that it searched for.
    teams_without_victims: FastMap<TeamId, TaskRank>,
    /// Number of steps that found no room or no permit, by the kind of worker that they need.
    blocked_steps: FastMap<WorkerDemand, usize>,
    /// Number of tasks that this pass may still preempt.
    preemptions_left: usize,
}

/// A worker that may run tasks of a step according to its labels, its capacity and the configuration.
///
/// The derived order puts the best worker first, so the order of the fields matters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Whether a straggler was stopped on the worker a short time ago; such workers come last.
    had_recent_straggler: bool,
    /// Whether the worker is outside the preferred rack of the step; those on that rack come first.
    off_rack: bool,
    /// Free part of the capacity in thousandths, negated for steps with accelerators; see [`score`].
    score: Reverse<i64>,
    slot: u32,
    /// Tasks that could start now, by the free capacity that is not reserved and the limit per worker.
    fitting: u32,
    /// Tasks of the step that the limit per worker still allows.
    allowed_by_worker_limit: u32,
}

/// The kind of worker that a step needs, and its priority. Steps with the same demand compete for the same
/// workers; those of a lower priority are often smaller and may fit where others do not.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WorkerDemand {
    service: ServiceId,
    label: Option<LabelId>,
    accelerators: bool,
    priority: u32,
}

impl WorkerDemand {
    fn of(step: &StepSpec, rule: &QueueRule) -> Self {
        let accelerators = step.need.accelerators > 0;
        let (service, label) = (rule.service.clone(), step.label.clone());
        Self { service, label, accelerators, priority: rule.priority }
    }
}

/// A step that the pass tries to place.
struct PendingStep<'a> {
    key: &'a StepKey,
    rule: QueueRule,
    task_rank: TaskRank,
    /// Capacity that one task occupies.
    task_capacity: ResourceVector,
    /// Number of tasks to start, as far as the limit of the team allows.
    wanted_tasks: u32,
    /// Whether less urgent tasks may be preempted for the step now.
    may_preempt: bool,
}

impl<'a> StartPass<'a> {
    /// Returns a pass over the cell that decides as of `now`.
    #[must_use]
    pub fn new(state: &'a mut CellState, now: Instant) -> Self {
        Self {
            state,
            now,
            reserved_by_worker: FastMap::default(),
            stopping_by_team: None,
            teams_without_victims: FastMap::default(),
            blocked_steps: FastMap::default(),
            preemptions_left: MAX_PREEMPTIONS_PER_PASS,
        }
    }

    /// Tries to place the ready steps in the order of their ranks.
    pub fn run(mut self) {
        let steps: Vec<StepKey> =
            self.state.ready.iter().take(MAX_STEPS_PER_PASS).map(|(_, key)| key.clone()).collect();
        for key in steps {
            self.place(&key);
        }
    }

    fn place(&mut self, key: &StepKey) {
        let Some((spec, step, state)) = self.state.step(key) else { return };
        let Some(rule) = self.state.config.queues.get(&spec.queue) else { return };
        let demand = WorkerDemand::of(step, rule);
        if self.blocked_steps.get(&demand).is_some_and(|blocked| *blocked >= MAX_BLOCKED_STEPS_PER_DEMAND) {
            return;
        }
        let rule = rule.clone();
        if step.gang && state.placed > 0 {
            return;
        }
        let (task_capacity, gang) = (step.occupied_capacity(), step.gang);
        let task_rank = (state.rank.is_some_and(|step_rank| step_rank.excess), rule.priority);
        let may_preempt = PreemptionRule::of(step, &rule, state.rank).may_preempt(self.now);
        let (waiting, wanted_tasks) = self.count_startable(key);
        if wanted_tasks < waiting && may_preempt {
            self.preempt_in_team(key, task_rank, waiting - wanted_tasks);
        }
        if wanted_tasks == 0 {
            self.set_wait_reason(key, StepWait::TeamLimit);
            return;
        }
        let pending = PendingStep { key, rule, task_rank, task_capacity, wanted_tasks, may_preempt };
        let candidates = self.candidates(&pending);
        let started = if gang {
            self.start_gang(&pending, &candidates)
        } else {
            self.start_tasks(&pending, &candidates)
        };
        let missing = wanted_tasks - started;
        if missing == 0 {
            return;
        }
        let candidates = if started > 0 { self.candidates(&pending) } else { candidates };
        let blocked = self.blocked_steps.entry(demand).or_default();
        *blocked += 1;
        let blocked_position = *blocked;
        if let Some(permit_rule) = pending.rule.permits {
            self.request_permits(&pending, permit_rule, &candidates, blocked_position);
        }
        self.set_wait_reason(key, self.wait_reason(&pending, &candidates));
        self.reserve_or_preempt(&pending, &candidates, missing);
    }

    /// Returns why tasks of a step wait that the limit of the team allows.
    fn wait_reason(&self, pending: &PendingStep<'_>, candidates: &[Candidate]) -> StepWait {
        let unasked = self.state.step(pending.key).is_none_or(|(_, _, state)| state.permit_cache.is_empty());
        if candidates.is_empty() && unasked {
            return StepWait::Worker;
        }
        let permitted = candidates.iter().any(|candidate| self.may_start_soon(pending, candidate.slot));
        if permitted { StepWait::Room } else { StepWait::Permit }
    }

    fn set_wait_reason(&mut self, key: &StepKey, wait: StepWait) {
        if let Some(state) = self.state.step_mut(key) {
            state.wait_reason = Some(wait);
        }
    }

    /// Returns how many tasks of a step wait and are past their backoff, and how many of them the limit of
    /// the team allows, less the headroom for tasks that may not use it. The second number is 0 for a gang
    /// unless all of its tasks are allowed.
    fn count_startable(&self, key: &StepKey) -> (u32, u32) {
        let Some((spec, step, state)) = self.state.step(key) else { return (0, 0) };
        let due = |index: &&u32| state.tasks[**index as usize].may_start(self.now);
        let waiting = u32::try_from(state.waiting.iter().filter(due).count()).unwrap_or(u32::MAX);
        if spec.team.is_empty() {
            return (waiting, waiting);
        }
        let may_use_headroom =
            step.long_running || step.gang || state.rank.is_some_and(|step_rank| step_rank.priority == 0);
        let remaining = self.state.shares.remaining_allotment(&spec.team);
        let remaining = if may_use_headroom { remaining } else { remaining.minus(self.headroom(&spec.team)) };
        let task_count = if step.need.fits(remaining) { step.need.count_in(remaining) } else { 0 };
        let allowed = u32::try_from(task_count).unwrap_or(u32::MAX).min(waiting);
        (waiting, if step.gang && allowed < step.tasks { 0 } else { allowed })
    }

    /// Returns the part of its limit that a team keeps free for the tasks that may use its headroom.
    fn headroom(&self, team: &TeamId) -> ResourceVector {
        let limit = self.state.config.teams.get(team).map(|rule| rule.limit).unwrap_or_default();
        self.state.headroom.amount(team, limit, self.now)
    }

    /// Preempts less urgent tasks of a team at its limit, so that `missing` tasks of the step can start.
    fn preempt_in_team(&mut self, key: &StepKey, task_rank: TaskRank, missing: u32) {
        let Some((spec, step, _)) = self.state.step(key) else { return };
        let team = spec.team.clone();
        let wanted = step.need.times(u64::from(missing));
        let exhausted = self.teams_without_victims.get(&team).is_some_and(|searched| task_rank >= *searched);
        if exhausted || self.preemptions_left == 0 {
            return;
        }
        let free = self.state.shares.remaining_allotment(&team).plus(self.stopping_in_team(&team));
        if wanted.fits(free) {
            return;
        }
        let search = VictimSearch { state: self.state, rank: task_rank };
        let victims = search.find_in_team(&team, wanted, free, self.now);
        if victims.is_empty() {
            self.teams_without_victims.insert(team.clone(), task_rank);
        }
        for victim in victims.into_iter().take(self.preemptions_left) {
            self.preemptions_left -= 1;
            self.note_preempted(&victim, &team);
            self.state.preempt(&victim, "yields_in_team", self.now);
        }
    }

    fn note_preempted(&mut self, victim: &TaskKey, team: &TeamId) {
        let Some((_, step, _)) = self.state.step(&victim.step) else { return };
        let need = step.need;
        if let Some(stopping) = &mut self.stopping_by_team {
            let sum = stopping.entry(team.clone()).or_default();
            *sum = sum.plus(need);
        }
        self.state.headroom.record_preemption(team, need, self.now);
    }

    /// Returns the resources of the tasks of a team that are being stopped.
    fn stopping_in_team(&mut self, team: &TeamId) -> ResourceVector {
        let state = &self.state;
        let stopping = self.stopping_by_team.get_or_insert_with(|| {
            let mut sums: FastMap<TeamId, ResourceVector> = FastMap::default();
            for (key, _) in state.placements.iter().filter(|(_, placement)| placement.stop_reason.is_some()) {
                if let Some((spec, step, _)) = state.step(&key.step) {
                    let sum = sums.entry(spec.team.clone()).or_default();
                    *sum = sum.plus(step.need);
                }
            }
            sums
        });
        stopping.get(team).copied().unwrap_or_default()
    }

    /// Returns the workers of the search window and of the preferred rack that may run tasks of the step,
    /// best first, including those without free capacity.
    fn candidates(&self, pending: &PendingStep<'_>) -> Vec<Candidate> {
        let Some((_, step, state)) = self.state.step(pending.key) else { return Vec::new() };
        let Some(pool) = self.state.pools.get(&pending.rule.service) else { return Vec::new() };
        let with_permits = pending.rule.permits.is_some();
        let mut candidates = Vec::new();
        let rack_slots =
            step.rack.as_ref().and_then(|rack| self.state.racks.get(rack)).map_or(&[][..], |slots| slots);
        let of_service = |slot: &&u32| {
            self.state.worker(**slot).is_some_and(|worker| worker.listing.service == pending.rule.service)
        };
        let window = search_window(pending.key, pool, state.permit_cache.verdict_count());
        for slot in window.chain(rack_slots.iter().filter(of_service)) {
            let Some(worker) = self.state.worker(*slot) else { continue };
            let capacity = worker.listing.capacity;
            if !pending.task_capacity.fits(capacity)
                || !worker.is_schedulable(self.now)
                || !worker.has_required_label(step)
            {
                continue;
            }
            if with_permits && state.permit_cache.is_denied(*slot) {
                continue;
            }
            let placed_on_worker = state.per_worker.get(slot).copied().unwrap_or_default();
            let allowed_by_worker_limit =
                step.most_per_worker.map_or(u32::MAX, |limit| limit.saturating_sub(placed_on_worker));
            if allowed_by_worker_limit == 0 {
                continue;
            }
            let reserved = self.reserved_by_worker.get(slot).copied().unwrap_or_default();
            let free = worker.free().minus(reserved);
            let fitting =
                if pending.task_capacity.fits(free) { pending.task_capacity.count_in(free) } else { 0 };
            let fitting = u32::try_from(fitting).unwrap_or(u32::MAX).min(allowed_by_worker_limit);
            let off_rack = step.rack.as_ref().is_some_and(|rack| worker.listing.rack.as_ref() != Some(rack));
            let score = Reverse(score(step, free, capacity));
            let had_recent_straggler = worker.had_recent_straggler(self.now);
            candidates.push(Candidate {
                had_recent_straggler,
                off_rack,
                score,
                slot: *slot,
                fitting,
                allowed_by_worker_limit,
            });
        }
        candidates.sort_unstable();
        candidates.dedup_by_key(|candidate| candidate.slot);
        candidates
    }

    /// Returns the candidates with free capacity that would accept a start now, each with its ticket.
    fn permitted(
        &self,
        pending: &PendingStep<'_>,
        candidates: &[Candidate],
    ) -> Vec<(Candidate, Option<PermitTicket>)> {
        let Some((_, _, state)) = self.state.step(pending.key) else { return Vec::new() };
        let permit = |candidate: &Candidate| {
            if pending.rule.permits.is_none() {
                return Some((candidate.clone(), None));
            }
            let ticket = state.permit_cache.ticket(candidate.slot, self.now)?.clone();
            Some((candidate.clone(), Some(ticket)))
        };
        candidates.iter().filter(|candidate| candidate.fitting > 0).filter_map(permit).collect()
    }

    /// Starts waiting tasks on the best workers; returns the number of started tasks.
    fn start_tasks(&mut self, pending: &PendingStep<'_>, candidates: &[Candidate]) -> u32 {
        let permitted = self.permitted(pending, candidates);
        let Some((_, _, state)) = self.state.step(pending.key) else { return 0 };
        let due = |index: &u32| state.tasks[*index as usize].may_start(self.now);
        let waiting = state.waiting.iter().copied().filter(due);
        let waiting: Vec<u32> = waiting.take(pending.wanted_tasks as usize).collect();
        let mut waiting = waiting.into_iter();
        let mut remaining_counts: Vec<u32> =
            permitted.iter().map(|(candidate, _)| candidate.fitting).collect();
        let mut started = 0;
        // Each round starts one task per worker, so that a wide step spreads over many workers.
        while remaining_counts.iter().any(|count| *count > 0) {
            for (remaining, (candidate, ticket)) in remaining_counts.iter_mut().zip(&permitted) {
                if *remaining == 0 {
                    continue;
                }
                let Some(index) = waiting.next() else { return started };
                *remaining -= 1;
                self.state.start(&pending.key.task(index), candidate.slot, ticket.clone(), self.now);
                started += 1;
            }
        }
        started
    }

    /// Starts all tasks of a gang or none; returns the number of started tasks. If the gang prefers one
    /// rack, tries each rack by itself first, in no particular order, and then all workers together.
    /// Workers without a known rack are tried as one rack.
    fn start_gang(&mut self, pending: &PendingStep<'_>, candidates: &[Candidate]) -> u32 {
        let permitted = self.permitted(pending, candidates);
        let same_rack = self.state.step(pending.key).is_some_and(|(_, step, _)| step.same_rack);
        let mut groups: Vec<Vec<&(Candidate, Option<PermitTicket>)>> = Vec::new();
        if same_rack {
            let mut racks: FastMap<Option<RackId>, Vec<&(Candidate, Option<PermitTicket>)>> =
                FastMap::default();
            for entry in &permitted {
                let rack = self.state.worker(entry.0.slot).and_then(|worker| worker.listing.rack.clone());
                racks.entry(rack).or_default().push(entry);
            }
            groups.extend(racks.into_values());
        }
        groups.push(permitted.iter().collect());
        let wanted_tasks = pending.wanted_tasks as usize;
        for group in groups {
            let slots = group.iter().flat_map(|(candidate, ticket)| {
                std::iter::repeat_n((candidate.slot, ticket.clone()), candidate.fitting as usize)
            });
            let slots: Vec<(u32, Option<PermitTicket>)> = slots.take(wanted_tasks).collect();
            if slots.len() == wanted_tasks {
                self.state.start_gang(pending.key, &slots, self.now);
                return pending.wanted_tasks;
            }
        }
        0
    }

    /// Requests permits for workers without a usable ticket, if a permit may help to start a task.
    ///
    /// A denial is final, and a request costs little more for more workers. So requests name all candidates
    /// without a usable ticket, up to [`MAX_WORKERS_PER_REQUEST`] of them, until a candidate has been
    /// granted, and then only those that were granted before or have free capacity. Requests of the most
    /// urgent rank, `(false, 0)`, are sent even if the bound on open requests is reached.
    ///
    /// `blocked_position` is the number of the step among the blocked ones with the same demand in this pass,
    /// from 1.
    fn request_permits(
        &mut self,
        pending: &PendingStep<'_>,
        permit_rule: PermitRule,
        candidates: &[Candidate],
        blocked_position: usize,
    ) {
        let now = self.now;
        let bound = self.state.advisor_proxies.max(1) * MAX_OPEN_REQUESTS_PER_PROXY;
        if self.state.open_permit_requests >= bound && pending.task_rank > (false, 0) {
            return;
        }
        let Some((_, _, state)) = self.state.step(pending.key) else { return };
        if !state.permit_cache.may_request(now) {
            return;
        }
        let margin =
            if blocked_position <= MAX_STEPS_RENEWED_AHEAD { PERMIT_RENEWAL_MARGIN } else { Duration::ZERO };
        let lacks =
            |candidate: &&Candidate| state.permit_cache.ticket(candidate.slot, now + margin).is_none();
        let mut to_request: Vec<&Candidate> = candidates.iter().filter(lacks).collect();
        let granted_before = |candidate: &Candidate| state.permit_cache.was_granted(candidate.slot);
        let any_granted_before = candidates.iter().any(granted_before);
        let useful = to_request.iter().any(|candidate| candidate.fitting > 0)
            || blocked_position <= MAX_STEPS_RENEWED_AHEAD;
        if to_request.is_empty() || !useful {
            return;
        }
        if any_granted_before {
            to_request.retain(|candidate| granted_before(candidate) || candidate.fitting > 0);
        }
        to_request.sort_by_key(|candidate| (!granted_before(candidate), candidate.fitting == 0));
        to_request.truncate(MAX_WORKERS_PER_REQUEST);
        let workers = to_request.iter().filter_map(|candidate| self.state.worker(candidate.slot));
        let workers: Vec<WorkerId> = workers.map(|worker| worker.listing.worker.clone()).collect();
        if workers.is_empty() {
            return;
        }
        if let Some(state) = self.state.step_mut(pending.key) {
            state.permit_cache.begin_request();
        }
        self.state.open_permit_requests += 1;
        let priority = pending.rule.priority + if pending.task_rank.0 { EXCESS_PRIORITY_OFFSET } else { 0 };
        let step = pending.key.clone();
        self.state.effects.push(CellEffect::RequestPermits { step, rule: permit_rule, priority, workers });
    }

    /// Reserves room for the tasks that could not start, so that less urgent steps do not take it. Preempts
    /// less urgent tasks where there is not enough room, if the step may.
    fn reserve_or_preempt(&mut self, pending: &PendingStep<'_>, candidates: &[Candidate], missing: u32) {
        if !self.fits_on_empty_workers(pending, candidates) {
            return;
        }
        let mut left = missing;
        for candidate in candidates {
            if !self.may_start_soon(pending, candidate.slot) {
                continue;
            }
            let mut allowed_by_worker_limit = candidate.allowed_by_worker_limit;
            while left > 0 && allowed_by_worker_limit > 0 {
                let fitting = self.fitting_after_stops(pending, candidate);
                let fitting = if fitting > 0 { fitting } else { self.preempt(pending, candidate) };
                let count = fitting.min(left).min(allowed_by_worker_limit);
                if count == 0 {
                    break;
                }
                let reserved = self.reserved_by_worker.entry(candidate.slot).or_default();
                *reserved = reserved.plus(pending.task_capacity.times(u64::from(count)));
                left -= count;
                allowed_by_worker_limit -= count;
            }
        }
    }

    /// Whether all tasks of a gang would fit on the candidates if these were empty. A gang that can never fit
    /// must not reserve room. Always true for steps that are not gangs.
    fn fits_on_empty_workers(&self, pending: &PendingStep<'_>, candidates: &[Candidate]) -> bool {
        if self.state.step(pending.key).is_none_or(|(_, step, _)| !step.gang) {
            return true;
        }
        let holds = candidates.iter().filter_map(|candidate| {
            let capacity = self.state.worker(candidate.slot)?.listing.capacity;
            Some(pending.task_capacity.count_in(capacity).min(u64::from(candidate.allowed_by_worker_limit)))
        });
        holds.sum::<u64>() >= u64::from(pending.wanted_tasks)
    }

    /// Whether the step has a ticket for the worker or is about to get one: a request is open, and the worker
    /// was granted before.
    fn may_start_soon(&self, pending: &PendingStep<'_>, slot: u32) -> bool {
        if pending.rule.permits.is_none() {
            return true;
        }
        let Some((_, _, state)) = self.state.step(pending.key) else { return false };
        state.permit_cache.ticket(slot, self.now).is_some()
            || (state.permit_cache.has_open_request() && state.permit_cache.was_granted(slot))
    }

    /// Returns how many tasks fit on the worker once the tasks that are being stopped there have ended.
    fn fitting_after_stops(&self, pending: &PendingStep<'_>, candidate: &Candidate) -> u32 {
        let Some(worker) = self.state.worker(candidate.slot) else { return 0 };
        let reserved = self.reserved_by_worker.get(&candidate.slot).copied().unwrap_or_default();
        let free = worker.free().plus(worker.capacity_being_freed).minus(reserved);
        let fitting = if pending.task_capacity.fits(free) { pending.task_capacity.count_in(free) } else { 0 };
        u32::try_from(fitting).unwrap_or(u32::MAX).min(candidate.allowed_by_worker_limit)
    }

    /// Preempts less urgent tasks on the worker so that one task of the step fits; returns the number of
    /// tasks that will fit, 0 or 1.
    fn preempt(&mut self, pending: &PendingStep<'_>, candidate: &Candidate) -> u32 {
        if self.preemptions_left == 0 || !pending.may_preempt {
            return 0;
        }
        let reserved = self.reserved_by_worker.get(&candidate.slot).copied().unwrap_or_default();
        let search = VictimSearch { state: self.state, rank: pending.task_rank };
        let wanted = pending.task_capacity.plus(reserved);
        let Some(victims) = search.find_on_worker(candidate.slot, wanted, self.now) else { return 0 };
        self.preemptions_left = self.preemptions_left.saturating_sub(victims.len());
        for victim in victims {
            self.state.preempt(&victim, "yields_to_urgent", self.now);
        }
        1
    }
}

/// Returns the part of a pool that is searched for a step. It starts at the same place at each pass and
/// grows by two workers with each verdict of the advisor.
fn search_window<'p>(key: &StepKey, pool: &'p [u32], verdicts: usize) -> impl Iterator<Item = &'p u32> {
    let size = SEARCH_WINDOW_WORKERS + verdicts * 2;
    let hash = BuildHasherDefault::<FxHasher>::default().hash_one(key);
    let from = usize::try_from(hash % pool.len().max(1) as u64).unwrap_or_default();
    let from = if pool.len() <= size { 0 } else { from };
    pool[from..].iter().chain(&pool[..from]).take(size)
}

/// Returns the score of a worker for a step; the highest score comes first.
fn score(step: &StepSpec, free: ResourceVector, capacity: ResourceVector) -> i64 {
    let permille = |amount: u64, whole: u64| {
        let quotient = amount.saturating_mul(1_000).checked_div(whole).unwrap_or_default();
        i64::try_from(quotient).unwrap_or(i64::MAX)
    };
    if step.need.accelerators > 0 {
        // Prefers workers that are in use, so that empty ones stay free for tasks with many accelerators.
        return -permille(free.accelerators, capacity.accelerators);
    }
    permille(free.cores_milli, capacity.cores_milli).min(permille(free.memory_mib, capacity.memory_mib))
}
