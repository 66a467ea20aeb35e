use crate::kernel::cell::{CellState, CommandOutcome, CopyKeeper, LossCause, TaskKey};
use crate::prelude::*;

/// Applies the answer of a worker to a command, or the fact that there is none.
pub struct CommandAnswer<'a> {
    /// State of the cell that the answer changes.
    pub state: &'a mut CellState,
    /// Time at which the answer is applied.
    pub now: Instant,
}

impl CommandAnswer<'_> {
    /// Applies the outcome of the command to start a run.
    pub fn apply_to_start(mut self, task: &TaskKey, run: RunNumber, worker: &str, outcome: CommandOutcome) {
        if self.accept_outcome(task, run, worker, outcome) {
            self.apply_start(task, run, outcome);
        }
    }

    /// Applies the outcome of the command to stop a run.
    pub fn apply_to_stop(mut self, task: &TaskKey, run: RunNumber, worker: &str, outcome: CommandOutcome) {
        if self.accept_outcome(task, run, worker, outcome) {
            self.apply_stop(task, run, outcome);
        }
    }

    /// Returns whether the outcome of a command has to be applied, which is so if it concerns the current
    /// run of the task or a copy.
    ///
    /// If another incarnation of the worker answered, marks all runs on the worker as lost instead.
    fn accept_outcome(
        &mut self,
        task: &TaskKey,
        run: RunNumber,
        worker: &str,
        outcome: CommandOutcome,
    ) -> bool {
        let is_current = self.state.placements.get(task).is_some_and(|placement| placement.run == run);
        let is_known = is_current || self.state.copies.contains_key(&(task.clone(), run));
        if is_known && outcome == CommandOutcome::Replaced {
            self.mark_runs_lost(worker);
            return false;
        }
        is_known
    }

    fn apply_start(&mut self, task: &TaskKey, run: RunNumber, outcome: CommandOutcome) {
        if let Some(copy) = self.state.copies.get_mut(&(task.clone(), run)) {
            if let Some(cause) = copy.apply_start_outcome(outcome, self.now) {
                CopyKeeper { state: self.state, now: self.now }.mark_lost(task, run, cause);
            }
            return;
        }
        let Some(placement) = self.state.placements.get_mut(task) else { return };
        let slot = placement.slot;
        let Some(cause) = placement.apply_start_outcome(outcome, self.now) else { return };
        if outcome == CommandOutcome::NoPermit
            && let Some(state) = self.state.step_mut(&task.step)
        {
            state.permit_cache.revoke(slot);
        }
        self.state.mark_lost(task, cause, self.now);
    }

    fn apply_stop(&mut self, task: &TaskKey, run: RunNumber, outcome: CommandOutcome) {
        let copy = self.state.copies.get_mut(&(task.clone(), run));
        if outcome == CommandOutcome::Accepted
            && let Some(placement) = copy.or_else(|| self.state.placements.get_mut(task))
        {
            placement.stop_confirmed = Some(self.now);
        }
    }

    /// Marks all runs on a worker as lost after another incarnation of it has answered, and treats the
    /// worker as unresponsive until its next poll report.
    fn mark_runs_lost(&mut self, worker: &str) {
        let Some(slot) = self.state.slot(worker) else { return };
        let Some(worker) = self.state.worker_mut(slot) else { return };
        worker.fall_silent(self.now);
        let tasks: Vec<TaskKey> = worker.tasks.iter().cloned().collect();
        for task in tasks {
            self.state.mark_lost(&task, LossCause::WorkerReplaced, self.now);
        }
        CopyKeeper { state: self.state, now: self.now }.mark_lost_on(slot, LossCause::WorkerReplaced);
    }
}
