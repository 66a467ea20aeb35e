use crate::kernel::cell::{
    CallerSlack, CellEffect, CellState, PlacementPhase, StepExpectations, TaskKey, TaskPlacement,
};
use crate::prelude::*;

/// Age of a run from which its progress shows whether it is slow.
const FIRST_LOOK_AGE: Duration = Duration::from_millis(130);
/// Time within which a worker with tasks reports their progress without being asked.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Asks workers for the progress of their runs where the usual report would come too late to restart a slow run
/// in time for its caller. Each such run is asked for once, together with all others on its worker.
pub struct LookPlanner<'a> {
    /// State of the cell.
    pub state: &'a mut CellState,
    /// Present time.
    pub now: Instant,
}

impl LookPlanner<'_> {
    /// Emits a look at each worker with a run whose progress is needed now.
    pub fn run(&mut self) {
        let mut expectations = StepExpectations::default();
        let placements = self.state.placements.iter();
        let due = placements.filter(|(key, placement)| self.is_due(key, placement, &mut expectations));
        let slots: FastSet<u32> = due.map(|(_, placement)| placement.slot).collect();
        for slot in slots {
            self.look_at(slot);
        }
    }

    fn look_at(&mut self, slot: u32) {
        let Some(worker) = self.state.worker(slot).filter(|worker| worker.responsive) else { return };
        let (name, tasks) = (worker.listing.worker.clone(), worker.tasks.clone());
        for key in tasks {
            if let Some(placement) =
                self.state.placements.get_mut(&key).filter(|placement| is_old_enough(placement, self.now))
            {
                placement.looked_at = true;
            }
        }
        self.state.effects.push(CellEffect::Look(name));
    }

    fn is_due(&self, key: &TaskKey, placement: &TaskPlacement, expectations: &mut StepExpectations) -> bool {
        if placement.looked_at || placement.stop_reason.is_some() || !is_old_enough(placement, self.now) {
            return false;
        }
        let Some((_, step, _)) = self.state.step(&key.step) else { return false };
        if step.gang || step.long_running {
            return false;
        }
        let expectation = expectations.of(self.state, &key.step, self.now);
        let run_time = expectation.map_or(step.estimate, |expectation| expectation.run_time);
        let Some(slack) = CallerSlack::of(self.state, &key.step, expectation.as_ref()) else { return false };
        let rerun = run_time.saturating_add(self.state.slow_runs.stop_cost.restart_time());
        // A job that is late already gains nothing by an earlier look.
        !slack.left.is_zero() && slack.left < rerun.saturating_add(REPORT_INTERVAL)
    }
}

/// Whether the run was confirmed long enough ago, and no report since then shows its pace.
fn is_old_enough(placement: &TaskPlacement, now: Instant) -> bool {
    let PlacementPhase::Running(since) = placement.phase else { return false };
    let first_look = since + FIRST_LOOK_AGE;
    now >= first_look && placement.reported_at < first_look
}
