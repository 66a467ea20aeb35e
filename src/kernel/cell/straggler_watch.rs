use crate::kernel::cell::{
    CellState, GraphSpec, PlacementPhase, StepSpec, StepState, TaskKey, TaskPlacement,
};
use crate::prelude::*;

/// Run time before which nothing is concluded from the progress of a run.
const SOONEST: Duration = Duration::from_millis(500);
/// Time in which a lasting task has to be at work, or a gang has to make progress.
const STALL: Duration = Duration::from_millis(3_500);
/// How many times longer than expected a run without siblings may seem to take; estimates are often far off.
const TOLERANCE_OF_ESTIMATE: f64 = 3.0;
/// How many times longer than expected a run takes that counts against its worker.
const BEHIND: f64 = 1.8;
/// Runs on a worker that are enough to judge it.
const LEAST_RUNS: usize = 2;
/// How many times longer than its siblings a run may seem to take.
const TOLERANCE_OF_SIBLINGS: f64 = 2.5;
/// How many times longer than expected a run has to last before it may count as slow.
const OVERDUE: f64 = 1.2;
/// Time that a new start costs beyond the run itself.
const RESTART_COST: Duration = Duration::from_millis(500);
/// Stops of one task for being slow.
const MAX_STRAGGLER_RESTARTS: u32 = 2;
/// Time for which a worker with slow runs is used last.
const SLOW_FOR: Duration = Duration::from_secs(4);

/// Finds runs that are far slower than they should be and lets them start again elsewhere.
pub struct StragglerWatch<'a> {
    /// The cell.
    pub state: &'a mut CellState,
    /// The present time.
    pub now: Instant,
}

impl StragglerWatch<'_> {
    /// Stops stragglers and marks their workers as slow.
    pub fn run(&mut self) {
        let slow: Vec<TaskKey> = self
            .state
            .placements
            .iter()
            .filter(|(key, placement)| self.is_straggler(key, placement))
            .map(|(key, _)| key.clone())
            .collect();
        for key in slow {
            self.move_on(&key);
        }
    }

    fn move_on(&mut self, key: &TaskKey) {
        let Some(slot) = self.state.placements.get(key).map(|placement| placement.slot) else { return };
        let until = self.now + SLOW_FOR;
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
        if placement.stopping.is_some() || elapsed < SOONEST {
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
        let unchanged = self.now.saturating_duration_since(placement.progress.1);
        if step.long_running {
            return placement.progress.0 < 100 && elapsed >= STALL;
        }
        if step.gang {
            return unchanged >= STALL && placement.progress.0 < 100;
        }
        self.is_slow(spec, step, state, placement, elapsed)
    }

    fn is_slow(
        &self,
        spec: &GraphSpec,
        step: &StepSpec,
        state: &StepState,
        placement: &TaskPlacement,
        elapsed: Duration,
    ) -> bool {
        let siblings = state.typical_run();
        let Some(expected) = siblings.or_else(|| self.state.run_times.estimate(&spec.queue, step.estimate))
        else {
            return false;
        };
        // Estimates are often far off, so without siblings the other runs on the worker have to be slow too.
        let tolerance = if siblings.is_some() { TOLERANCE_OF_SIBLINGS } else { TOLERANCE_OF_ESTIMATE };
        if siblings.is_none() && !self.is_slow_worker(placement.slot) {
            return false;
        }
        // A run that could still end about when it should is left alone.
        let since = self.now.checked_sub(elapsed).unwrap_or(self.now);
        let told = placement.seen_at.saturating_duration_since(since);
        if elapsed < expected.mul_f64(OVERDUE) || told < expected {
            return false;
        }
        let Some(left) = placement.time_left(since, self.now) else {
            return elapsed > expected.mul_f64(tolerance);
        };
        let again = if step.checkpoints {
            expected.mul_f64(f64::from(100 - placement.progress.0.min(100)) / 100.0)
        } else {
            expected
        };
        elapsed + left > expected.mul_f64(tolerance) && left > again.mul_f64(1.5) + RESTART_COST
    }

    /// Whether most runs on a worker take longer than expected.
    fn is_slow_worker(&self, slot: u32) -> bool {
        let Some(worker) = self.state.worker(slot) else { return false };
        let verdicts: Vec<bool> = worker.tasks.iter().filter_map(|key| self.is_behind(key)).collect();
        let behind = verdicts.iter().filter(|behind| **behind).count();
        verdicts.len() >= LEAST_RUNS && behind * 3 >= verdicts.len() * 2
    }

    /// Whether a run takes longer than expected; `None` if that cannot be said.
    fn is_behind(&self, key: &TaskKey) -> Option<bool> {
        let placement = self.state.placements.get(key)?;
        let PlacementPhase::Running(since) = placement.phase else { return None };
        let (spec, step, state) = self.state.step(&key.step)?;
        if step.long_running {
            return None;
        }
        let elapsed = self.now.saturating_duration_since(since);
        let expected =
            state.typical_run().or_else(|| self.state.run_times.estimate(&spec.queue, step.estimate))?;
        let total = placement.time_left(since, self.now).map(|left| elapsed + left);
        Some(total.map_or(elapsed > expected, |total| total > expected.mul_f64(BEHIND)))
    }
}
