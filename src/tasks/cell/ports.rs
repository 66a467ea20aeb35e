//! What a platform gives to an entry process that serves a cell: plain structs of closures.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::{
    CellConfig, CommandOutcome, PollReport, StartCommand, StepKey, StopCommand, WorkerListing,
};
use crate::prelude::*;
use crate::settings::SettingFault;
use crate::tasks::cell::intake::IntakeMessage;
use crate::tasks::cell::settings::CellSettings;

/// Names the writer of an append, so that a repeated one is recognised and an old writer is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterStamp {
    /// Name of the writer, shared by all its lives.
    pub writer: &'static str,
    /// Its life; the store refuses lower ones.
    pub epoch: FencingToken,
    /// Number of the append in this life.
    pub sequence: u64,
}

/// An append of records to a topic; all are stored or none.
#[derive(Clone, Debug)]
pub struct AppendCall {
    /// The topic.
    pub topic: &'static str,
    /// The partition of the topic.
    pub partition: PartitionNumber,
    /// The records.
    pub records: Vec<Bytes>,
    /// Offset at which the topic must end.
    pub expected_offset: Option<LogOffset>,
    /// The writer.
    pub stamp: Option<WriterStamp>,
    /// Longest wait for the answer.
    pub timeout: Duration,
}

/// What came of an append.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum AppendOutcome {
    /// The records are stored, the first at the offset.
    #[display("stored at {_0}")]
    Stored(LogOffset),
    /// The topic ends elsewhere.
    #[display("topic ends at {_0}")]
    OffsetMismatch(LogOffset),
    /// A later life of the writer has appended.
    #[display("fenced")]
    Fenced,
    /// The writer's next append has another number.
    #[display("out of sequence, expected {_0}")]
    OutOfSequence(u64),
    /// Nothing was stored.
    #[display("refused: {_0}")]
    Refused(String),
    /// The records may be stored, now or later.
    #[display("unknown: {_0}")]
    Unknown(String),
}

/// A record of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopicRecord {
    /// Its offset.
    pub offset: LogOffset,
    /// Its key, in topics that keep the newest record of each key.
    pub key: Option<Arc<str>>,
    /// Its content; empty if the key was dropped.
    pub value: Bytes,
}

/// Records read from a topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TopicPage {
    /// The records.
    pub records: Vec<TopicRecord>,
    /// Offset after the last record of the page.
    pub next: LogOffset,
    /// Offset after the last record of the topic.
    pub end: LogOffset,
}

/// Why a read gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ReadFault {
    /// The records at the offset are no longer kept; the oldest one is at this offset.
    #[display("expired, first offset is {_0}")]
    Expired(LogOffset),
    /// The store did not answer or refused.
    #[display("{_0}")]
    Failed(String),
}

/// Result of a read.
pub type PageFuture = LocalBoxFuture<'static, Result<TopicPage, ReadFault>>;

/// The store of the platform.
#[derive(Clone)]
pub struct StorePort {
    /// Appends records.
    pub append: Rc<dyn Fn(AppendCall) -> LocalBoxFuture<'static, AppendOutcome>>,
    /// Reads a partition of a topic from an offset, and waits up to the duration for records.
    pub read: Rc<dyn Fn(&'static str, PartitionNumber, LogOffset, Duration) -> PageFuture>,
    /// Reads the newest record of each key of a topic; the page ends where a read goes on.
    pub newest: Rc<dyn Fn(&'static str) -> PageFuture>,
}

/// An answer of a worker to an order, with its clock if it told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandAnswer {
    /// What came of the order.
    pub outcome: CommandOutcome,
    /// The worker's clock.
    pub clock: Option<WorkerTime>,
}

/// A question to a worker about what it runs, which also extends its lease.
#[derive(Clone, Debug)]
pub struct PollCall {
    /// Token of the owner.
    pub token: FencingToken,
    /// The last end that is recorded.
    pub acknowledged: TaskEndNumber,
    /// New end of the lease on the worker's clock.
    pub lease: Option<WorkerTime>,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// What came of a look.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// What the worker runs, and its clock.
    Answered(PollReport, WorkerTime),
    /// The worker knows a newer owner.
    Fenced,
    /// Another worker answers at the address.
    Replaced,
    /// No usable answer.
    Failed(String),
}

/// The calls to one worker.
#[derive(Clone)]
pub struct WorkerPort {
    /// Starts a task; the lease of the worker reaches at least to the time on its clock.
    pub start: Rc<dyn Fn(StartCommand, FencingToken, WorkerTime) -> LocalBoxFuture<'static, CommandAnswer>>,
    /// Stops a run.
    pub stop: Rc<dyn Fn(StopCommand, FencingToken) -> LocalBoxFuture<'static, CommandAnswer>>,
    /// Looks at what runs.
    pub poll: Rc<dyn Fn(PollCall) -> LocalBoxFuture<'static, PollOutcome>>,
}

/// Answer of the placement advisor: permitted workers with their tickets; `None` if it gave none.
pub type AdvisorFuture = LocalBoxFuture<'static, Result<Vec<(WorkerId, PermitTicket)>, String>>;
/// Asks the placement advisor which workers may run a step.
pub type AdvisorPort = Rc<dyn Fn(StepKey, Vec<WorkerId>) -> AdvisorFuture>;

/// A change that operators made.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// A new configuration.
    Config(Arc<CellConfig>),
    /// A zone is out of service (`true`) or back.
    Zone(ZoneId, bool),
    /// Something that this version does not know.
    Other,
}

/// What a front end gets at start.
pub struct FrontendContext {
    /// The socket for callers.
    pub listener: TcpListener,
    /// The socket for readiness checks.
    pub ready: TcpListener,
    /// Where calls go.
    pub intake: mpsc::Sender<IntakeMessage>,
    /// Says that the process is about to stop.
    pub leaving: CancellationToken,
    /// Ends the front end; calls that were taken are answered first.
    pub token: CancellationToken,
}

/// Everything that speaks to one kind of platform.
#[derive(Clone, Copy)]
pub struct CellAdapter {
    /// Name in logs.
    pub name: &'static str,
    /// Environment variable with the path of the platform's settings; the adapter is used if it is set.
    pub variable: &'static str,
    /// Topic in which operators publish changes.
    pub operator_topic: &'static str,
    /// Topic in which workers register.
    pub worker_topic: &'static str,
    /// Reads the settings.
    pub load: fn(path: &str) -> Result<CellSettings, SettingFault>,
    /// Returns the store.
    pub store: fn(&CellSettings) -> StorePort,
    /// Returns the calls to a worker.
    pub worker: fn(&WorkerListing) -> WorkerPort,
    /// Returns the placement advisor.
    pub advisor: fn(&CellSettings) -> Option<AdvisorPort>,
    /// Reads a change of operators; an error says what cannot be read.
    pub parse_operator_change: fn(key: &str, value: &[u8]) -> Result<OperatorChange, String>,
    /// Reads the registration of a worker; an error says what cannot be read.
    pub parse_worker_listing: fn(key: &str, value: &[u8]) -> Result<WorkerListing, String>,
    /// Serves callers until the token is cancelled.
    pub serve: fn(FrontendContext) -> LocalBoxFuture<'static, ()>,
}

inventory::collect!(CellAdapter);

impl CellAdapter {
    /// Returns the linked adapter whose variable is set, with the path that it holds.
    #[must_use]
    pub fn find(variable: impl Fn(&str) -> Option<String>) -> Option<(Self, String)> {
        inventory::iter::<Self>.into_iter().find_map(|adapter| Some((*adapter, variable(adapter.variable)?)))
    }
}
