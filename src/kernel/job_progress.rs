use std::collections::BTreeSet;

use crate::kernel::{JobOutcome, SpreadCount};
use crate::prelude::*;

/// State of a job whose outcome is not in the ledger.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the conditions are independent of each other")]
pub struct JobProgress {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Sequence number that gives the order of submission within the shard.
    pub sequence: u64,
    /// Tasks by index. A service gets further tasks that replace others.
    pub tasks: Vec<TaskProgress>,
    /// Indices of the tasks that wait to be placed.
    pub waiting: BTreeSet<u32>,
    /// Number of placed tasks.
    pub placed: u32,
    /// Number of finished tasks.
    pub finished: u32,
    /// Number of placed tasks per zone, rack and worker.
    pub spread: SpreadCount,
    /// Whether its team cancelled it.
    pub cancelled: bool,
    /// Whether its outcome is decided. Placed tasks may still run, and the ledger does not have the outcome.
    pub decided: bool,
    /// Whether it is being handed over to another shard.
    pub moving: bool,
    /// Decided outcome, kept here until the last task has ended and it is recorded.
    pub outcome: Option<JobOutcome>,
    /// Number of replacement tasks found before the inherited job is queued; each makes one of the declared
    /// tasks redundant.
    pub surplus_replacements: u32,
    /// Whether the job was accepted under an earlier owner and is not queued for placement yet.
    pub inherited: bool,
    /// Lowest attempt number that this owner assigns to tasks of the job.
    pub first_attempt: AttemptNumber,
    /// Indices of the tasks that back off after a failure or a loss.
    pub backing_off: BTreeSet<u32>,
    /// Workers on which tasks of the job failed; no further ones are added once the job counts as faulty.
    pub failed_on: FastSet<VmId>,
}

/// State of one task of a job.
#[derive(Clone, Debug, Default)]
pub struct TaskProgress {
    /// Highest attempt number that was assigned or reported.
    pub last_attempt: Option<AttemptNumber>,
    /// The placed attempt; `None` if no attempt is placed.
    pub placed: Option<TaskId>,
    /// Whether a worker reported the end of the last attempt.
    pub end_reported: bool,
    /// Whether an attempt was declared lost without a report of its end, for example because its lease
    /// expired.
    pub declared_lost: bool,
    /// Number of failed attempts.
    pub failures: u32,
    /// Number of attempts that went missing from the reports of their worker.
    pub losses: u32,
    /// Result of the finished attempt.
    pub result: Option<String>,
    /// Whether another task replaces it, so that it is not placed again.
    pub retired: bool,
    /// Index of the task that this one replaces once it runs.
    pub replaces: Option<u32>,
    /// Ended attempts that their workers keep reporting until they are acknowledged.
    pub unacknowledged: Vec<(TaskId, VmId)>,
}

impl TaskProgress {
    /// Whether no attempt later than `attempt` is known.
    #[must_use]
    pub fn is_last(&self, attempt: AttemptNumber) -> bool {
        self.last_attempt.is_none_or(|last| attempt >= last)
    }

    /// Whether `attempt` is the last one and a worker reported its end.
    #[must_use]
    pub fn has_ended(&self, attempt: AttemptNumber) -> bool {
        self.end_reported && self.last_attempt == Some(attempt)
    }
}

impl JobProgress {
    /// Returns a job with all tasks waiting and none placed.
    #[must_use]
    pub fn new(spec: Arc<JobSpec>, sequence: u64, inherited: bool) -> Self {
        Self {
            sequence,
            tasks: vec![TaskProgress::default(); spec.tasks as usize],
            waiting: (0..spec.tasks).collect(),
            placed: 0,
            finished: 0,
            spread: SpreadCount::default(),
            cancelled: false,
            decided: false,
            moving: false,
            outcome: None,
            surplus_replacements: 0,
            inherited,
            first_attempt: 0,
            backing_off: BTreeSet::new(),
            failed_on: FastSet::default(),
            spec,
        }
    }

    /// Whether tasks of the job may still start.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        !self.cancelled && !self.decided && !self.moving
    }

    /// Whether any attempt of its tasks was assigned or reported.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.tasks.iter().any(|progress| progress.last_attempt.is_some())
    }

    /// Whether the tasks of the job must start together.
    #[must_use]
    pub fn is_gang(&self) -> bool {
        self.spec.kind == crate::kernel::JobKind::Gang
    }
}
