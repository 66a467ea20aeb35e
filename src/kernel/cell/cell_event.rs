use crate::kernel::cell::{CellConfig, GraphSpec, PollReport, RunningRun, StepKey, TaskKey, WorkerFence};
use crate::prelude::*;

/// Entry of a worker in the platform's list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerListing {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Address of the worker, `ip:port`.
    pub address: Arc<str>,
    /// Service that the worker belongs to.
    pub service: ServiceId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    /// Incarnation that wrote the entry; `None` if the entry does not name one.
    pub incarnation: Option<WorkerIncarnation>,
    /// Clock of the worker when it wrote the entry; `None` if the entry does not tell it.
    pub clock: Option<WorkerTime>,
    /// Total capacity of the worker.
    pub capacity: ResourceVector,
    /// Labels of the worker, its rack among them.
    pub labels: Vec<LabelId>,
    /// Rack of the worker, if it is known.
    pub rack: Option<RackId>,
    /// Whether the worker is about to leave, so that nothing starts on it.
    pub draining: bool,
}

impl WorkerListing {
    /// Returns whether this entry and an earlier one of the worker say the same but for the clock, which each entry
    /// tells anew.
    #[must_use]
    pub fn repeats(&self, earlier: &Self) -> bool {
        *self == Self { clock: self.clock, ..earlier.clone() }
    }
}

/// Outcome of a start or stop command to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CommandOutcome {
    /// The worker carried out the command, now or at an earlier attempt.
    #[display("accepted")]
    Accepted,
    /// The worker refused the command for good, as the permit is not valid.
    #[display("no_permit")]
    NoPermit,
    /// The worker refused the command for good, as it has no room.
    #[display("no_room")]
    NoRoom,
    /// The worker refused the command for good, for another reason.
    #[display("refused")]
    Refused,
    /// The worker knows the fencing token of a newer owner.
    #[display("fenced")]
    Fenced,
    /// Another incarnation of the worker answered, so the tasks of the expected one are gone.
    #[display("replaced")]
    Replaced,
    /// The command was not sent.
    #[display("not_sent")]
    NotSent,
    /// There was no answer; the command may still be carried out later.
    #[display("unknown")]
    Unknown,
}

/// Events that the scheduler of a cell decides on.
#[derive(Clone, Debug)]
pub enum CellEvent {
    /// A configuration came into force.
    Configured(Arc<CellConfig>),
    /// The availability zones that are out of service have changed; holds all of them.
    ZonesClosed(FastSet<ZoneId>),
    /// The platform's list of workers has changed; holds all of its entries.
    WorkersListed(Vec<WorkerListing>),
    /// An accepted job was read from the store.
    Submitted(Arc<GraphSpec>),
    /// The cancellation of a job was read from the store.
    Cancelled(JobId),
    /// The advisor answered a permit request for a step; it may have denied all workers.
    PermitsAnswered {
        /// Step that the permits are for.
        step: StepKey,
        /// Workers that the request named.
        requested_workers: Vec<WorkerId>,
        /// Workers that may run the step, with their tickets.
        granted: Vec<(WorkerId, PermitTicket)>,
        /// How long the permits are valid from now on.
        validity: Duration,
    },
    /// The number of processes that send permit requests to the advisor on behalf of this owner has changed.
    ProxiesChanged(usize),
    /// A permit request for the step failed.
    PermitsFailed(StepKey),
    /// Outcome of the command to start a run on a worker.
    StartAnswered(TaskKey, RunNumber, WorkerId, CommandOutcome),
    /// Outcome of the command to stop a run on a worker.
    StopAnswered(TaskKey, RunNumber, WorkerId, CommandOutcome),
    /// A worker answered a poll.
    WorkerPolled(WorkerId, PollReport),
    /// An incarnation of a worker told the progress of its runs when it was asked beside the usual polls.
    ProgressReported(WorkerId, WorkerIncarnation, Vec<RunningRun>),
    /// A worker may carry out calls that were meant for a former incarnation of it, so that nothing starts there.
    WorkerUnfenced(WorkerId),
    /// A worker refuses calls that were meant for a former incarnation of it.
    WorkerFenced(WorkerId, WorkerFence),
    /// A worker does not answer, or another incarnation of it does. Every lease that the expected
    /// incarnation may hold has expired by the given time.
    WorkerUnresponsive(WorkerId, Instant),
    /// Periodic tick with the present Unix time.
    Tick(Duration),
}
