//! Runs the schedulers of all owned worker shards and carries out their effects.

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

/// Time between the tick events of the schedulers.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of low bits of an attempt number that count the attempts of a task under one claim. The bits above
/// them hold the fencing token of the claim, or for a job that moved in later the offset of the move plus
/// one; the two are comparable, as a fencing token is the offset of a claim plus one.
const ATTEMPT_BITS: u32 = 16;

/// A worker shard that this process has just claimed, with its state in the ledger.
pub struct ClaimedShard {
    /// Claimed shard.
    pub shard: ShardId,
    /// Fencing token of the claim.
    pub token: FencingToken,
    /// Bundle in force, which may come from a peer; `None` if there is none.
    pub bundle: Option<Arc<PolicyBundle>>,
    /// Jobs without an outcome; the flag tells whether the job is cancelled.
    pub jobs: Vec<(Arc<JobSpec>, bool)>,
    /// Usable part of each team's allotment.
    pub allotments: Vec<(TeamId, ResourceVector)>,
}

/// Message to the [`SchedulerTask`].
pub enum SchedulerMessage {
    /// This process has claimed a shard, from the journal.
    Claimed(Box<ClaimedShard>),
    /// A change of the ledger, from the journal.
    LedgerChanged(LedgerChange),
    /// Workers on the VM list after it changed.
    WorkersListed(Vec<WorkerVm>),
    /// A worker accepted a sync, from its sync loop.
    Synced(Box<CompletedSync>),
    /// A start was dropped before any sync carried it, because a stop of the same task followed.
    StartWithdrawn(ShardId, FencingToken, VmId, TaskId),
    /// A worker of the shard has accepted a newer fencing token than the one given here.
    Fenced(ShardId, FencingToken),
    /// A worker gave no usable answer to a sync in time.
    SyncFailed(ShardId, FencingToken, VmId),
    /// The bundle in force counts as fresh until this time; no task is started afterwards.
    BundleFreshUntil(Instant),
    /// At this time certainly no other process owned a worker shard of this process, from the peer task. A
    /// loss that the evidence shows has reached the scheduler before.
    OwnershipConfirmed(Instant),
    /// Worker shards of other processes with workers that are not on the VM list and may still run tasks,
    /// from the peer task.
    UnlistedWorkersReported(FastSet<ShardId>),
    /// Asks why the tasks of a job run or wait where they do; answered with `None` if no owned shard has the
    /// job.
    Explain(JobId, oneshot::Sender<Option<JobExplanation>>),
    /// Asks for the number of waiting tasks of all owned shards, by team and reason.
    WaitingTasks(oneshot::Sender<TeamWaits>),
    /// Asks for summaries of all owned shards.
    Summarise(oneshot::Sender<Vec<ShardSummary>>),
}

/// An owned worker shard and its scheduler.
struct OwnedShard {
    token: FencingToken,
    scheduler: ShardScheduler,
    /// Workers with a running sync loop.
    synced_workers: FastSet<VmId>,
}

/// Task that schedules the jobs of all owned worker shards.
pub struct SchedulerTask {
    process: ProcessId,
    registry: PluginRegistry,
    timing: LeaseTiming,
    shards: FastMap<ShardId, OwnedShard>,
    workers: Vec<WorkerVm>,
    /// Workers that were removed from the VM list, each with the latest expiry of any lease that it may hold.
    delisted: Vec<(Instant, WorkerVm)>,
    /// Worker shards of other processes with workers that are not on the VM list and may still run tasks.
    unlisted_shards: FastSet<ShardId>,
    bundle: Option<Arc<PolicyBundle>>,
    bundle_fresh_until: Option<Instant>,
    journal: mpsc::Sender<JournalMessage>,
    worker: mpsc::Sender<WorkerMessage>,
    metrics: EntryMetrics,
}

