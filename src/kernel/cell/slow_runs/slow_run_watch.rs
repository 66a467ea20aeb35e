use crate::kernel::cell::{
    CallerSlack, CellEffect, CellNotice, CellState, CopyKeeper, PlacementPhase, RunForecast, SlowRun,
    SlowRunAction, SlowRunEvidence, StepExpectations, StepKey, StepRank, StepWait, StopCost, TaskKey,
    TaskPlacement,
};
use crate::prelude::*;

/// Run time before which a run is not judged by its run time alone.
const MIN_JUDGED_RUN_TIME: Duration = Duration::from_millis(500);
/// Time within which a long-running task must report that it is ready, with a progress of 100, and within
/// which a gang must make progress.
const STALL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Run time, as a multiple of the tolerated one, above which a run without usable reports is slow.
const ELAPSED_FACTOR: f64 = 1.3;
/// Remaining time of a run, as a multiple of the time until a new run would end, from which a restart is worth
/// it: if the job misses its objective otherwise, and if not.
const WORTHWHILE_FACTORS: (f64, f64) = (2.5, 3.0);
/// Remaining time of a run, as a multiple of the time until a new run would end, above which the run is stopped
/// rather than kept beside the new one: it would hardly end first.
const MAX_COPY_FACTOR: f64 = 4.0;
/// Failed attempts that a task must still be allowed to have for a second run beside a slow one: tasks that fail by
/// their own fault fail in both.
const MIN_ATTEMPTS_LEFT: u32 = 3;
/// Bounds the restarts of one task as slow.
const MAX_RESTARTS: u32 = 2;
/// Time for which a worker that had a slow run is used last.
const SLOW_WORKER_PERIOD: Duration = Duration::from_secs(4);

/// Finds runs that will end far later than a new run of their task would, and stops them, so that they start
/// again, on another worker if one has room.
pub struct SlowRunWatch<'a> {
    /// State of the cell that is checked and changed.
    pub state: &'a mut CellState,
    /// Time at which the runs are judged.
    pub now: Instant,
}

