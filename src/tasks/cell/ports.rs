//! Interfaces between an entry process that serves a cell and the adapter of its platform, as plain structs
//! of closures.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::{
    CellConfig, CommandOutcome, PollReport, PollRequest, StartCommand, StepKey, StopCommand, WorkerListing,
};
use crate::prelude::*;
use crate::settings::SettingFault;
use crate::tasks::cell::intake::{IntakeMessage, JobSubmission};
use crate::tasks::cell::settings::CellSettings;
use crate::tasks::cell::store_limits::StoreLimits;
use crate::tasks::client_access::ClientAccess;

/// Identifies the writer of an append, so that the store recognises repeated appends and rejects fenced
/// writers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterStamp {
    /// Name of the writer, shared by all its incarnations.
    pub writer: &'static str,
    /// Epoch of the writer; the store rejects appends of lower epochs.
    pub epoch: FencingToken,
    /// Sequence number of the append within the epoch.
    pub sequence: u64,
}

/// An append of records to a topic; either all are stored or none.
#[derive(Clone, Debug)]
pub struct AppendRequest {
    /// Name of the topic.
    pub topic: &'static str,
    /// The partition of the topic.
    pub partition: PartitionNumber,
    /// The records; an empty append only sets the epoch of the writer.
    pub records: Vec<Bytes>,
    /// Offset at which the partition must end for the append to succeed; `None` for any.
    pub expected_offset: Option<LogOffset>,
    /// The writer; `None` for appends that need no fencing and no detection of repetitions.
    pub stamp: Option<WriterStamp>,
    /// Longest wait for the answer.
    pub timeout: Duration,
}

/// Outcome of an append.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum AppendOutcome {
    /// The records are stored, the first of them at this offset.
    #[display("stored at {_0}")]
    Stored(LogOffset),
    /// Nothing was stored, as the partition ends at this offset and not at the expected one.
    #[display("topic ends at {_0}")]
    OffsetMismatch(LogOffset),
    /// Nothing was stored, as the writer was fenced by a higher epoch.
    #[display("fenced")]
    Fenced,
    /// Nothing was stored, as the store expects this sequence number.
    #[display("out of sequence, expected {_0}")]
    OutOfSequence(u64),
    /// Nothing was stored, for another reason.
    #[display("refused: {_0}")]
    Refused(String),
    /// There was no conclusive answer; the records may be stored, now or later.
    #[display("unknown: {_0}")]
    Unknown(String),
}

/// A record of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopicRecord {
    /// Offset of the record in its partition.
    pub offset: LogOffset,
    /// Key of the record in topics that retain the newest record of each key; `None` in other topics.
    pub key: Option<Arc<str>>,
    /// Content of the record; empty if the key was removed.
    pub value: Bytes,
}

/// Records read from a topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TopicPage {
    /// The records, in the order in which the store returned them.
    pub records: Vec<TopicRecord>,
    /// Offset after the last record of the page.
    pub next: LogOffset,
    /// Offset after the last record of the partition.
    pub end: LogOffset,
    /// Offset of the oldest retained record of the partition; zero in a page of the newest records of each key.
    pub first: LogOffset,
}

/// Reason why a read failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ReadFault {
    /// The records at the requested offset have expired; the oldest retained one is at this offset.
    #[display("expired, first offset is {_0}")]
    Expired(LogOffset),
    /// The store did not answer or refused the read.
    #[display("{_0}")]
    Failed(String),
}

/// Future of a read.
pub type PageFuture = LocalBoxFuture<'static, Result<TopicPage, ReadFault>>;

/// Client of the platform's store.
#[derive(Clone)]
pub struct StoreClient {
    /// Largest records and appends that the store accepts.
    pub limits: StoreLimits,
    /// Appends records to a partition of a topic.
    pub append: Rc<dyn Fn(AppendRequest) -> LocalBoxFuture<'static, AppendOutcome>>,
    /// Reads a partition of a topic from an offset; the store waits up to the duration for records if there
    /// are none.
    pub read: Rc<dyn Fn(&'static str, PartitionNumber, LogOffset, Duration) -> PageFuture>,
    /// Reads the newest record of each key of a topic; changes since then are read from the page's `next`
    /// offset on.
    pub newest: Rc<dyn Fn(&'static str) -> PageFuture>,
}

/// The answer of a worker to a start or stop command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandAnswer {
    /// Outcome of the command.
    pub outcome: CommandOutcome,
    /// The worker's clock at the time of the answer, if the answer contains it. It shows that the worker has
    /// restarted; leases are granted by the clock in the answers to polls.
    pub clock: Option<WorkerTime>,
}

/// Outcome of a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The worker's report and its clock at the time of the answer.
    Answered(PollReport, WorkerTime),
    /// The worker rejected the poll because it knows a newer owner.
    Fenced,
    /// The process at the address is not the worker that the poll was meant for, so the runs of that worker
    /// are gone.
    Replaced,
    /// There was no usable answer, for this reason.
    Failed(String),
}

