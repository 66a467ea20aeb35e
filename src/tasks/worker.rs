//! Keeps one sync loop for each owned worker.

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::WorkerCommand;
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
    /// Sends a command with the next sync.
    Command(VmId, WorkerCommand),
}

/// How workers are synced.
#[derive(Clone, Copy, Debug)]
pub struct SyncTiming {
    /// Time between syncs without commands.
    pub interval: Duration,
    /// Lease that each sync grants.
    pub lease: Duration,
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
            WorkerMessage::Command(vm, command) => {
                if let Some(owned) = self.workers.get(&vm) {
                    let _ = owned.commands.send(command).await;
                }
            }
        }
    }
}

struct SyncLoop {
    vm: VmId,
    shard: ShardId,
    fencing: FencingToken,
    client: WorkerClient,
    timing: SyncTiming,
    scheduler: mpsc::Sender<SchedulerMessage>,
    pending: Vec<WorkerCommand>,
    metrics: EntryMetrics,
}

impl SyncLoop {
    async fn run(mut self, mut inbox: mpsc::Receiver<WorkerCommand>, token: CancellationToken) {
        let mut wait = Duration::ZERO;
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                received = inbox.recv() => match received {
                    Some(command) => self.pending.push(command),
                    None => return,
                },
                () = tokio::time::sleep(wait) => {}
            }
            while let Ok(command) = inbox.try_recv() {
                self.pending.push(command);
            }
            if !self.sync().await {
                return;
            }
            wait = self.timing.interval;
        }
    }

    /// Syncs once; returns whether this process may still own the worker.
    async fn sync(&mut self) -> bool {
        let request = SyncRequest {
            vm: self.vm.clone(),
            token: self.fencing,
            lease: self.timing.lease,
            commands: self.pending.clone(),
        };
        let (shard, vm) = (self.shard.clone(), self.vm.clone());
        let message = match (self.client)(request).await {
            SyncResult::Report(report) => {
                self.pending.clear();
                self.count("answered");
                SchedulerMessage::Synced(shard, self.fencing, vm, report)
            }
            SyncResult::Unknown(fault) => {
                self.count("unknown");
                log::warn!(vm = &*self.vm, fault = fault.as_str(); "worker sync failed");
                SchedulerMessage::Silent(shard, self.fencing, vm)
            }
            SyncResult::Fenced(newer) => {
                self.count("fenced");
                log::info!(vm = &*self.vm, token = self.fencing, newer = newer; "worker has a newer owner");
                return false;
            }
        };
        self.scheduler.send(message).await.is_ok()
    }

    fn count(&self, result: &str) {
        self.metrics.syncs.with_label_values(&[result]).inc();
    }
}
