use serde::{Deserialize, Serialize};

use crate::kernel::{JobKind, PriorityClass};
use crate::prelude::*;

/// A job as its team submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of the job, `team/name`.
    pub id: JobId,
    /// Team whose share and allotment the job counts against.
    pub team: TeamId,
    /// Queue to which the job was submitted.
    pub queue: QueueId,
    /// How its tasks start and end.
    pub kind: JobKind,
    /// Priority; it takes precedence over fair shares.
    #[serde(default)]
    pub priority: PriorityClass,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Resources that each task needs.
    pub need: ResourceVector,
    /// Declared run time of a task, an estimate; `None` if none is declared. Ignored when a service task
    /// starts.
    #[serde(default)]
    pub run_time: Option<Duration>,
    /// Number of failed attempts of each task that are retried.
    #[serde(default)]
    pub retries: u32,
}

impl JobSpec {
    /// Returns the name of one attempt of the task at `index`.
    #[must_use]
    pub fn task_id(&self, index: u32, attempt: AttemptNumber) -> TaskId {
        format!("{}#{index}@{attempt}", self.id).into()
    }

    /// Returns an upper estimate of the encoded size in bytes, without the escaping of strings.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        320 + self.id.len() + self.team.len() + self.queue.len()
    }

    /// Splits the name of an attempt into job, task index and attempt number; `None` if it is malformed.
    #[must_use]
    pub fn split_task_id(task: &str) -> Option<(JobId, u32, AttemptNumber)> {
        let (job, position) = task.rsplit_once('#')?;
        let (index, attempt) = position.split_once('@')?;
        Some((job.into(), index.parse().ok()?, attempt.parse().ok()?))
    }
}
