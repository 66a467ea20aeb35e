use serde::{Deserialize, Serialize};

use crate::kernel::{JobKind, PriorityClass};
use crate::prelude::*;

/// A job as its team submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of the job, `team/name`.
    pub id: JobId,
    /// The team that the job is accounted to.
    pub team: TeamId,
    /// The queue it was submitted to.
    pub queue: QueueId,
    /// How its tasks run.
    pub kind: JobKind,
    /// Order before fairness applies.
    #[serde(default)]
    pub priority: PriorityClass,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// What each task needs.
    pub need: ResourceVector,
    /// Declared run time of a task; `None` for services.
    #[serde(default)]
    pub run_time: Option<Duration>,
    /// How many failed attempts each task may repeat.
    #[serde(default)]
    pub retries: u32,
}

impl JobSpec {
    /// Returns the name of one attempt of one task.
    #[must_use]
    pub fn task_id(&self, index: u32, attempt: AttemptNumber) -> TaskId {
        format!("{}#{index}@{attempt}", self.id).into()
    }

    /// Returns an estimate of the encoded size in bytes, upwards.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        320 + self.id.len() + self.team.len() + self.queue.len()
    }

    /// Splits a task name into job, index and attempt.
    #[must_use]
    pub fn split_task_id(task: &str) -> Option<(JobId, u32, AttemptNumber)> {
        let (job, rest) = task.rsplit_once('#')?;
        let (index, attempt) = rest.split_once('@')?;
        Some((job.into(), index.parse().ok()?, attempt.parse().ok()?))
    }
}
