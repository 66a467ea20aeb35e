//! Runs the routers of all owned service partitions.

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
use crate::tasks::endpoint::{EndpointMessage, EndpointRequest, EndpointTask};
use crate::tasks::journal::JournalMessage;
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::partition::{OwnedPartition, team_of};
pub use crate::tasks::router_message::{AttemptResult, CheckedCall, RoutedCall, RouterMessage};

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
    lost: FastMap<(ShardId, FencingToken), OwnedPartition>,
    endpoints: FastMap<VmId, (String, mpsc::Sender<EndpointMessage>)>,
    draining: Vec<oneshot::Sender<()>>,
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
            lost: FastMap::default(),
            endpoints: FastMap::default(),
            draining: Vec::new(),
        }
    }

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<RouterMessage>, token: CancellationToken) {
        let mut timer = RouteTimer::new(Instant::now());
        loop {
            let due = timer.due(!self.is_idle());
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message, &token).await,
                () = tokio::time::sleep_until(due.into()) => {
                    self.tick().await;
                    timer = RouteTimer::new(Instant::now());
                }
            }
        }
    }

    async fn handle(&mut self, message: RouterMessage, token: &CancellationToken) {
        match message {
            RouterMessage::Call(call) => self.call(*call).await,
            RouterMessage::Checked(checked) => self.arrive(*checked).await,
            RouterMessage::Attempted(result) => self.attempted(*result).await,
            RouterMessage::Probed(vm, sent, health) => {
                for shard in self.owned() {
                    self.tell(&shard, RouteEvent::Probed { vm: vm.clone(), sent, health }).await;
                }
            }
            RouterMessage::Changed(change) => self.change(change, token).await,
            RouterMessage::Listed(endpoints) => {
                self.listed = endpoints;
                self.list_endpoints(token).await;
            }
            RouterMessage::Summarise(reply) => {
                let now = Instant::now();
                let summary = |(shard, owned): (&ShardId, &OwnedPartition)| {
                    (shard.clone(), owned.router.endpoints(now))
                };
                let _ = reply.send(self.partitions.iter().map(summary).collect());
            }
            RouterMessage::Explain(request, reply) => {
                let _ = reply.send(self.partitions.values().find_map(|owned| owned.router.explain(&request)));
            }
            RouterMessage::IntentChecked(shard, request, known) => {
                self.refuse_intent(&shard, request, known).await;
            }
            RouterMessage::Drain(reply) => {
                for shard in self.owned() {
                    self.tell(&shard, RouteEvent::Draining).await;
                }
                self.draining.push(reply);
            }
        }
    }

    /// Whether nothing waits for a call soon.
    fn is_idle(&self) -> bool {
        let partitions = self.partitions.values().all(OwnedPartition::is_idle);
        partitions && self.lost.is_empty() && self.draining.is_empty()
    }

    async fn tick(&mut self) {
        for shard in self.owned() {
            let abandoned = self.partitions.get_mut(&shard).map(OwnedPartition::abandoned_requests);
            for request in abandoned.into_iter().flatten() {
                self.tell(&shard, RouteEvent::CallersDisconnected(request)).await;
            }
            self.tell(&shard, RouteEvent::Tick).await;
        }
        let now = Instant::now();
        for partition in self.lost.values_mut() {
            for effect in partition.router.handle(RouteEvent::Tick, now) {
                partition.apply(effect, &self.metrics);
            }
        }
        self.lost.retain(|_, partition| !partition.is_idle());
        if self.lost.is_empty() && self.partitions.values().all(OwnedPartition::is_idle) {
            for reply in self.draining.drain(..) {
                let _ = reply.send(());
            }
        }
    }

    /// Looks the id of a non-idempotent request up in the ledger, unless the router knows it.
    async fn call(&mut self, call: RoutedCall) {
        let owned = self.partitions.get(&call.shard);
        let Some(partition) =
            owned.filter(|owned| self.draining.is_empty() || owned.router.knows(&call.request))
        else {
            refuse_unowned(call.reply);
            return;
        };
        let known = call.idempotent || partition.router.knows(&call.request);
        let mut checked = CheckedCall::new(call, Instant::now());
        if known {
            self.arrive(checked).await;
            return;
        }
        let look_up = self.look_up(checked.call.request.clone()).await;
        let sender = self.sender.clone();
        actix_rt::spawn(async move {
            // The journal ends only with the process; the caller then learns that the reply was dropped.
            let Ok(announced) = look_up.await else { return };
            checked.announced = announced;
            let _ = sender.send(RouterMessage::Checked(Box::new(checked))).await;
        });
    }

    /// Asks the ledger for the digest of an announced request.
    async fn look_up(&self, request: RequestId) -> oneshot::Receiver<Option<Sha256Digest>> {
        let (sender, answer) = oneshot::channel();
        let query = JournalMessage::Query(Box::new(move |ledger| {
            let _ = sender.send(ledger.intents.digest(&request));
        }));
        let _ = self.journal.send(query).await;
        answer
    }

    async fn arrive(&mut self, checked: CheckedCall) {
        let CheckedCall { call, digest, deadline, announced } = checked;
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
            recorded_digest: announced,
        };
        let effects = partition.arrive(request, call.body, call.reply, &self.metrics, Instant::now());
        self.carry_out(&call.shard, effects).await;
    }

    async fn attempted(&mut self, ended: AttemptResult) {
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
            self.tell(&shard, event).await;
            if self.partitions.get_mut(&shard).is_some_and(|partition| partition.discard(attempt)) {
                self.metrics.dropped_answers.with_label_values(&["late"]).inc();
            }
        } else if let Some(partition) = self.lost.get_mut(&(shard, token)) {
            if let Ok(answer) = result {
                partition.store(attempt, answer);
            }
            for effect in partition.router.handle(event, Instant::now()) {
                partition.apply(effect, &self.metrics);
            }
        }
    }

    async fn change(&mut self, change: LedgerChange, token: &CancellationToken) {
        match change {
            LedgerChange::BundleAdopted(bundle) => {
                self.bundle = Some(bundle);
                self.configure();
                self.list_endpoints(token).await;
            }
            LedgerChange::ShardClaimed(shard, claim) if shard.starts_with("service:") => {
                self.lose(&shard);
                if claim.process == self.process {
                    self.claim(shard, &claim);
                }
                self.list_endpoints(token).await;
            }
            LedgerChange::IntentAccepted(shard, request) => {
                self.tell(&shard, RouteEvent::IntentAccepted(request)).await;
            }
            LedgerChange::IntentRefused(shard, request) if self.partitions.contains_key(&shard) => {
                self.check_intent(shard, request).await;
            }
            _ => {}
        }
    }

    /// Asks the ledger why an intent has no effect.
    async fn check_intent(&self, shard: ShardId, request: RequestId) {
        let look_up = self.look_up(request.clone()).await;
        let sender = self.sender.clone();
        actix_rt::spawn(async move {
            if let Ok(known) = look_up.await {
                let _ = sender.send(RouterMessage::IntentChecked(shard, request, known)).await;
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
        self.tell(shard, RouteEvent::IntentRefused(request, rejection)).await;
    }

    /// Stops sending for a partition; answers of requests in flight still reach their callers.
    fn lose(&mut self, shard: &ShardId) {
        let Some(mut partition) = self.partitions.remove(shard) else { return };
        log::info!(shard = &**shard, token = partition.token; "service partition lost");
        for effect in partition.router.handle(RouteEvent::ClaimLost, Instant::now()) {
            partition.apply(effect, &self.metrics);
        }
        self.lost.insert((shard.clone(), partition.token), partition);
    }

    /// Gives the settings of the bundle in force to the routers of owned partitions.
    fn configure(&mut self) {
        for shard in self.owned() {
            let Some((policy, timeout)) = self.service_settings(&shard) else { continue };
            if let Some(partition) = self.partitions.get_mut(&shard) {
                partition.router.configure(policy, timeout);
            }
        }
    }

    /// Returns routing policy and time-out of the service of a partition.
    fn service_settings(&self, shard: &ShardId) -> Option<(RoutingPolicy, Duration)> {
        let (name, _) = shard.trim_start_matches("service:").rsplit_once('/')?;
        let service = self.bundle.as_ref()?.service(name)?;
        let policy = self.registry.routings.get(service.routing.as_str())?;
        Some((*policy, Duration::from_millis(service.timeout_ms)))
    }

    fn claim(&mut self, shard: ShardId, claim: &ShardClaim) {
        let Some((policy, timeout)) = self.service_settings(&shard) else { return };
        let router = ServiceRouter::new(policy, timeout);
        log::info!(shard = &*shard, token = claim.token; "service partition claimed");
        self.partitions.insert(shard, OwnedPartition::new(claim.token, router));
    }

    fn owned(&self) -> Vec<ShardId> {
        self.partitions.keys().cloned().collect()
    }

    /// Tells all partitions their endpoints and teams, and opens and closes connections accordingly.
    async fn list_endpoints(&mut self, token: &CancellationToken) {
        let Some(bundle) = self.bundle.clone() else { return };
        let teams: Vec<TeamLimits> = bundle.teams.iter().map(route_team).collect();
        let mut used: FastSet<VmId> = FastSet::default();
        for shard in self.owned() {
            let belongs = |vm: &&EndpointVm| {
                bundle.service(&vm.service).is_some_and(|service| vm.shard(service.partitions) == shard)
            };
            let mut mine: Vec<EndpointVm> = self.listed.iter().filter(belongs).cloned().collect();
            for vm in &mut mine {
                vm.leaving |= !bundle.zone_open(&vm.zone);
                used.insert(vm.vm.clone());
                self.open_endpoint(vm, token);
            }
            self.tell(&shard, RouteEvent::TeamsChanged(teams.clone())).await;
            self.tell(&shard, RouteEvent::EndpointsListed(mine)).await;
        }
        self.endpoints.retain(|vm, _| used.contains(vm));
    }

    fn open_endpoint(&mut self, vm: &EndpointVm, token: &CancellationToken) {
        if self.endpoints.get(&vm.vm).is_some_and(|(address, _)| *address == vm.address) {
            return;
        }
        let (sender, inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let client = (self.adapter.connect)(&vm.address);
        let endpoint = EndpointTask::new(vm.vm.clone(), client, self.sender.clone(), self.metrics.clone());
        actix_rt::spawn(endpoint.run(inbox, token.child_token()));
        self.endpoints.insert(vm.vm.clone(), (vm.address.clone(), sender));
    }

    async fn tell(&mut self, shard: &ShardId, event: RouteEvent) {
        let Some(partition) = self.partitions.get_mut(shard) else { return };
        let effects = partition.router.handle(event, Instant::now());
        self.carry_out(shard, effects).await;
    }

    async fn carry_out(&mut self, shard: &ShardId, effects: Vec<RouteEffect>) {
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
        let message = EndpointRequest { shard: shard.clone(), token, attempt, request, body, timeout };
        let endpoint = self.endpoints.get(&vm);
        let sent =
            endpoint.is_some_and(|(_, endpoint)| endpoint.try_send(EndpointMessage::Send(message)).is_ok());
        if !sent {
            // Reported like a failed connection, so that the router chooses again.
            let result = Err(AttemptFailure::Unreachable);
            let result = Box::new(AttemptResult { shard: shard.clone(), token, attempt, result });
            let sender = self.sender.clone();
            actix_rt::spawn(async move {
                let _ = sender.send(RouterMessage::Attempted(result)).await;
            });
        }
    }

    /// Appends an intent; the ledger change tells the router when it is folded.
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
        let look_up = self.look_up(request.clone()).await;
        actix_rt::spawn(async move {
            if applied.await.is_err() {
                // Without the record the ledger may still know the id, from an earlier owner.
                let known = look_up.await.ok().flatten();
                let _ = sender.send(RouterMessage::IntentChecked(shard, request, known)).await;
            }
        });
    }
}

fn refuse_unowned(reply: oneshot::Sender<FrontReply>) {
    let text = "this process does not own the service partition";
    let _ = reply.send(FrontReply::Refused(RequestRefusal::not_run(RefusalReason::NoOwner, text)));
}

fn route_team(team: &TeamPolicy) -> TeamLimits {
    TeamLimits { team: team.id.clone(), share: team.share, max_requests: team.max_requests }
}
