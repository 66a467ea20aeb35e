use serde::{Deserialize, Serialize};

use crate::kernel::cell::StepSpec;
use crate::prelude::*;

/// Repetitions of a job at fixed times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatSchedule {
    /// Due time of the first occurrence since 1970.
    pub first: Duration,
    /// Time between the due times of two occurrences.
    pub interval: Duration,
    /// Number of occurrences, at least 1.
    pub count: u32,
}

/// A job of several steps, as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GraphSpec {
    /// Name of the job.
    pub id: JobId,
    /// The queue that it was submitted to.
    pub queue: QueueId,
    /// The team that it is accounted to; empty for queues that are open to all.
    pub team: TeamId,
    /// Text that each task gets.
    pub payload: Arc<str>,
    /// The steps; each depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// When the steps run; `None` for once, at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<RepeatSchedule>,
    /// Time of the submission since 1970.
    pub submitted: Duration,
}

impl GraphSpec {
    /// Returns the number of times that the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Returns when an occurrence is due, since 1970.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Duration {
        self.schedule.map_or(self.submitted, |schedule| {
            schedule.first.saturating_add(schedule.interval.saturating_mul(occurrence))
        })
    }

    /// Returns the estimated time of the longest chain of steps.
    #[must_use]
    pub fn estimated_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|after| ends.get(*after as usize)).max();
            let start = before.copied().unwrap_or_default();
            ends.push(start.saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the estimated time of the longest chain that begins with a step.
    #[must_use]
    pub fn estimated_rest(&self, from: u32) -> Duration {
        let mut rests = vec![Duration::ZERO; self.steps.len()];
        for (index, step) in self.steps.iter().enumerate().rev() {
            rests[index] = rests[index].saturating_add(step.estimate);
            for after in &step.after {
                if let Some(rest) = rests.get(*after as usize).copied() {
                    rests[*after as usize] = rest.max(rests[index]);
                }
            }
        }
        rests.get(from as usize).copied().unwrap_or_default()
    }

    /// Returns the first fault of the steps, as one sentence.
    #[must_use]
    pub fn fault(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("the job has no steps".to_owned());
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Some(format!("step {index} has no tasks"));
            }
            if let Some(after) = step.after.iter().find(|after| **after as usize >= index) {
                return Some(format!("step {index} depends on step {after}, which is not an earlier one"));
            }
        }
        None
    }
}
