use crate::kernel::cell::{JobLateness, StepClass};
use crate::prelude::*;

/// Position of a step in the order of starts and of permit requests; lower ranks come first.
///
/// The derived order compares the fields from top to bottom, so their order matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepRank {
    /// Class of the step.
    pub class: StepClass,
    /// Priority of its queue, 0 first. It is 0 for expired steps, which are ordered by their latest start alone.
    pub priority: u32,
    /// How late the job is expected to be.
    pub lateness: JobLateness,
    /// Whether the team uses far more than its weighted share while tasks of other teams wait for room.
    pub above_share: bool,
    /// Latest start with which the job still meets its next limit, which is its latency objective or the
    /// time of its expiry.
    pub latest_start: Instant,
    /// Part of `latest_start` by which the step ranks later because of the past use of its team.
    pub correction: Duration,
}

impl StepRank {
    /// Returns the rank with another correction for past use.
    #[must_use]
    pub fn with_correction(self, correction: Duration) -> Self {
        let uncorrected = self.latest_start.checked_sub(self.correction).unwrap_or(self.latest_start);
        Self { latest_start: uncorrected + correction, correction, ..self }
    }

    /// Whether less urgent tasks may be stopped for the step, room be kept free for it, and the headroom of its
    /// team be used. Expired steps only use what is left.
    #[must_use]
    pub fn may_claim_room(&self) -> bool {
        self.class != StepClass::Expired
    }

    /// Whether the permit requests of the step are sent even if many others are open.
    #[must_use]
    pub const fn skips_request_bound(&self) -> bool {
        match self.class {
            StepClass::Restart => true,
            StepClass::Useful => self.priority == 0,
            StepClass::Excess | StepClass::Expired => false,
        }
    }

    /// Returns the rank of a long-running step of which a task that has run before waits again.
    #[must_use]
    pub const fn of_restart(self) -> Self {
        Self { class: StepClass::Restart, lateness: JobLateness::InTime, above_share: false, ..self }
    }

    /// Returns the rank that replaces this one after the step was ranked again as `new`; `None` if the order
    /// stays the same.
    ///
    /// A job does not become less late again: estimates that change to and fro would move its steps at each
    /// tick.
    #[must_use]
    pub fn replaced_by(&self, new: Self) -> Option<Self> {
        if new.lateness < self.lateness && new.class != StepClass::Restart {
            let corrected = self.with_correction(self.correction.min(new.correction));
            let standing = Self { above_share: new.above_share, ..corrected };
            return (standing != *self).then_some(standing);
        }
        let order = |rank: &Self| (rank.class, rank.priority, rank.lateness, rank.above_share);
        (order(&new) != order(self) || new.correction < self.correction).then_some(new)
    }
}
