//! Talks with the other entry processes: heartbeats, claims and forwarded requests.

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

use crate::kernel::{
    BundleRecord, FrontReply, HandoverStage, LedgerChange, PeerHeartbeat, PeerView, ShardSummary,
};
use crate::prelude::*;
use crate::proto::peer::peer_client::PeerClient;
use crate::proto::peer::peer_server::{Peer, PeerServer};
use crate::proto::peer::{
    Answer, ExplainReply, ExplainRequest, ForwardReply, ForwardRequest, HeartbeatReply, HeartbeatRequest,
    Refusal, forward_reply,
};
use crate::tasks::admission::AdmissionMessage;
use crate::tasks::forward::{PendingForward, forward_call, unreachable_owner};
use crate::tasks::heartbeat;
use crate::tasks::journal::JournalMessage;
use crate::tasks::peer_explain::{self, ForwardedExplain};
use crate::tasks::router::RoutedCall;
use crate::tasks::scheduler::SchedulerMessage;
use crate::tasks::vm_list::EntryVm;

/// Time between heartbeats to each peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between looks at who is alive; a killed owner is replaced at most this much later than it is suspected.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the other side of a connection to show that it is there.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest reply in bytes: an answer of an endpoint and its frame.
const REPLY_LIMIT: usize = 17 << 20;

/// A request for a partition that another process owns.
pub struct ForwardedCall {
    /// The owner of the partition.
    pub owner: ProcessId,
    /// The request.
    pub call: RoutedCall,
}

/// What the peer task is told.
pub enum PeerMessage {
    /// The VM list was read.
    Listed(Vec<EntryVm>),
    /// The ledger changed.
    Changed(LedgerChange),
    /// A peer sent a heartbeat and waits for the answer.
    HeartbeatReceived(PeerHeartbeat, oneshot::Sender<HeartbeatReply>),
    /// A peer answered a heartbeat that was sent at the time; holds the bundle that it has newer.
    HeartbeatAnswered(PeerHeartbeat, Instant, Option<BundleRecord>),
    /// A read of the log that started at the time was folded, and whether it reached the end.
    LogRead(Instant, bool),
    /// A bundle came into force in this process, as published.
    Published(BundleRecord),
    /// Summaries of the owned worker shards.
    Summarised(Vec<ShardSummary>),
    /// Hands shards over; replies once nothing is left to hand over.
    Leave(HandoverStage, oneshot::Sender<()>),
    /// Hands a request to the owner of its partition.
    Forward(Box<ForwardedCall>),
    /// Hands a request to the owner of its partition after an attempt at the last owner.
    RetryForward(Box<PendingForward>),
    /// Asks the owner of a shard about a job.
    Explain(ForwardedExplain),
}

/// State of the peer task.
pub struct PeerTask {
    process: ProcessId,
    vm: VmId,
    view: PeerView,
    bundle: Option<Arc<PolicyBundle>>,
    published: Option<BundleRecord>,
    summaries: Vec<ShardSummary>,
    free: FastMap<ProcessId, Vec<(ShardId, ResourceVector)>>,
    leaving: Option<oneshot::Sender<()>>,
    clients: FastMap<VmId, (String, PeerClient<Channel>)>,
    vm_by_process: FastMap<ProcessId, VmId>,
    owners: FastMap<ShardId, ProcessId>,
    outputs: PeerOutputs,
}

/// Where the peer task sends messages.
#[derive(Clone)]
pub struct PeerOutputs {
    /// Its own inbox.
    pub peer: mpsc::Sender<PeerMessage>,
    /// The journal task.
    pub journal: mpsc::Sender<JournalMessage>,
    /// The admission task.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// The scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
}

