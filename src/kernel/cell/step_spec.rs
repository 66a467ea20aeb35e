use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Specification of one step of a job, whose tasks are all alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
#[expect(clippy::struct_excessive_bools, reason = "the properties are independent of each other")]
pub struct StepSpec {
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Resources that each task needs.
    pub need: ResourceVector,
    /// Rough estimate of the run time of a task; zero if there is none.
    pub estimate: Duration,
    /// Indices of the steps that this one depends on.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether tasks write checkpoints from which a later run resumes.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which makes progress only while all of them run.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether a gang is placed on one rack if possible, as it is slower when it spans several.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that a worker must have; `None` if any worker will do.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<LabelId>,
    /// Rack that holds the data; tasks are slower on other racks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rack: Option<RackId>,
    /// Limit on the tasks of one occurrence of the step on one worker; `None` for no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most_per_worker: Option<u32>,
    /// Whether a task may run more than once at the same time. The scheduler does not use it.
    #[serde(skip_serializing_if = "is_false")]
    pub copies: bool,
    /// Whether tasks have no end of their own: each is restarted until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Image that the tasks execute. The scheduler does not use it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<ImageId>,
    /// Bound on the tail latency of long-running tasks. The scheduler does not use it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tail_bound: Option<Duration>,
    /// Whether the tasks use only processor time that others leave idle.
    #[serde(rename = "fills", skip_serializing_if = "is_false")]
    pub uses_idle_cpu: bool,
    /// Number of long-running tasks that may be down at the same time because of actions of this system. The
    /// scheduler does not use it.
    #[serde(skip_serializing_if = "is_zero")]
    pub disruption_budget: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
const fn is_false(value: &bool) -> bool {
    !*value
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl StepSpec {
    /// Returns the capacity that a task occupies on its worker. Processor time that others leave idle is not
    /// counted.
    #[must_use]
    pub const fn occupied_capacity(&self) -> ResourceVector {
        if self.uses_idle_cpu { ResourceVector { cores_milli: 0, ..self.need } } else { self.need }
    }
}
