//! Plug-ins that speak to the world outside: plain structs of closures.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::{AttemptFailure, EndpointHealth, RecordGroup, WorkerCommand, WorkerReport};
use crate::prelude::*;
use crate::tasks::admission::AdmissionMessage;
use crate::tasks::vm_list::{ListCursor, ListRead};

/// Why the log service gave no usable answer; the action may have taken effect.
#[derive(Clone, Debug, derive_more::Display)]
pub struct LogFault(pub String);

/// A page of groups read from the log.
#[derive(Clone, Debug, Default)]
pub struct LogPage {
    /// Oldest retained offset.
    pub first: LogOffset,
    /// Offset after the last group of the page.
    pub next: LogOffset,
    /// Groups by offset; `None` where a record cannot be decoded.
    pub groups: Vec<(LogOffset, Option<RecordGroup>)>,
}

impl LogPage {
    /// Most groups in one page; a page with fewer reached the end of the log.
    pub const SIZE: usize = 500;
}

/// Result of an append: the offset of the group.
pub type AppendFuture = LocalBoxFuture<'static, Result<LogOffset, LogFault>>;
/// Result of a read.
pub type ReadFuture = LocalBoxFuture<'static, Result<LogPage, LogFault>>;

/// A connection to the log service.
#[derive(Clone)]
pub struct LogClient {
    /// Appends a group.
    pub append: Rc<dyn Fn(RecordGroup) -> AppendFuture>,
    /// Reads from an offset and waits up to the duration for records.
    pub read: Rc<dyn Fn(LogOffset, Duration) -> ReadFuture>,
}

/// Speaks to a log service.
#[derive(Clone, Copy)]
pub struct LogAdapter {
    /// Name in the settings.
    pub name: &'static str,
    /// Returns a client for the address.
    pub connect: fn(address: &str) -> LogClient,
}

/// Result of a read of the VM list, or one line for the log.
pub type ListFuture = LocalBoxFuture<'static, Result<ListRead, String>>;

/// A connection to the VM list; takes the mark of the list that is known.
pub type DirectoryClient = Rc<dyn Fn(ListCursor) -> ListFuture>;

/// Speaks to a VM list.
#[derive(Clone, Copy)]
pub struct DirectoryAdapter {
    /// Name in the settings.
    pub name: &'static str,
    /// Returns a client for the address.
    pub connect: fn(address: &str) -> DirectoryClient,
}

/// What a worker says of itself and of the time when it answered a sync: its incarnation and its own monotonic
/// time. Only the worker reads it.
pub type WorkerStamp = Arc<str>;

/// What a worker sync carries.
#[derive(Clone, Debug)]
pub struct SyncRequest {
    /// The worker.
    pub vm: VmId,
    /// Token of the owner of its shard.
    pub token: FencingToken,
    /// How long the worker may run its tasks from the stamped time on.
    pub lease: Duration,
    /// Stamp of an earlier answer; without one the sync extends no lease and starts nothing.
    pub stamp: Option<WorkerStamp>,
    /// Commands since the last answered sync.
    pub commands: Vec<WorkerCommand>,
    /// Revision of the list of running tasks that the last answer gave, if the worker gives revisions.
    pub known: Option<ReportRevision>,
}

/// Answer of a worker to an accepted sync.
#[derive(Clone, Debug, Default)]
pub struct SyncAnswer {
    /// What runs and what ended.
    pub report: WorkerReport,
    /// Stamp for the next sync; `None` only from adapters without stamps.
    pub stamp: Option<WorkerStamp>,
    /// Tasks that the worker did not start because the lease of the sync was over.
    pub rejected: Vec<TaskId>,
    /// Revision of the running tasks, if the worker gives one.
    pub revision: Option<ReportRevision>,
}

/// Result of a worker sync.
#[derive(Clone, Debug)]
pub enum SyncResult {
    /// The worker accepted the sync.
    Report(SyncAnswer),
    /// The worker accepted the sync and runs what it ran at the known revision; the report names no running tasks.
    Unchanged(SyncAnswer),
    /// The worker knows a newer owner.
    Fenced(FencingToken),
    /// No answer; the commands may have taken effect.
    Unknown(String),
}

/// A connection to one worker.
pub type WorkerClient = Rc<dyn Fn(SyncRequest) -> LocalBoxFuture<'static, SyncResult>>;

/// Speaks to workers.
#[derive(Clone, Copy)]
pub struct WorkerAdapter {
    /// Name in the settings.
    pub name: &'static str,
    /// Whether workers refuse tokens older than the highest that they have seen.
    pub fences: bool,
    /// Whether workers stamp their answers and count leases from the stamped time.
    ///
    /// Without stamps a lease counts from the time when the worker reads the sync, which may be long after it was
    /// sent. A new owner then places nothing until all earlier leases have ended, as without fencing, and a
    /// failed sync is followed by shorter leases. A worker that reads a sync later than the report lag after the
    /// owner gave it up can still run a task that was placed elsewhere.
    pub stamps: bool,
    /// Returns a client for the address of a worker.
    pub connect: fn(address: &str) -> WorkerClient,
}

/// Answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointAnswer {
    /// HTTP status.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

