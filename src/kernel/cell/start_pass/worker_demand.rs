use crate::kernel::cell::{QueueRule, StepClass, StepSpec};
use crate::prelude::*;

/// The kind of worker that a step needs, its class and its priority. Steps with the same demand compete for the same
/// workers; those of a lower priority are often smaller and may fit where others do not.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WorkerDemand {
    pub(super) service: ServiceId,
    pub(super) label: Option<LabelId>,
    pub(super) accelerators: bool,
    pub(super) class: StepClass,
    pub(super) priority: u32,
}

impl WorkerDemand {
    pub(super) fn of(step: &StepSpec, rule: &QueueRule, class: StepClass) -> Self {
        let accelerators = step.need.accelerators > 0;
        let (service, label) = (rule.service.clone(), step.label.clone());
        Self { service, label, accelerators, class, priority: rule.priority }
    }
}
