use super::WorkerDemand;
use super::blocked_steps::BlockedSteps;
use crate::kernel::cell::RankedStep;
use crate::prelude::*;

/// Where the next start pass goes on with the blocked steps that the last one did not try.
///
/// A bound on a pass may delay a step, but must not leave out the same ones in each pass.
#[derive(Clone, Debug, Default)]
pub struct PassRotation {
    /// The last blocked step that had its turn, by demand.
    reached: FastMap<WorkerDemand, RankedStep>,
    /// Passes since a change that may allow starts.
    passes: usize,
    needs_pass: bool,
}

impl PassRotation {
    /// Notes a change that may allow a start of any step.
    pub const fn restart(&mut self) {
        self.passes = 0;
    }

    /// Returns the last step of a demand that had its turn; `None` if the first one is next.
    pub(super) fn reached(&self, demand: &WorkerDemand) -> Option<RankedStep> {
        self.reached.get(demand).cloned()
    }

    /// Whether another pass is needed although nothing has changed: while passes leave steps out, until all of them had
    /// a turn since the last change.
    #[must_use]
    pub const fn needs_pass(&self) -> bool {
        self.needs_pass
    }

    /// Notes what a pass over `ready` steps has reached, and whether it left steps out.
    pub(super) fn finish_pass(
        &mut self,
        reached: FastMap<WorkerDemand, RankedStep>,
        cut_off: bool,
        ready: usize,
    ) {
        self.reached = reached;
        self.passes += 1;
        self.needs_pass = cut_off && self.passes <= BlockedSteps::passes_for(ready);
    }
}
