//! Starts and stops the tasks of one entry process.

use std::net::SocketAddr;

use actix_rt::task::JoinHandle;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::{HandoverStage, LeaseTiming, LedgerState, PluginEntry, PluginRegistry};
use crate::plugins::{bundle_signature, http};
use crate::prelude::*;
use crate::settings::{EntrySettings, SettingFault};
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::adapter::{
    AdapterEntry, DirectoryAdapter, EndpointAdapter, FrontContext, FrontEnd, LogAdapter, WorkerAdapter,
};
use crate::tasks::admission::AdmissionTask;
use crate::tasks::client_access::ClientAccess;
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

/// Maximum time from sending a worker sync to its answer, and so the maximum age of a report. An owner also
/// adds it to a lease, with an allowance for the clock rate error, to know when the lease has expired.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum wait for the answers to forwarded requests on a graceful stop. The default request timeout is 30
/// s; requests that take longer are cut off.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(35);
/// Time for the last replies to reach other entry processes before the sockets are closed.
const REPLY_FLUSH_TIME: Duration = Duration::from_millis(100);
/// Maximum wait for each stage of a hand-over, and for the last records to be appended to the log.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Handle of a running entry process.
pub struct EntryProcess {
    /// Id of this incarnation of the process: the name of its VM and a random number.
    pub process: ProcessId,
    /// Bound address of the callers' interface.
    pub listen: SocketAddr,
    /// Bound address of the interface for other entry processes.
    pub peer_listen: SocketAddr,
    /// Bound address of the operators' interface.
    pub operator_listen: SocketAddr,
    /// Cancelled when the process stops taking requests from callers.
    stopping: CancellationToken,
    /// Cancelled to end all tasks.
    shutdown: CancellationToken,
    front: JoinHandle<()>,
    peer: mpsc::Sender<PeerMessage>,
    journal: mpsc::Sender<JournalMessage>,
    router: mpsc::Sender<RouterMessage>,
    /// Cancelled when the process stops taking forwarded requests.
    forwarding_closed: CancellationToken,
}

