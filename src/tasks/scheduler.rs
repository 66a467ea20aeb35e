//! Runs the schedulers of all owned worker shards.

use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::{
    JobExplanation, LeaseTiming, LedgerChange, PluginRegistry, ScheduleEffect, ScheduleEvent,
    ShardCapacities, ShardScheduler, ShardSummary, TeamWaits, WorkerVm,
};
use crate::prelude::*;
use crate::tasks::journal::JournalMessage;
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::worker::{CompletedSync, WorkerMessage};

/// Time between ticks of the schedulers.
const TICK: Duration = Duration::from_millis(500);

/// Attempts of one task under one claim are numbered with this many bits, below those of the token.
const ATTEMPT_BITS: u32 = 16;

/// A shard that this process has just claimed, with what the ledger knows of it.
pub struct ClaimedShard {
    /// The shard.
    pub shard: ShardId,
    /// Token of the claim.
    pub token: FencingToken,
    /// The bundle in force.
    pub bundle: Option<Arc<PolicyBundle>>,
    /// Jobs without an outcome, and whether they are cancelled.
    pub jobs: Vec<(Arc<JobSpec>, bool)>,
    /// Allotment of each team.
    pub allotments: Vec<(TeamId, ResourceVector)>,
}

/// What the scheduler task is told.
pub enum SchedulerMessage {
    /// This process claimed a shard.
    Claimed(Box<ClaimedShard>),
    /// The ledger changed.
    Changed(LedgerChange),
    /// The VM list was read.
    Listed(Vec<WorkerVm>),
    /// A worker accepted a sync.
    Synced(Box<CompletedSync>),
    /// A start was dropped before a sync carried it, because a stop followed.
    StartWithdrawn(ShardId, FencingToken, VmId, TaskId),
    /// A worker of the shard has accepted a newer token.
    Fenced(ShardId, FencingToken),
    /// A worker did not answer a sync.
    SyncFailed(ShardId, FencingToken, VmId),
    /// This process is current until the time; no task starts after it.
    CurrentUntil(Instant),
    /// Asks why the tasks of a job are where they are; `None` if no owned shard has the job.
    Explain(JobId, oneshot::Sender<Option<JobExplanation>>),
    /// Asks for the waiting tasks of all owned shards.
    Waits(oneshot::Sender<TeamWaits>),
    /// Asks for summaries of all owned shards.
    Summarise(oneshot::Sender<Vec<ShardSummary>>),
}

struct OwnedShard {
    token: FencingToken,
    scheduler: ShardScheduler,
    listed: FastSet<VmId>,
}

/// State of the scheduler task.
pub struct SchedulerTask {
    process: ProcessId,
    registry: PluginRegistry,
    timing: LeaseTiming,
    shards: FastMap<ShardId, OwnedShard>,
    workers: Vec<WorkerVm>,
    /// Workers that left the VM list, with the end of any lease that they may hold.
    vanished: Vec<(Instant, WorkerVm)>,
    bundle: Option<Arc<PolicyBundle>>,
    current_until: Option<Instant>,
    journal: mpsc::Sender<JournalMessage>,
    worker: mpsc::Sender<WorkerMessage>,
    metrics: EntryMetrics,
}

impl SchedulerTask {
    /// Returns the task; `timing` bounds the leases of all owners.
    #[must_use]
    pub fn new(
        process: ProcessId,
        registry: PluginRegistry,
        timing: LeaseTiming,
        journal: mpsc::Sender<JournalMessage>,
        worker: mpsc::Sender<WorkerMessage>,
        metrics: EntryMetrics,
    ) -> Self {
        let shards = FastMap::default();
        Self {
            process,
            registry,
            timing,
            shards,
            workers: Vec::new(),
            vanished: Vec::new(),
            bundle: None,
            current_until: None,
            journal,
            worker,
            metrics,
        }
    }

