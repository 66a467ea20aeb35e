//! Starts and stops the tasks of one entry process.

use std::net::SocketAddr;

use actix_rt::task::JoinHandle;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::{HandoverStage, LeaseTiming, LedgerState, PluginEntry, PluginRegistry};
use crate::plugins::bundle_signature;
use crate::prelude::*;
use crate::settings::{EntrySettings, SettingFault};
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::adapter::{
    AdapterEntry, DirectoryAdapter, EndpointAdapter, FrontContext, FrontEnd, LogAdapter, WorkerAdapter,
};
use crate::tasks::admission::AdmissionTask;
use crate::tasks::directory::DirectoryTask;
use crate::tasks::journal::{JournalMessage, JournalTask};
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::operator::OperatorService;
use crate::tasks::operator_view::OperatorView;
use crate::tasks::outbox::JournalOutputs;
use crate::tasks::peer::{self, PeerMessage, PeerOutputs, PeerService, PeerTask};
use crate::tasks::router::{RouterMessage, RouterTask};
use crate::tasks::scheduler::{SchedulerMessage, SchedulerTask};
use crate::tasks::worker::{SyncTiming, WorkerMessage, WorkerTask};

/// Extra time after a lease for messages on their way; the clock rate error comes on top.
const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// Longest wait for requests that other entry processes forwarded; endpoints may take 30 s.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(35);
/// Time for the last replies to reach other entry processes before the sockets close.
const CLOSE_TIME: Duration = Duration::from_millis(100);
/// Longest wait for each step of a hand-over.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running entry process.
pub struct EntryProcess {
    /// Name of this life of the process.
    pub process: ProcessId,
    /// Address of the callers' interface.
    pub listen: SocketAddr,
    /// Address of the interface for other entry processes.
    pub peer_listen: SocketAddr,
    /// Address of the operators' interface.
    pub operator_listen: SocketAddr,
    stopping: CancellationToken,
    token: CancellationToken,
    front: JoinHandle<()>,
    peer: mpsc::Sender<PeerMessage>,
    journal: mpsc::Sender<JournalMessage>,
    router: mpsc::Sender<RouterMessage>,
    closed: CancellationToken,
}

