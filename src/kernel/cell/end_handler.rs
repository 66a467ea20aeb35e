use crate::kernel::cell::{
    CellRecord, CellState, CopyKeeper, DiscardedRun, EndCause, EndSource, ExpectationSource, JobStatus,
    PlacementPhase, RunForecast, StepExpectations, TaskKey, TaskPlacement,
};
use crate::prelude::*;

/// Backoff before a long-running task that failed soon after it was placed is started again.
const RESTART_BACKOFF: Duration = Duration::from_millis(500);
/// A long-running task that fails within this time after its placement waits for [`RESTART_BACKOFF`].
const SHORT_RUN_TIME: Duration = Duration::from_secs(2);
/// Forecast time left, as a multiple of the actual one and beyond a margin, from which reports were misleading.
const MISLEADING_FACTOR: u32 = 3;
/// The margin of [`MISLEADING_FACTOR`].
const MISLEADING_MARGIN: Duration = Duration::from_millis(500);

/// Applies the end of a run to its task, its step, its job and the health of its worker.
pub struct EndHandler<'a> {
    /// State of the cell that the end changes.
    pub state: &'a mut CellState,
    /// Slot of the worker that reported the end; `None` for a replayed record of the end.
    pub reporter: Option<u32>,
    /// Time at which the end is applied.
    pub now: Instant,
}

