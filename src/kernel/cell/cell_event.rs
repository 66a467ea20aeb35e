use crate::kernel::cell::{CellConfig, GraphSpec, PollReport, StepKey, TaskKey};
use crate::prelude::*;

/// What the platform lists about a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerListing {
    /// Its name.
    pub worker: WorkerId,
    /// Its address, `ip:port`.
    pub address: Arc<str>,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// What it holds.
    pub capacity: ResourceVector,
    /// Its labels, the rack among them.
    pub labels: Vec<LabelId>,
    /// Its rack, if it is known.
    pub rack: Option<RackId>,
    /// Whether it leaves.
    pub draining: bool,
}

/// What came of an order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CommandOutcome {
    /// The worker carried it out, now or before.
    #[display("accepted")]
    Accepted,
    /// The worker did not do it and never will: the permit is not valid.
    #[display("no_permit")]
    NoPermit,
    /// The worker did not do it and never will: it has no room.
    #[display("no_room")]
    NoRoom,
    /// The worker did not do it and never will.
    #[display("refused")]
    Refused,
    /// The worker knows a newer owner.
    #[display("fenced")]
    Fenced,
    /// The worker is another one than the order names, so its tasks are gone.
    #[display("replaced")]
    Replaced,
    /// It was not sent.
    #[display("not_sent")]
    NotSent,
    /// No answer; it may be carried out later.
    #[display("unknown")]
    Unknown,
}

/// What the scheduler of a cell is told.
#[derive(Clone, Debug)]
pub enum CellEvent {
    /// A configuration came into force.
    Configured(Arc<CellConfig>),
    /// The availability zones that are out of service.
    ZonesClosed(FastSet<ZoneId>),
    /// All listed workers.
    WorkersListed(Vec<WorkerListing>),
    /// A job was accepted.
    Submitted(Arc<GraphSpec>),
    /// The caller cancelled a job.
    Cancelled(JobId),
    /// The advisor named the workers that may run a step.
    PermitsGranted {
        /// The step.
        step: StepKey,
        /// The workers that it was asked about.
        asked: Vec<WorkerId>,
        /// Those that may run it.
        granted: Vec<(WorkerId, PermitTicket)>,
        /// How long the permits hold from now on.
        valid: Duration,
    },
    /// The number of processes that ask the advisor changed.
    ProxiesChanged(usize),
    /// The advisor did not answer about a step.
    PermitsFailed(StepKey),
    /// Outcome of a start.
    StartAnswered(TaskKey, RunNumber, WorkerId, CommandOutcome),
    /// Outcome of a stop.
    StopAnswered(TaskKey, RunNumber, WorkerId, CommandOutcome),
    /// A worker said what it runs.
    WorkerPolled(WorkerId, PollReport),
    /// A worker does not answer; its lease is surely over at the time.
    WorkerUnresponsive(WorkerId, Instant),
    /// Time passed; the wall clock since 1970.
    Tick(Duration),
}
