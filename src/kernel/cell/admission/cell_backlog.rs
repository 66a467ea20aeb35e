use crate::kernel::cell::admission::{ExpectedWait, QueueEstimate, WaitCause, WaitingWork};
use crate::kernel::cell::{CellState, GraphSpec, QueueRule, StepClass, StepRank, StepSpec, StepState};
use crate::prelude::*;

/// Number of workers that a permit request is expected to name.
const WORKERS_PER_REQUEST: usize = 40;

/// Waiting work of the ready steps of a cell.
#[derive(Default)]
pub(super) struct CellBacklog {
    /// Capacity of each service for tasks that end, on workers where tasks may start.
    rooms: FastMap<ServiceId, ResourceVector>,
    /// Limits of the teams, less what their long-running tasks use.
    limits: FastMap<TeamId, ResourceVector>,
    /// Work of jobs within the submission rate of their team, for the room of each service.
    room_work: FastMap<ServiceId, WaitingWork>,
    /// Work of jobs above the submission rate of their team, for the room of each service.
    excess_work: FastMap<ServiceId, WaitingWork>,
    /// Decisions of the advisor that have not been requested yet, for the processes that request them.
    advisor_work: WaitingWork,
    /// Work of each team for its limit.
    limit_work: WaitingWork,
    /// Number of ready steps of each queue.
    steps: FastMap<QueueId, usize>,
    /// Number of processes that send permit requests to the advisor.
    proxies: f64,
}

impl CellBacklog {
    /// Returns the waiting work of a cell at `now`.
    pub(super) fn of(state: &CellState, now: Instant) -> Self {
        let mut backlog = Self {
            rooms: state
                .pools
                .services()
                .map(|(service, slots)| (service.clone(), room(state, slots, now)))
                .collect(),
            limits: state.config.teams.iter().map(|(team, rule)| (team.clone(), rule.limit)).collect(),
            proxies: f64::from(u32::try_from(state.permit_load.proxies().max(1)).unwrap_or(u32::MAX)),
            ..Self::default()
        };
        backlog.subtract_long_running(state);
        for (rank, key) in state.ready.iter() {
            // Steps of expired jobs come after those of new jobs.
            if rank.class == StepClass::Expired {
                continue;
            }
            if let Some((spec, step, step_state)) = state.step(key)
                && let Some(rule) = state.config.queues.get(&spec.queue)
            {
                let estimate = state.run_time_estimator.corrected_run_time(&spec.queue, step.estimate);
                backlog.add(*rank, spec, step, step_state, rule, estimate.unwrap_or(step.estimate));
            }
        }
        backlog
    }

    /// Subtracts what long-running tasks use, as it does not become free.
    fn subtract_long_running(&mut self, state: &CellState) {
        for (key, placement) in &state.placements {
            let Some((spec, step, _)) = state.step(&key.step) else { continue };
            let Some(worker) = state.worker(placement.slot).filter(|_| step.long_running) else { continue };
            if let Some(room) = self.rooms.get_mut(&worker.listing.service) {
                *room = room.minus(step.occupied_capacity());
            }
            if let Some(limit) = self.limits.get_mut(&spec.team) {
                *limit = limit.minus(step.need);
            }
        }
    }

    fn add(
        &mut self,
        rank: StepRank,
        spec: &GraphSpec,
        step: &StepSpec,
        step_state: &StepState,
        rule: &QueueRule,
        estimate: Duration,
    ) {
        *self.steps.entry(spec.queue.clone()).or_default() += 1;
        let tasks = f64::from(u32::try_from(step_state.waiting.len()).unwrap_or(u32::MAX));
        let work_time = if step.long_running { 0.0 } else { tasks * estimate.as_secs_f64() };
        let room = self.rooms.get(&rule.service).copied().unwrap_or_default();
        let room_time = work_time * step.occupied_capacity().dominant_fraction(room);
        let (priority, lateness) = (rule.priority, rank.lateness);
        if rank.class == StepClass::Excess {
            let work = self.excess_work.entry(rule.service.clone()).or_default();
            work.add(priority, lateness, &spec.team, room_time);
            return;
        }
        self.room_work
            .entry(rule.service.clone())
            .or_default()
            .add(priority, lateness, &spec.team, room_time);
        let limit = self.limits.get(&spec.team).copied().unwrap_or_default();
        self.limit_work.add(priority, lateness, &spec.team, work_time * step.need.dominant_fraction(limit));
        if let Some(permits) = rule.permits.filter(|_| step_state.permit_cache.is_empty()) {
            let decision = permits.decision_time_for(WORKERS_PER_REQUEST);
            self.advisor_work.add(priority, lateness, &spec.team, decision.as_secs_f64() / self.proxies);
        }
    }

