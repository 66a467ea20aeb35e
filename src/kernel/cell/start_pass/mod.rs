mod blocked_steps;
mod candidate;
mod candidate_search;
mod exhausted_room;
mod pass_rotation;
mod pending_step;
mod permit_requests;
mod reservations;
mod task_starts;
mod team_preemption;
mod unplaceable_steps;
mod worker_demand;

use blocked_steps::BlockedSteps;
use candidate::Candidate;
use exhausted_room::ExhaustedRoom;
use pending_step::PendingStep;
use worker_demand::WorkerDemand;

pub use pass_rotation::PassRotation;

use crate::kernel::cell::{
    CellState, PassOrder, PreemptionRule, RankedStep, StepClass, StepKey, StepState, StepWait, TaskRank,
};
use crate::prelude::*;

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
    /// Room that steps wait for on workers that are granted to them, beside what is reserved, by worker slot.
    claimed_by_worker: FastMap<u32, ResourceVector>,
    /// Room that steps wait for on any workers, by service.
    claimed_by_service: FastMap<ServiceId, ResourceVector>,
    /// Steps that found no room or no permit, by the kind of worker that they need.
    blocked_steps: FastMap<WorkerDemand, BlockedSteps>,
    /// Needs for which a search of all workers found no room in this pass.
    exhausted_room: ExhaustedRoom,
    /// Needs that no listed worker could hold if it were empty.
    exhausted_capacity: ExhaustedRoom,
    /// Number of tasks that this pass may still preempt.
    preemptions_left: usize,
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
            claimed_by_worker: FastMap::default(),
            claimed_by_service: FastMap::default(),
            blocked_steps: FastMap::default(),
            exhausted_room: ExhaustedRoom::default(),
            exhausted_capacity: ExhaustedRoom::default(),
            preemptions_left: MAX_PREEMPTIONS_PER_PASS,
        }
    }

    /// Tries to place the ready steps in the order of their ranks.
    pub fn run(mut self) {
        let steps = PassOrder { state: self.state, now: self.now }.steps();
        for step in &steps {
            self.place(step);
        }
        let cut_off = self.blocked_steps.values().any(|blocked| blocked.cut_off);
        let reached = self.blocked_steps.into_iter();
        let reached = reached.filter_map(|(demand, blocked)| Some((demand, blocked.reached()?)));
        self.state.rotation.finish_pass(reached.collect(), cut_off, self.state.ready.len());
    }

    fn place(&mut self, ranked_step: &RankedStep) {
        let (rank, key) = (ranked_step.0, &ranked_step.1);
        let Some((spec, step, _)) = self.state.step(key) else { return };
        let Some(rule) = self.state.config.queues.get(&spec.queue) else {
            self.set_aside(key);
            return;
        };
        let (demand, need) = (WorkerDemand::of(step, rule, rank.class), step.occupied_capacity());
        let Some((position, in_turn)) = self.admit(ranked_step, &demand, need) else { return };
        let Some((spec, step, state)) = self.state.step(key) else { return };
        let Some(rule) = self.state.config.queues.get(&spec.queue).cloned() else { return };
        if step.gang && state.placed > 0 {
            return;
        }
        let (task_capacity, gang) = (step.occupied_capacity(), step.gang);
        let excess = self.state.jobs.get(&key.job).is_some_and(|job| job.excess);
        let task_rank = (excess && rank.class != StepClass::Restart, rule.priority);
        let may_preempt = PreemptionRule::of(step, &rule, state.rank).may_preempt(self.now);
        let (waiting, wanted_tasks) = self.count_startable(key);
        if wanted_tasks < waiting && may_preempt {
            self.preempt_in_team(key, task_rank, waiting - wanted_tasks);
        }
        if wanted_tasks == 0 {
            self.set_wait_reason(key, StepWait::TeamLimit);
            return;
        }
        let pending = PendingStep {
            key,
            rank,
            rule,
            task_rank,
            task_capacity,
            wanted_tasks,
            may_preempt,
            position,
            in_turn,
        };
        let candidates = self.candidates(&pending);
        let started = if gang {
            self.start_gang(&pending, &candidates)
        } else {
            self.start_tasks(&pending, &candidates)
        };
        if started > 0
            && pending.rule.permits.is_some()
            && let Some(queue) = self.state.step(key).map(|(spec, ..)| spec.queue.clone())
        {
            self.state.permit_stats.count_starts(&queue, started);
            if let Some(state) = self.state.step_mut(key) {
                state.permit_cache.note_start();
            }
        }
        let missing = wanted_tasks - started;
        if missing == 0 {
            return;
        }
        let candidates = if started > 0 { self.candidates(&pending) } else { candidates };
        if self.is_unplaceable(&pending, &candidates) {
            self.set_wait_reason(key, self.wait_reason(&pending, &candidates));
            self.set_aside(key);
            return;
        }
        if let Some(blocked) = self.blocked_steps.get_mut(&demand) {
            blocked.add();
        }
        if let Some(permit_rule) = pending.rule.permits {
            self.request_permits(&pending, permit_rule, &candidates, missing);
        }
        self.set_wait_reason(key, self.wait_reason(&pending, &candidates));
        // A step in its turn takes what is free; it keeps nothing from those before and behind it.
        if in_turn {
            return;
        }
        let unreserved = if rank.may_claim_room() {
            self.reserve_or_preempt(&pending, &candidates, missing)
        } else {
            missing
        };
        if let Some(permit_rule) = pending.rule.permits {
            self.claim_room(&pending, permit_rule, &candidates, unreserved);
        }
    }

    /// Returns the position of a step among the blocked ones of its demand, and whether it is tried in its turn; `None`
    /// if the pass skips it. A step that finds no room needs no turn.
    fn admit(
        &mut self,
        step: &RankedStep,
        demand: &WorkerDemand,
        need: ResourceVector,
    ) -> Option<(usize, bool)> {
        // Most steps of a long order end here, so the demand is not cloned for each of them.
        if !self.blocked_steps.contains_key(demand) {
            let reached = self.state.rotation.reached(demand);
            self.blocked_steps.insert(demand.clone(), BlockedSteps::resumed_after(reached));
        }
        let is_past_front = self.blocked_steps.get(demand)?.is_past_front();
        if is_past_front && !self.has_room_for((demand.service.clone(), demand.label.clone()), need) {
            return None;
        }
        let blocked = self.blocked_steps.get_mut(demand)?;
        blocked.admit(step).then(|| (blocked.count() + 1, is_past_front))
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

    /// Takes a step out of the order of starts until the list of workers, the configuration or the end of a run of the
    /// step changes.
    fn set_aside(&mut self, key: &StepKey) {
        if let Some(rank) = self.state.step(key).and_then(|(_, _, state)| state.rank) {
            self.state.ready.set_aside(&(rank, key.clone()));
        }
    }

    /// Returns how many tasks of a step wait and are past their backoff, and how many of them the limit of
    /// the team allows, less the headroom for tasks that may not use it. The second number is 0 for a gang
    /// unless all of its tasks are allowed.
    fn count_startable(&self, key: &StepKey) -> (u32, u32) {
        let Some((spec, step, state)) = self.state.step(key) else { return (0, 0) };
        let due = |index: &u32| self.may_start(key, state, *index);
        // Tasks that were never placed have no backoff; a wide step has thousands of them.
        let waiting = if self.state.late_runs.concerns(key) {
            state.waiting.iter().filter(due).count()
        } else {
            state.waiting.single().filter(due).count() + state.waiting.unplaced_len()
        };
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        if spec.team.is_empty() {
            return (waiting, waiting);
        }
        let may_use_headroom = state.rank.is_some_and(|rank| {
            rank.may_claim_room() && (step.long_running || step.gang || rank.priority == 0)
        });
        let remaining = self.state.shares.remaining_allotment(&spec.team);
        let remaining = if may_use_headroom { remaining } else { remaining.minus(self.headroom(&spec.team)) };
        let task_count = if step.need.fits(remaining) { step.need.count_in(remaining) } else { 0 };
        let allowed = u32::try_from(task_count).unwrap_or(u32::MAX).min(waiting);
        (waiting, if step.gang && allowed < step.tasks { 0 } else { allowed })
    }

    /// Whether a waiting task may start: its backoff is over, and no other run of it may be at work.
    fn may_start(&self, key: &StepKey, state: &StepState, index: u32) -> bool {
        state.tasks.get(index).is_some_and(|task| task.may_start(self.now))
            && self.state.late_runs.may_start(key, index, &self.state.workers)
    }

    /// Returns the part of its limit that a team keeps free for the tasks that may use its headroom.
    fn headroom(&self, team: &TeamId) -> ResourceVector {
        let limit = self.state.config.teams.get(team).map(|rule| rule.limit).unwrap_or_default();
        self.state.headroom.amount(team, limit, self.now)
    }
}
