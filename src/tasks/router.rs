//! Runs the routers of all owned service partitions and keeps request bodies and answers.

use bytes::Bytes;
use sha2::{Digest, Sha256};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::{
    EndpointSummary, EndpointVm, FrontReply, LedgerChange, PluginRegistry, RefusalReason, RouteEffect,
    RouteEvent, RouteFailure, RouteRequest, ServiceRouter, TeamRefusal,
};
use crate::prelude::*;
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::adapter::{EndpointAdapter, EndpointAnswer};
use crate::tasks::endpoint::{EndpointMessage, EndpointTask};
use crate::tasks::journal::JournalMessage;
use crate::tasks::metrics::EntryMetrics;

/// Time between ticks of the routers.
const TICK: Duration = Duration::from_millis(50);
/// Longest wait for an answer where the caller names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A request for a service partition that this process owns.
pub struct RoutedCall {
    /// The partition.
    pub shard: ShardId,
    /// The team that the request is accounted to.
    pub team: TeamId,
    /// The request.
    pub request: RequestId,
    /// Zone of the entry process that took it.
    pub zone: ZoneId,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Longest time to an answer.
    pub deadline: Option<Duration>,
    /// The body.
    pub body: Bytes,
    /// Where the reply goes.
    pub reply: oneshot::Sender<FrontReply>,
}

/// What the router task is told.
pub enum RouterMessage {
    /// A request for an owned partition.
    Call(Box<RoutedCall>),
    /// An attempt has ended.
    Attempted(ShardId, AttemptId, Result<EndpointAnswer, RouteFailure>),
    /// The ledger changed.
    Changed(LedgerChange),
    /// The VM list was read.
    Listed(Vec<EndpointVm>),
    /// The intent of a request can never be folded.
    IntentFailed(ShardId, RequestId),
    /// Asks for the endpoints of all owned partitions.
    Summarise(oneshot::Sender<Vec<(ShardId, Vec<EndpointSummary>)>>),
    /// Asks for the present stage of a request; `None` if no owned partition knows it.
    Explain(RequestId, oneshot::Sender<Option<String>>),
}

struct CallState {
    body: Bytes,
    waiting: Vec<oneshot::Sender<FrontReply>>,
    answer: Option<EndpointAnswer>,
    digest: BodyDigest,
}

struct OwnedPartition {
    token: FencingToken,
    router: ServiceRouter,
    calls: FastMap<RequestId, CallState>,
    answers: FastMap<AttemptId, EndpointAnswer>,
}

/// State of the router task.
pub struct RouterTask {
    process: ProcessId,
    registry: PluginRegistry,
    adapter: EndpointAdapter,
    sender: mpsc::Sender<RouterMessage>,
    journal: mpsc::Sender<JournalMessage>,
    metrics: EntryMetrics,
    bundle: Option<Arc<PolicyBundle>>,
    listed: Vec<EndpointVm>,
    partitions: FastMap<ShardId, OwnedPartition>,
    endpoints: FastMap<VmId, mpsc::Sender<EndpointMessage>>,
}

