//! Interfaces of the plug-ins that connect the tasks to other systems: plain structs of functions and
//! closures.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::{AttemptFailure, EndpointHealth, RecordGroup, WorkerCommand, WorkerReport};
use crate::prelude::*;
use crate::tasks::admission::AdmissionMessage;
use crate::tasks::client_access::ClientAccess;
use crate::tasks::vm_list::{ListCursor, ListRead};

/// Why a log operation got no usable answer, as one line; a failed append may still have taken effect.
#[derive(Clone, Debug, derive_more::Display)]
pub struct LogFault(pub String);

/// A page of record groups read from the log.
#[derive(Clone, Debug, Default)]
pub struct LogPage {
    /// Oldest offset that the log retains.
    pub first: LogOffset,
    /// Offset after the last group of the page, where the next read starts.
    pub next: LogOffset,
    /// Groups with their offsets; `None` where a record cannot be decoded.
    pub groups: Vec<(LogOffset, Option<RecordGroup>)>,
}

impl LogPage {
    /// Maximum number of groups in one page; a page with fewer reached the end of the log.
    pub const MAX_GROUPS: usize = 500;
}

/// Resolves to the offset of the appended group.
pub type AppendFuture = LocalBoxFuture<'static, Result<LogOffset, LogFault>>;
/// Resolves to a page of the log.
pub type ReadFuture = LocalBoxFuture<'static, Result<LogPage, LogFault>>;

/// Client of one log service.
#[derive(Clone)]
pub struct LogClient {
    /// Appends a group of records as a unit, at one offset of the log.
    pub append: Rc<dyn Fn(RecordGroup) -> AppendFuture>,
    /// Reads a page from an offset; the service may hold its reply for up to the duration until there are
    /// records.
    pub read: Rc<dyn Fn(LogOffset, Duration) -> ReadFuture>,
}

/// Adapter for a log service.
#[derive(Clone, Copy)]
pub struct LogAdapter {
    /// Name of the plug-in, for log messages.
    pub name: &'static str,
    /// Returns a client for the address.
    pub connect: fn(address: &str) -> LogClient,
}

/// Resolves to a read of the VM list; the error is one line, to be logged.
pub type ListFuture = LocalBoxFuture<'static, Result<ListRead, String>>;

/// Reads the VM list; takes the cursor of the list that the caller holds.
pub type DirectoryClient = Rc<dyn Fn(ListCursor) -> ListFuture>;

/// Adapter for a VM list, which settings and adapter names call the directory.
#[derive(Clone, Copy)]
pub struct DirectoryAdapter {
    /// Name of the plug-in, for log messages.
    pub name: &'static str,
    /// Returns a client for the address.
    pub connect: fn(address: &str) -> DirectoryClient,
}

/// Opaque stamp in a worker's answer to a sync: the worker's incarnation and its monotonic time at the
/// answer. Only the worker interprets it.
pub type WorkerStamp = Arc<str>;

/// Request of one worker sync.
#[derive(Clone, Debug)]
pub struct SyncRequest {
    /// Worker that is synced.
    pub vm: VmId,
    /// Fencing token of the owner of the worker's shard.
    pub token: FencingToken,
    /// How long the worker may run its tasks, counted from the time in `stamp`, or without stamps from when
    /// the worker reads the sync.
    pub lease: Duration,
    /// Stamp of an earlier answer; `None` if the worker gives no stamps, or if no valid one is known. In the
    /// second case `lease` is zero and `commands` holds no start.
    pub stamp: Option<WorkerStamp>,
    /// Commands that no answered sync has carried yet.
    pub commands: Vec<WorkerCommand>,
    /// Revision of the running tasks in the last answer; `None` if the sender knows none or the worker gives
    /// none.
    pub known_revision: Option<ReportRevision>,
}

/// Answer of a worker to an accepted sync.
#[derive(Clone, Debug, Default)]
pub struct SyncAnswer {
    /// Running and ended tasks.
    pub report: WorkerReport,
    /// Stamp for the next sync; `None` only from adapters without stamps.
    pub stamp: Option<WorkerStamp>,
    /// Tasks that the worker did not start because the lease of the sync had expired.
    pub rejected: Vec<TaskId>,
    /// Revision of the running tasks, for [`SyncRequest::known_revision`]; `None` if the worker gives none.
    pub revision: Option<ReportRevision>,
}

/// Result of a worker sync.
#[derive(Clone, Debug)]
pub enum SyncResult {
    /// The worker accepted the sync; the report lists all running tasks.
    FullReport(SyncAnswer),
    /// The worker accepted the sync and still runs the tasks of the known revision; the report lists none of
    /// them.
    Unchanged(SyncAnswer),
    /// The worker refused the sync because it has accepted this newer fencing token.
    Fenced(FencingToken),
    /// There was no usable answer, for the given reason; the commands may have taken effect.
    Unknown(String),
}