impl PeerTask {
    /// Returns the task of a process on a VM.
    #[must_use]
    pub fn new(process: ProcessId, vm: VmId, outputs: PeerOutputs) -> Self {
        Self {
            view: PeerView::new(process.clone(), Instant::now()),
            process,
            vm,
            bundle: None,
            published: None,
            summaries: Vec::new(),
            free: FastMap::default(),
            leaving: None,
            clients: FastMap::default(),
            vm_by_process: FastMap::default(),
            owners: FastMap::default(),
            outputs,
        }
    }

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<PeerMessage>, token: CancellationToken) {
        let mut beat = tokio::time::interval(HEARTBEAT_INTERVAL);
        let mut claim = tokio::time::interval(CLAIM_INTERVAL);
        claim.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message),
                _ = beat.tick() => {
                    self.send_heartbeats();
                    self.ask_summaries();
                }
                _ = claim.tick() => self.look_around().await,
            }
        }
    }

    fn handle(&mut self, message: PeerMessage) {
        let now = Instant::now();
        match message {
            PeerMessage::Listed(entries) => self.connect(entries),
            PeerMessage::Changed(LedgerChange::BundleAdopted(bundle)) => {
                self.view.version = bundle.version;
                self.bundle = Some(bundle);
            }
            PeerMessage::Changed(LedgerChange::ShardClaimed(shard, claim)) => {
                self.owners.insert(shard.clone(), claim.process.clone());
                self.view.note_claim(shard, claim, now);
            }
            PeerMessage::Changed(LedgerChange::GroupApplied(process, _)) => {
                self.view.note_group(&process, now);
            }
            PeerMessage::Changed(_) => {}
            PeerMessage::HeartbeatReceived(heartbeat, reply) => {
                let bundle = heartbeat::encode_bundle(self.published.as_ref(), heartbeat.version);
                self.note_heartbeat(&heartbeat, None, now);
                let beat = Some(heartbeat::encode(&self.heartbeat(now)));
                let _ = reply.send(HeartbeatReply { beat, bundle });
            }
            PeerMessage::HeartbeatAnswered(heartbeat, asked, bundle) => {
                self.note_heartbeat(&heartbeat, Some(asked), now);
                if let Some(record) = bundle {
                    // The next answer brings it again if the journal is busy.
                    let _ = self.outputs.journal.try_send(JournalMessage::OfferBundle(record));
                }
            }
            PeerMessage::LogRead(started, caught_up) => self.view.note_read(started, caught_up),
            PeerMessage::Published(record) => self.published = Some(record),
            PeerMessage::Summarised(summaries) => self.summaries = summaries,
            PeerMessage::Leave(stage, reply) => {
                self.view.stage = stage;
                self.leaving = Some(reply);
                self.send_heartbeats();
            }
            PeerMessage::Forward(forwarded) => {
                self.forward(&forwarded.owner, PendingForward::new(forwarded.call, now));
            }
            PeerMessage::RetryForward(pending) => self.retry_forward(*pending),
            PeerMessage::Explain(explain) => peer_explain::forward(self.client(&explain.owner), explain),
        }
    }

    fn note_heartbeat(&mut self, heartbeat: &PeerHeartbeat, asked: Option<Instant>, now: Instant) {
        self.vm_by_process.insert(heartbeat.process.clone(), heartbeat.vm.clone());
        self.free.insert(heartbeat.process.clone(), heartbeat.free.clone());
        self.view.note_heartbeat(heartbeat, asked, now);
    }

    fn heartbeat(&self, now: Instant) -> PeerHeartbeat {
        PeerHeartbeat {
            process: self.process.clone(),
            vm: self.vm.clone(),
            version: self.view.version,
            log_age: self.view.log_age(now),
            leaving: self.view.stage != HandoverStage::Staying,
            yielding: self.view.is_yielding(now),
            ready: self.view.ready(),
            misses_peer: self.view.misses_peer(now),
            heard: self.view.recently_heard(now),
            free: heartbeat::free_capacity(&self.summaries),
        }
    }

    fn connect(&mut self, entries: Vec<EntryVm>) {
        let listed: FastSet<VmId> = entries.iter().map(|entry| entry.vm.clone()).collect();
        let others = entries.iter().filter(|entry| entry.vm != self.vm && !entry.leaving);
        self.view.note_listed(others.map(|entry| (entry.vm.clone(), entry.region.clone())).collect());
        let own = entries.iter().find(|entry| entry.vm == self.vm);
        self.view.region = own.map(|entry| entry.region.clone()).or(self.view.region.take());
        self.clients.retain(|vm, _| listed.contains(vm));
        for entry in entries.into_iter().filter(|entry| entry.vm != self.vm) {
            let same = self.clients.get(&entry.vm).is_some_and(|(address, _)| *address == entry.address);
            let Ok(endpoint) = Endpoint::from_shared(format!("http://{}", entry.address)) else { continue };
            if !same {
                // A silent connection ends within 3 s, so that its requests are resolved.
                let channel = endpoint
                    .connect_timeout(heartbeat::TIMEOUT)
                    .http2_keep_alive_interval(HEARTBEAT_INTERVAL)
                    .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
                    .connect_lazy();
                let client = PeerClient::new(channel).max_decoding_message_size(REPLY_LIMIT);
                self.clients.insert(entry.vm, (entry.address, client));
            }
        }
    }

    fn send_heartbeats(&self) {
        let beat = heartbeat::encode(&self.heartbeat(Instant::now()));
        for (_, client) in self.clients.values() {
            let request = HeartbeatRequest { beat: Some(beat.clone()) };
            actix_rt::spawn(heartbeat::send_heartbeat(client.clone(), request, self.outputs.peer.clone()));
        }
    }

    fn ask_summaries(&self) {
        let (reply, summaries) = oneshot::channel();
        let sender = self.outputs.peer.clone();
        if self.outputs.scheduler.try_send(SchedulerMessage::Summarise(reply)).is_ok() {
            actix_rt::spawn(async move {
                if let Ok(summaries) = summaries.await {
                    let _ = sender.send(PeerMessage::Summarised(summaries)).await;
                }
            });
        }
    }

    /// Claims and hands over shards, and tells the other tasks until when this process is current.
    async fn look_around(&mut self) {
        let now = Instant::now();
        let shards = self.bundle.as_ref().map(|bundle| bundle.shards()).unwrap_or_default();
        for record in self.view.due_records(&shards, now) {
            let _ = self.outputs.journal.send(JournalMessage::AppendRecord(record)).await;
        }
        if let Some(leaving) = self.leaving.take_if(|_| self.view.is_handover_complete(&shards, now)) {
            let _ = leaving.send(());
        }
        let live = self.view.eligible_owners(now);
        self.free.retain(|process, _| live.contains(process));
        let _ = self.outputs.journal.try_send(JournalMessage::LivePeers(live.len()));
        // The next look sends these again if a task is busy now.
        let until = self.view.current_until(now).unwrap_or(now);
        let _ = self.outputs.scheduler.try_send(SchedulerMessage::CurrentUntil(until));
        let _ = self.outputs.admission.try_send(AdmissionMessage::BundleFreshUntil(until));
        let mut free = heartbeat::free_capacity(&self.summaries);
        free.extend(self.free.values().flatten().cloned());
        let _ = self.outputs.admission.try_send(AdmissionMessage::Free(free));
    }

    fn forward(&self, owner: &ProcessId, pending: PendingForward) {
        actix_rt::spawn(forward_call(self.client(owner), pending, self.outputs.peer.clone()));
    }

    fn retry_forward(&self, mut pending: PendingForward) {
        match self.owners.get(&pending.call.shard) {
            Some(owner) if *owner == self.process => {
                pending.call.deadline = Some(pending.deadline.saturating_duration_since(Instant::now()));
                let admission = self.outputs.admission.clone();
                actix_rt::spawn(async move {
                    let _ = admission.send(AdmissionMessage::Forwarded(Box::new(pending.call))).await;
                });
            }
            Some(owner) => self.forward(owner, pending),
            None => pending.end(unreachable_owner()),
        }
    }

    fn client(&self, process: &ProcessId) -> Option<PeerClient<Channel>> {
        let (_, client) = self.clients.get(self.vm_by_process.get(process)?)?;
        Some(client.clone())
    }
}

