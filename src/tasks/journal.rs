//! Tails the control log, folds the ledger and commits groups of records.

use std::pin::Pin;

use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::clock::unix_ms;
use crate::kernel::{
    BundleRecord, GroupCommit, LedgerChange, LedgerState, RecordGroup, RetryBackoff, SnapshotCollector,
    SnapshotSchedule,
};
use crate::prelude::*;
use crate::tasks::adapter::{AppendFuture, LogClient, LogFault, LogPage};
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::outbox::JournalOutputs;
use crate::tasks::peer::PeerMessage;
use crate::tasks::publisher::LedgerPublisher;
use crate::tasks::read_barrier::ReadBarrier;
use crate::tasks::transfer::TransferRound;

/// Longest wait of one read for new records, and the time after which another read starts beside a slow one.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Most reads at once; a log that answers after 5 s is still read twice a second.
const MAX_READS: usize = 12;
/// Time between the starts of reads while the log is slow. With replies after 5 s the newest read is then never
/// older than the 6 s within which the log must be read to stay current.
const SLOW_READ_SPACING: Duration = Duration::from_millis(500);
/// Time between checks for commits that waited too long.
const TICK: Duration = Duration::from_millis(250);
/// Shortest and longest wait before a failed read or append is tried again. The longest is well below the 6 s
/// within which the log must be read to stay current.
const RETRY_WAIT: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// The log counts as unavailable when nothing was read for this long; a commit waits no longer for its append.
/// With 5 s, a log that answers after 5 s was taken as unavailable between two reads.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(8);
/// Shortest time between two appends for each live process: 9 processes stay below 90 appends a second.
const SPACING_PER_PROCESS: Duration = Duration::from_millis(11);

/// A question about the ledger; runs inside the journal task.
pub type LedgerQuery = Box<dyn FnOnce(&LedgerState) + Send>;

/// Changes of the group that carried an append, in order; empty if they are no longer known.
pub type CommitReply = Arc<[LedgerChange]>;

/// What the journal is asked to do.
pub enum JournalMessage {
    /// Appends a record and replies once it is folded; dropped without a reply only if it is never appended.
    Commit(LogRecord, oneshot::Sender<CommitReply>),
    /// Appends a record sooner or later; survives outages of the log.
    AppendRecord(LogRecord),
    /// Runs a question on the ledger.
    Query(LedgerQuery),
    /// A peer has a bundle that this process may not have read.
    OfferBundle(BundleRecord),
    /// Number of live entry processes.
    LivePeers(usize),
    /// Replies once everything that the log holds now is folded; dropped without a reply if it cannot be read.
    CatchUp(oneshot::Sender<()>),
    /// Replies once all records were appended and folded.
    Flush(oneshot::Sender<()>),
}

/// One read with the offset and the time at which it started.
struct LogRead {
    from: LogOffset,
    started: Instant,
    result: Result<LogPage, LogFault>,
}

/// State of the journal task.
pub struct JournalTask {
    process: ProcessId,
    client: LogClient,
    ledger: LedgerState,
    commit: GroupCommit,
    min_append_interval: Duration,
    replies: FastMap<CommitTicket, oneshot::Sender<CommitReply>>,
    tickets: CommitTicket,
    flushes: Vec<oneshot::Sender<()>>,
    barrier: ReadBarrier,
    /// Set while the log does not hold the next group.
    search: Option<SnapshotCollector>,
    snapshots: SnapshotSchedule,
    transfers: TransferRound,
    publisher: LedgerPublisher,
    last_read: Option<Instant>,
    read_started: Instant,
    read_backoff: RetryBackoff,
    append_backoff: RetryBackoff,
    metrics: EntryMetrics,
}

