use crate::kernel::cell::{QueueRule, StepRank, StepSpec};
use crate::prelude::*;

/// Time before its latest start from which a step preempts less urgent tasks. A preempted task takes some
/// hundred milliseconds to stop, and the step may need a permit after that.
const PREEMPTION_SLACK: Duration = Duration::from_millis(1_500);

/// Decides whether less urgent tasks are preempted for a step, or the step waits until room becomes free.
///
/// It answers a load in which wide steps of a middle priority share a pool with batch work. If each of them
/// stopped batch tasks as soon as it is ready, although it has time to wait until tasks end, most batch tasks
/// would be stopped again and again. They lose work, and each needs a new permit for its next start, so that
/// the advisor is busy with these while half of the pool is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreemptionRule {
    /// Priority of the queue, 0 first.
    pub priority: u32,
    /// Whether the tasks of the step have no end of their own.
    pub long_running: bool,
    /// Whether the class of the step may claim room at all; false for expired steps.
    pub may_claim_room: bool,
    /// Latest start with which the job still meets its next limit; `None` if the step has no rank.
    pub latest_start: Option<Instant>,
}

impl PreemptionRule {
    /// Returns the rule for a step of a queue.
    #[must_use]
    pub fn of(step: &StepSpec, rule: &QueueRule, rank: Option<StepRank>) -> Self {
        Self {
            priority: rule.priority,
            long_running: step.long_running,
            may_claim_room: rank.is_none_or(|rank| rank.may_claim_room()),
            latest_start: rank.map(|rank| rank.latest_start),
        }
    }

    /// Whether the step may preempt now. Expired steps never may; long-running ones and those of queues of
    /// priority 0 always may otherwise.
    #[must_use]
    pub fn may_preempt(&self, now: Instant) -> bool {
        let is_urgent = self.priority == 0
            || self.long_running
            || self.latest_start.is_some_and(|latest| latest <= now + PREEMPTION_SLACK);
        self.may_claim_room && is_urgent
    }
}