    /// Returns the expected waits of new jobs of each queue in which work is waiting.
    pub(super) fn estimates(&self, state: &CellState) -> Vec<(QueueId, QueueEstimate)> {
        let queues = self.steps.iter().filter_map(|(queue, steps)| {
            let rule = state.config.queues.get(queue)?;
            Some((queue.clone(), self.estimate(state, rule, *steps)))
        });
        queues.collect()
    }

    fn estimate(&self, state: &CellState, rule: &QueueRule, waiting_steps: usize) -> QueueEstimate {
        let work = [self.room_work.get(&rule.service), self.excess_work.get(&rule.service)];
        let work = work.into_iter().flatten().chain([&self.advisor_work, &self.limit_work]);
        let mut teams: Vec<TeamId> = work.flat_map(WaitingWork::teams).cloned().collect();
        teams.sort_unstable();
        teams.dedup();
        let teams = teams.into_iter().filter(|team| !team.is_empty()).map(|team| {
            let wait = self.wait(state, rule, &team);
            (team, wait)
        });
        QueueEstimate { waiting_steps, teams: teams.collect(), other_teams: self.wait(state, rule, "") }
    }

    /// Returns the expected wait of a new job of a team; an empty name stands for a team without waiting work.
    fn wait(&self, state: &CellState, rule: &QueueRule, team: &str) -> ExpectedWait {
        let submit_rate = state.config.teams.get(team).map(|rule| rule.weight.max(1));
        let exceeds =
            submit_rate.is_some_and(|per_second| state.rates.is_exhausted(team, per_second, state.unix_time));
        let room = if exceeds { self.excess_wait(rule) } else { self.shared_wait(state, rule, team) };
        let weight = |team: &str| weight(state, team);
        ExpectedWait::longest([
            (room, WaitCause::Room),
            (self.advisor_work.wait(rule.priority, team, weight), WaitCause::Advisor),
            (self.limit_work.of_team(rule.priority, team), WaitCause::TeamLimit),
        ])
    }

    fn shared_wait(&self, state: &CellState, rule: &QueueRule, team: &str) -> f64 {
        let work = self.room_work.get(&rule.service);
        work.map_or(0.0, |work| work.wait(rule.priority, team, |team| weight(state, team)))
    }

    /// Returns the wait for room of a job above the submission rate of its team, which starts after the jobs of
    /// all teams that are within theirs.
    fn excess_wait(&self, rule: &QueueRule) -> f64 {
        let within = self.room_work.get(&rule.service).map_or(0.0, WaitingWork::total);
        let excess = self.excess_work.get(&rule.service).map_or(0.0, |work| work.up_to(rule.priority));
        within + excess
    }
}

/// Returns the part of a team when teams share the room; callers without a team have the least.
fn weight(state: &CellState, team: &str) -> f64 {
    state.config.teams.get(team).map_or(1.0, |rule| f64::from(rule.weight.max(1)))
}

/// Returns the capacity of the workers on which tasks may start.
fn room(state: &CellState, slots: &[u32], now: Instant) -> ResourceVector {
    let workers = slots.iter().filter_map(|slot| state.worker(*slot));
    let schedulable = workers.filter(|worker| worker.is_schedulable(now));
    schedulable.fold(ResourceVector::default(), |sum, worker| sum.plus(worker.listing.capacity))
}