/// Sends a sync to one worker.
pub type WorkerClient = Rc<dyn Fn(SyncRequest) -> LocalBoxFuture<'static, SyncResult>>;

/// Adapter for workers.
#[derive(Clone, Copy)]
pub struct WorkerAdapter {
    /// Name of the plug-in, for log messages.
    pub name: &'static str,
    /// Whether workers refuse fencing tokens older than the highest one that they have seen.
    pub supports_fencing: bool,
    /// Whether workers stamp their answers and count leases from the stamped time.
    ///
    /// Without stamps a lease counts from the time when the worker reads the sync, which may be long after it
    /// was sent. A new owner then places nothing until all earlier leases have expired, as without fencing,
    /// and the leases after a failed sync are shorter. One risk remains: a worker that reads a sync more than
    /// `LeaseTiming::report_lag` after the sync timed out holds a lease that its owner takes for expired, and
    /// may run a task that now runs elsewhere.
    pub supports_stamps: bool,
    /// Returns a client for the address of a worker.
    pub connect: fn(address: &str) -> WorkerClient,
}

/// Complete answer of an endpoint to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointAnswer {
    /// HTTP status code.
    pub status: u16,
    /// The complete body.
    pub body: Bytes,
}

/// A request to send once over a connection to an endpoint. An attempt whose idle connection turns out to be
/// closed sends it again over a new one.
#[derive(Clone)]
pub struct EndpointCall {
    /// Id of the request.
    pub request_id: RequestId,
    /// Body of the request.
    pub body: Bytes,
    /// Maximum time until the complete answer.
    pub timeout: Duration,
    /// Cancelled to end the call early; has no effect once a part of the answer has arrived.
    pub abandon: CancellationToken,
}

/// Outcome of an [`EndpointCall`].
pub struct EndpointExchange {
    /// The complete answer, or why there is none.
    pub result: Result<EndpointAnswer, AttemptFailure>,
    /// The connection, if it can be reused for another call.
    pub connection: Option<EndpointConnection>,
    /// Why bytes that the endpoint sent were dropped; `None` if none were.
    pub dropped: Option<&'static str>,
}

/// An open, idle connection to an endpoint. A call consumes it and returns it if it can be reused.
pub struct EndpointConnection {
    /// Sends the call and resolves to its outcome.
    pub exchange: Box<dyn FnOnce(EndpointCall) -> LocalBoxFuture<'static, EndpointExchange>>,
}

/// Opens a connection to one endpoint; resolves to `None` if that fails.
pub type EndpointOpen = Rc<dyn Fn() -> LocalBoxFuture<'static, Option<EndpointConnection>>>;
/// Probes the health of one endpoint over a new connection; resolves to `None` if it does not answer.
pub type EndpointProbe = Rc<dyn Fn() -> LocalBoxFuture<'static, Option<EndpointHealth>>>;

/// Client of one endpoint.
#[derive(Clone)]
pub struct EndpointClient {
    /// Opens a connection for calls.
    pub open: EndpointOpen,
    /// Probes the health of the endpoint.
    pub probe: EndpointProbe,
}

/// Adapter for endpoints.
#[derive(Clone, Copy)]
pub struct EndpointAdapter {
    /// Name of the plug-in, for log messages.
    pub name: &'static str,
    /// Returns a client for the address of an endpoint.
    pub connect: fn(address: &str) -> EndpointClient,
}

/// Context in which a front end is started.
pub struct FrontContext {
    /// Bound socket for connections of callers.
    pub listener: TcpListener,
    /// The way to the connection table, and the limits on each connection.
    pub access: ClientAccess,
    /// Sender to the admission task.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// Cancelled to stop the front end; requests that were accepted are answered first.
    pub stopping: CancellationToken,
}

/// Adapter that accepts requests from callers.
#[derive(Clone, Copy)]
pub struct FrontEnd {
    /// Name of the plug-in, for log messages.
    pub name: &'static str,
    /// Serves callers until `stopping` is cancelled and the last request is answered.
    pub serve: fn(FrontContext) -> LocalBoxFuture<'static, ()>,
}

/// An adapter of any kind, registered by the file that implements it with `inventory::submit!`.
#[derive(Clone, Copy)]
pub enum AdapterEntry {
    /// Adapter for a log service.
    Log(LogAdapter),
    /// Adapter for a VM list.
    Directory(DirectoryAdapter),
    /// Adapter for workers.
    Worker(WorkerAdapter),
    /// Adapter for endpoints.
    Endpoint(EndpointAdapter),
    /// Adapter that accepts requests from callers.
    Front(FrontEnd),
}

inventory::collect!(AdapterEntry);

impl AdapterEntry {
    /// Returns the kind and the name, for log messages.
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

    /// Returns the kind and the name of each linked adapter, sorted.
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
