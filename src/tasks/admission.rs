//! Checks callers' requests and passes those it admits to the journal, the router or the peer task.

use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::{
    FrontReply, FrontRequest, JobOutcome, LedgerChange, PluginRegistry, RefusalReason, RequestRefusal,
    ShardCapacities, ShardClaim, WorkerVm, rendezvous, shard_choice,
};
use crate::prelude::*;
use crate::tasks::journal::JournalMessage;
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::peer::{ForwardedCall, PeerMessage};
use crate::tasks::router::{RoutedCall, RouterMessage};

/// Maximum wait until a record is applied to the ledger: up to 8 s in the open group, then an append and a
/// read, which take 5 s each on a slow log. Also bounds a catch-up read.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Retry-after hint for a submission that was refused because the team had too many open tasks.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Message to the [`AdmissionTask`].
pub enum AdmissionMessage {
    /// A caller's request, from the front end.
    Request(FrontRequest, oneshot::Sender<FrontReply>),
    /// A request that another entry process admitted and forwarded, for a partition that this process owns.
    Forwarded(Box<RoutedCall>),
    /// A change of the ledger, from the journal.
    LedgerChanged(LedgerChange),
    /// The bundle in force counts as fresh until this time; requests with a team key are refused afterwards.
    BundleFreshUntil(Instant),
    /// Free capacity of the worker shards that this process knows of.
    FreeCapacity(Vec<(ShardId, ResourceVector)>),
    /// Workers on the VM list after it changed.
    WorkersListed(Vec<WorkerVm>),
    /// Asks why requests with a team key cannot be admitted now; answered with `None` if they can.
    UnreadyRefusal(oneshot::Sender<Option<RequestRefusal>>),
    /// Asks for the version of the bundle in force in this process and the time since which it is in force.
    BundleInForce(oneshot::Sender<Option<(BundleVersion, Instant)>>),
}

/// Task that admits callers' requests. The texts of its refusals call the bundle in force the configuration.
pub struct AdmissionTask {
    process: ProcessId,
    zone: ZoneId,
    registry: PluginRegistry,
    bundle: Option<Arc<PolicyBundle>>,
    /// When the bundle in force was adopted.
    adopted_at: Instant,
    bundle_fresh_until: Option<Instant>,
    free_capacity: FastMap<ShardId, ResourceVector>,
    workers: Vec<WorkerVm>,
    capacities: ShardCapacities,
    claims: FastMap<ShardId, ShardClaim>,
    /// Callers that wait for the outcome of a job.
    watchers: FastMap<JobId, Vec<oneshot::Sender<JobOutcome>>>,
    journal: mpsc::Sender<JournalMessage>,
    router: mpsc::Sender<RouterMessage>,
    peer: mpsc::Sender<PeerMessage>,
    metrics: EntryMetrics,
}

impl AdmissionTask {
    /// Returns a task with no bundle in force.
    #[must_use]
    pub fn new(
        process: ProcessId,
        zone: ZoneId,
        registry: PluginRegistry,
        journal: mpsc::Sender<JournalMessage>,
        router: mpsc::Sender<RouterMessage>,
        peer: mpsc::Sender<PeerMessage>,
        metrics: EntryMetrics,
    ) -> Self {
        Self {
            process,
            zone,
            registry,
            bundle: None,
            adopted_at: Instant::now(),
            bundle_fresh_until: None,
            free_capacity: FastMap::default(),
            workers: Vec::new(),
            capacities: ShardCapacities::default(),
            claims: FastMap::default(),
            watchers: FastMap::default(),
            journal,
            router,
            peer,
            metrics,
        }
    }