impl EntryProcess {
    /// Binds all sockets and starts all tasks on the current actix runtime.
    ///
    /// # Errors
    ///
    /// Returns a fault if a socket cannot be bound or a plug-in is not linked.
    pub async fn start(settings: EntrySettings) -> Result<Self, SettingFault> {
        let listener = bind("listen", settings.listen).await?;
        let peer_listener = bind("peer-listen", settings.peer_listen).await?;
        let operator_listener = bind("operator-listen", settings.operator_listen).await?;
        let peer_address = local(&peer_listener)?;
        let operator_address = local(&operator_listener)?;
        let address = local(&listener)?;
        log_plugins();

        let process: ProcessId = format!("{}.{:016x}", settings.vm, incarnation()?).into();
        let token = CancellationToken::new();
        let stopping = token.child_token();
        let closed = token.child_token();
        let start = TaskStart {
            closed: closed.clone(),
            process: process.clone(),
            registry: PluginRegistry::collect(),
            adapters: AdapterSet::select()?,
            metrics: EntryMetrics::new().map_err(|error| SettingFault { text: error.to_string() })?,
            token: token.clone(),
            stopping: stopping.clone(),
            settings,
        };
        let (journal, journal_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (peer, peer_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let shared =
            SharedInboxes { journal: (journal.clone(), journal_inbox), peer: (peer.clone(), peer_inbox) };
        let (front, router) = start.spawn_all(listener, peer_listener, operator_listener, shared);
        log::info!(process = &*process, listen:% = address; "entry process started");
        Ok(Self {
            process,
            listen: address,
            peer_listen: peer_address,
            operator_listen: operator_address,
            stopping,
            token,
            front,
            peer,
            journal,
            router,
            closed,
        })
    }

    /// Stops gracefully: takes no new requests, hands worker shards over, answers the requests that were taken,
    /// hands the service partitions over, writes what is left to the log, then ends all tasks.
    pub async fn stop(mut self) {
        self.stopping.cancel();
        self.leave(HandoverStage::WorkerShards).await;
        // The front end failed only if it panicked; the other tasks end either way.
        let _ = (&mut self.front).await;
        let (reply, drained) = oneshot::channel();
        let _ = self.router.send(RouterMessage::Drain(reply)).await;
        if tokio::time::timeout(DRAIN_TIMEOUT, drained).await.is_err() {
            log::warn!(process = &*self.process; "requests of other entry processes are still open");
        }
        self.leave(HandoverStage::AllShards).await;
        // Requests that were taken before this moment are refused as not run, not cut off.
        self.closed.cancel();
        tokio::time::sleep(CLOSE_TIME).await;
        let (reply, flushed) = oneshot::channel();
        let _ = self.journal.send(JournalMessage::Flush(reply)).await;
        let _ = tokio::time::timeout(LEAVE_TIMEOUT, flushed).await;
        self.token.cancel();
        log::info!(process = &*self.process; "entry process stopped");
    }

    async fn leave(&self, stage: HandoverStage) {
        let (reply, left) = oneshot::channel();
        let _ = self.peer.send(PeerMessage::Leave(stage, reply)).await;
        if tokio::time::timeout(LEAVE_TIMEOUT, left).await.is_err() {
            log::warn!(process = &*self.process; "shards not handed over in time");
        }
    }

    /// Ends all tasks at once, as a crash would.
    pub fn kill(self) {
        self.front.abort();
        self.token.cancel();
    }
}

/// The adapters of a process.
struct AdapterSet {
    log: LogAdapter,
    directory: DirectoryAdapter,
    worker: WorkerAdapter,
    endpoint: EndpointAdapter,
    front: FrontEnd,
}

impl AdapterSet {
    fn select() -> Result<Self, SettingFault> {
        Ok(Self {
            log: required(AdapterEntry::find(AdapterEntry::log))?,
            directory: required(AdapterEntry::find(AdapterEntry::directory))?,
            worker: required(AdapterEntry::find(AdapterEntry::worker))?,
            endpoint: required(AdapterEntry::find(AdapterEntry::endpoint))?,
            front: required(AdapterEntry::find(AdapterEntry::front))?,
        })
    }
}

/// Channels of the tasks that the process itself speaks to.
struct SharedInboxes {
    journal: (mpsc::Sender<JournalMessage>, mpsc::Receiver<JournalMessage>),
    peer: (mpsc::Sender<PeerMessage>, mpsc::Receiver<PeerMessage>),
}

/// What the tasks are started with.
struct TaskStart {
    process: ProcessId,
    registry: PluginRegistry,
    adapters: AdapterSet,
    metrics: EntryMetrics,
    token: CancellationToken,
    stopping: CancellationToken,
    closed: CancellationToken,
    settings: EntrySettings,
}

impl TaskStart {
    /// Spawns all tasks and returns the handle of the front end and the sender to the router.
    fn spawn_all(
        self,
        front: TcpListener,
        peer: TcpListener,
        operator: TcpListener,
        shared: SharedInboxes,
    ) -> (JoinHandle<()>, mpsc::Sender<RouterMessage>) {
        let (journal_sender, journal_inbox) = shared.journal;
        let (peer_sender, peer_inbox) = shared.peer;
        let (scheduler_sender, scheduler_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (router_sender, router_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (admission_sender, admission_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (worker_sender, worker_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let outputs = JournalOutputs {
            scheduler: scheduler_sender.clone(),
            router: router_sender.clone(),
            admission: admission_sender.clone(),
            peer: peer_sender.clone(),
        };

        actix_rt::spawn(self.journal(outputs).run(journal_inbox, self.token.clone()));
        let scheduler = self.scheduler(journal_sender.clone(), worker_sender);
        actix_rt::spawn(scheduler.run(scheduler_inbox, self.token.clone()));
        actix_rt::spawn(self.worker(scheduler_sender.clone()).run(worker_inbox, self.token.clone()));
        let router = self.router(router_sender.clone(), journal_sender.clone());
        actix_rt::spawn(router.run(router_inbox, self.token.clone()));
        let admission = self.admission(journal_sender.clone(), router_sender.clone(), peer_sender.clone());
        actix_rt::spawn(admission.run(admission_inbox, self.token.clone()));
        let peer_outputs = PeerOutputs {
            peer: peer_sender.clone(),
            journal: journal_sender.clone(),
            admission: admission_sender.clone(),
            scheduler: scheduler_sender.clone(),
        };
        let peers = PeerTask::new(self.process.clone(), self.settings.vm.clone(), peer_outputs);
        actix_rt::spawn(peers.run(peer_inbox, self.token.clone()));
        let service = PeerService {
            peer: peer_sender.clone(),
            admission: admission_sender.clone(),
            scheduler: scheduler_sender.clone(),
            closed: self.closed.clone(),
        };
        actix_rt::spawn(peer::serve(peer, service, self.token.clone()));
        let directory = DirectoryTask {
            adapter: self.adapters.directory,
            address: self.settings.directory.clone(),
            admission: admission_sender.clone(),
            scheduler: scheduler_sender.clone(),
            router: router_sender.clone(),
            peer: peer_sender.clone(),
        };
        actix_rt::spawn(directory.run(self.token.clone()));
        let service = OperatorService {
            process: self.process,
            metrics: self.metrics,
            view: OperatorView {
                journal: journal_sender,
                scheduler: scheduler_sender,
                router: router_sender.clone(),
                admission: admission_sender.clone(),
                peer: peer_sender,
                directory: self.adapters.directory,
                directory_address: self.settings.directory.clone(),
            },
            stopping: self.stopping.clone(),
        };
        actix_rt::spawn(service.serve(operator, self.token.clone()));
        let context = FrontContext { listener: front, admission: admission_sender, token: self.stopping };
        (actix_rt::spawn((self.adapters.front.serve)(context)), router_sender)
    }

    fn journal(&self, outputs: JournalOutputs) -> JournalTask {
        let signers = self.settings.signers.clone();
        let verifier = bundle_signature::codec(self.registry.clone(), signers, self.settings.approvals);
        let client = (self.adapters.log.connect)(&self.settings.log);
        let (process, window) = (self.process.clone(), self.settings.commit_window);
        JournalTask::new(process, client, LedgerState::new(verifier), outputs, window, self.metrics.clone())
    }

    fn scheduler(
        &self,
        journal: mpsc::Sender<JournalMessage>,
        worker: mpsc::Sender<WorkerMessage>,
    ) -> SchedulerTask {
        let timing = LeaseTiming {
            lease: self.settings.lease,
            report_lag: LEASE_MARGIN,
            fences: self.adapters.worker.fences && self.adapters.worker.stamps,
        };
        let (process, registry) = (self.process.clone(), self.registry.clone());
        SchedulerTask::new(process, registry, timing, journal, worker, self.metrics.clone())
    }

    fn worker(&self, scheduler: mpsc::Sender<SchedulerMessage>) -> WorkerTask {
        let timing = SyncTiming {
            interval: self.settings.sync_interval,
            lease: self.settings.lease,
            answer_within: LEASE_MARGIN,
        };
        WorkerTask::new(self.adapters.worker, timing, scheduler, self.metrics.clone())
    }

    fn router(
        &self,
        router: mpsc::Sender<RouterMessage>,
        journal: mpsc::Sender<JournalMessage>,
    ) -> RouterTask {
        let (process, registry) = (self.process.clone(), self.registry.clone());
        RouterTask::new(process, registry, self.adapters.endpoint, router, journal, self.metrics.clone())
    }

    fn admission(
        &self,
        journal: mpsc::Sender<JournalMessage>,
        router: mpsc::Sender<RouterMessage>,
        peer: mpsc::Sender<PeerMessage>,
    ) -> AdmissionTask {
        let (process, zone) = (self.process.clone(), self.settings.zone.clone());
        AdmissionTask::new(process, zone, self.registry.clone(), journal, router, peer, self.metrics.clone())
    }
}

fn log_plugins() {
    for entry in inventory::iter::<PluginEntry> {
        let (kind, name) = entry.describe();
        log::info!(kind = kind, name = name; "plug-in linked");
    }
    for (kind, name) in AdapterEntry::list() {
        log::info!(kind = kind, name = name; "plug-in linked");
    }
}

async fn bind(flag: &str, address: SocketAddr) -> Result<TcpListener, SettingFault> {
    TcpListener::bind(address)
        .await
        .map_err(|error| SettingFault { text: format!("--{flag}: cannot listen on {address}: {error}") })
}

fn local(listener: &TcpListener) -> Result<SocketAddr, SettingFault> {
    listener.local_addr().map_err(|error| SettingFault { text: error.to_string() })
}

fn incarnation() -> Result<u64, SettingFault> {
    getrandom::u64().map_err(|error| SettingFault { text: format!("no random numbers: {error}") })
}

fn required<T>(adapter: Option<T>) -> Result<T, SettingFault> {
    adapter.ok_or_else(|| SettingFault { text: "a needed adapter is not linked into this program".into() })
}
