use crate::kernel::cell::RankedStep;

/// Blocked steps, which found no room or no permit, after which a pass skips further steps of the same
/// class and priority that need the same kind of worker. The search over the workers costs most of a pass, and the
/// skipped steps would hardly find room or a permit either.
const MAX_BLOCKED_STEPS_AT_FRONT: usize = 40;
/// Further blocked steps that a pass tries from where the last one stopped, so that each step has its turn.
const MAX_BLOCKED_STEPS_IN_TURN: usize = 15;

/// The blocked steps of one demand in one pass.
#[derive(Debug, Default)]
pub(super) struct BlockedSteps {
    /// Number of blocked steps.
    count: usize,
    /// Whether a step was skipped.
    pub(super) cut_off: bool,
    /// Step at which the last pass stopped.
    resumed_after: Option<RankedStep>,
    /// Last step that was tried beyond the first ones.
    last_in_turn: Option<RankedStep>,
}

impl BlockedSteps {
    /// Returns the state before a pass, if the last pass stopped at `reached`.
    pub(super) fn resumed_after(reached: Option<RankedStep>) -> Self {
        Self { resumed_after: reached, ..Self::default() }
    }

    /// Number of passes in which each of `steps` blocked steps is tried at least once. The turns may begin anywhere,
    /// and start at the first one again with a pass of their own.
    pub(super) const fn passes_for(steps: usize) -> usize {
        steps / MAX_BLOCKED_STEPS_IN_TURN + 2
    }

    /// Number of steps that were blocked so far.
    pub(super) const fn count(&self) -> usize {
        self.count
    }

    /// Whether as many steps were blocked as each pass tries.
    pub(super) const fn is_past_front(&self) -> bool {
        self.count >= MAX_BLOCKED_STEPS_AT_FRONT
    }

    /// Whether the pass tries a step.
    pub(super) fn admit(&mut self, step: &RankedStep) -> bool {
        if !self.is_past_front() {
            return true;
        }
        if self.is_exhausted() || self.resumed_after.as_ref().is_some_and(|reached| step <= reached) {
            self.cut_off = true;
            return false;
        }
        self.last_in_turn = Some(step.clone());
        true
    }

    /// Counts a step that was tried and is blocked.
    pub(super) const fn add(&mut self) {
        self.count += 1;
    }

    /// Returns the step after which the next pass goes on; `None` if this pass has tried the last one.
    pub(super) fn reached(self) -> Option<RankedStep> {
        if self.is_exhausted() { self.last_in_turn } else { None }
    }

    const fn is_exhausted(&self) -> bool {
        self.count >= MAX_BLOCKED_STEPS_AT_FRONT + MAX_BLOCKED_STEPS_IN_TURN
    }
}