    /// Runs until `shutdown` is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<AdmissionMessage>, shutdown: CancellationToken) {
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message).await,
            }
        }
    }

    async fn handle(&mut self, message: AdmissionMessage) {
        match message {
            AdmissionMessage::Request(request, reply) => match self.check(&request) {
                Some(refusal) => {
                    log_refusal(request.team(), request.id(), &refusal);
                    self.metrics.refusals.with_label_values(&[&refusal.code.to_string()]).inc();
                    let _ = reply.send(FrontReply::Refused(refusal));
                }
                None => self.admit(request, reply).await,
            },
            AdmissionMessage::Forwarded(call) => {
                let _ = self.router.send(RouterMessage::Call(call)).await;
            }
            AdmissionMessage::LedgerChanged(change) => self.apply_change(change),
            AdmissionMessage::BundleFreshUntil(until) => self.bundle_fresh_until = Some(until),
            AdmissionMessage::UnreadyRefusal(reply) => {
                let _ = reply.send(self.unready_refusal());
            }
            AdmissionMessage::BundleInForce(reply) => {
                let in_force = self.bundle.as_ref().map(|bundle| (bundle.version, self.adopted_at));
                let _ = reply.send(in_force);
            }
            AdmissionMessage::FreeCapacity(free) => self.free_capacity = free.into_iter().collect(),
            AdmissionMessage::WorkersListed(workers) => {
                self.workers = workers;
                self.update_capacities();
            }
        }
    }

    fn apply_change(&mut self, change: LedgerChange) {
        match change {
            LedgerChange::BundleAdopted(bundle) => {
                log::info!(version = bundle.version; "bundle in force");
                self.metrics.bundle_version.set(i64::try_from(bundle.version).unwrap_or(i64::MAX));
                self.bundle = Some(bundle);
                self.adopted_at = Instant::now();
                self.update_capacities();
            }
            LedgerChange::BundleRefused(version, reason) => {
                log::warn!(version = version, reason = reason.as_str(); "bundle refused");
            }
            LedgerChange::ShardClaimed(shard, claim) => {
                self.claims.insert(shard, claim);
            }
            LedgerChange::JobEnded(job, outcome) => {
                for watcher in self.watchers.remove(&job).unwrap_or_default() {
                    let _ = watcher.send(outcome.clone());
                }
            }
            _ => {}
        }
    }

    /// Returns the refusal of a request that cannot be admitted.
    ///
    /// Requests without a team key are checked even if the bundle may be out of date; of these, only
    /// submissions to queues that are open to all pass.
    fn check(&self, request: &FrontRequest) -> Option<RequestRefusal> {
        let unready = self.unready_refusal();
        match &self.bundle {
            Some(bundle) if unready.is_none() || request.key().is_none() => {
                self.registry.admissions.iter().find_map(|check| (check.check)(request, bundle))
            }
            _ => unready,
        }
    }

    /// Returns the refusal of every request with a team key, or `None` if such requests can be admitted.
    fn unready_refusal(&self) -> Option<RequestRefusal> {
        let refuse = |text| Some(RequestRefusal::not_run(RefusalReason::NoConfiguration, text));
        if self.bundle.is_none() {
            return refuse("no configuration is in force yet");
        }
        if self.bundle_fresh_until.is_some_and(|until| Instant::now() < until) {
            return None;
        }
        refuse("the configuration may be out of date: neither the log nor enough peers answer")
    }

    async fn admit(&mut self, request: FrontRequest, reply: oneshot::Sender<FrontReply>) {
        match request {
            FrontRequest::Submit { spec, .. } => self.submit(spec, reply),
            FrontRequest::Inspect { job, wait, .. } => self.inspect(job, wait, reply),
            FrontRequest::Cancel { job, .. } => self.cancel(job, reply),
            FrontRequest::Call { team, service, request, idempotent, deadline, body, .. } => {
                // `check` has refused calls of unknown services.
                let Some(shard) = self.service_partition(&service, &request) else { return };
                log::info!(
                    decision = "admission", team = &*team, id = &*request, shard = &*shard;
                    "request admitted"
                );
                let zone = self.zone.clone();
                let call = RoutedCall { shard, team, request, zone, idempotent, deadline, body, reply };
                self.route(call).await;
            }
        }
    }

    /// Returns the service partition that a request id hashes to; `None` if the service is unknown.
    fn service_partition(&self, service: &ServiceId, request: &RequestId) -> Option<ShardId> {
        let count = self.bundle.as_ref()?.service(service)?.partitions.max(1);
        let index = rendezvous::hash(&[request]) % u64::from(count);
        Some(format!("service:{service}/{index}").into())
    }

    async fn route(&self, call: RoutedCall) {
        match self.claims.get(&call.shard) {
            None => {
                let refusal =
                    RequestRefusal::not_run(RefusalReason::NoOwner, "no process owns the service yet");
                log_refusal(&call.team, &call.request, &refusal);
                self.metrics.refusals.with_label_values(&[&refusal.code.to_string()]).inc();
                let _ = call.reply.send(FrontReply::Refused(refusal));
            }
            Some(claim) if claim.process == self.process => {
                let _ = self.router.send(RouterMessage::Call(Box::new(call))).await;
            }
            Some(claim) => {
                let forwarded = ForwardedCall { owner: claim.process.clone(), call };
                let _ = self.peer.send(PeerMessage::Forward(Box::new(forwarded))).await;
            }
        }
    }

    fn submit(&self, spec: JobSpec, reply: oneshot::Sender<FrontReply>) {
        let journal = self.journal.clone();
        let Some(shard) = self.choose_worker_shard(&spec) else {
            let text = "the configuration in force has no worker shard";
            let refusal = RequestRefusal::not_run(RefusalReason::NoConfiguration, text);
            let _ = reply.send(FrontReply::Refused(refusal));
            return;
        };
        let metrics = self.metrics.clone();
        actix_rt::spawn(async move {
            let (team, job) = (spec.team.clone(), spec.id.clone());
            let result = submit_job(&journal, spec, shard.clone()).await;
            match &result {
                FrontReply::Accepted { repeated, .. } => log::info!(
                    decision = "admission", team = &*team, id = &*job, shard = &*shard, repeated = repeated;
                    "job accepted"
                ),
                FrontReply::Refused(refusal) => {
                    log_refusal(&team, &job, refusal);
                    metrics.refusals.with_label_values(&[&refusal.code.to_string()]).inc();
                }
                _ => {}
            }
            let _ = reply.send(result);
        });
    }

    /// Chooses the worker shard of a new job; `None` if the bundle has none.
    fn choose_worker_shard(&self, spec: &JobSpec) -> Option<ShardId> {
        let shards = self.bundle.as_ref()?.shards();
        let workers: Vec<ShardId> =
            shards.into_iter().filter(|shard| !shard.starts_with("service:")).collect();
        let fitting: Vec<ShardId> =
            workers.iter().filter(|shard| self.capacities.can_fit(shard, spec)).cloned().collect();
        // If the job fits no shard, the owner of the chosen one refuses it and gives the reason.
        let candidates = if fitting.is_empty() { &workers } else { &fitting };
        shard_choice::choose(spec, candidates, |shard| self.free_capacity.get(shard).copied())
    }

    fn update_capacities(&mut self) {
        let Some(bundle) = &self.bundle else { return };
        self.capacities = ShardCapacities::new(&self.workers, bundle.shards_per_region);
    }

    fn cancel(&self, job: JobId, reply: oneshot::Sender<FrontReply>) {
        let journal = self.journal.clone();
        actix_rt::spawn(async move {
            let applied = commit(&journal, LogRecord::Cancel { job: job.clone() }).await;
            let result = match applied {
                Ok(_) => read_job(&journal, job).await,
                Err(refusal) => FrontReply::Refused(refusal),
            };
            let _ = reply.send(result);
        });
    }

    fn inspect(&mut self, job: JobId, wait: Duration, reply: oneshot::Sender<FrontReply>) {
        let journal = self.journal.clone();
        // The watcher is registered before the state is read, so that an outcome in between is not missed.
        let (watcher, outcome) = oneshot::channel();
        if !wait.is_zero() {
            let watchers = self.watchers.entry(job.clone()).or_default();
            watchers.retain(|watcher| !watcher.is_closed());
            watchers.push(watcher);
        }
        actix_rt::spawn(async move {
            let mut state = read_job(&journal, job.clone()).await;
            if matches!(state, FrontReply::State { outcome: None, .. }) && !wait.is_zero() {
                let _ = tokio::time::timeout(wait, outcome).await;
                state = read_job(&journal, job).await;
            }
            let _ = reply.send(state);
        });
    }
}

