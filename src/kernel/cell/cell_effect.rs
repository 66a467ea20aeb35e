use crate::kernel::cell::{CellNotice, CellRecord, PermitRequest, RunEnd, StepClass, TaskKey, WorkerListing};
use crate::prelude::*;

/// Inputs of the decision to start a task, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartInputs {
    /// Class of the step in the order of starts.
    pub class: StepClass,
    /// Version of the configuration in force.
    pub config: BundleVersion,
    /// Age of the worker's newest poll report.
    pub report_age: Duration,
    /// Time since the job became known to this owner.
    pub waited: Duration,
    /// Free capacity of the worker before the start.
    pub free: ResourceVector,
}

/// Command that starts a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCommand {
    /// Worker that the command goes to.
    pub worker: WorkerId,
    /// Incarnation of the worker that the decision is based on; no other one may get the command.
    pub incarnation: Option<WorkerIncarnation>,
    /// Task that the run belongs to.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Payload of the job, which the worker gets as text.
    pub payload: Arc<str>,
    /// Checkpoint from which the run resumes; `None` if it starts from scratch.
    pub checkpoint: Option<CheckpointId>,
    /// Permit ticket that the worker checks; `None` if the queue needs no permits.
    pub ticket: Option<PermitTicket>,
    /// Inputs of the decision, for logs.
    pub inputs: StartInputs,
    /// Time after which the command must not be sent, as its ticket or the inputs of the decision may no
    /// longer hold.
    pub expires_at: Instant,
}

/// Command that stops a run on a worker, or makes the worker refuse it if it has not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCommand {
    /// Worker that the command goes to.
    pub worker: WorkerId,
    /// Task that the run belongs to.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Reason of the stop, for metrics and logs.
    pub reason: &'static str,
}

/// Effects that the scheduler of a cell asks its owner to carry out, in order. Commands, publications and
/// acknowledgements wait until all records before them are stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellEffect {
    /// Append a record to the log of the cell.
    Record(CellRecord),
    /// Append the record of the end of a run to the log of the cell; its circumstances are for logs.
    RecordEnd(CellRecord, RunEnd),
    /// Log an observation.
    Log(CellNotice),
    /// Send the command to start a task.
    Start(StartCommand),
    /// Send the command to stop a run.
    Stop(StopCommand),
    /// Let callers see the final state of a job.
    Publish(JobId),
    /// Acknowledge to an incarnation of a worker that its ended runs up to the number are recorded.
    Acknowledge(WorkerId, WorkerIncarnation, TaskEndNumber),
    /// Request permits from the advisor for a step.
    RequestPermits(PermitRequest),
    /// Ask a worker for the progress of its runs at once, beside the usual polls.
    Look(WorkerId),
    /// Poll a worker and, once [`Self::RenewLease`] allows it, renew its lease.
    Watch(WorkerListing),
    /// Renew the lease of a worker that answers again.
    RenewLease {
        /// Worker to be renewed.
        worker: WorkerId,
        /// When the poll was sent that the worker has answered. A worker that has been silent since must answer
        /// once more first.
        polled_at: Instant,
        /// Whether the records so far have to be stored first, as they bound the lease.
        after_records: bool,
    },
    /// Stop renewing the lease of a worker and polling it.
    Unwatch(WorkerId),
}
