//! Talks with the other entry processes: heartbeats, claims and forwarded requests.

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

use crate::kernel::{FrontReply, LedgerChange, PeerView, RefusalReason, RunState, TeamRefusal};
use crate::prelude::*;
use crate::proto::peer::peer_client::PeerClient;
use crate::proto::peer::peer_server::{Peer, PeerServer};
use crate::proto::peer::{
    Answer, ExplainReply, ExplainRequest, ForwardReply, ForwardRequest, HeartbeatReply, HeartbeatRequest,
    Refusal, forward_reply,
};
use crate::tasks::adapter::EntryVm;
use crate::tasks::gate::GateMessage;
use crate::tasks::journal::JournalMessage;
use crate::tasks::router::RoutedCall;

/// Time between heartbeats to each peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for a connection or a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a forwarded request beyond its deadline.
const FORWARD_GRACE: Duration = Duration::from_secs(2);
/// Deadline of forwarded requests that name none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

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
    /// A peer sent a heartbeat or answered one; holds process, VM and whether it is leaving.
    Heard(ProcessId, VmId, bool),
    /// Hands a request to the owner of its partition.
    Forward(Box<ForwardedCall>),
}

/// State of the peer task.
pub struct PeerTask {
    process: ProcessId,
    vm: VmId,
    zone: ZoneId,
    view: PeerView,
    bundle: Option<Arc<PolicyBundle>>,
    clients: FastMap<VmId, (String, PeerClient<Channel>)>,
    vm_by_process: FastMap<ProcessId, VmId>,
    sender: mpsc::Sender<PeerMessage>,
    journal: mpsc::Sender<JournalMessage>,
}

impl PeerTask {
    /// Returns the task; `sender` leads to its own inbox.
    #[must_use]
    pub fn new(
        process: ProcessId,
        vm: VmId,
        zone: ZoneId,
        sender: mpsc::Sender<PeerMessage>,
        journal: mpsc::Sender<JournalMessage>,
    ) -> Self {
        let view = PeerView::new(process.clone(), Instant::now());
        let (clients, vm_by_process) = (FastMap::default(), FastMap::default());
        Self { process, vm, zone, view, bundle: None, clients, vm_by_process, sender, journal }
    }

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<PeerMessage>, token: CancellationToken) {
        let mut beat = tokio::time::interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message),
                _ = beat.tick() => {
                    self.send_heartbeats();
                    self.claim_shards().await;
                }
            }
        }
    }

    fn handle(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Listed(entries) => self.connect(entries),
            PeerMessage::Changed(LedgerChange::BundleAdopted(bundle)) => self.bundle = Some(bundle),
            PeerMessage::Changed(LedgerChange::ShardClaimed(shard, claim)) => {
                self.view.note_claim(shard, claim);
            }
            PeerMessage::Changed(_) => {}
            PeerMessage::Heard(process, vm, leaving) => {
                self.vm_by_process.insert(process.clone(), vm);
                self.view.hear(process, leaving, Instant::now());
            }
            PeerMessage::Forward(forwarded) => self.forward(*forwarded),
        }
    }

    fn connect(&mut self, entries: Vec<EntryVm>) {
        let listed: FastSet<VmId> = entries.iter().map(|entry| entry.vm.clone()).collect();
        self.clients.retain(|vm, _| listed.contains(vm));
        for entry in entries.into_iter().filter(|entry| entry.vm != self.vm) {
            let same = self.clients.get(&entry.vm).is_some_and(|(address, _)| *address == entry.address);
            let Ok(endpoint) = Endpoint::from_shared(format!("http://{}", entry.address)) else { continue };
            if !same {
                let channel = endpoint.connect_timeout(HEARTBEAT_TIMEOUT).connect_lazy();
                self.clients.insert(entry.vm, (entry.address, PeerClient::new(channel)));
            }
        }
    }

    fn send_heartbeats(&self) {
        for (_, client) in self.clients.values() {
            let mut client = client.clone();
            let sender = self.sender.clone();
            let request = HeartbeatRequest {
                process: self.process.to_string(),
                vm: self.vm.to_string(),
                zone: self.zone.to_string(),
                bundle_version: self.bundle.as_ref().map_or(0, |bundle| bundle.version),
                log_age_ms: 0,
                leaving: false,
            };
            actix_rt::spawn(async move {
                let beat = tokio::time::timeout(HEARTBEAT_TIMEOUT, client.heartbeat(request)).await;
                if let Ok(Ok(reply)) = beat {
                    let reply = reply.into_inner();
                    let heard = PeerMessage::Heard(reply.process.into(), reply.vm.into(), reply.leaving);
                    let _ = sender.send(heard).await;
                }
            });
        }
    }

    async fn claim_shards(&mut self) {
        let Some(bundle) = &self.bundle else { return };
        for record in self.view.wanted_claims(&bundle.shards(), Instant::now()) {
            let _ = self.journal.send(JournalMessage::Record(record)).await;
        }
    }

    fn forward(&self, forwarded: ForwardedCall) {
        let client = self.vm_by_process.get(&forwarded.owner).and_then(|vm| self.clients.get(vm));
        let Some((_, client)) = client else {
            let text = "the owner of the service partition cannot be reached";
            let refusal = TeamRefusal::not_run(RefusalReason::NoOwner, text);
            let _ = forwarded.call.reply.send(FrontReply::Refused(refusal));
            return;
        };
        actix_rt::spawn(forward_call(client.clone(), forwarded));
    }
}

