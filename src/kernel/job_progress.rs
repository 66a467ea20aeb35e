use std::collections::BTreeSet;

use crate::kernel::{JobOutcome, SpreadCount};
use crate::prelude::*;

/// What is known of a job without a recorded outcome.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the conditions are independent of each other")]
pub struct JobProgress {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Place in the order of submission.
    pub sequence: u64,
    /// Its tasks by index; a service gets further ones that replace others.
    pub tasks: Vec<TaskProgress>,
    /// Tasks that wait to be placed.
    pub waiting: BTreeSet<u32>,
    /// Placed tasks.
    pub placed: u32,
    /// Finished tasks.
    pub finished: u32,
    /// Where the placed tasks are.
    pub spread: SpreadCount,
    /// Whether its team cancelled it.
    pub cancelled: bool,
    /// Whether its outcome was decided.
    pub ended: bool,
    /// Whether it is on its way to another shard.
    pub moving: bool,
    /// The decided outcome, until the last task has ended.
    pub outcome: Option<JobOutcome>,
    /// Replacements of an earlier owner that were found before the job was settled.
    pub surplus: u32,
    /// Whether it was accepted before this process claimed the shard.
    pub inherited: bool,
    /// Lowest attempt that this owner starts.
    pub first_attempt: AttemptNumber,
    /// Tasks that back off after a failure or a loss.
    pub backing_off: BTreeSet<u32>,
    /// Workers on which tasks of the job failed, as far as they are counted.
    pub failed_on: FastSet<VmId>,
}

/// What is known of one task of a job.
#[derive(Clone, Debug, Default)]
pub struct TaskProgress {
    /// The highest attempt that was started or reported.
    pub last: Option<AttemptNumber>,
    /// The attempt that counts on a worker.
    pub placed: Option<TaskId>,
    /// Whether a worker reported the end of the last attempt.
    pub end_reported: bool,
    /// Whether an attempt was taken as ended because its lease was over, without a report.
    pub lapsed: bool,
    /// Failed attempts.
    pub failures: u32,
    /// Attempts that vanished from their worker.
    pub losses: u32,
    /// Result of the finished attempt.
    pub result: Option<String>,
    /// Whether another task replaces it, so that it is not placed again.
    pub retired: bool,
    /// The task that this one replaces once it runs.
    pub replaces: Option<u32>,
    /// Ended attempts that their workers repeat until they are acknowledged.
    pub unacknowledged: Vec<(TaskId, VmId)>,
}

impl TaskProgress {
    /// Whether no later attempt than this one is known.
    #[must_use]
    pub fn is_last(&self, attempt: AttemptNumber) -> bool {
        self.last.is_none_or(|last| attempt >= last)
    }

    /// Whether a worker reported the end of this attempt, and it is the last one.
    #[must_use]
    pub fn has_ended(&self, attempt: AttemptNumber) -> bool {
        self.end_reported && self.last == Some(attempt)
    }
}

impl JobProgress {
    /// Returns a job of which no task is placed.
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
            ended: false,
            moving: false,
            outcome: None,
            surplus: 0,
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
        !self.cancelled && !self.ended && !self.moving
    }

    /// Whether an attempt of one of its tasks is known.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.tasks.iter().any(|progress| progress.last.is_some())
    }

    /// Whether the job runs all its tasks or none.
    #[must_use]
    pub fn is_gang(&self) -> bool {
        self.spec.kind == crate::kernel::JobKind::Gang
    }
}