impl SlowRunWatch<'_> {
    /// Judges all runs.
    pub fn run(&mut self) {
        let mut expectations = StepExpectations::default();
        let placements = self.state.placements.iter();
        let found = placements.filter_map(|(key, placement)| {
            Some((key.clone(), self.judge(key, placement, &mut expectations)?))
        });
        let found: Vec<(TaskKey, SlowRun)> = found.collect();
        self.stop_all(found);
    }

    /// Judges the runs on one worker.
    pub fn run_on(&mut self, slot: u32) {
        let Some(worker) = self.state.worker(slot) else { return };
        let mut expectations = StepExpectations::default();
        let found = worker.tasks.iter().filter_map(|key| {
            let placement = self.state.placements.get(key)?;
            Some((key.clone(), self.judge(key, placement, &mut expectations)?))
        });
        let found: Vec<(TaskKey, SlowRun)> = found.collect();
        self.stop_all(found);
    }

    fn stop_all(&mut self, found: Vec<(TaskKey, SlowRun)>) {
        for (key, run) in found {
            if run.evidence == SlowRunEvidence::Stalled || self.spend_budget(&key, &run) {
                self.stop(&key, run);
            }
        }
    }

    /// Returns whether the work that a stop throws away stays within the budget of the service.
    fn spend_budget(&mut self, key: &TaskKey, run: &SlowRun) -> bool {
        let Some((spec, step, _)) = self.state.step(&key.step) else { return false };
        let Some(rule) = self.state.config.queues.get(&spec.queue) else { return false };
        let cores = |capacity: ResourceVector| {
            f64::from(u32::try_from(capacity.cores_milli).unwrap_or(u32::MAX)) / 1_000.0
        };
        let work = if step.checkpoints { 0.0 } else { cores(step.need) * run.elapsed.as_secs_f64() };
        let slots = self.state.pools.of_service(&rule.service);
        let workers = slots.iter().filter_map(|slot| self.state.worker(*slot));
        let pool = workers.map(|worker| cores(worker.listing.capacity)).sum();
        let service = rule.service.clone();
        self.state.slow_runs.budgets.entry(service).or_default().spend(work, pool, self.now)
    }

    fn stop(&mut self, key: &TaskKey, run: SlowRun) {
        let Some(placement) = self.state.placements.get(key) else { return };
        let (slot, number) = (placement.slot, placement.run);
        let until = self.now + SLOW_WORKER_PERIOD;
        let Some(worker) = self.state.worker_mut(slot) else { return };
        worker.slow_until = Some(until);
        let worker = worker.listing.worker.clone();
        if let Some(task) = self.state.task_mut(key) {
            task.slow_restarts += 1;
        }
        let action = self.action(key, &run);
        let notice = CellNotice::SlowRun { worker, task: key.clone(), run: number, slow: run, action };
        self.state.effects.push(CellEffect::Log(notice));
        if action == SlowRunAction::Restart {
            let stalled = run.evidence == SlowRunEvidence::Stalled;
            self.state.stop(key, if stalled { "stalled" } else { "too_slow" }, self.now);
            self.state.break_gang(key, self.now);
            return;
        }
        let mut keeper = CopyKeeper { state: self.state, now: self.now };
        keeper.demote(key);
        if action == SlowRunAction::Replace {
            keeper.stop(key, number, "too_slow");
        }
        self.state.requeue(key);
    }

    /// Returns what is done about a slow run. A second run starts beside it only where the step allows that, the
    /// job would be late otherwise, the limit of the team has room, and no step of the same or a higher priority
    /// waits for room on a worker.
    fn action(&self, key: &TaskKey, run: &SlowRun) -> SlowRunAction {
        let Some((spec, step, state)) = self.state.step(&key.step) else { return SlowRunAction::Restart };
        let allowed = step.copies && !step.gang && !step.long_running && run.misses_objective;
        if !allowed || !step.need.fits(self.state.shares.remaining_allotment(&spec.team)) {
            return SlowRunAction::Restart;
        }
        let max_attempts = self.state.config.queues.get(&spec.queue).map_or(0, |rule| rule.max_attempts);
        let failures = state.tasks.get(key.index).map_or(0, |task| task.failures);
        let attempts_left = max_attempts.saturating_sub(failures);
        let rank = state.rank;
        let waits_for_room = |(other_rank, other): &(StepRank, StepKey)| {
            rank.is_some_and(|rank| other_rank.class <= rank.class && other_rank.priority <= rank.priority)
                && *other != key.step
                && self.state.step(other).is_some_and(|(_, _, state)| {
                    matches!(state.wait_reason, Some(StepWait::Room | StepWait::TeamLimit))
                })
        };
        if self.state.ready.iter().any(waits_for_room) {
            SlowRunAction::Restart
        } else if attempts_left < MIN_ATTEMPTS_LEFT || run.left > run.rerun.mul_f64(MAX_COPY_FACTOR) {
            SlowRunAction::Replace
        } else {
            SlowRunAction::Copy
        }
    }

    /// Returns why a run is to be restarted; `None` if it is not.
    fn judge(
        &self,
        key: &TaskKey,
        placement: &TaskPlacement,
        expectations: &mut StepExpectations,
    ) -> Option<SlowRun> {
        let PlacementPhase::Running(since) = placement.phase else { return None };
        if placement.stop_reason.is_some() {
            return None;
        }
        let (_, step, state) = self.state.step(&key.step)?;
        if state.tasks.get(key.index)?.slow_restarts >= MAX_RESTARTS {
            return None;
        }
        let elapsed = self.now.saturating_duration_since(since);
        let percent = placement.progress.0;
        if step.long_running || step.gang {
            let standstill = self.now.saturating_duration_since(placement.progress.1);
            let waited = if step.gang { standstill } else { elapsed };
            return (percent < 100 && waited >= STALL_TIMEOUT).then_some(SlowRun {
                evidence: SlowRunEvidence::Stalled,
                elapsed,
                percent,
                left: Duration::ZERO,
                rerun: Duration::ZERO,
                expected: Duration::ZERO,
                source: None,
                misses_objective: true,
            });
        }
        let expectation = expectations.of(self.state, &key.step, self.now)?;
        let misleading = self.state.worker(placement.slot)?.has_misleading_reports();
        let forecast = RunForecast::of(placement, self.now).filter(|_| !misleading);
        let (evidence, left) = match forecast {
            Some(forecast) if forecast.total > expectation.tolerated => {
                (SlowRunEvidence::Progress, forecast.left)
            }
            // A run that has taken far longer than others is expected to take as long again.
            None if elapsed >= MIN_JUDGED_RUN_TIME
                && elapsed > expectation.tolerated.mul_f64(ELAPSED_FACTOR) =>
            {
                (SlowRunEvidence::Elapsed, elapsed)
            }
            Some(_) | None => return None,
        };
        let part_left = if step.checkpoints && forecast.is_some() {
            f64::from(100 - percent.min(100)) / 100.0
        } else {
            1.0
        };
        let stop_cost = &self.state.slow_runs.stop_cost;
        let restart_time = if step.copies { StopCost::START_TIME } else { stop_cost.restart_time() };
        let rerun = expectation.run_time.mul_f64(part_left).saturating_add(restart_time);
        let slack = CallerSlack::of(self.state, &key.step, Some(&expectation));
        let misses_objective = slack.is_none_or(|slack| slack.left < left);
        let factor = if misses_objective { WORTHWHILE_FACTORS.0 } else { WORTHWHILE_FACTORS.1 };
        (left > rerun.mul_f64(factor)).then_some(SlowRun {
            evidence,
            elapsed,
            percent,
            left,
            rerun,
            expected: expectation.run_time,
            source: Some(expectation.source),
            misses_objective,
        })
    }
}
