use crate::kernel::cell::{PermitCache, PermitSkip, StepRank, TaskTable, WaitingTasks};
use crate::prelude::*;

/// State of one task of a step.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Number of its last run, 0 before the first.
    pub last_run: RunNumber,
    /// Number of failed attempts.
    pub failures: u32,
    /// Newest checkpoint; `None` if the task has written none.
    pub checkpoint: Option<CheckpointId>,
    /// Whether the task has completed its work.
    pub done: bool,
    /// Number of preemptions, which lengthen its backoff.
    pub preemptions: u32,
    /// Number of restarts as a slow run.
    pub slow_restarts: u32,
    /// End of the backoff after a preemption, or after a long-running task failed soon after it was placed.
    pub not_before: Option<Instant>,
}

impl TaskState {
    /// Returns the state of a task that was never started.
    #[must_use]
    pub const fn unbegun() -> Self {
        Self {
            last_run: 0,
            failures: 0,
            checkpoint: None,
            done: false,
            preemptions: 0,
            slow_restarts: 0,
            not_before: None,
        }
    }

    /// Whether the backoff of the task is over.
    #[must_use]
    pub fn may_start(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|at| now >= at)
    }
}

/// Why tasks of a ready step were not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum StepWait {
    /// The limit of the team, less its headroom, allows no further task or not all tasks of a gang; also if
    /// every waiting task is in its backoff.
    #[display("team_limit")]
    TeamLimit,
    /// No worker on which tasks may start has the labels and the capacity that the step needs, or each of
    /// them has as many tasks of the step as it may have.
    #[display("worker")]
    Worker,
    /// The step has no valid permit for a worker, and none is expected soon; also if all workers that could
    /// run the step are denied.
    #[display("permit")]
    Permit,
    /// No worker with a permit has room.
    #[display("room")]
    Room,
}

/// State of one step of an occurrence.
#[derive(Clone, Debug)]
pub struct StepState {
    /// State of its tasks, by index.
    pub tasks: TaskTable,
    /// Indices of the tasks that wait to be placed.
    pub waiting: WaitingTasks,
    /// Number of tasks that are not done.
    pub remaining: u32,
    /// Number of placed tasks.
    pub placed: u32,
    /// Number of placed tasks by worker slot.
    pub per_worker: FastMap<u32, u32>,
    /// Number of failed attempts of the whole gang, and the run number of the last one.
    pub gang_failures: (u32, RunNumber),
    /// Verdicts of the advisor on the workers for this step.
    pub permit_cache: PermitCache,
    /// Run times of completed tasks, without those that resumed from a checkpoint.
    pub completed_run_times: Vec<Duration>,
    /// Rank in the order of starts; `None` until the dependencies of the step are complete.
    pub rank: Option<StepRank>,
    /// Why tasks waited when a pass last tried to place the step.
    pub wait_reason: Option<StepWait>,
    /// Why the step sent no permit request when a pass last found that it lacks room or a permit.
    pub permit_skip: Option<PermitSkip>,
}

impl StepState {
    /// Returns the state of a step with `tasks` tasks, none of which has started.
    #[must_use]
    pub fn new(tasks: u32) -> Self {
        Self {
            tasks: TaskTable::new(tasks),
            waiting: WaitingTasks::all(tasks),
            remaining: tasks,
            placed: 0,
            per_worker: FastMap::default(),
            gang_failures: (0, 0),
            permit_cache: PermitCache::default(),
            completed_run_times: Vec::new(),
            rank: None,
            wait_reason: None,
            permit_skip: None,
        }
    }
}
