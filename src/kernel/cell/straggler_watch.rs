use crate::kernel::cell::{
    CellState, GraphSpec, PlacementPhase, StepSpec, StepState, TaskKey, TaskPlacement,
};
use crate::prelude::*;

/// Run time before which the progress of a run is not judged.
const MIN_JUDGED_RUN_TIME: Duration = Duration::from_millis(500);
/// Time within which a long-running task must report that it is ready, with a progress of 100, and within
/// which a gang must make progress.
const STALL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Projected run time, as a multiple of the expected one, above which a run without completed siblings is a
/// straggler; estimates are often far off.
const ESTIMATE_TOLERANCE_FACTOR: f64 = 3.0;
/// Projected run time, as a multiple of the expected one, above which a run counts against its worker.
const SLOW_RUN_FACTOR: f64 = 1.8;
/// Runs on a worker that are needed to judge the worker.
const MIN_RUNS_TO_JUDGE_WORKER: usize = 2;
/// Projected run time, as a multiple of the mean of its completed siblings, above which a run is a straggler.
const SIBLING_TOLERANCE_FACTOR: f64 = 2.5;
/// Elapsed time, as a multiple of the expected run time, below which a run is not a straggler.
const OVERDUE_FACTOR: f64 = 1.2;
/// Time that a restart costs beyond the run itself.
const RESTART_COST: Duration = Duration::from_millis(500);
/// Bounds the restarts of one task as a straggler.
const MAX_STRAGGLER_RESTARTS: u32 = 2;
/// Time for which a worker that had a straggler is used last.
const SLOW_WORKER_PERIOD: Duration = Duration::from_secs(4);

/// Finds stragglers, which are runs far slower than they should be, and stops them, so that they start
/// again, on another worker if one has room.
pub struct StragglerWatch<'a> {
    /// State of the cell that is checked and changed.
    pub state: &'a mut CellState,
    /// Time at which the runs are judged.
    pub now: Instant,
}

impl StragglerWatch<'_> {
    /// Stops stragglers and makes their workers the last choice for a while.
    pub fn run(&mut self) {
        let stragglers: Vec<TaskKey> = self
            .state
            .placements
            .iter()
            .filter(|(key, placement)| self.is_straggler(key, placement))
            .map(|(key, _)| key.clone())
            .collect();
        for key in stragglers {
            self.stop_straggler(&key);
        }
    }

    fn stop_straggler(&mut self, key: &TaskKey) {
        let Some(slot) = self.state.placements.get(key).map(|placement| placement.slot) else { return };
        let until = self.now + SLOW_WORKER_PERIOD;
        if let Some(worker) = self.state.worker_mut(slot) {
            worker.slow_until = Some(until);
        }
        if let Some(state) = self.state.step_mut(&key.step)
            && let Some(task) = state.tasks.get_mut(key.index as usize)
        {
            task.straggler_restarts += 1;
        }
        self.state.stop(key, "too_slow", self.now);
        self.state.break_gang(key, self.now);
    }

    fn is_straggler(&self, key: &TaskKey, placement: &TaskPlacement) -> bool {
        let PlacementPhase::Running(since) = placement.phase else { return false };
        let elapsed = self.now.saturating_duration_since(since);
        if placement.stop_reason.is_some() || elapsed < MIN_JUDGED_RUN_TIME {
            return false;
        }
        let Some((spec, step, state)) = self.state.step(&key.step) else { return false };
        if state
            .tasks
            .get(key.index as usize)
            .is_none_or(|task| task.straggler_restarts >= MAX_STRAGGLER_RESTARTS)
        {
            return false;
        }
        let time_without_progress = self.now.saturating_duration_since(placement.progress.1);
        if step.long_running {
            return placement.progress.0 < 100 && elapsed >= STALL_TIMEOUT;
        }
        if step.gang {
            return time_without_progress >= STALL_TIMEOUT && placement.progress.0 < 100;
        }
        self.is_worth_restarting(spec, step, state, placement, elapsed)
    }

    /// Whether a run takes far longer than expected and, if its remaining time can be estimated, a restart
    /// would complete the task sooner. Without completed siblings, most runs on the worker have to be slow
    /// too.
    fn is_worth_restarting(
        &self,
        spec: &GraphSpec,
        step: &StepSpec,
        state: &StepState,
        placement: &TaskPlacement,
        elapsed: Duration,
    ) -> bool {
        let sibling_mean = state.mean_run_time();
        let Some(expected) = sibling_mean
            .or_else(|| self.state.run_time_estimator.corrected_run_time(&spec.queue, step.estimate))
        else {
            return false;
        };
        // Estimates are often far off, so without completed siblings the other runs on the worker have to be
        // slow too.
        let tolerance =
            if sibling_mean.is_some() { SIBLING_TOLERANCE_FACTOR } else { ESTIMATE_TOLERANCE_FACTOR };
        if sibling_mean.is_none() && !self.are_most_runs_slow(placement.slot) {
            return false;
        }
        // A run that may still end about when expected is not restarted.
        let since = self.now.checked_sub(elapsed).unwrap_or(self.now);
        let reported_run_time = placement.reported_at.saturating_duration_since(since);
        if elapsed < expected.mul_f64(OVERDUE_FACTOR) || reported_run_time < expected {
            return false;
        }
        let Some(time_left) = placement.estimated_time_left(since, self.now) else {
            return elapsed > expected.mul_f64(tolerance);
        };
        let rerun_time = if step.checkpoints {
            expected.mul_f64(f64::from(100 - placement.progress.0.min(100)) / 100.0)
        } else {
            expected
        };
        // A restart must also complete the task sooner, by more than half of the time of the new run.
        elapsed + time_left > expected.mul_f64(tolerance)
            && time_left > rerun_time.mul_f64(1.5) + RESTART_COST
    }

    /// Whether at least two thirds of the runs on a worker that can be judged are slow.
    fn are_most_runs_slow(&self, slot: u32) -> bool {
        let Some(worker) = self.state.worker(slot) else { return false };
        let verdicts: Vec<bool> = worker.tasks.iter().filter_map(|key| self.is_slow_run(key)).collect();
        let slow_runs = verdicts.iter().filter(|slow| **slow).count();
        verdicts.len() >= MIN_RUNS_TO_JUDGE_WORKER && slow_runs * 3 >= verdicts.len() * 2
    }

    /// Whether the projected run time exceeds [`SLOW_RUN_FACTOR`] times the expected one. A run without
    /// progress is slow once the expected time is over. `None` if the run cannot be judged.
    fn is_slow_run(&self, key: &TaskKey) -> Option<bool> {
        let placement = self.state.placements.get(key)?;
        let PlacementPhase::Running(since) = placement.phase else { return None };
        let (spec, step, state) = self.state.step(&key.step)?;
        if step.long_running {
            return None;
        }
        let elapsed = self.now.saturating_duration_since(since);
        let expected = state
            .mean_run_time()
            .or_else(|| self.state.run_time_estimator.corrected_run_time(&spec.queue, step.estimate))?;
        let total = placement.estimated_time_left(since, self.now).map(|time_left| elapsed + time_left);
        Some(total.map_or(elapsed > expected, |total| total > expected.mul_f64(SLOW_RUN_FACTOR)))
    }
}
