//! Keeps one sync loop for each owned worker.

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

pub use crate::kernel::SyncTiming;
use crate::kernel::{KnownRuns, TaskReport, WorkerCommand, WorkerReport};
use crate::prelude::*;
use crate::tasks::adapter::{SyncRequest, SyncResult, WorkerAdapter, WorkerClient};
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::scheduler::SchedulerMessage;

/// Commands that wait for one worker before the sender waits.
const COMMAND_CAPACITY: usize = 1_024;

/// What the worker task is asked to do.
pub enum WorkerMessage {
    /// Starts syncing with a worker under a token.
    Own {
        /// The worker.
        vm: VmId,
        /// Its address.
        address: String,
        /// Its shard.
        shard: ShardId,
        /// Token of the shard.
        token: FencingToken,
    },
    /// Stops syncing with all workers of a shard.
    Disown(ShardId),
    /// Stops syncing with a worker.
    Forget(VmId),
    /// Sends a command with the next sync; a stop removes a start of the same task that was not sent.
    Command(VmId, WorkerCommand),
}

struct OwnedWorker {
    shard: ShardId,
    commands: mpsc::Sender<WorkerCommand>,
    token: CancellationToken,
}

/// State of the worker task.
pub struct WorkerTask {
    adapter: WorkerAdapter,
    timing: SyncTiming,
    scheduler: mpsc::Sender<SchedulerMessage>,
    workers: FastMap<VmId, OwnedWorker>,
    metrics: EntryMetrics,
}

impl WorkerTask {
    /// Returns the task.
    #[must_use]
    pub fn new(
        adapter: WorkerAdapter,
        timing: SyncTiming,
        scheduler: mpsc::Sender<SchedulerMessage>,
        metrics: EntryMetrics,
    ) -> Self {
        Self { adapter, timing, scheduler, workers: FastMap::default(), metrics }
    }

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<WorkerMessage>, token: CancellationToken) {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message, &token).await,
            }
        }
    }

    async fn handle(&mut self, message: WorkerMessage, token: &CancellationToken) {
        match message {
            WorkerMessage::Own { vm, address, shard, token: fencing } => {
                let (commands, inbox) = mpsc::channel(COMMAND_CAPACITY);
                let child = token.child_token();
                let sync = SyncLoop {
                    vm: vm.clone(),
                    shard: shard.clone(),
                    fencing,
                    client: (self.adapter.connect)(&address),
                    timing: self.timing,
                    scheduler: self.scheduler.clone(),
                    pending: Vec::new(),
                    withdrawn: Vec::new(),
                    granted_until: None,
                    held: None,
                    news: true,
                    runs: KnownRuns::default(),
                    metrics: self.metrics.clone(),
                };
                actix_rt::spawn(sync.run(inbox, child.clone()));
                let owned = OwnedWorker { shard, commands, token: child };
                if let Some(old) = self.workers.insert(vm, owned) {
                    old.token.cancel();
                }
            }
            WorkerMessage::Disown(shard) => self.workers.retain(|_, owned| {
                if owned.shard == shard {
                    owned.token.cancel();
                }
                owned.shard != shard
            }),
            WorkerMessage::Forget(vm) => {
                if let Some(owned) = self.workers.remove(&vm) {
                    owned.token.cancel();
                }
            }
            WorkerMessage::Command(vm, command) => {
                if let Some(owned) = self.workers.get(&vm) {
                    let _ = owned.commands.send(command).await;
                }
            }
        }
    }
}

/// A command that no answered sync has carried yet.
struct PendingCommand {
    command: WorkerCommand,
    /// Whether a sync carried it; the worker may have seen it.
    sent: bool,
}

struct SyncLoop {
    vm: VmId,
    shard: ShardId,
    fencing: FencingToken,
    client: WorkerClient,
    timing: SyncTiming,
    scheduler: mpsc::Sender<SchedulerMessage>,
    pending: Vec<PendingCommand>,
    withdrawn: Vec<TaskId>,
    /// End of the lease that the first of the failed syncs may have granted.
    granted_until: Option<Instant>,
    /// Running tasks of the last report and their revision, if the worker gives revisions.
    held: Option<(ReportRevision, Vec<TaskReport>)>,
    /// Whether the last sync failed, carried commands or told of ends, so that the next one follows soon.
    news: bool,
    runs: KnownRuns,
    metrics: EntryMetrics,
}

impl SyncLoop {
    async fn run(mut self, mut inbox: mpsc::Receiver<WorkerCommand>, token: CancellationToken) {
        let mut wait = Duration::ZERO;
        loop {
            tokio::select! {
                biased;
                () = token.cancelled() => return,
                received = inbox.recv() => match received {
                    Some(command) => self.take(command),
                    None => return,
                },
                () = tokio::time::sleep(wait) => {}
            }
            while let Ok(command) = inbox.try_recv() {
                self.take(command);
            }
            // A command of a shard that was lost meanwhile must not go out.
            if token.is_cancelled() || !self.sync(&mut inbox).await {
                return;
            }
            wait = self.next_wait();
        }
    }