/// Serves the interface for other entry processes until the token is cancelled.
pub async fn serve(listener: TcpListener, service: PeerService, token: CancellationToken) {
    let incoming = TcpListenerStream::new(listener);
    let server = Server::builder().add_service(PeerServer::new(service));
    if let Err(fault) = server.serve_with_incoming_shutdown(incoming, token.cancelled_owned()).await {
        log::error!(fault:% = fault; "the interface for entry processes ended");
    }
}

/// The interface for other entry processes.
pub struct PeerService {
    /// The peer task.
    pub peer: mpsc::Sender<PeerMessage>,
    /// The admission task.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// The scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
    /// Cancelled once the process takes no forwarded requests any more.
    pub closed: CancellationToken,
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let heartbeat = heartbeat::decode(request.into_inner().beat)
            .ok_or_else(|| Status::invalid_argument("the heartbeat names no process"))?;
        let (reply, answer) = oneshot::channel();
        let _ = self.peer.send(PeerMessage::HeartbeatReceived(heartbeat, reply)).await;
        answer.await.map(Response::new).map_err(|_| Status::unavailable("the process is stopping"))
    }

    async fn forward(&self, request: Request<ForwardRequest>) -> Result<Response<ForwardReply>, Status> {
        let request = request.into_inner();
        if self.closed.is_cancelled() {
            return Ok(Response::new(encode_reply(unreachable_owner())));
        }
        let (reply, answer) = oneshot::channel();
        let call = decode_call(request, reply);
        let _ = self.admission.send(AdmissionMessage::Forwarded(Box::new(call))).await;
        let reply = answer.await.map_err(|_| Status::unavailable("the process is stopping"))?;
        Ok(Response::new(encode_reply(reply)))
    }

    async fn explain(&self, request: Request<ExplainRequest>) -> Result<Response<ExplainReply>, Status> {
        peer_explain::answer(&self.scheduler, request.into_inner()).await
    }
}

fn decode_call(request: ForwardRequest, reply: oneshot::Sender<FrontReply>) -> RoutedCall {
    RoutedCall {
        shard: request.shard.into(),
        team: request.team.into(),
        request: request.request.into(),
        zone: request.zone.into(),
        idempotent: request.idempotent,
        deadline: Some(Duration::from_millis(request.deadline_ms)),
        body: Bytes::from(request.body),
        reply,
    }
}

fn encode_reply(reply: FrontReply) -> ForwardReply {
    let reply = match reply {
        FrontReply::Answer { status, body } => {
            forward_reply::Reply::Answer(Answer { status: u32::from(status), body: body.to_vec() })
        }
        FrontReply::Refused(refusal) => forward_reply::Reply::Refusal(Refusal {
            code: refusal.code.to_string(),
            message: refusal.message,
            run: refusal.run.to_string(),
            retry_after_ms: refusal
                .retry_after
                .map_or(0, |wait| u64::try_from(wait.as_millis()).unwrap_or(0)),
        }),
        FrontReply::Accepted { .. } | FrontReply::State { .. } => {
            unreachable!("routers answer only with answers")
        }
    };
    ForwardReply { reply: Some(reply) }
}
