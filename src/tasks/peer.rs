//! Communicates with the other entry processes: exchanges heartbeats, claims and hands over shards, forwards
//! requests.

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
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
use crate::tasks::client_access::ClientAccess;
use crate::tasks::forward::{PendingForward, forward_call, unreachable_owner};
use crate::tasks::heartbeat;
use crate::tasks::journal::JournalMessage;
use crate::tasks::leased_stream::LeasedStream;
use crate::tasks::peer_explain::{self, ForwardedExplain};
use crate::tasks::router::RoutedCall;
use crate::tasks::scheduler::SchedulerMessage;
use crate::tasks::vm_list::EntryVm;

/// Time between heartbeats to each peer, and between keep-alive pings on each connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between checks of which processes are alive; the shards of a killed owner are claimed at most this
/// much later than it is suspected.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum wait for the reply to a keep-alive ping before the connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a reply in bytes: 16 MiB for the answer, as the `endpoint_http` adapter allows, and 1 MiB
/// for the framing.
const MAX_REPLY_BYTES: usize = 17 << 20;

/// A request to be forwarded to the process that owns its partition.
pub struct ForwardedCall {
    /// The owner of the partition.
    pub owner: ProcessId,
    /// The request and the sender of its reply.
    pub call: RoutedCall,
}

/// Message to the [`PeerTask`].
pub enum PeerMessage {
    /// Entry VMs on the VM list after it changed, this one included.
    EntryVmsListed(Vec<EntryVm>),
    /// A change of the ledger, from the journal.
    LedgerChanged(LedgerChange),
    /// A heartbeat from a peer, with the sender of its answer.
    HeartbeatReceived(PeerHeartbeat, oneshot::Sender<HeartbeatReply>),
    /// A peer's answer to the heartbeat sent at this time, with the peer's bundle if it is newer than the one
    /// here.
    HeartbeatAnswered(PeerHeartbeat, Instant, Option<BundleRecord>),
    /// A read of the log that started at this time was applied; the flag tells whether it reached the end of
    /// the log.
    LogRead(Instant, bool),
    /// The signed record of the bundle that came into force in this process.
    BundleRecordAdopted(BundleRecord),
    /// Summaries of the owned worker shards, from the scheduler.
    Summarised(Vec<ShardSummary>),
    /// Starts a stage of the hand-over on a graceful stop; replies once no shard of the stage is left to hand
    /// over.
    HandOver(HandoverStage, oneshot::Sender<()>),
    /// Forwards a request to the owner of its partition.
    Forward(Box<ForwardedCall>),
    /// Forwards a request again, to the present owner of its partition, after an earlier attempt failed.
    RetryForward(Box<PendingForward>),
    /// Asks the owner of a job's shard to explain the job.
    Explain(ForwardedExplain),
}

/// Task that communicates with the other entry processes.
pub struct PeerTask {
    process: ProcessId,
    vm: VmId,
    view: PeerView,
    bundle: Option<Arc<PolicyBundle>>,
    bundle_record: Option<BundleRecord>,
    summaries: Vec<ShardSummary>,
    /// Free capacity of the shards of each peer, from its last heartbeat.
    free_by_process: FastMap<ProcessId, Vec<(ShardId, ResourceVector)>>,
    /// Shards whose owner has last reported workers that are not on the VM list and may still run tasks. They
    /// are kept when the owner falls silent.
    unlisted_shards: FastSet<ShardId>,
    /// Sender of the reply to the hand-over in progress.
    handover_reply: Option<oneshot::Sender<()>>,
    /// Address and client of each peer's VM.
    clients: FastMap<VmId, (String, PeerClient<Channel>)>,
    vm_by_process: FastMap<ProcessId, VmId>,
    owner_by_shard: FastMap<ShardId, ProcessId>,
    outputs: PeerOutputs,
}

/// Senders to the tasks that get messages from the peer task.
#[derive(Clone)]
pub struct PeerOutputs {
    /// Sender to the peer task itself.
    pub peer: mpsc::Sender<PeerMessage>,
    /// Sender to the journal task.
    pub journal: mpsc::Sender<JournalMessage>,
    /// Sender to the admission task.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// Sender to the scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
}

impl PeerTask {
    /// Returns the task of the given process, which runs on the given VM.
    #[must_use]
    pub fn new(process: ProcessId, vm: VmId, outputs: PeerOutputs) -> Self {
        Self {
            view: PeerView::new(process.clone(), Instant::now()),
            process,
            vm,
            bundle: None,
            bundle_record: None,
            summaries: Vec::new(),
            free_by_process: FastMap::default(),
            unlisted_shards: FastSet::default(),
            handover_reply: None,
            clients: FastMap::default(),
            vm_by_process: FastMap::default(),
            owner_by_shard: FastMap::default(),
            outputs,
        }
    }

