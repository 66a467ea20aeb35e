//! Runs the routers of all owned service partitions and carries out their effects.

use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::clock::unix_ms;
use crate::kernel::{
    AttemptFailure, EndpointVm, FrontReply, IntentRejection, LedgerChange, PluginRegistry, RefusalReason,
    RequestRefusal, RouteEffect, RouteEvent, RouteRequest, RouteTimer, RoutingPolicy, ServiceRouter,
    ShardClaim, TeamLimits, TeamPolicy,
};
use crate::prelude::*;
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::adapter::EndpointAdapter;
use crate::tasks::endpoint::{EndpointAttempt, EndpointMessage, EndpointTask};
use crate::tasks::journal::JournalMessage;
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::partition::{PartitionState, team_of};
pub use crate::tasks::router_message::{AttemptResult, PreparedCall, RoutedCall, RouterMessage};

/// Task that routes the requests of all owned service partitions.
pub struct RouterTask {
    process: ProcessId,
    registry: PluginRegistry,
    adapter: EndpointAdapter,
    sender: mpsc::Sender<RouterMessage>,
    journal: mpsc::Sender<JournalMessage>,
    metrics: EntryMetrics,
    bundle: Option<Arc<PolicyBundle>>,
    /// Endpoints on the VM list.
    listed_endpoints: Vec<EndpointVm>,
    partitions: FastMap<ShardId, PartitionState>,
    /// Partitions that another process has claimed while attempts were in flight here.
    lost_partitions: FastMap<(ShardId, FencingToken), PartitionState>,
    /// Address of each endpoint in use and the sender to its task.
    endpoints: FastMap<VmId, (String, mpsc::Sender<EndpointMessage>)>,
    /// Replies to drain requests; while there are any, no new request is taken.
    drain_replies: Vec<oneshot::Sender<()>>,
}