impl EntryProcess {
    /// Binds all sockets and starts all tasks on the current actix runtime.
    ///
    /// # Errors
    ///
    /// Returns a fault if a socket cannot be bound, an adapter is not linked or the metrics cannot be
    /// registered.
    pub async fn start(settings: EntrySettings) -> Result<Self, SettingFault> {
        let listener = bind("listen", settings.listen)?;
        let peer_listener = TcpListener::bind(settings.peer_listen)
            .await
            .map_err(|error| bind_fault("peer-listen", settings.peer_listen, &error))?;
        let operator_listener = bind("operator-listen", settings.operator_listen)?;
        let peer_address = local_address(&peer_listener)?;
        let operator_address = local_address(&operator_listener)?;
        let address = local_address(&listener)?;
        log_plugins();

        let process: ProcessId = format!("{}.{:016x}", settings.vm, random_incarnation()?).into();
        let shutdown = CancellationToken::new();
        let stopping = shutdown.child_token();
        let forwarding_closed = shutdown.child_token();
        let spawner = TaskSpawner {
            forwarding_closed: forwarding_closed.clone(),
            process: process.clone(),
            registry: PluginRegistry::collect(),
            adapters: AdapterSet::select()?,
            metrics: EntryMetrics::new().map_err(|error| SettingFault { text: error.to_string() })?,
            shutdown: shutdown.clone(),
            stopping: stopping.clone(),
            settings,
        };
        let (journal, journal_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let (peer, peer_inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let channels =
            StartChannels { journal: (journal.clone(), journal_inbox), peer: (peer.clone(), peer_inbox) };
        let (front, router) = spawner.spawn_all(listener, peer_listener, operator_listener, channels);
        log::info!(process = &*process, listen:% = address; "entry process started");
        Ok(Self {
            process,
            listen: address,
            peer_listen: peer_address,
            operator_listen: operator_address,
            stopping,
            shutdown,
            front,
            peer,
            journal,
            router,
            forwarding_closed,
        })
    }

    /// Stops the process gracefully: takes no new requests, hands its worker shards over, answers the
    /// accepted requests, hands its service partitions over, appends the remaining records to the log and
    /// ends all tasks.
    pub async fn stop(mut self) {
        self.stopping.cancel();
        self.hand_over(HandoverStage::WorkerShards).await;
        // The handle returns an error only if the front end panicked; the other tasks are ended in any case.
        let _ = (&mut self.front).await;
        let (reply, drained) = oneshot::channel();
        let _ = self.router.send(RouterMessage::Drain(reply)).await;
        if tokio::time::timeout(DRAIN_TIMEOUT, drained).await.is_err() {
            log::warn!(
                process = &*self.process;
                "forwarded requests are still open, stopping without their answers"
            );
        }
        self.hand_over(HandoverStage::AllShards).await;
        // Forwarded requests that arrive from now on are refused as not run, instead of being cut off below.
        self.forwarding_closed.cancel();
        tokio::time::sleep(REPLY_FLUSH_TIME).await;
        let (reply, flushed) = oneshot::channel();
        let _ = self.journal.send(JournalMessage::Flush(reply)).await;
        let _ = tokio::time::timeout(HANDOVER_TIMEOUT, flushed).await;
        self.shutdown.cancel();
        log::info!(process = &*self.process; "entry process stopped");
    }

    /// Hands the shards of a stage over and waits for at most [`HANDOVER_TIMEOUT`].
    async fn hand_over(&self, stage: HandoverStage) {
        let (reply, handed_over) = oneshot::channel();
        let _ = self.peer.send(PeerMessage::HandOver(stage, reply)).await;
        if tokio::time::timeout(HANDOVER_TIMEOUT, handed_over).await.is_err() {
            log::warn!(process = &*self.process; "shards were not handed over in time");
        }
    }

    /// Ends all tasks at once, as a crash would.
    pub fn kill(self) {
        self.front.abort();
        self.shutdown.cancel();
    }
}

/// The linked adapters that the process uses.
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

/// Channels of the journal and peer tasks, which [`EntryProcess::start`] creates because it keeps their
/// senders.
struct StartChannels {
    journal: (mpsc::Sender<JournalMessage>, mpsc::Receiver<JournalMessage>),
    peer: (mpsc::Sender<PeerMessage>, mpsc::Receiver<PeerMessage>),
}

/// Everything that the tasks are created from.
struct TaskSpawner {
    process: ProcessId,
    registry: PluginRegistry,
    adapters: AdapterSet,
    metrics: EntryMetrics,
    shutdown: CancellationToken,
    stopping: CancellationToken,
    forwarding_closed: CancellationToken,
    settings: EntrySettings,
}

impl TaskSpawner {
    /// Spawns all tasks and returns the handle of the front end and the sender to the router.
    fn spawn_all(
        self,
        front: TcpListener,
        peer: TcpListener,
        operator: TcpListener,
        channels: StartChannels,
    ) -> (JoinHandle<()>, mpsc::Sender<RouterMessage>) {
        let (journal_sender, journal_inbox) = channels.journal;
        let (peer_sender, peer_inbox) = channels.peer;
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

        let (access, _) = ClientAccess::start(
            self.settings.connection_capacity,
            self.settings.client_limits,
            self.metrics.connections.clone(),
            self.shutdown.clone(),
        );
        actix_rt::spawn(self.journal(outputs).run(journal_inbox, self.shutdown.clone()));
        let scheduler = self.scheduler(journal_sender.clone(), worker_sender);
        actix_rt::spawn(scheduler.run(scheduler_inbox, self.shutdown.clone()));
        actix_rt::spawn(self.worker(scheduler_sender.clone()).run(worker_inbox, self.shutdown.clone()));
        let router = self.router(router_sender.clone(), journal_sender.clone());
        actix_rt::spawn(router.run(router_inbox, self.shutdown.clone()));
        let admission = self.admission(journal_sender.clone(), router_sender.clone(), peer_sender.clone());
        actix_rt::spawn(admission.run(admission_inbox, self.shutdown.clone()));
        let peer_outputs = PeerOutputs {
            peer: peer_sender.clone(),
            journal: journal_sender.clone(),
            admission: admission_sender.clone(),
            scheduler: scheduler_sender.clone(),
        };
        let peers = PeerTask::new(self.process.clone(), self.settings.vm.clone(), peer_outputs);
        actix_rt::spawn(peers.run(peer_inbox, self.shutdown.clone()));
        let service = PeerService {
            peer: peer_sender.clone(),
            admission: admission_sender.clone(),
            scheduler: scheduler_sender.clone(),
            forwarding_closed: self.forwarding_closed.clone(),
        };
        actix_rt::spawn(peer::serve(peer, service, access.clone(), self.shutdown.clone()));
        let directory = DirectoryTask {
            adapter: self.adapters.directory,
            address: self.settings.directory.clone(),
            admission: admission_sender.clone(),
            scheduler: scheduler_sender.clone(),
            router: router_sender.clone(),
            peer: peer_sender.clone(),
        };
        actix_rt::spawn(directory.run(self.shutdown.clone()));
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
        actix_rt::spawn(service.serve(operator, access.clone(), self.shutdown.clone()));
        let context =
            FrontContext { listener: front, access, admission: admission_sender, stopping: self.stopping };
        (actix_rt::spawn((self.adapters.front.serve)(context)), router_sender)
    }

    fn journal(&self, outputs: JournalOutputs) -> JournalTask {
        let signers = self.settings.signers.clone();
        let verifier = bundle_signature::verifier(self.registry.clone(), signers, self.settings.approvals);
        let client = (self.adapters.log.connect)(&self.settings.log);
        let (process, interval) = (self.process.clone(), self.settings.commit_window);
        JournalTask::new(process, client, LedgerState::new(verifier), outputs, interval, self.metrics.clone())
    }

    fn scheduler(
        &self,
        journal: mpsc::Sender<JournalMessage>,
        worker: mpsc::Sender<WorkerMessage>,
    ) -> SchedulerTask {
        let timing = LeaseTiming {
            lease: self.settings.lease,
            report_lag: SYNC_TIMEOUT,
            // Without stamps a lease may start late, so fencing alone does not bound it; see
            // [`WorkerAdapter::supports_stamps`].
            supports_fencing: self.adapters.worker.supports_fencing && self.adapters.worker.supports_stamps,
        };
        let (process, registry) = (self.process.clone(), self.registry.clone());
        SchedulerTask::new(process, registry, timing, journal, worker, self.metrics.clone())
    }

    fn worker(&self, scheduler: mpsc::Sender<SchedulerMessage>) -> WorkerTask {
        let timing = SyncTiming {
            interval: self.settings.sync_interval,
            lease: self.settings.lease,
            answer_timeout: SYNC_TIMEOUT,
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

fn bind(flag: &str, address: SocketAddr) -> Result<TcpListener, SettingFault> {
    http::listen(address).map_err(|error| bind_fault(flag, address, &error))
}

fn bind_fault(flag: &str, address: SocketAddr, error: &std::io::Error) -> SettingFault {
    SettingFault { text: format!("--{flag}: cannot listen on {address}: {error}") }
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, SettingFault> {
    listener.local_addr().map_err(|error| SettingFault { text: error.to_string() })
}

fn random_incarnation() -> Result<u64, SettingFault> {
    getrandom::u64()
        .map_err(|error| SettingFault { text: format!("cannot draw a random process id: {error}") })
}

fn required<T>(adapter: Option<T>) -> Result<T, SettingFault> {
    adapter.ok_or_else(|| SettingFault { text: "a required adapter is not linked into this program".into() })
}