    /// Returns the waiting tasks of all owned shards.
    fn team_waits(&self) -> TeamWaits {
        let mut sum = TeamWaits::new();
        for (team, reasons) in self.shards.values().flat_map(|owned| owned.scheduler.team_waits()) {
            let team = sum.entry(team).or_default();
            for (reason, tasks) in reasons {
                *team.entry(reason).or_default() += tasks;
            }
        }
        sum
    }

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<SchedulerMessage>, token: CancellationToken) {
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message).await,
                _ = tick.tick() => self.tell_all(&ScheduleEvent::Tick).await,
                () = std::future::ready(()), if self.has_backlog() => self.work_off().await,
            }
        }
    }

    async fn handle(&mut self, message: SchedulerMessage) {
        match message {
            SchedulerMessage::Claimed(claimed) => self.claim(*claimed).await,
            SchedulerMessage::Changed(change) => self.change(change).await,
            SchedulerMessage::Listed(workers) => {
                self.note_vanished(&workers);
                self.workers = workers;
                self.list_workers().await;
            }
            SchedulerMessage::Synced(sync) if self.owns(&sync.shard, sync.token) => {
                let CompletedSync { shard, vm, tasks, report, stamp, .. } = *sync;
                if let Some(stamp) = stamp {
                    let _ = self.worker.send(WorkerMessage::Renew(vm.clone(), stamp)).await;
                }
                if !tasks.is_empty() {
                    self.tell(&shard, ScheduleEvent::CommandsDelivered(vm.clone(), tasks)).await;
                }
                self.tell(&shard, ScheduleEvent::SyncAnswered(vm, report)).await;
            }
            SchedulerMessage::StartWithdrawn(shard, token, vm, task) if self.owns(&shard, token) => {
                self.tell(&shard, ScheduleEvent::StartWithdrawn(vm, task)).await;
            }
            SchedulerMessage::Fenced(shard, token) if self.owns(&shard, token) => {
                self.lose(&shard).await;
            }
            SchedulerMessage::CurrentUntil(until) => {
                self.current_until = Some(until);
                self.tell_all(&ScheduleEvent::BundleFreshUntil(until)).await;
            }
            SchedulerMessage::Explain(job, reply) => {
                let explanation = self.shards.values().find_map(|owned| owned.scheduler.explain(&job));
                let _ = reply.send(explanation);
            }
            SchedulerMessage::Waits(reply) => {
                let _ = reply.send(self.team_waits());
            }
            SchedulerMessage::Summarise(reply) => {
                let summaries =
                    self.shards.iter().map(|(shard, owned)| owned.scheduler.summary(shard.clone()));
                let _ = reply.send(summaries.collect());
            }
            SchedulerMessage::SyncFailed(shard, token, vm) if self.owns(&shard, token) => {
                self.tell(&shard, ScheduleEvent::SyncFailed(vm)).await;
            }
            // What workers said to an earlier claim of this process is settled by their next sync.
            SchedulerMessage::Synced(..)
            | SchedulerMessage::StartWithdrawn(..)
            | SchedulerMessage::Fenced(..)
            | SchedulerMessage::SyncFailed(..) => {}
        }
    }

    /// Remembers workers that left the VM list while tasks may still run on them.
    fn note_vanished(&mut self, workers: &[WorkerVm]) {
        let now = Instant::now();
        let named: FastSet<&VmId> = workers.iter().map(|vm| &vm.vm).collect();
        let over = self.timing.latest_expiry(now);
        let gone = self.workers.iter().filter(|vm| !named.contains(&vm.vm));
        self.vanished.extend(gone.map(|vm| (over, vm.clone())));
        self.vanished.retain(|(over, vm)| *over > now && !named.contains(&vm.vm));
    }

    fn owns(&self, shard: &ShardId, token: FencingToken) -> bool {
        self.shards.get(shard).is_some_and(|owned| owned.token == token)
    }

    /// Stops all decisions and syncs for a shard that another process owns now.
    async fn lose(&mut self, shard: &ShardId) {
        if self.shards.remove(shard).is_some() {
            log::info!(shard = &**shard; "shard lost");
            let _ = self.worker.send(WorkerMessage::StopShardSyncs(shard.clone())).await;
        }
    }

    fn has_backlog(&self) -> bool {
        self.shards.values().any(|owned| owned.scheduler.backlog)
    }

    /// Continues the work that the last calls left in order to stay short.
    async fn work_off(&mut self) {
        let shards = self.shards.iter().filter(|(_, owned)| owned.scheduler.backlog);
        for shard in shards.map(|(shard, _)| shard.clone()).collect::<Vec<ShardId>>() {
            self.tell(&shard, ScheduleEvent::Tick).await;
        }
        // Messages that arrived meanwhile come first.
        tokio::task::yield_now().await;
    }

    async fn claim(&mut self, claimed: ClaimedShard) {
        let settled_at = self.timing.latest_expiry(Instant::now());
        let mut scheduler = ShardScheduler::new(self.registry.clone(), settled_at)
            .with_timing(self.timing)
            .with_first_attempt(claimed.token << ATTEMPT_BITS);
        for (spec, cancelled) in claimed.jobs {
            scheduler.inherit(&spec, cancelled);
        }
        let owned = OwnedShard { token: claimed.token, scheduler, listed: FastSet::default() };
        self.shards.insert(claimed.shard.clone(), owned);
        if let Some(until) = self.current_until {
            self.tell(&claimed.shard, ScheduleEvent::BundleFreshUntil(until)).await;
        }
        for (team, amount) in claimed.allotments {
            self.tell(&claimed.shard, ScheduleEvent::AllotmentChanged(team, amount)).await;
        }
        if let Some(bundle) = claimed.bundle {
            self.bundle = Some(bundle.clone());
            self.tell(&claimed.shard, ScheduleEvent::BundleAdopted(bundle)).await;
        }
        log::info!(shard = &*claimed.shard, token = claimed.token; "shard claimed");
        if let Some(bundle) = self.bundle.clone() {
            let mine =
                self.vanished.iter().filter(|(_, vm)| vm.shard(bundle.shards_per_region) == claimed.shard);
            let mine = mine.map(|(_, vm)| vm.vm.clone()).collect();
            self.tell(&claimed.shard, ScheduleEvent::WorkersVanished(mine)).await;
        }
        self.list_workers().await;
    }

    async fn change(&mut self, change: LedgerChange) {
        match change {
            LedgerChange::BundleAdopted(bundle) => {
                self.bundle = Some(bundle.clone());
                self.tell_all(&ScheduleEvent::BundleAdopted(bundle)).await;
                self.list_workers().await;
            }
            LedgerChange::ShardClaimed(shard, claim) if claim.process != self.process => {
                self.lose(&shard).await;
            }
            LedgerChange::JobAccepted(spec, shard) => {
                self.tell(&shard, ScheduleEvent::JobAccepted(spec)).await;
            }
            LedgerChange::JobMoved(spec, shard, offset) => {
                let others = self.shards.keys().filter(|other| **other != shard).cloned();
                for other in others.collect::<Vec<ShardId>>() {
                    self.tell(&other, ScheduleEvent::JobMovedOut(spec.id.clone())).await;
                }
                // The offset is above all tokens under which attempts of the job were started before.
                let first_attempt = (offset + 1) << ATTEMPT_BITS;
                self.tell(&shard, ScheduleEvent::JobMovedIn(spec, first_attempt)).await;
            }
            LedgerChange::JobEnded(job, _) => {
                self.tell_holder(&job, ScheduleEvent::JobEnded(job.clone())).await;
            }
            LedgerChange::JobCancelled(job, shard) => {
                self.tell(&shard, ScheduleEvent::JobCancelled(job)).await;
            }
            LedgerChange::AllotmentChanged(shard, team, amount) => {
                self.tell(&shard, ScheduleEvent::AllotmentChanged(team, amount)).await;
            }
            _ => {}
        }
    }

    /// Gives each owned shard its workers and opens connections to new ones.
    async fn list_workers(&mut self) {
        let Some(bundle) = self.bundle.clone() else { return };
        let shards: Vec<ShardId> = self.shards.keys().cloned().collect();
        let capacities = ShardCapacities::new(&self.workers, bundle.shards_per_region);
        for shard in shards {
            self.tell(&shard, ScheduleEvent::OtherShardsListed(capacities.without(&shard))).await;
            let mine = self
                .workers
                .iter()
                .filter(|vm| vm.shard(bundle.shards_per_region) == shard)
                .cloned()
                .collect();
            self.own_workers(&shard, &mine).await;
            self.tell(&shard, ScheduleEvent::WorkersListed(mine)).await;
        }
    }

    async fn own_workers(&mut self, shard: &ShardId, workers: &Vec<WorkerVm>) {
        let Some(owned) = self.shards.get_mut(shard) else { return };
        for vm in workers {
            if owned.listed.insert(vm.vm.clone()) {
                let (token, address) = (owned.token, vm.address.clone());
                let message =
                    WorkerMessage::StartSync { vm: vm.vm.clone(), address, shard: shard.clone(), token };
                let _ = self.worker.send(message).await;
            }
        }
    }

    /// Tells the shard that has the job, if this process owns it.
    async fn tell_holder(&mut self, job: &JobId, event: ScheduleEvent) {
        let holder = self.shards.iter().find(|(_, owned)| owned.scheduler.has_job(job));
        if let Some(shard) = holder.map(|(shard, _)| shard.clone()) {
            self.tell(&shard, event).await;
        }
    }

    async fn tell_all(&mut self, event: &ScheduleEvent) {
        let shards: Vec<ShardId> = self.shards.keys().cloned().collect();
        for shard in shards {
            self.tell(&shard, event.clone()).await;
        }
    }

    async fn tell(&mut self, shard: &ShardId, event: ScheduleEvent) {
        let Some(owned) = self.shards.get_mut(shard) else { return };
        let token = owned.token;
        let started = Instant::now();
        let effects = owned.scheduler.handle(event, started);
        self.observe(started.elapsed(), &effects);
        for effect in effects {
            self.carry_out(shard, token, effect).await;
        }
    }

    fn observe(&self, elapsed: Duration, effects: &[ScheduleEffect]) {
        let placed = effects.iter().filter(|effect| matches!(effect, ScheduleEffect::Placed { .. })).count();
        let each = elapsed / u32::try_from(placed.max(1)).unwrap_or(u32::MAX);
        for _ in 0..placed {
            self.metrics.placement_seconds.observe(each.as_secs_f64());
        }
    }

    async fn carry_out(&mut self, shard: &ShardId, token: FencingToken, effect: ScheduleEffect) {
        match effect {
            ScheduleEffect::Command(vm, command) => {
                let _ = self.worker.send(WorkerMessage::Command(vm, command)).await;
            }
            ScheduleEffect::DisconnectWorker(vm) => {
                if let Some(owned) = self.shards.get_mut(shard) {
                    owned.listed.remove(&vm);
                }
                let _ = self.worker.send(WorkerMessage::StopSync(vm)).await;
            }
            ScheduleEffect::Stopped { task, vm, reason } => {
                log::info!(decision = "stop", task = &*task, vm = &*vm, reason = reason; "task stopped");
            }
            ScheduleEffect::RecordOutcome(job, outcome) => {
                log::info!(job = &*job, outcome:% = outcome; "job ended");
                self.metrics.jobs_ended.with_label_values(&[outcome.label()]).inc();
                let record = LogRecord::Outcome { job, token, outcome };
                let _ = self.journal.send(JournalMessage::AppendRecord(record)).await;
            }
            ScheduleEffect::MoveJob(job, to) => {
                log::info!(decision = "move", job = &*job, from = &**shard, to = &*to; "job moved");
                let _ =
                    self.journal.send(JournalMessage::AppendRecord(LogRecord::Move { job, to, token })).await;
            }
            ScheduleEffect::Placed { task, team, vm, reason, rejected } => {
                self.metrics.placements.inc();
                log::info!(
                    decision = "placement", task = &*task, team = &*team, vm = &*vm, reason = reason,
                    rejected:? = rejected;
                    "task placed"
                );
            }
        }
    }
}