impl RouterTask {
    /// Returns the task; `sender` is a sender to the task itself.
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
            listed_endpoints: Vec::new(),
            partitions: FastMap::default(),
            lost_partitions: FastMap::default(),
            endpoints: FastMap::default(),
            drain_replies: Vec::new(),
        }
    }

    /// Runs until `shutdown` is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<RouterMessage>, shutdown: CancellationToken) {
        let mut timer = RouteTimer::new(Instant::now());
        loop {
            let due = timer.due(!self.is_idle());
            tokio::select! {
                () = shutdown.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message, &shutdown).await,
                () = tokio::time::sleep_until(due.into()) => {
                    self.tick().await;
                    timer = RouteTimer::new(Instant::now());
                }
            }
        }
    }

    async fn handle(&mut self, message: RouterMessage, shutdown: &CancellationToken) {
        match message {
            RouterMessage::Call(call) => self.receive_call(*call).await,
            RouterMessage::LookedUp(prepared) => self.arrive(*prepared).await,
            RouterMessage::AttemptEnded(result) => self.finish_attempt(*result).await,
            RouterMessage::ProbeEnded(vm, sent, health) => {
                for shard in self.owned_shards() {
                    self.handle_event(&shard, RouteEvent::Probed { vm: vm.clone(), sent, health }).await;
                }
            }
            RouterMessage::LedgerChanged(change) => self.apply_change(change, shutdown).await,
            RouterMessage::EndpointsListed(endpoints) => {
                self.listed_endpoints = endpoints;
                self.update_endpoints(shutdown).await;
            }
            RouterMessage::Summarise(reply) => {
                let now = Instant::now();
                let summary = |(shard, owned): (&ShardId, &PartitionState)| {
                    (shard.clone(), owned.router.endpoints(now))
                };
                let _ = reply.send(self.partitions.iter().map(summary).collect());
            }
            RouterMessage::Explain(request, reply) => {
                let _ = reply.send(self.partitions.values().find_map(|owned| owned.router.explain(&request)));
            }
            RouterMessage::IntentRejected(shard, request, known) => {
                self.refuse_intent(&shard, request, known).await;
            }
            RouterMessage::Drain(reply) => {
                for shard in self.owned_shards() {
                    self.handle_event(&shard, RouteEvent::Draining).await;
                }
                self.drain_replies.push(reply);
            }
        }
    }

    /// Returns whether no request, lost partition or drain request needs ticks at the short interval.
    fn is_idle(&self) -> bool {
        let partitions = self.partitions.values().all(PartitionState::is_idle);
        partitions && self.lost_partitions.is_empty() && self.drain_replies.is_empty()
    }

    async fn tick(&mut self) {
        for shard in self.owned_shards() {
            let disconnected = self.partitions.get_mut(&shard).map(PartitionState::requests_without_callers);
            for request in disconnected.into_iter().flatten() {
                self.handle_event(&shard, RouteEvent::CallersDisconnected(request)).await;
            }
            self.handle_event(&shard, RouteEvent::Tick).await;
        }
        let now = Instant::now();
        for partition in self.lost_partitions.values_mut() {
            for effect in partition.router.handle(RouteEvent::Tick, now) {
                partition.apply(effect, &self.metrics);
            }
        }
        self.lost_partitions.retain(|_, partition| !partition.is_idle());
        if self.lost_partitions.is_empty() && self.partitions.values().all(PartitionState::is_idle) {
            for reply in self.drain_replies.drain(..) {
                let _ = reply.send(());
            }
        }
    }

    /// Receives a request for an owned partition. The id of a non-idempotent request is looked up in the
    /// ledger first, unless the router has it.
    ///
    /// While the task drains, new requests are refused like those for partitions of other processes.
    async fn receive_call(&mut self, call: RoutedCall) {
        let owned = self.partitions.get(&call.shard);
        let Some(partition) =
            owned.filter(|owned| self.drain_replies.is_empty() || owned.router.has_request(&call.request))
        else {
            refuse_unowned(call.reply);
            return;
        };
        let skip_lookup = call.idempotent || partition.router.has_request(&call.request);
        let mut prepared = PreparedCall::new(call, Instant::now());
        if skip_lookup {
            self.arrive(prepared).await;
            return;
        }
        let look_up = self.look_up_digest(prepared.call.request.clone()).await;
        let sender = self.sender.clone();
        actix_rt::spawn(async move {
            // The journal ends only with the process. The call is then dropped, which closes its reply
            // channel.
            let Ok(recorded_digest) = look_up.await else { return };
            prepared.recorded_digest = recorded_digest;
            let _ = sender.send(RouterMessage::LookedUp(Box::new(prepared))).await;
        });
    }

    /// Asks the ledger for the digest in the recorded intent of a request.
    async fn look_up_digest(&self, request: RequestId) -> oneshot::Receiver<Option<Sha256Digest>> {
        let (sender, answer) = oneshot::channel();
        let query = JournalMessage::Query(Box::new(move |ledger| {
            let _ = sender.send(ledger.intents.digest(&request));
        }));
        let _ = self.journal.send(query).await;
        answer
    }

    async fn arrive(&mut self, prepared: PreparedCall) {
        let PreparedCall { call, digest, deadline, recorded_digest } = prepared;
        let Some(partition) = self.partitions.get_mut(&call.shard) else {
            refuse_unowned(call.reply);
            return;
        };
        let request = RouteRequest {
            id: call.request,
            team: call.team,
            zone: call.zone,
            digest,
            size: call.body.len(),
            idempotent: call.idempotent,
            deadline,
            recorded_digest,
        };
        let effects = partition.arrive(request, call.body, call.reply, &self.metrics, Instant::now());
        self.carry_out_effects(&call.shard, effects).await;
    }

    async fn finish_attempt(&mut self, ended: AttemptResult) {
        let AttemptResult { shard, token, attempt, result } = ended;
        let event = match &result {
            Ok(answer) => RouteEvent::Answered { attempt, status: answer.status, size: answer.body.len() },
            Err(failure) => RouteEvent::Failed(attempt, *failure),
        };
        let owned = self.partitions.get_mut(&shard).filter(|owned| owned.token == token);
        if let Some(partition) = owned {
            if let Ok(answer) = result {
                partition.store(attempt, answer);
            }
            self.handle_event(&shard, event).await;
            if self.partitions.get_mut(&shard).is_some_and(|partition| partition.discard(attempt)) {
                self.metrics.dropped_answers.with_label_values(&["late"]).inc();
            }
        } else if let Some(partition) = self.lost_partitions.get_mut(&(shard, token)) {
            if let Ok(answer) = result {
                partition.store(attempt, answer);
            }
            for effect in partition.router.handle(event, Instant::now()) {
                partition.apply(effect, &self.metrics);
            }
        }
    }

    async fn apply_change(&mut self, change: LedgerChange, shutdown: &CancellationToken) {
        match change {
            LedgerChange::BundleAdopted(bundle) => {
                self.bundle = Some(bundle);
                self.configure_routers();
                self.update_endpoints(shutdown).await;
            }
            LedgerChange::ShardClaimed(shard, claim) if shard.starts_with("service:") => {
                self.lose_partition(&shard);
                if claim.process == self.process {
                    self.claim_partition(shard, &claim);
                }
                self.update_endpoints(shutdown).await;
            }
            LedgerChange::IntentAccepted(shard, request) => {
                self.handle_event(&shard, RouteEvent::IntentAccepted(request)).await;
            }
            LedgerChange::IntentRefused(shard, request) if self.partitions.contains_key(&shard) => {
                self.find_rejection_cause(shard, request).await;
            }
            _ => {}
        }
    }

    /// Looks up the digest of a refused intent in the ledger, to find out why it was refused.
    async fn find_rejection_cause(&self, shard: ShardId, request: RequestId) {
        let look_up = self.look_up_digest(request.clone()).await;
        let sender = self.sender.clone();
        actix_rt::spawn(async move {
            if let Ok(known) = look_up.await {
                let _ = sender.send(RouterMessage::IntentRejected(shard, request, known)).await;
            }
        });
    }

    async fn refuse_intent(&mut self, shard: &ShardId, request: RequestId, known: Option<Sha256Digest>) {
        let digest = self.partitions.get(shard).and_then(|partition| partition.digest(&request));
        let rejection = match known {
            None => IntentRejection::Unrecorded,
            Some(known) if digest.is_some_and(|digest| digest != known) => IntentRejection::Conflict,
            Some(_) => IntentRejection::Duplicate,
        };
        self.handle_event(shard, RouteEvent::IntentRefused(request, rejection)).await;
    }

    /// Stops dispatching for a partition; answers of requests in flight are still delivered to their callers.
    fn lose_partition(&mut self, shard: &ShardId) {
        let Some(mut partition) = self.partitions.remove(shard) else { return };
        log::info!(shard = &**shard, token = partition.token; "service partition lost");
        for effect in partition.router.handle(RouteEvent::ClaimLost, Instant::now()) {
            partition.apply(effect, &self.metrics);
        }
        self.lost_partitions.insert((shard.clone(), partition.token), partition);
    }

    /// Applies the service settings of the bundle in force to the routers of all owned partitions.
    fn configure_routers(&mut self) {
        for shard in self.owned_shards() {
            let Some((policy, timeout)) = self.service_settings(&shard) else { continue };
            if let Some(partition) = self.partitions.get_mut(&shard) {
                partition.router.configure(policy, timeout);
            }
        }
    }

    /// Returns the routing policy and the request timeout of a partition's service.
    fn service_settings(&self, shard: &ShardId) -> Option<(RoutingPolicy, Duration)> {
        let (name, _) = shard.trim_start_matches("service:").rsplit_once('/')?;
        let service = self.bundle.as_ref()?.service(name)?;
        let policy = self.registry.routings.get(service.routing.as_str())?;
        Some((*policy, Duration::from_millis(service.timeout_ms)))
    }

    fn claim_partition(&mut self, shard: ShardId, claim: &ShardClaim) {
        let Some((policy, timeout)) = self.service_settings(&shard) else { return };
        let router = ServiceRouter::new(policy, timeout);
        log::info!(shard = &*shard, token = claim.token; "service partition claimed");
        self.partitions.insert(shard, PartitionState::new(claim.token, router));
    }

    fn owned_shards(&self) -> Vec<ShardId> {
        self.partitions.keys().cloned().collect()
    }

    /// Updates the endpoints and teams of all owned partitions; starts and ends endpoint tasks accordingly.
    async fn update_endpoints(&mut self, shutdown: &CancellationToken) {
        let Some(bundle) = self.bundle.clone() else { return };
        let teams: Vec<TeamLimits> = bundle.teams.iter().map(team_limits).collect();
        let mut used_vms: FastSet<VmId> = FastSet::default();
        for shard in self.owned_shards() {
            let in_partition = |vm: &&EndpointVm| {
                bundle.service(&vm.service).is_some_and(|service| vm.shard(service.partitions) == shard)
            };
            let mut endpoints: Vec<EndpointVm> =
                self.listed_endpoints.iter().filter(in_partition).cloned().collect();
            for vm in &mut endpoints {
                // Endpoints in a zone that is not open get no new requests, like leaving ones.
                vm.leaving |= !bundle.zone_open(&vm.zone);
                used_vms.insert(vm.vm.clone());
                self.ensure_endpoint_task(vm, shutdown);
            }
            self.handle_event(&shard, RouteEvent::TeamsChanged(teams.clone())).await;
            self.handle_event(&shard, RouteEvent::EndpointsListed(endpoints)).await;
        }
        self.endpoints.retain(|vm, _| used_vms.contains(vm));
    }

    fn ensure_endpoint_task(&mut self, vm: &EndpointVm, shutdown: &CancellationToken) {
        if self.endpoints.get(&vm.vm).is_some_and(|(address, _)| *address == vm.address) {
            return;
        }
        let (sender, inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let client = (self.adapter.connect)(&vm.address);
        let endpoint = EndpointTask::new(vm.vm.clone(), client, self.sender.clone(), self.metrics.clone());
        actix_rt::spawn(endpoint.run(inbox, shutdown.child_token()));
        self.endpoints.insert(vm.vm.clone(), (vm.address.clone(), sender));
    }

    async fn handle_event(&mut self, shard: &ShardId, event: RouteEvent) {
        let Some(partition) = self.partitions.get_mut(shard) else { return };
        let effects = partition.router.handle(event, Instant::now());
        self.carry_out_effects(shard, effects).await;
    }

    async fn carry_out_effects(&mut self, shard: &ShardId, effects: Vec<RouteEffect>) {
        for effect in effects {
            let Some(partition) = self.partitions.get_mut(shard) else { return };
            match effect {
                RouteEffect::RecordIntent(request) => self.record_intent(shard, request).await,
                RouteEffect::Dispatch { .. } => self.dispatch(shard, effect),
                RouteEffect::Abandon { vm, attempt } => {
                    let message = EndpointMessage::Abandon(shard.clone(), partition.token, attempt);
                    if let Some((_, endpoint)) = self.endpoints.get(&vm) {
                        let _ = endpoint.try_send(message);
                    }
                }
                effect => partition.apply(effect, &self.metrics),
            }
        }
    }

    fn dispatch(&self, shard: &ShardId, effect: RouteEffect) {
        let RouteEffect::Dispatch { attempt, request, vm, timeout, reason, rejected } = effect else {
            return;
        };
        let Some(partition) = self.partitions.get(shard) else { return };
        self.metrics.dispatches.inc();
        log::info!(
            decision = "routing", team = team_of(&request), request = &*request, vm = &*vm, attempt = attempt, reason = reason,
            rejected:? = rejected;
            "request routed"
        );
        let (token, body) = (partition.token, partition.body(&request).unwrap_or_default());
        let message =
            EndpointAttempt { shard: shard.clone(), token, attempt, request_id: request, body, timeout };
        let endpoint = self.endpoints.get(&vm);
        let sent =
            endpoint.is_some_and(|(_, endpoint)| endpoint.try_send(EndpointMessage::Send(message)).is_ok());
        if !sent {
            // Reported like a failed connection, so that the router chooses another endpoint.
            let result = Err(AttemptFailure::Unreachable);
            let result = Box::new(AttemptResult { shard: shard.clone(), token, attempt, result });
            let sender = self.sender.clone();
            actix_rt::spawn(async move {
                let _ = sender.send(RouterMessage::AttemptEnded(result)).await;
            });
        }
    }

    /// Appends an intent. Once it is applied, the ledger change `IntentAccepted` or `IntentRefused` tells the
    /// result; if it is never appended, [`RouterMessage::IntentRejected`] does.
    async fn record_intent(&self, shard: &ShardId, request: RequestId) {
        let Some(partition) = self.partitions.get(shard) else { return };
        let Some(digest) = partition.digest(&request) else { return };
        let record = LogRecord::Intent {
            request: request.clone(),
            digest,
            shard: shard.clone(),
            token: partition.token,
            at_ms: unix_ms(),
        };
        let (reply, applied) = oneshot::channel();
        let _ = self.journal.send(JournalMessage::Commit(record, reply)).await;
        let (sender, shard) = (self.sender.clone(), shard.clone());
        let look_up = self.look_up_digest(request.clone()).await;
        actix_rt::spawn(async move {
            if applied.await.is_err() {
                // The record was not appended, but an earlier owner may have recorded an intent for the id.
                let known = look_up.await.ok().flatten();
                let _ = sender.send(RouterMessage::IntentRejected(shard, request, known)).await;
            }
        });
    }
}

fn refuse_unowned(reply: oneshot::Sender<FrontReply>) {
    let text = "this process does not own the service partition";
    let _ = reply.send(FrontReply::Refused(RequestRefusal::not_run(RefusalReason::NoOwner, text)));
}

fn team_limits(team: &TeamPolicy) -> TeamLimits {
    TeamLimits { team: team.id.clone(), share: team.share, max_requests: team.max_requests }
}
