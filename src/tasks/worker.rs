//! Keeps one sync loop for each owned worker.

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

pub use crate::kernel::SyncTiming;
use crate::kernel::{WorkerCommand, WorkerReport};
use crate::prelude::*;
use crate::tasks::adapter::{WorkerAdapter, WorkerStamp};
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::scheduler::SchedulerMessage;
use crate::tasks::sync_loop::{SyncLoop, SyncMessage, SyncTarget};

/// Commands that wait for one worker before the sender waits.
const COMMAND_CAPACITY: usize = 1_024;

/// What the worker task is asked to do.
pub enum WorkerMessage {
    /// Starts syncing with a worker under a token.
    StartSync {
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
    StopShardSyncs(ShardId),
    /// Stops syncing with a worker.
    StopSync(VmId),
    /// Sends a command with the next sync; a stop removes a start of the same task that was not sent.
    Command(VmId, WorkerCommand),
    /// Lets the next syncs extend the lease from the stamp: the scheduler has handled the answer that carried it.
    ///
    /// Stops of tasks that the scheduler gave up before reach the sync loop earlier on the same way. So no sync
    /// extends the lease of such a task or starts it under a newer stamp, however late the answer was handled.
    Renew(VmId, ReceivedStamp),
}

/// A stamp with the time when its answer arrived here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedStamp {
    /// The stamp.
    pub stamp: WorkerStamp,
    /// When the answer arrived.
    pub at: Instant,
}

/// A sync that a worker has answered in time.
#[derive(Clone, Debug)]
pub struct CompletedSync {
    /// Shard of the worker.
    pub shard: ShardId,
    /// Token of the sync.
    pub token: FencingToken,
    /// The worker.
    pub vm: VmId,
    /// Tasks whose starts and stops the sync carried and the worker did not reject.
    pub tasks: Vec<TaskId>,
    /// The report of the worker.
    pub report: WorkerReport,
    /// Stamp of the answer, if the adapter has stamps.
    pub stamp: Option<ReceivedStamp>,
}

struct OwnedWorker {
    shard: ShardId,
    commands: mpsc::Sender<SyncMessage>,
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
            WorkerMessage::StartSync { vm, address, shard, token: fencing } => {
                let (commands, inbox) = mpsc::channel(COMMAND_CAPACITY);
                let child = token.child_token();
                let target = SyncTarget { vm: vm.clone(), address, shard: shard.clone(), fencing };
                let (scheduler, metrics) = (self.scheduler.clone(), self.metrics.clone());
                let sync = SyncLoop::new(target, self.adapter, self.timing, scheduler, metrics);
                actix_rt::spawn(sync.run(inbox, child.clone()));
                let owned = OwnedWorker { shard, commands, token: child };
                if let Some(old) = self.workers.insert(vm, owned) {
                    old.token.cancel();
                }
            }
            WorkerMessage::StopShardSyncs(shard) => self.workers.retain(|_, owned| {
                if owned.shard == shard {
                    owned.token.cancel();
                }
                owned.shard != shard
            }),
            WorkerMessage::StopSync(vm) => {
                if let Some(owned) = self.workers.remove(&vm) {
                    owned.token.cancel();
                }
            }
            WorkerMessage::Command(vm, command) => self.tell(&vm, SyncMessage::Command(command)).await,
            WorkerMessage::Renew(vm, stamp) => self.tell(&vm, SyncMessage::Renew(stamp)).await,
        }
    }

    async fn tell(&self, vm: &VmId, message: SyncMessage) {
        if let Some(owned) = self.workers.get(vm) {
            let _ = owned.commands.send(message).await;
        }
    }
}
