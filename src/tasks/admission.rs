//! Admits requests of callers and hands them to the task that answers them.

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

/// Longest wait for a record to be folded: 8 s in the open group, an append and a read of a log that needs 5 s each.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);
/// When to submit again after a team's queue was full.
const FULL_RETRY: Duration = Duration::from_secs(5);

/// What the admission task is told.
pub enum AdmissionMessage {
    /// A request of a caller.
    Request(FrontRequest, oneshot::Sender<FrontReply>),
    /// A request that another entry process admitted, for a partition that this process owns.
    Forwarded(Box<RoutedCall>),
    /// The ledger changed.
    Changed(LedgerChange),
    /// The bundle is known to be recent until the time.
    BundleFreshUntil(Instant),
    /// Free capacity of the worker shards, as far as it is known.
    Free(Vec<(ShardId, ResourceVector)>),
    /// The VM list was read.
    Listed(Vec<WorkerVm>),
    /// Asks why requests with a key are refused at present; `None` if they are not.
    Obstacle(oneshot::Sender<Option<RequestRefusal>>),
    /// Asks for the version in force in this process, and since when it is.
    InForce(oneshot::Sender<Option<(BundleVersion, Instant)>>),
}

/// State of the admission task.
pub struct AdmissionTask {
    process: ProcessId,
    zone: ZoneId,
    registry: PluginRegistry,
    bundle: Option<Arc<PolicyBundle>>,
    adopted: Instant,
    current_until: Option<Instant>,
    free: FastMap<ShardId, ResourceVector>,
    workers: Vec<WorkerVm>,
    capacities: ShardCapacities,
    claims: FastMap<ShardId, ShardClaim>,
    watchers: FastMap<JobId, Vec<oneshot::Sender<JobOutcome>>>,
    journal: mpsc::Sender<JournalMessage>,
    router: mpsc::Sender<RouterMessage>,
    peer: mpsc::Sender<PeerMessage>,
    metrics: EntryMetrics,
}

impl AdmissionTask {
    /// Returns the task.
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
            adopted: Instant::now(),
            current_until: None,
            free: FastMap::default(),
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

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<AdmissionMessage>, token: CancellationToken) {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message).await,
            }
        }
    }

    async fn handle(&mut self, message: AdmissionMessage) {
        match message {
            AdmissionMessage::Request(request, reply) => match self.refuse(&request) {
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
            AdmissionMessage::Changed(change) => self.change(change),
            AdmissionMessage::BundleFreshUntil(until) => self.current_until = Some(until),
            AdmissionMessage::Obstacle(reply) => {
                let _ = reply.send(self.obstacle());
            }
            AdmissionMessage::InForce(reply) => {
                let in_force = self.bundle.as_ref().map(|bundle| (bundle.version, self.adopted));
                let _ = reply.send(in_force);
            }
            AdmissionMessage::Free(free) => self.free = free.into_iter().collect(),
            AdmissionMessage::Listed(workers) => {
                self.workers = workers;
                self.count_capacities();
            }
        }
    }

    fn change(&mut self, change: LedgerChange) {
        match change {
            LedgerChange::BundleAdopted(bundle) => {
                log::info!(version = bundle.version; "bundle in force");
                self.metrics.bundle_version.set(i64::try_from(bundle.version).unwrap_or(i64::MAX));
                self.bundle = Some(bundle);
                self.adopted = Instant::now();
                self.count_capacities();
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

    fn refuse(&self, request: &FrontRequest) -> Option<RequestRefusal> {
        let obstacle = self.obstacle();
        match &self.bundle {
            Some(bundle) if obstacle.is_none() || request.key().is_none() => {
                self.registry.admissions.iter().find_map(|check| (check.check)(request, bundle))
            }
            _ => obstacle,
        }
    }

    /// Returns why no request with a key can be admitted.
    fn obstacle(&self) -> Option<RequestRefusal> {
        let refuse = |text| Some(RequestRefusal::not_run(RefusalReason::NoConfiguration, text));
        if self.bundle.is_none() {
            return refuse("no configuration is in force yet");
        }
        if self.current_until.is_some_and(|until| Instant::now() < until) {
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
                let Some(shard) = self.partition(&service, &request) else { return };
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

    /// Returns the partition of a service that owns a request id.
    fn partition(&self, service: &ServiceId, request: &RequestId) -> Option<ShardId> {
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
        let Some(shard) = self.worker_shard(&spec) else {
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

    /// Returns the worker shard of a new job.
    fn worker_shard(&self, spec: &JobSpec) -> Option<ShardId> {
        let shards = self.bundle.as_ref()?.shards();
        let workers: Vec<ShardId> =
            shards.into_iter().filter(|shard| !shard.starts_with("service:")).collect();
        let fitting: Vec<ShardId> =
            workers.iter().filter(|shard| self.capacities.can_fit(shard, spec)).cloned().collect();
        // Where none fits, the owner of any shard refuses the job with the reason.
        let candidates = if fitting.is_empty() { &workers } else { &fitting };
        shard_choice::choose(spec, candidates, |shard| self.free.get(shard).copied())
    }

    fn count_capacities(&mut self) {
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
        // Registered before the state is read, so that an outcome in between is not missed.
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
    let mine = changes.iter().find_map(|change| match change {
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
        LedgerChange::JobRefused(id) if *id == job => Some(FrontReply::Refused(full_queue())),
        _ => None,
    });
    mine.unwrap_or_else(|| {
        let text = "the fate of the record is no longer known; repeat with the same id";
        FrontReply::Refused(RequestRefusal::may_have_run(RefusalReason::LogUnavailable, text))
    })
}

fn full_queue() -> RequestRefusal {
    let text = "the team has too many open tasks in the shard of the job";
    let refusal = RequestRefusal::not_run(RefusalReason::QueueFull, text);
    RequestRefusal { retry_after: Some(FULL_RETRY), ..refusal }
}

/// Appends a record and waits until it is folded.
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

/// Returns the state of a job; one that is not known here is looked up in what the log holds now.
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