/// Client of one worker.
#[derive(Clone)]
pub struct WorkerClient {
    /// Starts a task; the command also renews the worker's lease until this time on its clock.
    pub start: Rc<dyn Fn(StartCommand, FencingToken, WorkerTime) -> LocalBoxFuture<'static, CommandAnswer>>,
    /// Stops a run.
    pub stop: Rc<dyn Fn(StopCommand, FencingToken) -> LocalBoxFuture<'static, CommandAnswer>>,
    /// Polls the worker for its runs.
    pub poll: Rc<dyn Fn(PollRequest) -> LocalBoxFuture<'static, PollOutcome>>,
}

/// Result of a permit request: the permitted workers with their tickets, or the reason why there is no
/// answer.
pub type AdvisorFuture = LocalBoxFuture<'static, Result<Vec<(WorkerId, PermitTicket)>, String>>;
/// Client of the placement advisor: sends a permit request, which asks which of the workers may run a step.
pub type AdvisorClient = Rc<dyn Fn(StepKey, Vec<WorkerId>) -> AdvisorFuture>;

/// A change that operators published.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// A new configuration.
    Config(Arc<CellConfig>),
    /// Whether a zone is closed, that is, out of service.
    ZoneClosed(ZoneId, bool),
    /// A change that is not relevant or not known to this release of the program.
    Other,
}

/// Resources that the front end, the interface for callers, receives at start.
pub struct FrontEndContext {
    /// Listening socket for callers.
    pub listener: TcpListener,
    /// Listening socket for readiness checks.
    pub readiness_listener: TcpListener,
    /// The way to the connection table, and the limits on each connection.
    pub access: ClientAccess,
    /// Sends messages to the task that admits calls.
    pub intake_sender: mpsc::Sender<IntakeMessage>,
    /// Cancelled when the process begins to drain: readiness checks fail and connections are closed after the
    /// next answer.
    pub draining: CancellationToken,
    /// Stops the front end; calls in progress are answered first.
    pub token: CancellationToken,
}

/// The adapter of one kind of platform. Each adapter registers itself; the environment selects one.
#[derive(Clone, Copy)]
pub struct CellAdapter {
    /// Name of the platform in logs.
    pub name: &'static str,
    /// Environment variable with the path of the platform's settings file; the adapter is selected if it is
    /// set.
    pub variable: &'static str,
    /// Topic to which operators publish changes.
    pub operator_topic: &'static str,
    /// Topic in which workers are registered.
    pub worker_topic: &'static str,
    /// Loads the settings file.
    pub load: fn(path: &str) -> Result<CellSettings, SettingFault>,
    /// Connects to the platform's store.
    pub store: fn(&CellSettings) -> StoreClient,
    /// Returns a client of a registered worker.
    pub worker: fn(&WorkerListing) -> WorkerClient,
    /// Connects to the placement advisor; `None` if the settings name none.
    pub advisor: fn(&CellSettings) -> Option<AdvisorClient>,
    /// Parses an operator change from its key and value; an error names the invalid part.
    pub parse_operator_change: fn(key: &str, value: &[u8]) -> Result<OperatorChange, String>,
    /// Parses the registration of a worker from its key and value; an error names the invalid part.
    pub parse_worker_registration: fn(key: &str, value: &[u8]) -> Result<WorkerListing, String>,
    /// Parses a job in the form in which callers submit it; an error describes the first fault.
    pub parse_job: fn(&[u8]) -> Result<JobSubmission, String>,
    /// Serves callers until the token in the context is cancelled.
    pub serve: fn(FrontEndContext) -> LocalBoxFuture<'static, ()>,
}

inventory::collect!(CellAdapter);

impl CellAdapter {
    /// Returns the linked adapter whose environment variable is set, with the path in that variable.
    #[must_use]
    pub fn find(variable: impl Fn(&str) -> Option<String>) -> Option<(Self, String)> {
        inventory::iter::<Self>.into_iter().find_map(|adapter| Some((*adapter, variable(adapter.variable)?)))
    }
}
