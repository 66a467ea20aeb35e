//! Tails the control log, folds the ledger and commits groups of records.

use std::pin::Pin;

use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::{GroupCommit, LedgerChange, LedgerState, RecordGroup};
use crate::prelude::*;
use crate::tasks::adapter::{AppendFuture, LogClient, LogFault, LogPage, ReadFuture};
use crate::tasks::gate::GateMessage;
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::peer::PeerMessage;
use crate::tasks::router::RouterMessage;
use crate::tasks::scheduler::{ClaimedShard, SchedulerMessage};

/// Longest wait of one read for new records.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Wait before a failed read or append is tried again.
const RETRY_WAIT: Duration = Duration::from_millis(250);
/// The log counts as unavailable when nothing was read for this long.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(5);

/// A question about the ledger; runs inside the journal task.
pub type LedgerQuery = Box<dyn FnOnce(&LedgerState) + Send>;

/// Changes of the group that carried an append, in order.
pub type CommitReply = Arc<[LedgerChange]>;

/// What the journal is asked to do.
pub enum JournalMessage {
    /// Appends a record and replies once it is folded; dropped without a reply if the log is unavailable.
    Commit(LogRecord, oneshot::Sender<CommitReply>),
    /// Appends a record sooner or later; survives outages of the log.
    Record(LogRecord),
    /// Runs a question on the ledger.
    Query(LedgerQuery),
}

/// Where the journal sends changes of the ledger.
#[derive(Clone)]
pub struct JournalOutputs {
    /// The scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
    /// The router task.
    pub router: mpsc::Sender<RouterMessage>,
    /// The gate task.
    pub gate: mpsc::Sender<GateMessage>,
    /// The peer task.
    pub peer: mpsc::Sender<PeerMessage>,
}

/// State of the journal task.
pub struct JournalTask {
    process: ProcessId,
    client: LogClient,
    ledger: LedgerState,
    commit: GroupCommit,
    replies: Vec<(GroupSequence, oneshot::Sender<CommitReply>)>,
    outputs: JournalOutputs,
    last_read: Instant,
    metrics: EntryMetrics,
}