impl RouterTask {
    /// Returns the task; `sender` leads to its own inbox.
    #[must_use]
    pub fn new(
        process: ProcessId,
        registry: PluginRegistry,
        adapter: EndpointAdapter,
        sender: mpsc::Sender<RouterMessage>,
        journal: mpsc::Sender<JournalMessage>,
        metrics: EntryMetrics,
    ) -> Self {
        Self {
            process,
            registry,
            adapter,
            sender,
            journal,
            metrics,
            bundle: None,
            listed: Vec::new(),
            partitions: FastMap::default(),
            endpoints: FastMap::default(),
        }
    }

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<RouterMessage>, token: CancellationToken) {
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message, &token).await,
                _ = tick.tick() => {
                    for shard in self.owned() {
                        self.tell(&shard, RouteEvent::Tick).await;
                    }
                }
            }
        }
    }

    async fn handle(&mut self, message: RouterMessage, token: &CancellationToken) {
        match message {
            RouterMessage::Call(call) => self.call(*call).await,
            RouterMessage::Attempted(shard, attempt, result) => self.attempted(&shard, attempt, result).await,
            RouterMessage::Changed(change) => self.change(change, token).await,
            RouterMessage::Listed(endpoints) => {
                self.listed = endpoints;
                self.list_endpoints(token).await;
            }
            RouterMessage::Summarise(reply) => {
                let summaries =
                    self.partitions.iter().map(|(shard, owned)| (shard.clone(), owned.router.endpoints()));
                let _ = reply.send(summaries.collect());
            }
            RouterMessage::Explain(request, reply) => {
                let _ = reply.send(self.partitions.values().find_map(|owned| owned.router.explain(&request)));
            }
            RouterMessage::IntentFailed(shard, request) => {
                self.tell(&shard, RouteEvent::IntentFailed(request)).await;
            }
        }
    }

    async fn call(&mut self, call: RoutedCall) {
        let Some(partition) = self.partitions.get_mut(&call.shard) else {
            let text = "this process does not own the service partition";
            let refusal = TeamRefusal::not_run(RefusalReason::NoOwner, text);
            let _ = call.reply.send(FrontReply::Refused(refusal));
            return;
        };
        let digest: BodyDigest = Sha256::digest(&call.body).into();
        let request = RouteRequest {
            id: call.request.clone(),
            team: call.team,
            zone: call.zone,
            digest,
            idempotent: call.idempotent,
            deadline: Instant::now() + call.deadline.unwrap_or(DEFAULT_DEADLINE),
        };
        let state = partition.calls.entry(call.request).or_insert_with(|| CallState {
            body: call.body,
            waiting: Vec::new(),
            answer: None,
            digest,
        });
        state.waiting.push(call.reply);
        self.tell(&call.shard, RouteEvent::Arrived(request)).await;
    }

    async fn attempted(
        &mut self,
        shard: &ShardId,
        attempt: AttemptId,
        result: Result<EndpointAnswer, RouteFailure>,
    ) {
        let event = match result {
            Ok(answer) => {
                let status = answer.status;
                if let Some(partition) = self.partitions.get_mut(shard) {
                    partition.answers.insert(attempt, answer);
                }
                RouteEvent::Answered(attempt, status)
            }
            Err(failure) => RouteEvent::Failed(attempt, failure),
        };
        self.tell(shard, event).await;
        if let Some(partition) = self.partitions.get_mut(shard) {
            partition.answers.remove(&attempt);
        }
    }

    async fn change(&mut self, change: LedgerChange, token: &CancellationToken) {
        match change {
            LedgerChange::BundleAdopted(bundle) => {
                self.bundle = Some(bundle);
                self.list_endpoints(token).await;
            }
            LedgerChange::ShardClaimed(shard, claim) if shard.starts_with("service:") => {
                if claim.process == self.process {
                    self.claim(shard, claim.token);
                    self.list_endpoints(token).await;
                } else if let Some(lost) = self.partitions.remove(&shard) {
                    drop_partition(lost);
                }
            }
            LedgerChange::IntentAccepted(shard, request) => {
                self.tell(&shard, RouteEvent::IntentAccepted(request)).await;
            }
            LedgerChange::IntentRefused(shard, request) => {
                self.tell(&shard, RouteEvent::IntentRefused(request)).await;
            }
            _ => {}
        }
    }

    fn claim(&mut self, shard: ShardId, token: FencingToken) {
        let Some(bundle) = &self.bundle else { return };
        let name = shard.trim_start_matches("service:").rsplit_once('/').map_or("", |(name, _)| name);
        let Some(service) = bundle.service(name) else { return };
        let Some(policy) = self.registry.routings.get(service.routing.as_str()) else { return };
        let router = ServiceRouter::new(*policy, Duration::from_millis(service.timeout_ms));
        log::info!(shard = &*shard, token = token; "service partition claimed");
        let partition =
            OwnedPartition { token, router, calls: FastMap::default(), answers: FastMap::default() };
        self.partitions.insert(shard, partition);
    }

    fn owned(&self) -> Vec<ShardId> {
        self.partitions.keys().cloned().collect()
    }

    async fn list_endpoints(&mut self, token: &CancellationToken) {
        let Some(bundle) = self.bundle.clone() else { return };
        for shard in self.owned() {
            let belongs = |vm: &&EndpointVm| {
                bundle.service(&vm.service).is_some_and(|service| vm.shard(service.partitions) == shard)
            };
            let mut mine: Vec<EndpointVm> = self.listed.iter().filter(belongs).cloned().collect();
            for vm in &mut mine {
                vm.leaving |= !bundle.zone_open(&vm.zone);
                self.open_endpoint(vm, token);
            }
            self.tell(&shard, RouteEvent::EndpointsListed(mine)).await;
        }
    }

    fn open_endpoint(&mut self, vm: &EndpointVm, token: &CancellationToken) {
        if self.endpoints.contains_key(&vm.vm) {
            return;
        }
        let (sender, inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let client = (self.adapter.connect)(&vm.address, vm.connections as usize);
        let token = token.child_token();
        let endpoint = EndpointTask { client, router: self.sender.clone() };
        actix_rt::spawn(endpoint.run(inbox, token));
        self.endpoints.insert(vm.vm.clone(), sender);
    }

    async fn tell(&mut self, shard: &ShardId, event: RouteEvent) {
        let Some(partition) = self.partitions.get_mut(shard) else { return };
        for effect in partition.router.handle(event, Instant::now()) {
            self.carry_out(shard, effect).await;
        }
    }

    async fn carry_out(&mut self, shard: &ShardId, effect: RouteEffect) {
        let Some(partition) = self.partitions.get_mut(shard) else { return };
        match effect {
            RouteEffect::Announce(request) => {
                let Some(call) = partition.calls.get(&request) else { return };
                let record = LogRecord::Intent {
                    request: request.clone(),
                    digest: call.digest,
                    shard: shard.clone(),
                    token: partition.token,
                    at_ms: unix_ms(),
                };
                self.announce(shard.clone(), request, record).await;
            }
            RouteEffect::Dispatch { attempt, request, vm, timeout, reason, rejected } => {
                let Some(call) = partition.calls.get(&request) else { return };
                self.metrics.dispatches.inc();
                log::info!(
                    decision = "routing", request = &*request, vm = &*vm, attempt = attempt, reason = reason,
                    rejected:? = rejected;
                    "request routed"
                );
                let message = EndpointMessage {
                    shard: shard.clone(),
                    attempt,
                    request,
                    body: call.body.clone(),
                    timeout,
                };
                if let Some(endpoint) = self.endpoints.get(&vm) {
                    let _ = endpoint.send(message).await;
                }
            }
            RouteEffect::Deliver { request, attempt } => {
                let Some(answer) = partition.answers.remove(&attempt) else { return };
                if let Some(call) = partition.calls.get_mut(&request) {
                    call.deliver(&FrontReply::Answer { status: answer.status, body: answer.body.clone() });
                    call.body = Bytes::new();
                    call.answer = Some(answer);
                }
            }
            RouteEffect::Refuse(request, refusal) => {
                log::info!(decision = "routing", request = &*request, refusal:% = refusal; "request refused");
                if let Some(call) = partition.calls.get_mut(&request) {
                    call.deliver(&FrontReply::Refused(refusal));
                    call.body = Bytes::new();
                }
            }
            RouteEffect::RefuseArrival(request, refusal) => {
                log::info!(decision = "routing", request = &*request, refusal:% = refusal; "arrival refused");
                if let Some(reply) = partition.calls.get_mut(&request).and_then(|call| call.waiting.pop()) {
                    let _ = reply.send(FrontReply::Refused(refusal));
                }
            }
            RouteEffect::Replay(request) => {
                if let Some(call) = partition.calls.get_mut(&request)
                    && let Some(answer) = call.answer.clone()
                {
                    call.deliver(&FrontReply::Answer { status: answer.status, body: answer.body });
                }
            }
            RouteEffect::Forget(request) => {
                partition.calls.remove(&request);
            }
        }
    }

    /// Appends an intent; the ledger change tells the router when it is folded.
    async fn announce(&self, shard: ShardId, request: RequestId, record: LogRecord) {
        let (reply, folded) = oneshot::channel();
        let _ = self.journal.send(JournalMessage::Commit(record, reply)).await;
        let sender = self.sender.clone();
        actix_rt::spawn(async move {
            if folded.await.is_err() {
                let _ = sender.send(RouterMessage::IntentFailed(shard, request)).await;
            }
        });
    }
}

impl CallState {
    fn deliver(&mut self, reply: &FrontReply) {
        for waiting in self.waiting.drain(..) {
            // The caller may have gone away.
            let _ = waiting.send(reply.clone());
        }
    }
}

/// Answers all callers of a partition that another process now owns.
fn drop_partition(partition: OwnedPartition) {
    let text = "the service partition moved to another process while the request was open";
    for mut call in partition.calls.into_values() {
        let refusal = TeamRefusal::may_have_run(RefusalReason::AnswerUnknown, text);
        call.deliver(&FrontReply::Refused(refusal));
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