fn log_refusal(team: &str, id: &str, refusal: &RequestRefusal) {
    log::info!(decision = "admission", team = team, id = id, refusal:% = refusal; "refused");
}

async fn submit_job(journal: &mpsc::Sender<JournalMessage>, spec: JobSpec, shard: ShardId) -> FrontReply {
    let job = spec.id.clone();
    let changes = match commit(journal, LogRecord::Submit { spec, shard }).await {
        Ok(changes) => changes,
        Err(refusal) => return FrontReply::Refused(refusal),
    };
    let result = changes.iter().find_map(|change| match change {
        LedgerChange::JobAccepted(spec, _) if spec.id == job => {
            Some(FrontReply::Accepted { job: job.clone(), repeated: false })
        }
        LedgerChange::JobRepeated(id) if *id == job => {
            Some(FrontReply::Accepted { job: job.clone(), repeated: true })
        }
        LedgerChange::JobConflict(id) if *id == job => {
            let text = "the job id was used before with another body";
            Some(FrontReply::Refused(RequestRefusal::not_run(RefusalReason::IdReused, text)))
        }
        LedgerChange::JobRefused(id) if *id == job => Some(FrontReply::Refused(queue_full_refusal())),
        _ => None,
    });
    result.unwrap_or_else(|| {
        let text = "the fate of the record is no longer known; repeat with the same id";
        FrontReply::Refused(RequestRefusal::may_have_run(RefusalReason::LogUnavailable, text))
    })
}

