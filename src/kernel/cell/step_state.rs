use std::collections::BTreeSet;

use crate::kernel::cell::PermitCache;
use crate::prelude::*;

/// What is known of one task.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Number of its last start, 0 before the first.
    pub last_run: RunNumber,
    /// Attempts that failed.
    pub failures: u32,
    /// Newest checkpoint.
    pub checkpoint: Option<CheckpointId>,
    /// Whether it is done.
    pub done: bool,
    /// Stops for more urgent tasks.
    pub preemptions: u32,
    /// Stops because it was slow.
    pub straggler_restarts: u32,
    /// Lasting tasks that end early are started again only after this time.
    pub not_before: Option<Instant>,
}

impl TaskState {
    /// Whether no backoff keeps the task from being started.
    #[must_use]
    pub fn may_start(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|at| now >= at)
    }
}

/// Place of a step in the order of starts; lower ones come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepRank {
    /// Whether its team has submitted more than it is owed.
    pub excess: bool,
    /// Priority of its queue.
    pub priority: u32,
    /// Whether even a late completion of the job earns nothing.
    pub expired: bool,
    /// When the step has to start so that its job is complete by the next limit that it can still meet: its objective,
    /// or the time after which a late completion earns nothing.
    pub latest_start: Instant,
    /// How much of its worth the job has lost by being late.
    pub lateness: JobLateness,
}

/// How much of its worth a job has lost by being late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobLateness {
    /// Nothing: it may still be complete within its objective.
    InTime,
    /// Most: its objective has passed.
    Late,
    /// All: even a late completion earns nothing.
    Expired,
}

/// Why tasks of a ready step wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum StepWait {
    /// The limit of the team is used up.
    #[display("team_limit")]
    TeamLimit,
    /// Workers with room are not permitted, or not yet.
    #[display("permit")]
    Permit,
    /// No permitted worker has room.
    #[display("room")]
    Room,
}

/// What is known of one step of an occurrence.
#[derive(Clone, Debug)]
pub struct StepState {
    /// Its tasks.
    pub tasks: Vec<TaskState>,
    /// Tasks that wait to be placed.
    pub waiting: BTreeSet<u32>,
    /// Tasks that are not done.
    pub remaining: u32,
    /// Placed tasks.
    pub placed: u32,
    /// Placed tasks by worker.
    pub per_worker: FastMap<u32, u32>,
    /// Attempts of the whole gang that failed, with the last run that did.
    pub gang_failures: (u32, RunNumber),
    /// Which workers may run it.
    pub permits: PermitCache,
    /// Run times of its tasks that are done: their sum and number.
    pub run_times: (Duration, u32),
    /// Its place in the order of starts while it is ready.
    pub rank: Option<StepRank>,
    /// Why tasks waited when they were last looked at.
    pub wait: Option<StepWait>,
}

impl StepState {
    /// Returns a step of which nothing has started.
    #[must_use]
    pub fn new(tasks: u32) -> Self {
        Self {
            tasks: vec![TaskState::default(); tasks as usize],
            waiting: (0..tasks).collect(),
            remaining: tasks,
            placed: 0,
            per_worker: FastMap::default(),
            gang_failures: (0, 0),
            permits: PermitCache::default(),
            run_times: (Duration::ZERO, 0),
            rank: None,
            wait: None,
        }
    }

    /// Returns the mean run time of its tasks that are done; `None` if there are none.
    #[must_use]
    pub fn typical_run(&self) -> Option<Duration> {
        self.run_times.0.checked_div(self.run_times.1)
    }
}
