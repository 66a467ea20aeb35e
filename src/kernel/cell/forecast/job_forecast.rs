use serde::{Deserialize, Serialize};

use crate::kernel::cell::JobStatus;
use crate::prelude::*;

/// What the owner would do now with one step of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepForecast {
    /// Index of the step.
    pub step: u32,
    /// Number of its tasks.
    pub tasks: u32,
    /// Number of tasks that would start at once, by worker.
    pub starts: Vec<(WorkerId, u32)>,
    /// Why the other tasks would wait; `None` if none would, or if steps before this one fill the pass.
    pub wait: Option<String>,
    /// Time until the latest start with which the job still meets its next limit, in milliseconds; negative if it
    /// is over.
    pub latest_start_ms: i64,
    /// By how much the step ranks later because of past use, in milliseconds.
    pub correction_ms: u64,
    /// Number of waiting steps that rank before it, by team.
    pub before: Vec<(TeamId, usize)>,
    /// Number of workers of the service, by what keeps a task from them; `fits` for those with room.
    pub workers: Vec<(String, usize)>,
    /// Number of workers that the advisor would be asked about.
    pub permits_asked: usize,
    /// Rough time until room for all tasks becomes free behind the steps before, in milliseconds; `None` if the
    /// ends of what runs now do not give it.
    pub expected_start_ms: Option<u64>,
}

/// What the owner of a cell would do now with a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobForecast {
    /// State of the job if the owner knows its id; nothing else is then given.
    pub known: Option<JobStatus>,
    /// Why the job would be refused for load now; `None` if it would be admitted.
    pub load_refusal: Option<String>,
    /// Queue that the job would be in.
    pub queue: QueueId,
    /// Team that the job would belong to.
    pub team: TeamId,
    /// Whether the team is above its submission rate, so that the job would rank behind others.
    pub excess: bool,
    /// The steps that would be ready at once.
    pub steps: Vec<StepForecast>,
    /// Age of the oldest report of a worker that was looked at, in milliseconds.
    pub oldest_report_ms: u64,
    /// Age of the last read of submissions, in milliseconds.
    pub submissions_read_ms: u64,
}
