use crate::kernel::cell::{CellRecord, PermitRule, StepKey, TaskKey, WorkerListing};
use crate::prelude::*;

/// What a start was decided by, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartInputs {
    /// Version of the configuration.
    pub config: BundleVersion,
    /// Age of the worker's newest report.
    pub report_age: Duration,
    /// Time since the job became known.
    pub waited: Duration,
    /// What was free on the worker.
    pub free: ResourceVector,
}

/// Starts a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCommand {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// The start.
    pub run: RunNumber,
    /// Text of the job.
    pub payload: Arc<str>,
    /// Checkpoint from which the task goes on.
    pub checkpoint: Option<CheckpointId>,
    /// Ticket by which the worker accepts the task.
    pub ticket: Option<PermitTicket>,
    /// What it was decided by.
    pub inputs: StartInputs,
    /// Time after which the order is not sent, as its ticket or its reasons no longer hold.
    pub expires: Instant,
}

/// Stops a run on a worker, or bars it if it has not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCommand {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// The start.
    pub run: RunNumber,
    /// Why it is stopped.
    pub reason: &'static str,
}

/// What the scheduler of a cell wants done, in order; orders wait until all records before them are stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellEffect {
    /// Store a decision.
    Record(CellRecord),
    /// Start a task.
    Start(StartCommand),
    /// Stop a task.
    Stop(StopCommand),
    /// Callers may be told the final state of a job.
    Publish(JobId),
    /// Tell a worker that the ends of this life of it are recorded up to the number.
    Acknowledge(WorkerId, WorkerIncarnation, TaskEndNumber),
    /// Ask the advisor which of the workers may run a step.
    AskPermits {
        /// The step.
        step: StepKey,
        /// What the question costs.
        rule: PermitRule,
        /// Order among questions, lower first.
        priority: u32,
        /// The workers.
        workers: Vec<WorkerId>,
    },
    /// Keep a worker's lease and look at what it runs.
    Watch(WorkerListing),
    /// Stop doing so.
    Unwatch(WorkerId),
}