    /// Runs until `shutdown` is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<PeerMessage>, shutdown: CancellationToken) {
        let mut heartbeat_tick = tokio::time::interval(HEARTBEAT_INTERVAL);
        let mut claim_tick = tokio::time::interval(CLAIM_INTERVAL);
        claim_tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message),
                _ = heartbeat_tick.tick() => {
                    self.send_heartbeats();
                    self.request_summaries();
                }
                _ = claim_tick.tick() => self.update_ownership().await,
            }
        }
    }

    fn handle(&mut self, message: PeerMessage) {
        let now = Instant::now();
        match message {
            PeerMessage::EntryVmsListed(entry_vms) => self.update_clients(entry_vms),
            PeerMessage::LedgerChanged(LedgerChange::BundleAdopted(bundle)) => {
                self.view.version = bundle.version;
                self.bundle = Some(bundle);
            }
            PeerMessage::LedgerChanged(LedgerChange::ShardClaimed(shard, claim)) => {
                self.owner_by_shard.insert(shard.clone(), claim.process.clone());
                self.view.note_claim(shard, claim, now);
            }
            PeerMessage::LedgerChanged(LedgerChange::GroupApplied(process, _)) => {
                self.view.note_group(&process, now);
            }
            PeerMessage::LedgerChanged(_) => {}
            PeerMessage::HeartbeatReceived(heartbeat, reply) => {
                let bundle = heartbeat::encode_bundle(self.bundle_record.as_ref(), heartbeat.version);
                self.note_heartbeat(&heartbeat, None, now);
                let confirms_claims = self.view.confirms_claims(&heartbeat.claims);
                let answer = PeerHeartbeat { confirms_claims, ..self.heartbeat(now) };
                let beat = Some(heartbeat::encode(&answer));
                let _ = reply.send(HeartbeatReply { beat, bundle });
            }
            PeerMessage::HeartbeatAnswered(heartbeat, sent_at, bundle) => {
                self.note_heartbeat(&heartbeat, Some(sent_at), now);
                if let Some(record) = bundle {
                    // If the channel of the journal is full, the next answer to a heartbeat carries the
                    // bundle again.
                    let _ = self.outputs.journal.try_send(JournalMessage::PeerBundle(record));
                }
            }
            PeerMessage::LogRead(started, caught_up) => self.view.note_read(started, caught_up),
            PeerMessage::BundleRecordAdopted(record) => self.bundle_record = Some(record),
            PeerMessage::Summarised(summaries) => self.summaries = summaries,
            PeerMessage::HandOver(stage, reply) => {
                self.view.stage = stage;
                self.handover_reply = Some(reply);
                self.send_heartbeats();
            }
            PeerMessage::Forward(forwarded) => {
                self.forward(&forwarded.owner, PendingForward::new(forwarded.call, now));
            }
            PeerMessage::RetryForward(pending) => self.retry_forward(*pending),
            PeerMessage::Explain(explain) => peer_explain::forward(self.client(&explain.owner), explain),
        }
    }

    fn note_heartbeat(&mut self, heartbeat: &PeerHeartbeat, sent_at: Option<Instant>, now: Instant) {
        self.vm_by_process.insert(heartbeat.process.clone(), heartbeat.vm.clone());
        self.free_by_process.insert(heartbeat.process.clone(), heartbeat.free.clone());
        self.unlisted_shards.retain(|shard| self.owner_by_shard.get(shard) != Some(&heartbeat.process));
        self.unlisted_shards.extend(heartbeat.unlisted.iter().cloned());
        self.view.note_heartbeat(heartbeat, sent_at, now);
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
            claims: Vec::new(),
            confirms_claims: false,
            unlisted: heartbeat::unlisted_shards(&self.summaries),
        }
    }

    fn update_clients(&mut self, entry_vms: Vec<EntryVm>) {
        let listed: FastSet<VmId> = entry_vms.iter().map(|entry| entry.vm.clone()).collect();
        let others = entry_vms.iter().filter(|entry| entry.vm != self.vm && !entry.leaving);
        self.view.note_listed(others.map(|entry| (entry.vm.clone(), entry.region.clone())).collect());
        let own = entry_vms.iter().find(|entry| entry.vm == self.vm);
        self.view.region = own.map(|entry| entry.region.clone()).or(self.view.region.take());
        self.clients.retain(|vm, _| listed.contains(vm));
        for entry in entry_vms.into_iter().filter(|entry| entry.vm != self.vm) {
            let same = self.clients.get(&entry.vm).is_some_and(|(address, _)| *address == entry.address);
            let Ok(endpoint) = Endpoint::from_shared(format!("http://{}", entry.address)) else { continue };
            if !same {
                // A connection that falls silent is closed within 3 s, so that its requests do not wait for
                // longer.
                let channel = endpoint
                    .connect_timeout(heartbeat::TIMEOUT)
                    .http2_keep_alive_interval(HEARTBEAT_INTERVAL)
                    .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
                    .connect_lazy();
                let client = PeerClient::new(channel).max_decoding_message_size(MAX_REPLY_BYTES);
                self.clients.insert(entry.vm, (entry.address, client));
            }
        }
    }

    fn send_heartbeats(&self) {
        let now = Instant::now();
        let claims = self.view.claims_to_confirm(now);
        let beat = heartbeat::encode(&PeerHeartbeat { claims, ..self.heartbeat(now) });
        for (_, client) in self.clients.values() {
            let request = HeartbeatRequest { beat: Some(beat.clone()) };
            actix_rt::spawn(heartbeat::send_heartbeat(client.clone(), request, self.outputs.peer.clone()));
        }
    }

    fn request_summaries(&self) {
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

    /// Claims and hands over shards, and tells the other tasks how many processes may own shards, since when
    /// its ownership is confirmed, until when the bundle counts as fresh and how much capacity is free.
    async fn update_ownership(&mut self) {
        let now = Instant::now();
        let shards = self.bundle.as_ref().map(|bundle| bundle.shards()).unwrap_or_default();
        for record in self.view.due_records(&shards, now) {
            let _ = self.outputs.journal.send(JournalMessage::AppendRecord(record)).await;
        }
        if let Some(reply) = self.handover_reply.take_if(|_| self.view.is_handover_complete(&shards, now)) {
            let _ = reply.send(());
        }
        let eligible = self.view.eligible_owners(now);
        self.free_by_process.retain(|process, _| eligible.contains(process));
        // These are sent again at the next check, so a full channel does no harm.
        let _ = self.outputs.journal.try_send(JournalMessage::EligibleOwners(eligible.len()));
        let unlisted = SchedulerMessage::UnlistedWorkersReported(self.unlisted_shards.clone());
        let _ = self.outputs.scheduler.try_send(unlisted);
        if let Some(confirmed_at) = self.view.ownership_confirmed_at(now) {
            let _ = self.outputs.scheduler.try_send(SchedulerMessage::OwnershipConfirmed(confirmed_at));
        }
        let until = self.view.bundle_fresh_until(now).unwrap_or(now);
        let _ = self.outputs.scheduler.try_send(SchedulerMessage::BundleFreshUntil(until));
        let _ = self.outputs.admission.try_send(AdmissionMessage::BundleFreshUntil(until));
        let mut free = heartbeat::free_capacity(&self.summaries);
        free.extend(self.free_by_process.values().flatten().cloned());
        let _ = self.outputs.admission.try_send(AdmissionMessage::FreeCapacity(free));
    }

    fn forward(&self, owner: &ProcessId, pending: PendingForward) {
        actix_rt::spawn(forward_call(self.client(owner), pending, self.outputs.peer.clone()));
    }

    fn retry_forward(&self, pending: PendingForward) {
        match self.owner_by_shard.get(&pending.call.shard) {
            Some(owner) if *owner == self.process => {
                let (call, answered) = pending.redirect(Instant::now());
                let admission = self.outputs.admission.clone();
                actix_rt::spawn(async move {
                    // A call that cannot be passed on is dropped, and its caller is answered all the same.
                    let _ = admission.send(AdmissionMessage::Forwarded(Box::new(call))).await;
                    answered.await;
                });
            }
            Some(owner) => self.forward(owner, pending),
            None => pending.finish(unreachable_owner()),
        }
    }

    fn client(&self, process: &ProcessId) -> Option<PeerClient<Channel>> {
        let (_, client) = self.clients.get(self.vm_by_process.get(process)?)?;
        Some(client.clone())
    }
}

/// Serves the gRPC interface for other entry processes until `shutdown` is cancelled.
pub async fn serve(
    listener: TcpListener,
    service: PeerService,
    access: ClientAccess,
    shutdown: CancellationToken,
) {
    let incoming = LeasedStream::accept(listener, access);
    let server = Server::builder().add_service(PeerServer::new(service));
    if let Err(fault) = server.serve_with_incoming_shutdown(incoming, shutdown.cancelled_owned()).await {
        log::error!(fault:% = fault; "the interface for other entry processes has failed");
    }
}

/// Handler of the gRPC interface for other entry processes.
pub struct PeerService {
    /// Sender to the peer task.
    pub peer: mpsc::Sender<PeerMessage>,
    /// Sender to the admission task.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// Sender to the scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
    /// Cancelled when the process stops taking forwarded requests.
    pub forwarding_closed: CancellationToken,
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
        // Refused like a request that did not reach an owner, so that the sender may try the next owner.
        if self.forwarding_closed.is_cancelled() {
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
            unreachable!("the router replies only with answers and refusals")
        }
    };
    ForwardReply { reply: Some(reply) }
}