async fn forward_call(mut client: PeerClient<Channel>, forwarded: ForwardedCall) {
    let call = forwarded.call;
    let deadline = call.deadline.unwrap_or(DEFAULT_DEADLINE);
    let request = ForwardRequest {
        shard: call.shard.to_string(),
        team: call.team.to_string(),
        request: call.request.to_string(),
        zone: call.zone.to_string(),
        idempotent: call.idempotent,
        deadline_ms: u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX),
        body: call.body.to_vec(),
    };
    let result = tokio::time::timeout(deadline + FORWARD_GRACE, client.forward(request)).await;
    let reply = match result {
        Ok(Ok(reply)) => decode_reply(reply.into_inner()),
        Ok(Err(status)) => {
            let text = format!("the owner of the service partition failed: {}", status.code());
            FrontReply::Refused(TeamRefusal::may_have_run(RefusalReason::ConnectionLost, text))
        }
        Err(_) => {
            let text = "the owner of the service partition did not answer in time";
            FrontReply::Refused(TeamRefusal::may_have_run(RefusalReason::Timeout, text))
        }
    };
    let _ = call.reply.send(reply);
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
    /// This process.
    pub process: ProcessId,
    /// Its VM.
    pub vm: VmId,
    /// The peer task.
    pub peer: mpsc::Sender<PeerMessage>,
    /// The gate task.
    pub gate: mpsc::Sender<GateMessage>,
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let request = request.into_inner();
        let heard = PeerMessage::Heard(request.process.into(), request.vm.into(), request.leaving);
        let _ = self.peer.send(heard).await;
        Ok(Response::new(HeartbeatReply {
            process: self.process.to_string(),
            vm: self.vm.to_string(),
            ..HeartbeatReply::default()
        }))
    }

    async fn forward(&self, request: Request<ForwardRequest>) -> Result<Response<ForwardReply>, Status> {
        let request = request.into_inner();
        let (reply, answer) = oneshot::channel();
        let call = decode_call(request, reply);
        let _ = self.gate.send(GateMessage::Forwarded(Box::new(call))).await;
        let reply = answer.await.map_err(|_| Status::unavailable("the process is stopping"))?;
        Ok(Response::new(encode_reply(reply)))
    }

    async fn explain(&self, _request: Request<ExplainRequest>) -> Result<Response<ExplainReply>, Status> {
        Err(Status::unimplemented("explain"))
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

fn decode_reply(reply: ForwardReply) -> FrontReply {
    match reply.reply {
        Some(forward_reply::Reply::Answer(answer)) => FrontReply::Answer {
            status: u16::try_from(answer.status).unwrap_or(502),
            body: Bytes::from(answer.body),
        },
        Some(forward_reply::Reply::Refusal(refusal)) => FrontReply::Refused(decode_refusal(refusal)),
        None => {
            let text = "the owner of the service partition sent an empty reply";
            FrontReply::Refused(TeamRefusal::may_have_run(RefusalReason::AnswerUnknown, text))
        }
    }
}

fn decode_refusal(refusal: Refusal) -> TeamRefusal {
    let named = |text: String| serde_json::Value::String(text);
    TeamRefusal {
        code: serde_json::from_value(named(refusal.code)).unwrap_or(RefusalReason::AnswerUnknown),
        message: refusal.message,
        // An unknown word must never turn into a false `not_run`.
        run: serde_json::from_value(named(refusal.run)).unwrap_or(RunState::MayHaveRun),
        retry_after: (refusal.retry_after_ms > 0).then(|| Duration::from_millis(refusal.retry_after_ms)),
    }
}