/// A request for one connection to an endpoint.
#[derive(Clone)]
pub struct EndpointCall {
    /// The request.
    pub request: RequestId,
    /// Its body.
    pub body: Bytes,
    /// Longest time to the answer.
    pub timeout: Duration,
    /// Ends the call unless a part of its answer has arrived.
    pub abandon: CancellationToken,
}

/// What came of an [`EndpointCall`].
pub struct EndpointExchange {
    /// The whole answer, or why there is none.
    pub result: Result<EndpointAnswer, AttemptFailure>,
    /// The connection, if it can take another call.
    pub connection: Option<EndpointConnection>,
    /// Why bytes of the endpoint were dropped.
    pub dropped: Option<&'static str>,
}

/// An open connection to an endpoint that can take one call.
pub struct EndpointConnection {
    /// Sends the call and waits for its answer.
    pub exchange: Box<dyn FnOnce(EndpointCall) -> LocalBoxFuture<'static, EndpointExchange>>,
}

/// Opens a connection to one endpoint; `None` if that failed.
pub type EndpointOpen = Rc<dyn Fn() -> LocalBoxFuture<'static, Option<EndpointConnection>>>;
/// Asks an endpoint for its health over a new connection; `None` if it did not answer.
pub type EndpointProbe = Rc<dyn Fn() -> LocalBoxFuture<'static, Option<EndpointHealth>>>;

/// Reaches one endpoint.
#[derive(Clone)]
pub struct EndpointClient {
    /// Opens a connection.
    pub open: EndpointOpen,
    /// Asks for its health.
    pub probe: EndpointProbe,
}

/// Speaks to endpoints.
#[derive(Clone, Copy)]
pub struct EndpointAdapter {
    /// Name in the settings.
    pub name: &'static str,
    /// Returns a client for an address.
    pub connect: fn(address: &str) -> EndpointClient,
}

/// What a front end gets at start.
pub struct FrontContext {
    /// The bound socket.
    pub listener: TcpListener,
    /// Where requests go.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// Ends the front end; requests that were taken are answered first.
    pub token: CancellationToken,
}

/// Takes requests from callers.
#[derive(Clone, Copy)]
pub struct FrontEnd {
    /// Name in the settings.
    pub name: &'static str,
    /// Serves until the token is cancelled and the last request is answered.
    pub serve: fn(FrontContext) -> LocalBoxFuture<'static, ()>,
}

/// One adapter, submitted by its own file with `inventory::submit!`.
#[derive(Clone, Copy)]
pub enum AdapterEntry {
    /// Speaks to a log service.
    Log(LogAdapter),
    /// Speaks to a VM list.
    Directory(DirectoryAdapter),
    /// Speaks to workers.
    Worker(WorkerAdapter),
    /// Speaks to endpoints.
    Endpoint(EndpointAdapter),
    /// Takes requests from callers.
    Front(FrontEnd),
}

inventory::collect!(AdapterEntry);

impl AdapterEntry {
    /// Returns kind and name, for logs and error messages.
    #[must_use]
    pub const fn describe(&self) -> (&'static str, &'static str) {
        match self {
            Self::Log(adapter) => ("log", adapter.name),
            Self::Directory(adapter) => ("directory", adapter.name),
            Self::Worker(adapter) => ("worker", adapter.name),
            Self::Endpoint(adapter) => ("endpoint", adapter.name),
            Self::Front(front) => ("front", front.name),
        }
    }

    /// Returns kind and name of all linked adapters, sorted.
    #[must_use]
    pub fn list() -> Vec<(&'static str, &'static str)> {
        let mut list: Vec<_> = inventory::iter::<Self>.into_iter().map(Self::describe).collect();
        list.sort_unstable();
        list
    }

    /// Returns the first linked adapter that `select` accepts.
    pub fn find<T>(select: impl Fn(&Self) -> Option<T>) -> Option<T> {
        inventory::iter::<Self>.into_iter().find_map(select)
    }

    /// Returns the [`LogAdapter`] of the entry, if it is one.
    #[must_use]
    pub const fn log(&self) -> Option<LogAdapter> {
        match self {
            Self::Log(adapter) => Some(*adapter),
            _ => None,
        }
    }

    /// Returns the [`DirectoryAdapter`] of the entry, if it is one.
    #[must_use]
    pub const fn directory(&self) -> Option<DirectoryAdapter> {
        match self {
            Self::Directory(adapter) => Some(*adapter),
            _ => None,
        }
    }

    /// Returns the [`WorkerAdapter`] of the entry, if it is one.
    #[must_use]
    pub const fn worker(&self) -> Option<WorkerAdapter> {
        match self {
            Self::Worker(adapter) => Some(*adapter),
            _ => None,
        }
    }

    /// Returns the [`EndpointAdapter`] of the entry, if it is one.
    #[must_use]
    pub const fn endpoint(&self) -> Option<EndpointAdapter> {
        match self {
            Self::Endpoint(adapter) => Some(*adapter),
            _ => None,
        }
    }

    /// Returns the [`FrontEnd`] of the entry, if it is one.
    #[must_use]
    pub const fn front(&self) -> Option<FrontEnd> {
        match self {
            Self::Front(adapter) => Some(*adapter),
            _ => None,
        }
    }
}