impl JournalTask {
    /// Returns the task; `min_append_interval` is the shortest time between two appends.
    #[must_use]
    pub fn new(
        process: ProcessId,
        client: LogClient,
        ledger: LedgerState,
        outputs: JournalOutputs,
        min_append_interval: Duration,
        metrics: EntryMetrics,
    ) -> Self {
        let backoff = RetryBackoff::new(RETRY_WAIT.0, RETRY_WAIT.1);
        Self {
            commit: GroupCommit::new(process.clone(), min_append_interval),
            publisher: LedgerPublisher::new(process.clone(), outputs),
            process,
            client,
            ledger,
            min_append_interval,
            replies: FastMap::default(),
            tickets: 0,
            flushes: Vec::new(),
            barrier: ReadBarrier::default(),
            search: None,
            snapshots: SnapshotSchedule::default(),
            transfers: TransferRound::default(),
            last_read: None,
            read_started: Instant::now(),
            read_backoff: backoff,
            append_backoff: backoff,
            metrics,
        }
    }

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<JournalMessage>, token: CancellationToken) {
        let mut reads: FuturesUnordered<LocalBoxFuture<'static, LogRead>> = FuturesUnordered::new();
        reads.push(self.start_read(Duration::ZERO, READ_WAIT));
        let mut append: Option<AppendFuture> = None;
        let mut tick = tokio::time::interval(TICK);
        loop {
            if append.is_none() {
                append = self.start_append();
            }
            // One read beside the one that waits for records; a slow log is read often enough anyway.
            if reads.len() < 2 && self.barrier.needs_read(self.read_started) {
                reads.push(self.start_read(Duration::ZERO, Duration::ZERO));
            }
            let due = self.commit.due();
            tokio::select! {
                () = token.cancelled() => break,
                Some(message) = inbox.recv() => self.handle(message),
                () = self.publisher.outbox.drain(), if !self.publisher.outbox.is_empty() => {}
                Some(read) = reads.next(), if !self.publisher.outbox.is_full() => {
                    let wait = self.finish_read(read);
                    if reads.is_empty() {
                        reads.push(self.start_read(wait, READ_WAIT));
                    }
                }
                result = poll_append(&mut append) => {
                    append = self.finish_append(result);
                }
                () = sleep_until(due), if due.is_some() && append.is_none() => {}
                _ = tick.tick() => {
                    self.tick();
                    if self.slow_read_due(reads.len()) {
                        reads.push(self.start_read(Duration::ZERO, Duration::ZERO));
                    }
                }
            }
        }
        self.withdraw(Instant::now());
        // What is in flight may still take effect.
        for (_, reply) in self.replies.drain() {
            let _ = reply.send(Arc::new([]));
        }
    }

    fn handle(&mut self, message: JournalMessage) {
        match message {
            JournalMessage::Commit(record, reply) => {
                if self.available() {
                    self.tickets += 1;
                    self.replies.insert(self.tickets, reply);
                    self.commit.push(record, Some(self.tickets), Instant::now());
                }
            }
            JournalMessage::AppendRecord(record) => self.commit.push(record, None, Instant::now()),
            JournalMessage::Query(query) => query(&self.ledger),
            JournalMessage::OfferBundle(record) => self.publisher.adopt(&self.ledger, &record),
            JournalMessage::LivePeers(count) => {
                let count = u32::try_from(count).unwrap_or(u32::MAX);
                self.commit.min_append_interval =
                    self.min_append_interval.max(SPACING_PER_PROCESS.saturating_mul(count));
            }
            JournalMessage::CatchUp(reply) => {
                if self.available() {
                    self.barrier.add(Instant::now(), reply);
                }
            }
            JournalMessage::Flush(reply) => {
                self.flushes.push(reply);
                self.finish_flushes();
            }
        }
    }

    /// Refuses commits that waited too long and writes a snapshot if one is due.
    fn tick(&mut self) {
        let now = Instant::now();
        let before = if self.available() { now.checked_sub(UNAVAILABLE_AFTER) } else { Some(now) };
        if let Some(before) = before {
            self.withdraw(before);
        }
        if !self.available() {
            self.barrier.fail();
        }
        if self.available() {
            for record in self.transfers.tick(&mut self.publisher, &self.ledger, &self.process, now) {
                self.commit.push(record, None, now);
            }
        }
        let first = self.ledger.worker_shards().into_iter().min();
        let owner = first.and_then(|shard| self.ledger.claims.get(&shard)).map(|claim| &claim.process);
        if owner == Some(&self.process) && self.available() && self.snapshots.due(self.ledger.next, now) {
            let pieces = self.ledger.snapshot();
            log::info!(covers = self.ledger.next, pieces = pieces.len(); "snapshot of the ledger appended");
            for piece in pieces {
                self.commit.push(piece.into(), None, now);
            }
        }
    }

    fn withdraw(&mut self, before: Instant) {
        for ticket in self.commit.withdraw(before) {
            self.replies.remove(&ticket);
        }
    }

    fn available(&self) -> bool {
        self.search.is_none() && self.last_read.is_some_and(|read| read.elapsed() < UNAVAILABLE_AFTER)
    }

    /// Whether another read should start beside those that are under way.
    fn slow_read_due(&self, reads: usize) -> bool {
        let spacing = if reads > 1 { SLOW_READ_SPACING } else { READ_WAIT + TICK };
        reads < MAX_READS && self.read_started.elapsed() >= spacing
    }

    /// Reads after `wait`; the log may hold the reply back for `hold` until there are records.
    fn start_read(&mut self, wait: Duration, hold: Duration) -> LocalBoxFuture<'static, LogRead> {
        let from = self.search.as_ref().map_or(self.ledger.next, |search| search.next);
        let read = (self.client.read)(from, hold);
        self.read_started = Instant::now() + wait;
        Box::pin(async move {
            tokio::time::sleep(wait).await;
            let started = Instant::now();
            LogRead { from, started, result: read.await }
        })
    }

    /// Folds what was read and returns how long to wait before the next read.
    fn finish_read(&mut self, read: LogRead) -> Duration {
        let page = match read.result {
            Ok(page) => page,
            Err(fault) => {
                self.metrics.log_faults.inc();
                let wait = self.read_backoff.next_delay(random());
                log::warn!(fault:% = fault, wait_ms = wait.as_millis(); "log read failed");
                return wait;
            }
        };
        self.read_backoff.reset();
        self.last_read = Some(Instant::now());
        self.snapshots.note_first(page.first);
        if self.search.is_none() && page.first > self.ledger.next {
            log::warn!(next = self.ledger.next, first = page.first; "records dropped, looking for a snapshot");
            self.search = Some(SnapshotCollector::new(page.first));
            return Duration::ZERO;
        }
        let caught_up = page.groups.len() < LogPage::SIZE;
        if self.search.is_some() {
            self.search_page(page, caught_up);
        } else if read.from <= self.ledger.next {
            self.apply_page(page);
            if caught_up {
                self.barrier.release(read.started);
            }
            self.publisher.outbox.peer(PeerMessage::LogRead(read.started, caught_up));
        }
        Duration::ZERO
    }

    fn apply_page(&mut self, page: LogPage) {
        for (offset, group) in page.groups {
            // Overlapping reads return some groups twice.
            if offset < self.ledger.next {
                continue;
            }
            if let Some(group) = group {
                self.apply_group(offset, &group);
            } else {
                log::warn!(offset = offset; "undecodable record skipped");
                self.ledger.next = offset + 1;
            }
        }
    }

    /// Gathers snapshot pieces and restores the newest complete snapshot at the end of the log.
    fn search_page(&mut self, page: LogPage, caught_up: bool) {
        let Some(search) = &mut self.search else { return };
        search.next = search.next.max(page.first);
        for (offset, group) in page.groups {
            search.add_group(offset, group.as_ref());
        }
        if !caught_up {
            return;
        }
        let Some((covers, items)) = search.take(page.first) else {
            log::warn!(first = page.first; "no complete snapshot in the log yet, waiting for one");
            return;
        };
        self.search = None;
        log::info!(covers = covers; "snapshot loaded");
        let changes = self.ledger.restore(covers, items);
        let unknown: CommitReply = Arc::new([]);
        let sequence = self.ledger.processes.sequence(&self.process);
        if let Some(group) = self.commit.in_flight().filter(|group| group.sequence <= sequence).cloned() {
            self.settle(&group);
        }
        self.finish_commit(sequence, &unknown);
        for change in changes {
            self.publisher.publish(&self.ledger, &change);
        }
    }

    fn apply_group(&mut self, offset: LogOffset, group: &RecordGroup) {
        let changes: CommitReply = self.ledger.apply_group(offset, group).into();
        for record in &group.records {
            if let LogRecord::Snapshot(piece) = record {
                self.snapshots.note_piece(&group.process, piece, Instant::now());
            }
        }
        if group.process == self.process {
            self.settle(group);
            self.finish_commit(group.sequence, &changes);
        }
        for change in changes.iter() {
            self.publisher.publish(&self.ledger, change);
        }
    }

    /// Ends the transfers of an own group before their effect is published.
    fn settle(&mut self, group: &RecordGroup) {
        for record in &group.records {
            if let LogRecord::Transfer { team, from, amount, .. } = record {
                self.publisher.escrow.complete(from, team, *amount);
            }
        }
    }

    fn finish_commit(&mut self, sequence: GroupSequence, changes: &CommitReply) {
        for ticket in self.commit.complete(sequence) {
            if let Some(reply) = self.replies.remove(&ticket) {
                // The caller may have stopped waiting.
                let _ = reply.send(changes.clone());
            }
        }
        self.finish_flushes();
    }

    fn finish_flushes(&mut self) {
        if self.commit.backlog() == 0 {
            for flush in self.flushes.drain(..) {
                let _ = flush.send(());
            }
        }
    }

    fn start_append(&mut self) -> Option<AppendFuture> {
        let group = self.commit.take(Instant::now(), unix_ms())?;
        self.metrics.appends.inc();
        Some((self.client.append)(group))
    }

    /// Appends the group again after a fault; the fold drops repeated groups.
    fn finish_append(&mut self, result: Result<LogOffset, LogFault>) -> Option<AppendFuture> {
        let Err(fault) = result else {
            self.append_backoff.reset();
            return None;
        };
        self.metrics.log_faults.inc();
        let wait = self.append_backoff.next_delay(random());
        let group = self.commit.in_flight()?.clone();
        log::warn!(fault:% = fault, sequence = group.sequence; "append failed, trying again");
        let append = (self.client.append)(group);
        Some(Box::pin(async move {
            tokio::time::sleep(wait).await;
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

/// Returns a random number for the jitter of waits; without random numbers there is no jitter.
fn random() -> u64 {
    getrandom::u64().unwrap_or_default()
}
