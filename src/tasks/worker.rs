//! Runs one sync loop for each worker of the owned shards.

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

pub use crate::kernel::SyncTiming;
use crate::kernel::{WorkerCommand, WorkerReport};
use crate::prelude::*;
use crate::tasks::adapter::{WorkerAdapter, WorkerStamp};
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::scheduler::SchedulerMessage;
use crate::tasks::sync_loop::{SyncLoop, SyncMessage, SyncTarget};

/// Capacity of the channel to one sync loop in messages; the worker task waits while it is full.
const SYNC_LOOP_CAPACITY: usize = 1_024;

/// Message to the [`WorkerTask`], from the scheduler task.
pub enum WorkerMessage {
    /// Starts syncs with a worker under a fencing token, in place of any earlier syncs with it.
    StartSync {
        /// VM of the worker.
        vm: VmId,
        /// Address of the worker.
        address: String,
        /// Shard that the worker belongs to.
        shard: ShardId,
        /// Fencing token under which this process owns the shard.
        token: FencingToken,
    },
    /// Stops the syncs with all workers of a shard.
    StopShardSyncs(ShardId),
    /// Stops the syncs with a worker.
    StopSync(VmId),
    /// Sends a command with the next sync. A stop cancels a start of the same task that no sync has carried.
    Command(VmId, WorkerCommand),
    /// Extends the worker's lease with the next syncs, counted from this stamp. The scheduler sends it after
    /// it has handled the answer that carried the stamp.
    ///
    /// The stops of tasks that the scheduler ended before precede this message in the same channel. So no
    /// sync with the new stamp extends the lease of such a task or starts it, however late the answer was
    /// handled.
    Renew(VmId, ReceivedStamp),
    /// At this time certainly no other process owned a shard of the sync loops; for
    /// [`OWNERSHIP_LEASE`](crate::kernel::OWNERSHIP_LEASE) from then on, syncs may grant leases.
    ///
    /// The syncs of a shard that this process has lost since are stopped by earlier messages in the same
    /// channel.
    OwnershipConfirmed(Instant),
}

/// A worker's stamp and the local time at which the answer with it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedStamp {
    /// The stamp, to be returned with a later sync.
    pub stamp: WorkerStamp,
    /// When the answer arrived in this process.
    pub at: Instant,
}

/// A sync that a worker has accepted and answered in time.
#[derive(Clone, Debug)]
pub struct CompletedSync {
    /// Shard that the worker belongs to.
    pub shard: ShardId,
    /// Fencing token of the sync.
    pub token: FencingToken,
    /// VM of the worker.
    pub vm: VmId,
    /// Tasks whose start or stop the sync carried and the worker did not reject.
    pub tasks: Vec<TaskId>,
    /// Running and ended tasks as the worker reports them.
    pub report: WorkerReport,
    /// Stamp of the answer; `None` if the adapter has no stamps.
    pub stamp: Option<ReceivedStamp>,
}

/// Handle of the sync loop of one worker.
struct SyncHandle {
    shard: ShardId,
    messages: mpsc::Sender<SyncMessage>,
    /// Cancelled to end the sync loop.
    cancel: CancellationToken,
}

/// Task that starts and stops the sync loops and passes commands to them.
pub struct WorkerTask {
    adapter: WorkerAdapter,
    timing: SyncTiming,
    scheduler: mpsc::Sender<SchedulerMessage>,
    workers: FastMap<VmId, SyncHandle>,
    /// Newest time at which certainly no other process owned a shard of the sync loops; `None` before the
    /// first.
    ownership: watch::Sender<Option<Instant>>,
    metrics: EntryMetrics,
}

impl WorkerTask {
    /// Returns a task without sync loops; results go to `scheduler`.
    #[must_use]
    pub fn new(
        adapter: WorkerAdapter,
        timing: SyncTiming,
        scheduler: mpsc::Sender<SchedulerMessage>,
        metrics: EntryMetrics,
    ) -> Self {
        let ownership = watch::Sender::new(None);
        Self { adapter, timing, scheduler, workers: FastMap::default(), ownership, metrics }
    }

    /// Runs until `shutdown` is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<WorkerMessage>, shutdown: CancellationToken) {
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message, &shutdown).await,
            }
        }
    }

    async fn handle(&mut self, message: WorkerMessage, shutdown: &CancellationToken) {
        match message {
            WorkerMessage::StartSync { vm, address, shard, token: fencing_token } => {
                let (messages, inbox) = mpsc::channel(SYNC_LOOP_CAPACITY);
                let child = shutdown.child_token();
                let target = SyncTarget { vm: vm.clone(), address, shard: shard.clone(), fencing_token };
                let (scheduler, metrics) = (self.scheduler.clone(), self.metrics.clone());
                let ownership = self.ownership.subscribe();
                let sync = SyncLoop::new(target, self.adapter, self.timing, ownership, scheduler, metrics);
                actix_rt::spawn(sync.run(inbox, child.clone()));
                let owned = SyncHandle { shard, messages, cancel: child };
                if let Some(old) = self.workers.insert(vm, owned) {
                    old.cancel.cancel();
                }
            }
            WorkerMessage::StopShardSyncs(shard) => self.workers.retain(|_, owned| {
                if owned.shard == shard {
                    owned.cancel.cancel();
                }
                owned.shard != shard
            }),
            WorkerMessage::StopSync(vm) => {
                if let Some(owned) = self.workers.remove(&vm) {
                    owned.cancel.cancel();
                }
            }
            WorkerMessage::Command(vm, command) => self.send(&vm, SyncMessage::Command(command)).await,
            WorkerMessage::OwnershipConfirmed(at) => {
                self.ownership.send_replace(Some(at));
            }
            WorkerMessage::Renew(vm, stamp) => self.send(&vm, SyncMessage::Renew(stamp)).await,
        }
    }

    async fn send(&self, vm: &VmId, message: SyncMessage) {
        if let Some(owned) = self.workers.get(vm) {
            let _ = owned.messages.send(message).await;
        }
    }
}
