use serde::{Deserialize, Serialize};

use crate::kernel::cell::StepSpec;
use crate::prelude::*;

/// Longest estimated run time of a task. Longer ones would exceed the range of time once they are multiplied.
pub const MAX_ESTIMATE: Duration = Duration::from_secs(366 * 24 * 3_600);
/// Largest number of tasks in one occurrence of a job, as on the project's own interface. The owner keeps a
/// state for each of them.
pub const MAX_TASKS_PER_JOB: u32 = 10_000;
/// Largest number of steps of a job. The rank of a step takes a look at each of them.
pub const MAX_STEPS_PER_JOB: usize = 500;

/// Schedule of a job that runs several times at a fixed interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatSchedule {
    /// Unix time at which the first occurrence is due.
    pub first: Duration,
    /// Time between the due times of two occurrences.
    pub interval: Duration,
    /// Number of occurrences, at least 1.
    pub count: u32,
}

/// Specification of a job with several steps that depend on each other, as it was submitted to a cell.
///
/// A [`JobSpec`](crate::kernel::JobSpec) is a job of the shard scheduler, whose tasks are all alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GraphSpec {
    /// Identifier of the job; a repeated submission with the same identifier is ignored.
    pub id: JobId,
    /// Queue that the job was submitted to.
    pub queue: QueueId,
    /// Team that the job is accounted to; empty for queues that are open to all.
    pub team: TeamId,
    /// Payload that the worker of each task gets as text.
    pub payload: Arc<str>,
    /// Steps of the job; each depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// When the steps run; `None` if they run once, without delay.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<RepeatSchedule>,
    /// Unix time of the submission.
    pub submitted: Duration,
}

impl GraphSpec {
    /// Returns what is kept of a closed job: neither steps nor payload.
    #[must_use]
    pub fn without_steps(&self) -> Self {
        let schedule = self.schedule;
        let (id, queue, team) = (self.id.clone(), self.queue.clone(), self.team.clone());
        Self { id, queue, team, payload: "".into(), steps: Vec::new(), schedule, submitted: self.submitted }
    }

    /// Returns the number of tasks of one occurrence, at most `u32::MAX`.
    #[must_use]
    pub fn tasks(&self) -> u32 {
        self.steps.iter().fold(0, |sum, step| sum.saturating_add(step.tasks))
    }

    /// Returns the number of times that the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns the Unix time at which an occurrence is due.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Duration {
        self.schedule.map_or(self.submitted, |schedule| {
            schedule.first.saturating_add(schedule.interval.saturating_mul(occurrence))
        })
    }

    /// Returns the estimated run time of the critical path, which is the longest chain of dependent steps.
    #[must_use]
    pub fn estimated_critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|after| ends.get(*after as usize)).max();
            let start = before.copied().unwrap_or_default();
            ends.push(start.saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the estimated run time of the longest chain of dependent steps that begins with the step
    /// `from`.
    #[must_use]
    pub fn estimated_critical_path_from(&self, from: u32) -> Duration {
        let mut remaining = vec![Duration::ZERO; self.steps.len()];
        for (index, step) in self.steps.iter().enumerate().rev() {
            remaining[index] = remaining[index].saturating_add(step.estimate);
            for after in &step.after {
                if let Some(path) = remaining.get(*after as usize).copied() {
                    remaining[*after as usize] = path.max(remaining[index]);
                }
            }
        }
        remaining.get(from as usize).copied().unwrap_or_default()
    }

    /// Returns a sentence that describes the first fault of the steps; `None` if the steps are valid.
    #[must_use]
    pub fn validation_error(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("the job has no steps".to_owned());
        }
        if self.steps.len() > MAX_STEPS_PER_JOB {
            return Some(format!("the job has {} steps, at most {MAX_STEPS_PER_JOB}", self.steps.len()));
        }
        if self.tasks() > MAX_TASKS_PER_JOB {
            return Some(format!("the job has {} tasks, at most {MAX_TASKS_PER_JOB}", self.tasks()));
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Some(format!("step {index} has no tasks"));
            }
            if step.estimate > MAX_ESTIMATE {
                return Some(format!("the estimated run time of step {index} is out of range"));
            }
            if let Some(after) = step.after.iter().find(|after| **after as usize >= index) {
                return Some(format!("step {index} depends on step {after}, which is not an earlier one"));
            }
        }
        None
    }
}
