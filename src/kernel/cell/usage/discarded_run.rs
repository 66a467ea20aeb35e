use crate::kernel::cell::{CellState, JobStatus, TaskKey, TaskPlacement};
use crate::prelude::*;

/// A run that has ended without a result because of the system and not of its team: it was preempted, replaced as
/// a slow run or by a copy, or lost with its worker.
pub struct DiscardedRun<'a> {
    /// State of the cell that holds the account.
    pub state: &'a mut CellState,
    /// Task of the run.
    pub task: &'a TaskKey,
    /// The run, which is not counted as placed any more.
    pub placement: &'a TaskPlacement,
    /// When the run ended.
    pub now: Instant,
}

impl DiscardedRun<'_> {
    /// Takes the use of the run back from its team, unless its work is kept: long-running tasks have served until
    /// their end, and a checkpoint keeps all but the last moments. Work of jobs that were cancelled or have
    /// failed is not taken back, as that is the team's doing.
    pub fn refund(self) {
        let Some((spec, step, step_state)) = self.state.step(&self.task.step) else { return };
        let status = self.state.jobs.get(&self.task.step.job).map(|job| job.status);
        let task = step_state.tasks.get(self.task.index);
        let has_checkpoint = task.is_some_and(|task| task.checkpoint.is_some());
        let by_team = matches!(status, Some(JobStatus::Cancelled | JobStatus::Failed));
        if step.long_running || has_checkpoint || by_team {
            return;
        }
        let (team, need) = (spec.team.clone(), step.need);
        // A run that an earlier owner started is charged, and taken back, from the hand-over on.
        let run_time = self.now.saturating_duration_since(self.placement.placed_at);
        self.state.shares.refund(&team, need, run_time, self.state.capacity);
    }
}
