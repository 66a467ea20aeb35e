use crate::kernel::cell::{CellState, RunningRun, SlowRunWatch};
use crate::prelude::*;

/// Applies the progress that a worker told beside the usual polls.
pub struct ProgressUpdate<'a> {
    /// State of the cell.
    pub state: &'a mut CellState,
    /// Time at which the progress is applied.
    pub now: Instant,
}

impl ProgressUpdate<'_> {
    /// Notes the progress of the runs on a worker and judges them; returns whether that has effects. Everything else
    /// about the runs follows from the polls, as the answers may overtake each other.
    pub fn apply(&mut self, worker: &str, incarnation: WorkerIncarnation, running: &[RunningRun]) -> bool {
        let Some(slot) = self.state.slot(worker) else { return false };
        if self.state.worker(slot).is_none_or(|worker| worker.incarnation != Some(incarnation)) {
            return false;
        }
        for reported in running {
            let placement = self.state.placements.get_mut(&reported.task);
            if let Some(placement) =
                placement.filter(|placement| placement.slot == slot && placement.run == reported.run)
            {
                placement.note_progress(reported.percent, self.now);
            }
        }
        let effects = self.state.effects.len();
        SlowRunWatch { state: self.state, now: self.now }.run_on(slot);
        // A slow run whose task may run twice lets the task wait to be placed again.
        self.state.effects.len() > effects
    }
}