impl SchedulerTask {
    /// Returns the task; the leases of all owners, earlier ones included, are bounded by `timing`.
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
            delisted: Vec::new(),
            unlisted_shards: FastSet::default(),
            bundle: None,
            bundle_fresh_until: None,
            journal,
            worker,
            metrics,
        }
    }

    /// Returns the number of waiting tasks of all owned shards, by team and reason.
    fn waiting_tasks(&self) -> TeamWaits {
        let mut sum = TeamWaits::new();
        for (team, reasons) in self.shards.values().flat_map(|owned| owned.scheduler.team_waits()) {
            let team = sum.entry(team).or_default();
            for (reason, tasks) in reasons {
                *team.entry(reason).or_default() += tasks;
            }
        }
        sum
    }

    /// Runs until `shutdown` is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<SchedulerMessage>, shutdown: CancellationToken) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message).await,
                _ = tick.tick() => self.handle_event_in_all(&ScheduleEvent::Tick).await,
                () = std::future::ready(()), if self.has_backlog() => self.process_backlog().await,
            }
        }
    }

    async fn handle(&mut self, message: SchedulerMessage) {
        match message {
            SchedulerMessage::Claimed(claimed) => self.claim_shard(*claimed).await,
            SchedulerMessage::LedgerChanged(change) => self.apply_change(change).await,
            SchedulerMessage::WorkersListed(workers) => {
                self.record_delisted(&workers);
                self.workers = workers;
                self.update_workers().await;
            }
            SchedulerMessage::Synced(sync) if self.owns(&sync.shard, sync.token) => {
                let CompletedSync { shard, vm, tasks, report, stamp, .. } = *sync;
                if let Some(stamp) = stamp {
                    let _ = self.worker.send(WorkerMessage::Renew(vm.clone(), stamp)).await;
                }
                if !tasks.is_empty() {
                    self.handle_event(&shard, ScheduleEvent::CommandsDelivered(vm.clone(), tasks)).await;
                }
                self.handle_event(&shard, ScheduleEvent::SyncAnswered(vm, report)).await;
            }
            SchedulerMessage::StartWithdrawn(shard, token, vm, task) if self.owns(&shard, token) => {
                self.handle_event(&shard, ScheduleEvent::StartWithdrawn(vm, task)).await;
            }
            SchedulerMessage::Fenced(shard, token) if self.owns(&shard, token) => {
                self.lose_shard(&shard).await;
            }
            SchedulerMessage::BundleFreshUntil(until) => {
                self.bundle_fresh_until = Some(until);
                self.handle_event_in_all(&ScheduleEvent::BundleFreshUntil(until)).await;
            }
            SchedulerMessage::UnlistedWorkersReported(shards) => self.unlisted_shards = shards,
            SchedulerMessage::OwnershipConfirmed(at) => {
                let _ = self.worker.send(WorkerMessage::OwnershipConfirmed(at)).await;
            }
            SchedulerMessage::Explain(job, reply) => {
                let explanation = self.shards.values().find_map(|owned| owned.scheduler.explain(&job));
                let _ = reply.send(explanation);
            }
            SchedulerMessage::WaitingTasks(reply) => {
                let _ = reply.send(self.waiting_tasks());
            }
            SchedulerMessage::Summarise(reply) => {
                let summaries =
                    self.shards.iter().map(|(shard, owned)| owned.scheduler.summary(shard.clone()));
                let _ = reply.send(summaries.collect());
            }
            SchedulerMessage::SyncFailed(shard, token, vm) if self.owns(&shard, token) => {
                self.handle_event(&shard, ScheduleEvent::SyncFailed(vm)).await;
            }
            // Results of syncs under an earlier claim are ignored; the next sync reports the state of the
            // worker again.
            SchedulerMessage::Synced(..)
            | SchedulerMessage::StartWithdrawn(..)
            | SchedulerMessage::Fenced(..)
            | SchedulerMessage::SyncFailed(..) => {}
        }
    }

    /// Records workers that were removed from the VM list while their leases may not have expired.
    fn record_delisted(&mut self, workers: &[WorkerVm]) {
        let now = Instant::now();
        let listed: FastSet<&VmId> = workers.iter().map(|vm| &vm.vm).collect();
        let leases_end = self.timing.latest_expiry_of_former(now);
        let removed = self.workers.iter().filter(|vm| !listed.contains(&vm.vm));
        self.delisted.extend(removed.map(|vm| (leases_end, vm.clone())));
        self.delisted.retain(|(leases_end, vm)| *leases_end > now && !listed.contains(&vm.vm));
    }

    fn owns(&self, shard: &ShardId, token: FencingToken) -> bool {
        self.shards.get(shard).is_some_and(|owned| owned.token == token)
    }

    /// Drops the scheduler of a shard that another process owns now, and stops the syncs with its workers.
    async fn lose_shard(&mut self, shard: &ShardId) {
        if self.shards.remove(shard).is_some() {
            log::info!(shard = &**shard; "shard lost");
            let _ = self.worker.send(WorkerMessage::StopShardSyncs(shard.clone())).await;
        }
    }

    fn has_backlog(&self) -> bool {
        self.shards.values().any(|owned| owned.scheduler.backlog)
    }

    /// Continues work that schedulers have postponed so that handling one event stays short.
    async fn process_backlog(&mut self) {
        let shards = self.shards.iter().filter(|(_, owned)| owned.scheduler.backlog);
        for shard in shards.map(|(shard, _)| shard.clone()).collect::<Vec<ShardId>>() {
            self.handle_event(&shard, ScheduleEvent::Tick).await;
        }
        // Lets the other tasks run between two slices of the backlog. `run` then chooses at random between
        // the backlog and the messages that have arrived.
        tokio::task::yield_now().await;
    }

    async fn claim_shard(&mut self, claimed: ClaimedShard) {
        let earlier_leases_end = self.timing.latest_expiry_of_former(Instant::now());
        let mut scheduler = ShardScheduler::new(self.registry.clone(), earlier_leases_end)
            .with_timing(self.timing)
            .with_first_attempt(claimed.token << ATTEMPT_BITS);
        for (spec, cancelled) in claimed.jobs {
            scheduler.restore_job(&spec, cancelled);
        }
        let owned = OwnedShard { token: claimed.token, scheduler, synced_workers: FastSet::default() };
        self.shards.insert(claimed.shard.clone(), owned);
        if let Some(until) = self.bundle_fresh_until {
            self.handle_event(&claimed.shard, ScheduleEvent::BundleFreshUntil(until)).await;
        }
        for (team, amount) in claimed.allotments {
            self.handle_event(&claimed.shard, ScheduleEvent::AllotmentChanged(team, amount)).await;
        }
        if let Some(bundle) = claimed.bundle {
            self.bundle = Some(bundle.clone());
            self.handle_event(&claimed.shard, ScheduleEvent::BundleAdopted(bundle)).await;
        }
        if self.unlisted_shards.contains(&claimed.shard) {
            self.handle_event(&claimed.shard, ScheduleEvent::UnknownWorkersReported).await;
        }
        log::info!(shard = &*claimed.shard, token = claimed.token; "shard claimed");
        if let Some(bundle) = self.bundle.clone() {
            let workers =
                self.delisted.iter().filter(|(_, vm)| vm.shard(bundle.shards_per_region) == claimed.shard);
            let workers = workers.map(|(_, vm)| vm.vm.clone()).collect();
            self.handle_event(&claimed.shard, ScheduleEvent::WorkersDelisted(workers)).await;
        }
        self.update_workers().await;
    }

    async fn apply_change(&mut self, change: LedgerChange) {
        match change {
            LedgerChange::BundleAdopted(bundle) => {
                self.bundle = Some(bundle.clone());
                self.handle_event_in_all(&ScheduleEvent::BundleAdopted(bundle)).await;
                self.update_workers().await;
            }
            LedgerChange::ShardClaimed(shard, claim) if claim.process != self.process => {
                self.lose_shard(&shard).await;
            }
            LedgerChange::JobAccepted(spec, shard) => {
                self.handle_event(&shard, ScheduleEvent::JobAccepted(spec)).await;
            }
            LedgerChange::JobMoved(spec, shard, offset) => {
                let others = self.shards.keys().filter(|other| **other != shard).cloned();
                for other in others.collect::<Vec<ShardId>>() {
                    self.handle_event(&other, ScheduleEvent::JobMovedOut(spec.id.clone())).await;
                }
                // The offset of the move is greater than every token under which earlier attempts were
                // numbered.
                let first_attempt = (offset + 1) << ATTEMPT_BITS;
                self.handle_event(&shard, ScheduleEvent::JobMovedIn(spec, first_attempt)).await;
            }
            LedgerChange::JobEnded(job, _) => {
                self.handle_job_event(&job, ScheduleEvent::JobEnded(job.clone())).await;
            }
            LedgerChange::JobCancelled(job, shard) => {
                self.handle_event(&shard, ScheduleEvent::JobCancelled(job)).await;
            }
            LedgerChange::AllotmentChanged(shard, team, amount) => {
                self.handle_event(&shard, ScheduleEvent::AllotmentChanged(team, amount)).await;
            }
            _ => {}
        }
    }

    /// Updates the workers of each owned shard and the capacities of the other shards; starts syncs with new
    /// workers.
    async fn update_workers(&mut self) {
        let Some(bundle) = self.bundle.clone() else { return };
        let shards: Vec<ShardId> = self.shards.keys().cloned().collect();
        let capacities = ShardCapacities::new(&self.workers, bundle.shards_per_region);
        for shard in shards {
            self.handle_event(&shard, ScheduleEvent::OtherShardsListed(capacities.without(&shard))).await;
            let workers = self
                .workers
                .iter()
                .filter(|vm| vm.shard(bundle.shards_per_region) == shard)
                .cloned()
                .collect();
            self.start_syncs(&shard, &workers).await;
            self.handle_event(&shard, ScheduleEvent::WorkersListed(workers)).await;
        }
    }

    async fn start_syncs(&mut self, shard: &ShardId, workers: &Vec<WorkerVm>) {
        let Some(owned) = self.shards.get_mut(shard) else { return };
        for vm in workers {
            if owned.synced_workers.insert(vm.vm.clone()) {
                let (token, address) = (owned.token, vm.address.clone());
                let message =
                    WorkerMessage::StartSync { vm: vm.vm.clone(), address, shard: shard.clone(), token };
                let _ = self.worker.send(message).await;
            }
        }
    }

    /// Handles an event in the shard that has the job, if this process owns it.
    async fn handle_job_event(&mut self, job: &JobId, event: ScheduleEvent) {
        let owned = self.shards.iter().find(|(_, owned)| owned.scheduler.has_job(job));
        if let Some(shard) = owned.map(|(shard, _)| shard.clone()) {
            self.handle_event(&shard, event).await;
        }
    }

    async fn handle_event_in_all(&mut self, event: &ScheduleEvent) {
        let shards: Vec<ShardId> = self.shards.keys().cloned().collect();
        for shard in shards {
            self.handle_event(&shard, event.clone()).await;
        }
    }

    async fn handle_event(&mut self, shard: &ShardId, event: ScheduleEvent) {
        let Some(owned) = self.shards.get_mut(shard) else { return };
        let token = owned.token;
        let started = Instant::now();
        let effects = owned.scheduler.handle(event, started);
        self.observe_placement_time(started.elapsed(), &effects);
        for effect in effects {
            self.carry_out_effect(shard, token, effect).await;
        }
    }

    fn observe_placement_time(&self, elapsed: Duration, effects: &[ScheduleEffect]) {
        let placed = effects.iter().filter(|effect| matches!(effect, ScheduleEffect::Placed { .. })).count();
        let each = elapsed / u32::try_from(placed.max(1)).unwrap_or(u32::MAX);
        for _ in 0..placed {
            self.metrics.placement_seconds.observe(each.as_secs_f64());
        }
    }

    async fn carry_out_effect(&mut self, shard: &ShardId, token: FencingToken, effect: ScheduleEffect) {
        match effect {
            ScheduleEffect::Command(vm, command) => {
                let _ = self.worker.send(WorkerMessage::Command(vm, command)).await;
            }
            ScheduleEffect::DisconnectWorker(vm) => {
                if let Some(owned) = self.shards.get_mut(shard) {
                    owned.synced_workers.remove(&vm);
                }
                let _ = self.worker.send(WorkerMessage::StopSync(vm)).await;
            }
            ScheduleEffect::Stopped { task, vm, reason } => {
                log::info!(decision = "stop", task = &*task, vm = &*vm, reason = reason; "task stopped");
            }
            ScheduleEffect::RecordOutcome(job, outcome) => {
                log::info!(job = &*job, outcome:% = outcome; "job ended, recording its outcome");
                self.metrics.jobs_ended.with_label_values(&[outcome.label()]).inc();
                let record = LogRecord::Outcome { job, token, outcome };
                let _ = self.journal.send(JournalMessage::AppendRecord(record)).await;
            }
            ScheduleEffect::MoveJob(job, to) => {
                log::info!(decision = "move", job = &*job, from = &**shard, to = &*to; "moving job");
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