impl EndHandler<'_> {
    /// Applies the end of a run; returns whether it emitted a record of the end. It does so for the current
    /// run of a task, and for a run that was marked as lost only if the run is done and its task still waits.
    pub fn apply(
        &mut self,
        key: &TaskKey,
        run: RunNumber,
        cause: EndCause,
        checkpoint: Option<CheckpointId>,
    ) -> bool {
        let is_current = self.state.placements.get(key).is_some_and(|placement| placement.run == run);
        if !is_current {
            let copy = CopyKeeper { state: self.state, now: self.now }.remove(key, run);
            return match copy {
                Some(placement) => self.apply_copy_end(key, run, cause, checkpoint, &placement),
                None => self.apply_late_end(key, run, cause),
            };
        }
        let Some(placement) = self.state.remove_placement(key) else { return false };
        self.learn_stop_time(&placement, cause);
        let record = CellRecord::Ended(key.clone(), run, cause, checkpoint.clone());
        self.state.record_end(record, self.reporter.unwrap_or(placement.slot), EndSource::Reported);
        self.state.set_checkpoint(key, checkpoint);
        match cause {
            EndCause::Done => {
                self.record_success(key, &placement);
                self.apply_done(key);
                CopyKeeper { state: self.state, now: self.now }.stop_all_of(key);
            }
            EndCause::Failed => self.apply_failure(key, run, &placement),
            EndCause::Stopped | EndCause::LeaseExpired | EndCause::GangBroken | EndCause::GangIncomplete => {
                let (state, now) = (&mut *self.state, self.now);
                DiscardedRun { state, task: key, placement: &placement, now }.refund();
                self.state.requeue(key);
            }
        }
        if cause != EndCause::Done {
            self.state.break_gang(key, self.now);
        }
        self.state.complete_if_done(&key.step.job, self.now);
        true
    }

    /// Applies the end of a copy. The first run of a task that is done counts; the others are stopped.
    fn apply_copy_end(
        &mut self,
        key: &TaskKey,
        run: RunNumber,
        cause: EndCause,
        checkpoint: Option<CheckpointId>,
        placement: &TaskPlacement,
    ) -> bool {
        self.learn_stop_time(placement, cause);
        let record = CellRecord::Ended(key.clone(), run, cause, checkpoint);
        self.state.record_end(record, self.reporter.unwrap_or(placement.slot), EndSource::Copy);
        let is_open = self.state.jobs.get(&key.step.job).is_some_and(|job| !job.status.is_final())
            && self.state.task_mut(key).is_some_and(|task| !task.done);
        if is_open {
            match cause {
                EndCause::Done => {
                    self.record_success(key, placement);
                    self.apply_done(key);
                    CopyKeeper { state: self.state, now: self.now }.stop_all_of(key);
                }
                EndCause::Failed => self.apply_failure(key, run, placement),
                _ => self.state.requeue(key),
            }
        }
        self.state.complete_if_done(&key.step.job, self.now);
        true
    }

    /// Counts a success for the worker, and adds the run time of a completed task to the averages of its
    /// queue and its step.
    fn record_success(&mut self, key: &TaskKey, placement: &TaskPlacement) {
        if let Some(worker) = self.state.worker_mut(placement.slot) {
            worker.health.record_success();
        }
        let PlacementPhase::Running(since) = placement.phase else { return };
        let took = self.now.saturating_duration_since(since);
        let Some((spec, step, state)) = self.state.step(&key.step) else { return };
        // A run that resumed from a checkpoint did only a part of the work.
        let from_scratch = state.tasks.get(key.index).is_some_and(|task| task.checkpoint.is_none());
        if step.long_running || !from_scratch {
            return;
        }
        let (queue, estimate) = (spec.queue.clone(), step.estimate);
        self.state.run_time_estimator.observe(&queue, estimate, took);
        let siblings = StepExpectations::default().of(self.state, &key.step, self.now);
        let profiles = &mut self.state.slow_runs;
        profiles.estimate_profiles.entry(queue.clone()).or_default().observe(estimate, took);
        if let Some(siblings) = siblings.filter(|siblings| siblings.source == ExpectationSource::Siblings) {
            profiles.sibling_profiles.entry(queue.clone()).or_default().observe(siblings.run_time, took);
            if let Some(worker) = self.state.worker_mut(placement.slot) {
                worker.profile.observe(&queue, took, siblings.run_time, self.now);
            }
        }
        if let Some(state) = self.state.step_mut(&key.step) {
            state.completed_run_times.push(took);
        }
        self.learn_from_forecast(placement);
    }

    /// Notes whether the reports of the worker about a run that is done foretold its end.
    fn learn_from_forecast(&mut self, placement: &TaskPlacement) {
        let Some(forecast) = RunForecast::of(placement, placement.reported_at) else { return };
        let took = self.now.saturating_duration_since(placement.reported_at);
        let misled = forecast.left > took * MISLEADING_FACTOR + MISLEADING_MARGIN;
        if let Some(worker) = self.state.worker_mut(placement.slot) {
            worker.note_forecast(misled);
        }
    }

    /// Learns from the end of a stopped run how long a stop takes.
    fn learn_stop_time(&mut self, placement: &TaskPlacement, cause: EndCause) {
        if let Some(sent) = placement.stop_sent.filter(|_| cause == EndCause::Stopped) {
            self.state.slow_runs.stop_cost.observe(self.now.saturating_duration_since(sent));
        }
    }

    /// Applies the end of a run that was marked as lost before. Its work counts if the task has not been
    /// started again.
    fn apply_late_end(&mut self, key: &TaskKey, run: RunNumber, cause: EndCause) -> bool {
        let is_waiting = self.state.step(&key.step).is_some_and(|(_, step, state)| {
            !step.gang && !step.long_running && state.waiting.contains(key.index)
        });
        let is_last_run = self.state.task_mut(key).is_some_and(|task| task.last_run == run && !task.done);
        if !is_waiting || !is_last_run || cause != EndCause::Done {
            return false;
        }
        if let Some(reporter) = self.reporter {
            let record = CellRecord::Ended(key.clone(), run, cause, None);
            self.state.record_end(record, reporter, EndSource::LateReport);
        }
        self.apply_done(key);
        self.state.complete_if_done(&key.step.job, self.now);
        true
    }

    /// Marks a task as done, or all members of its gang. A long-running task is requeued instead.
    fn apply_done(&mut self, key: &TaskKey) {
        let Some((_, step, _)) = self.state.step(&key.step) else { return };
        if step.long_running {
            self.state.requeue(key);
            return;
        }
        let gang = step.gang;
        let Some(state) = self.state.step_mut(&key.step) else { return };
        if gang {
            // The members of a gang end together, so the end of one completes the whole gang.
            state.tasks.all_mut().for_each(|task| task.done = true);
            state.waiting.clear();
            state.remaining = 0;
        } else if let Some(task) = state.tasks.get_mut(key.index).filter(|task| !task.done) {
            task.done = true;
            state.waiting.remove(key.index);
            state.remaining -= 1;
        }
        let none_waiting = state.waiting.is_empty();
        if let Some(rank) = state.rank.filter(|_| none_waiting) {
            self.state.ready.remove(&(rank, key.step.clone()));
        }
        let complete = self.state.step(&key.step).is_some_and(|(_, _, state)| state.remaining == 0);
        if complete {
            self.state.enqueue_ready_steps(&key.step.job, key.step.occurrence, self.now);
        }
    }

    /// Counts a failed attempt of a task or its gang, and requeues the task. Once the attempts are used up,
    /// closes the job as failed instead, except for long-running tasks.
    fn apply_failure(&mut self, key: &TaskKey, run: RunNumber, placement: &TaskPlacement) {
        let Some((spec, step, _)) = self.state.step(&key.step) else { return };
        let max_attempts =
            self.state.config.queues.get(&spec.queue).map_or(u32::MAX, |rule| rule.max_attempts.max(1));
        let (gang, long_running, team) = (step.gang, step.long_running, spec.team.clone());
        if !long_running && let Some(worker) = self.state.worker_mut(placement.slot) {
            worker.note_failure(&key.step.job, &team, self.now);
        }
        let Some(state) = self.state.step_mut(&key.step) else { return };
        let failures = if gang {
            if state.gang_failures.1 != run {
                state.gang_failures = (state.gang_failures.0 + 1, run);
            }
            state.gang_failures.0
        } else {
            let Some(task) = state.tasks.get_mut(key.index) else { return };
            task.failures += 1;
            if long_running && self.now.saturating_duration_since(placement.placed_at) < SHORT_RUN_TIME {
                task.not_before = Some(self.now + RESTART_BACKOFF);
            }
            task.failures
        };
        if !long_running && failures >= max_attempts {
            self.state.close(&key.step.job, JobStatus::Failed, self.now);
        } else {
            self.state.requeue(key);
        }
    }
}