fn queue_full_refusal() -> RequestRefusal {
    let text = "the team has too many open tasks in the shard of the job";
    let refusal = RequestRefusal::not_run(RefusalReason::QueueFull, text);
    RequestRefusal { retry_after: Some(QUEUE_FULL_RETRY_AFTER), ..refusal }
}

/// Appends a record to the log and waits until it is applied; returns the changes of its group.
async fn commit(
    journal: &mpsc::Sender<JournalMessage>,
    record: LogRecord,
) -> Result<Arc<[LedgerChange]>, RequestRefusal> {
    let (reply, applied) = oneshot::channel();
    let _ = journal.send(JournalMessage::Commit(record, reply)).await;
    match tokio::time::timeout(COMMIT_TIMEOUT, applied).await {
        Ok(Ok(changes)) => Ok(changes),
        Ok(Err(_)) => Err(RequestRefusal::not_run(
            RefusalReason::LogUnavailable,
            "the log cannot be reached; try again later",
        )),
        Err(_) => Err(RequestRefusal::may_have_run(
            RefusalReason::LogUnavailable,
            "the log did not confirm in time; repeat with the same id",
        )),
    }
}

/// Returns the state of a job. If the ledger does not have it, reads the log up to its present end and looks
/// again.
async fn read_job(journal: &mpsc::Sender<JournalMessage>, job: JobId) -> FrontReply {
    if let Some(state) = query_job(journal, &job).await {
        return state;
    }
    let (reply, caught_up) = oneshot::channel();
    let _ = journal.send(JournalMessage::CatchUp(reply)).await;
    if !matches!(tokio::time::timeout(COMMIT_TIMEOUT, caught_up).await, Ok(Ok(()))) {
        let text = "the log cannot be read; the job may exist";
        return FrontReply::Refused(RequestRefusal::may_have_run(RefusalReason::LogUnavailable, text));
    }
    query_job(journal, &job).await.unwrap_or_else(|| {
        let text = format!("job {job:?} does not exist");
        FrontReply::Refused(RequestRefusal::not_run(RefusalReason::NotFound, text))
    })
}

async fn query_job(journal: &mpsc::Sender<JournalMessage>, job: &JobId) -> Option<FrontReply> {
    let (sender, state) = oneshot::channel();
    let key = job.clone();
    let query = JournalMessage::Query(Box::new(move |ledger| {
        let _ = sender.send(ledger.jobs.get(&key).cloned());
    }));
    let _ = journal.send(query).await;
    let state = state.await.ok().flatten()?;
    Some(FrontReply::State {
        spec: Box::new(state.spec),
        shard: state.shard,
        cancelled: state.cancelled,
        outcome: state.outcome,
    })
}
