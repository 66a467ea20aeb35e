use crate::kernel::cell::{PermitRequestKind, PermitRule, StepKey, StepRank};
use crate::prelude::*;

/// A permit request to the placement advisor: which of the workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// The step that needs permits.
    pub step: StepKey,
    /// Queue of its job.
    pub queue: QueueId,
    /// Why the step asks.
    pub kind: PermitRequestKind,
    /// Expected decision time of the advisor, and how long its permits are valid.
    pub rule: PermitRule,
    /// Order among waiting permit requests; lower ranks are sent first.
    pub rank: StepRank,
    /// Whether the request is for a long-running step or a gang, which have a part of the processes for
    /// themselves.
    pub assured: bool,
    /// The workers that the step could run on.
    pub workers: Vec<WorkerId>,
}

impl PermitRequest {
    /// Returns the expected time from sending the request to its answer.
    #[must_use]
    pub fn decision_time(&self) -> Duration {
        self.rule.decision_time_for(self.workers.len())
    }
}