    /// Queues a command; a stop takes the place of a start that did not surely reach the worker.
    fn take(&mut self, command: WorkerCommand) {
        if let WorkerCommand::Stop { task } = &command {
            let started = |pending: &PendingCommand| matches!(pending.command, WorkerCommand::Start { .. });
            let unsent = self
                .pending
                .iter()
                .any(|pending| pending.command.task() == task && started(pending) && !pending.sent);
            self.pending.retain(|pending| pending.command.task() != task);
            if unsent {
                self.withdrawn.push(task.clone());
                return;
            }
        }
        self.pending.push(PendingCommand { command, sent: false });
    }

    /// Syncs once; returns whether this process may still own the worker.
    async fn sync(&mut self, inbox: &mut mpsc::Receiver<WorkerCommand>) -> bool {
        let request = SyncRequest {
            vm: self.vm.clone(),
            token: self.fencing,
            lease: self.grant(),
            commands: self.pending.iter().map(|pending| pending.command.clone()).collect(),
            known: self.held.as_ref().map(|(revision, _)| *revision),
        };
        for pending in &mut self.pending {
            pending.sent = true;
        }
        let commands = request.commands.clone();
        let mut answer = (self.client)(request);
        let result = loop {
            tokio::select! {
                result = &mut answer => break result,
                Some(command) = inbox.recv() => self.take(command),
            }
        };
        let (shard, vm) = (self.shard.clone(), self.vm.clone());
        let message = match self.complete(result) {
            SyncResult::Report(report, _) => {
                self.count("answered");
                self.granted_until = None;
                self.pending.retain(|pending| !pending.sent);
                self.news = !commands.is_empty() || !report.ended.is_empty();
                self.runs.note(&commands, &report, Instant::now());
                SchedulerMessage::Synced(shard, self.fencing, vm, delivered(commands), report)
            }
            // Completed above.
            SyncResult::Unchanged(_) => return true,
            SyncResult::Unknown(fault) => {
                self.count("unknown");
                log::warn!(vm = &*self.vm, fault = fault.as_str(); "worker sync failed");
                let lease = self.timing.lease;
                self.news = true;
                self.granted_until.get_or_insert_with(|| Instant::now() + lease);
                SchedulerMessage::Silent(shard, self.fencing, vm)
            }
            SyncResult::Fenced(newer) => {
                self.count("fenced");
                log::info!(vm = &*self.vm, token = self.fencing, newer = newer; "worker has a newer owner");
                let message = SchedulerMessage::Fenced(shard, self.fencing);
                self.send(message, inbox).await;
                return false;
            }
        };
        self.send(message, inbox).await && self.report_withdrawn(inbox).await
    }

    fn next_wait(&self) -> Duration {
        if self.news {
            return self.timing.interval;
        }
        self.timing.next(self.runs.iter(), Instant::now())
    }

    /// Fills in the running tasks of a report that says that they are the known ones.
    fn complete(&mut self, result: SyncResult) -> SyncResult {
        match (result, &mut self.held) {
            (SyncResult::Unchanged(ended), Some((revision, running))) => {
                SyncResult::Report(WorkerReport { running: running.clone(), ended }, Some(*revision))
            }
            (SyncResult::Unchanged(_), None) => SyncResult::Unknown("no running tasks are known".into()),
            (SyncResult::Report(report, revision), held) => {
                *held = revision.map(|revision| (revision, report.running.clone()));
                SyncResult::Report(report, revision)
            }
            (result, _) => result,
        }
    }

    /// Returns the lease of the next sync. After a failed sync it is only the rest of what that one may have
    /// granted, so that the end of the lease of a worker that hears but is not heard can be known.
    fn grant(&self) -> Duration {
        self.granted_until.map_or(self.timing.lease, |until| until.saturating_duration_since(Instant::now()))
    }

    async fn report_withdrawn(&mut self, inbox: &mut mpsc::Receiver<WorkerCommand>) -> bool {
        while let Some(task) = self.withdrawn.pop() {
            let message =
                SchedulerMessage::Withdrawn(self.shard.clone(), self.fencing, self.vm.clone(), task);
            if !self.send(message, inbox).await {
                return false;
            }
        }
        true
    }

    /// Sends to the scheduler and takes commands meanwhile, as the scheduler may be waiting to send one.
    async fn send(&mut self, message: SchedulerMessage, inbox: &mut mpsc::Receiver<WorkerCommand>) -> bool {
        let scheduler = self.scheduler.clone();
        loop {
            tokio::select! {
                permit = scheduler.reserve() => {
                    let Ok(permit) = permit else { return false };
                    permit.send(message);
                    return true;
                }
                Some(command) = inbox.recv() => self.take(command),
            }
        }
    }

    fn count(&self, result: &str) {
        self.metrics.syncs.with_label_values(&[result]).inc();
    }
}

/// Returns the tasks whose starts or stops a sync carried.
fn delivered(commands: Vec<WorkerCommand>) -> Vec<TaskId> {
    commands
        .into_iter()
        .filter_map(|command| match command {
            WorkerCommand::Start { task, .. } | WorkerCommand::Stop { task } => Some(task),
            _ => None,
        })
        .collect()
}