impl JournalTask {
    /// Returns the task; `window` is the group commit window.
    #[must_use]
    pub fn new(
        process: ProcessId,
        client: LogClient,
        ledger: LedgerState,
        outputs: JournalOutputs,
        window: Duration,
        metrics: EntryMetrics,
    ) -> Self {
        let commit = GroupCommit::new(process.clone(), window);
        let last_read = Instant::now();
        Self { process, client, ledger, commit, replies: Vec::new(), outputs, last_read, metrics }
    }

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<JournalMessage>, token: CancellationToken) {
        let mut read = self.start_read(Duration::ZERO);
        let mut append: Option<AppendFuture> = None;
        loop {
            if append.is_none() {
                append = self.start_append();
            }
            let due = self.commit.due();
            tokio::select! {
                () = token.cancelled() => return,
                Some(message) = inbox.recv() => self.handle(message),
                result = &mut read => {
                    let wait = self.finish_read(result).await;
                    read = self.start_read(wait);
                }
                result = poll_append(&mut append) => {
                    append = self.finish_append(result);
                }
                () = sleep_until(due), if due.is_some() && append.is_none() => {}
            }
        }
    }

    fn handle(&mut self, message: JournalMessage) {
        match message {
            JournalMessage::Commit(record, reply) => {
                if self.last_read.elapsed() < UNAVAILABLE_AFTER {
                    let sequence = self.commit.push(record, Instant::now());
                    self.replies.push((sequence, reply));
                }
            }
            JournalMessage::Record(record) => {
                self.commit.push(record, Instant::now());
            }
            JournalMessage::Query(query) => query(&self.ledger),
        }
    }

    fn start_read(&self, wait: Duration) -> ReadFuture {
        let read = (self.client.read)(self.ledger.next, READ_WAIT);
        Box::pin(async move {
            tokio::time::sleep(wait).await;
            read.await
        })
    }

    /// Folds what was read and returns how long to wait before the next read.
    async fn finish_read(&mut self, result: Result<LogPage, LogFault>) -> Duration {
        let page = match result {
            Ok(page) => page,
            Err(fault) => {
                self.metrics.log_faults.inc();
                log::warn!(fault:% = fault; "log read failed");
                return RETRY_WAIT;
            }
        };
        self.last_read = Instant::now();
        for (offset, group) in page.groups {
            if let Some(group) = group {
                self.fold(offset, &group).await;
            } else {
                log::warn!(offset = offset; "undecodable record skipped");
                self.ledger.next = offset + 1;
            }
        }
        Duration::ZERO
    }

    async fn fold(&mut self, offset: LogOffset, group: &RecordGroup) {
        let changes: CommitReply = self.ledger.fold(offset, group).into();
        if group.process == self.process {
            self.commit.folded(group.sequence);
            self.reply(group.sequence, &changes);
        }
        for change in changes.iter() {
            self.publish(change).await;
        }
    }

    fn reply(&mut self, sequence: GroupSequence, changes: &CommitReply) {
        let (done, waiting) =
            std::mem::take(&mut self.replies).into_iter().partition(|(reply_to, _)| *reply_to <= sequence);
        self.replies = waiting;
        let done: Vec<(GroupSequence, oneshot::Sender<CommitReply>)> = done;
        for (_, reply) in done {
            // The caller may have stopped waiting.
            let _ = reply.send(changes.clone());
        }
    }

    async fn publish(&self, change: &LedgerChange) {
        if let LedgerChange::ShardClaimed(shard, claim) = change
            && claim.process == self.process
            && !shard.starts_with("service:")
        {
            let claimed = Box::new(self.claimed_shard(shard, claim.token));
            let _ = self.outputs.scheduler.send(SchedulerMessage::Claimed(claimed)).await;
        }
        // A receiver that is gone belongs to a process that is stopping.
        let _ = self.outputs.scheduler.send(SchedulerMessage::Changed(change.clone())).await;
        let _ = self.outputs.router.send(RouterMessage::Changed(change.clone())).await;
        let _ = self.outputs.gate.send(GateMessage::Changed(change.clone())).await;
        let _ = self.outputs.peer.send(PeerMessage::Changed(change.clone())).await;
    }

    fn claimed_shard(&self, shard: &ShardId, token: FencingToken) -> ClaimedShard {
        let jobs = self.ledger.jobs.values().filter(|job| job.shard == *shard && job.outcome.is_none());
        let allotments = self.ledger.allotments.iter().filter(|((held_by, _), _)| held_by == shard);
        ClaimedShard {
            shard: shard.clone(),
            token,
            bundle: self.ledger.bundle.clone(),
            jobs: jobs.map(|job| (Arc::new(job.spec.clone()), job.cancelled)).collect(),
            allotments: allotments.map(|((_, team), amount)| (team.clone(), *amount)).collect(),
        }
    }

    fn start_append(&mut self) -> Option<AppendFuture> {
        let group = self.commit.take(Instant::now())?;
        self.metrics.appends.inc();
        Some((self.client.append)(group))
    }

    /// Appends the group again after a fault; the fold drops repeated groups.
    fn finish_append(&self, result: Result<LogOffset, LogFault>) -> Option<AppendFuture> {
        let fault = result.err()?;
        self.metrics.log_faults.inc();
        let group = self.commit.retry()?.clone();
        log::warn!(fault:% = fault, sequence = group.sequence; "append failed, trying again");
        let append = (self.client.append)(group);
        Some(Box::pin(async move {
            tokio::time::sleep(RETRY_WAIT).await;
            append.await
        }))
    }
}

async fn poll_append(append: &mut Option<AppendFuture>) -> Result<LogOffset, LogFault> {
    match append {
        Some(future) => Pin::new(future).await,
        None => std::future::pending().await,
    }
}

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}
