//! Tails the control log, applies its records to the ledger and appends records in groups.

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

/// How long a read waits for new records. A read that takes longer than this plus [`TICK_INTERVAL`] is slow,
/// and another one starts beside it.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of concurrent reads. A log whose replies take 5 s needs 10 at [`SLOW_READ_INTERVAL`].
const MAX_CONCURRENT_READS: usize = 12;
/// Time between the starts of reads while the log is slow. If replies take 5 s, the newest finished read then
/// started less than 6 s ago, the age up to which the bundle counts as fresh (`STALE_AFTER` of `peer_view`).
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time between checks for timed-out commits, due transfers and snapshots, and slow reads.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum and maximum delay before a failed read or append is retried. The maximum is well below the 6 s
/// (`STALE_AFTER` of `peer_view`) within which the log must be read for the bundle to count as fresh.
const RETRY_DELAY_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// The log counts as unavailable if no read has succeeded for this long; a commit waits at most as long for
/// its append to start. With 5 s, a log that answers after 5 s would count as unavailable between two reads.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(8);
/// A process waits at least this time multiplied by the number of eligible owners between two appends, so
/// that all of them together make about 90 appends a second at most: 9 processes append every 99 ms each.
const MIN_APPEND_INTERVAL_PER_PROCESS: Duration = Duration::from_millis(11);

/// Reads the ledger; runs inside the journal task.
pub type LedgerQuery = Box<dyn FnOnce(&LedgerState) + Send>;

/// Changes of the ledger by the group that contained a record, in order; empty if they are no longer known.
pub type CommitReply = Arc<[LedgerChange]>;

/// Message to the [`JournalTask`].
pub enum JournalMessage {
    /// Appends a record and replies once it is applied. The reply is dropped only if the record is never
    /// appended.
    Commit(LogRecord, oneshot::Sender<CommitReply>),
    /// Appends a record without a reply; it is kept and retried through outages of the log.
    AppendRecord(LogRecord),
    /// Runs a query on the ledger.
    Query(LedgerQuery),
    /// A bundle from a peer, which this process may not have read from the log yet.
    PeerBundle(BundleRecord),
    /// Number of live entry processes that may own shards, from the peer task.
    EligibleOwners(usize),
    /// Replies once every record that the log holds now is applied. The reply is dropped if the log cannot be
    /// read.
    CatchUp(oneshot::Sender<()>),
    /// Replies once no record of this process waits to be appended or applied.
    Flush(oneshot::Sender<()>),
}

/// A finished read of the log, with the offset and the time at which it started.
struct LogRead {
    from: LogOffset,
    started: Instant,
    result: Result<LogPage, LogFault>,
}

/// Task that reads and appends the control log and owns the ledger.
pub struct JournalTask {
    process: ProcessId,
    client: LogClient,
    ledger: LedgerState,
    group_commit: GroupCommit,
    /// Minimum time between two appends from the settings; `group_commit` has the effective one.
    configured_append_interval: Duration,
    /// Senders of the replies to commits that are not applied yet.
    replies: FastMap<CommitTicket, oneshot::Sender<CommitReply>>,
    last_ticket: CommitTicket,
    flush_replies: Vec<oneshot::Sender<()>>,
    read_barrier: ReadBarrier,
    /// Set while the log no longer retains the next group, so that a snapshot must be found.
    snapshot_search: Option<SnapshotCollector>,
    snapshots: SnapshotSchedule,
    transfers: TransferRound,
    publisher: LedgerPublisher,
    /// When a read last succeeded.
    last_read: Option<Instant>,
    /// When the newest read was started or is scheduled to start.
    read_started: Instant,
    read_backoff: RetryBackoff,
    append_backoff: RetryBackoff,
    metrics: EntryMetrics,
}

impl JournalTask {
    /// Returns the task. `configured_append_interval` is the minimum time between two appends; with many
    /// eligible owners the time is longer.
    #[must_use]
    pub fn new(
        process: ProcessId,
        client: LogClient,
        ledger: LedgerState,
        outputs: JournalOutputs,
        configured_append_interval: Duration,
        metrics: EntryMetrics,
    ) -> Self {
        let backoff = RetryBackoff::new(RETRY_DELAY_RANGE.0, RETRY_DELAY_RANGE.1);
        Self {
            group_commit: GroupCommit::new(process.clone(), configured_append_interval),
            publisher: LedgerPublisher::new(process.clone(), outputs),
            process,
            client,
            ledger,
            configured_append_interval,
            replies: FastMap::default(),
            last_ticket: 0,
            flush_replies: Vec::new(),
            read_barrier: ReadBarrier::default(),
            snapshot_search: None,
            snapshots: SnapshotSchedule::default(),
            transfers: TransferRound::default(),
            last_read: None,
            read_started: Instant::now(),
            read_backoff: backoff,
            append_backoff: backoff,
            metrics,
        }
    }

    /// Runs until `shutdown` is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<JournalMessage>, shutdown: CancellationToken) {
        let mut reads: FuturesUnordered<LocalBoxFuture<'static, LogRead>> = FuturesUnordered::new();
        reads.push(self.start_read(Duration::ZERO, LONG_POLL_TIMEOUT));
        let mut append: Option<AppendFuture> = None;
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        loop {
            if append.is_none() {
                append = self.start_append();
            }
            // Starts a read that does not wait for records. With two or more reads in progress, the tick
            // starts the next one after SLOW_READ_INTERVAL.
            if reads.len() < 2 && self.read_barrier.needs_read(self.read_started) {
                reads.push(self.start_read(Duration::ZERO, Duration::ZERO));
            }
            let due = self.group_commit.due();
            tokio::select! {
                () = shutdown.cancelled() => break,
                Some(message) = inbox.recv() => self.handle(message),
                () = self.publisher.outbox.drain(), if !self.publisher.outbox.is_empty() => {}
                Some(read) = reads.next(), if !self.publisher.outbox.is_full() => {
                    let delay = self.finish_read(read);
                    if reads.is_empty() {
                        reads.push(self.start_read(delay, LONG_POLL_TIMEOUT));
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
        self.withdraw_commits(Instant::now());
        // A group in flight may still be appended, so its outcome is reported as unknown.
        for (_, reply) in self.replies.drain() {
            let _ = reply.send(Arc::new([]));
        }
    }

    fn handle(&mut self, message: JournalMessage) {
        match message {
            JournalMessage::Commit(record, reply) => {
                if self.is_log_available() {
                    self.last_ticket += 1;
                    self.replies.insert(self.last_ticket, reply);
                    self.group_commit.push(record, Some(self.last_ticket), Instant::now());
                }
            }
            JournalMessage::AppendRecord(record) => self.group_commit.push(record, None, Instant::now()),
            JournalMessage::Query(query) => query(&self.ledger),
            JournalMessage::PeerBundle(record) => self.publisher.adopt_peer_bundle(&self.ledger, &record),
            JournalMessage::EligibleOwners(count) => {
                let count = u32::try_from(count).unwrap_or(u32::MAX);
                self.group_commit.min_append_interval = self
                    .configured_append_interval
                    .max(MIN_APPEND_INTERVAL_PER_PROCESS.saturating_mul(count));
            }
            JournalMessage::CatchUp(reply) => {
                if self.is_log_available() {
                    self.read_barrier.add(Instant::now(), reply);
                }
            }
            JournalMessage::Flush(reply) => {
                self.flush_replies.push(reply);
                self.reply_to_flushes();
            }
        }
    }

    /// Withdraws commits that waited too long, advances allotment transfers and appends a snapshot if one is
    /// due.
    fn tick(&mut self) {
        let now = Instant::now();
        let before = if self.is_log_available() { now.checked_sub(UNAVAILABLE_AFTER) } else { Some(now) };
        if let Some(before) = before {
            self.withdraw_commits(before);
        }
        if !self.is_log_available() {
            self.read_barrier.fail();
        }
        if self.is_log_available() {
            for record in self.transfers.tick(&mut self.publisher, &self.ledger, &self.process, now) {
                self.group_commit.push(record, None, now);
            }
        }
        // Only one process appends snapshots: the owner of the first worker shard.
        let first = self.ledger.worker_shards().into_iter().min();
        let owner = first.and_then(|shard| self.ledger.claims.get(&shard)).map(|claim| &claim.process);
        if owner == Some(&self.process)
            && self.is_log_available()
            && self.snapshots.due(self.ledger.next, now)
        {
            let pieces = self.ledger.snapshot();
            log::info!(covers = self.ledger.next, pieces = pieces.len(); "appending a snapshot of the ledger");
            for piece in pieces {
                self.group_commit.push(piece.into(), None, now);
            }
        }
    }

    /// Withdraws the commits that were added up to `before` and whose append has not started, and drops their
    /// replies.
    fn withdraw_commits(&mut self, before: Instant) {
        for ticket in self.group_commit.withdraw(before) {
            self.replies.remove(&ticket);
        }
    }

    fn is_log_available(&self) -> bool {
        self.snapshot_search.is_none()
            && self.last_read.is_some_and(|read| read.elapsed() < UNAVAILABLE_AFTER)
    }

    /// Returns whether another read should start beside the `reads` in progress.
    fn slow_read_due(&self, reads: usize) -> bool {
        let spacing = if reads > 1 { SLOW_READ_INTERVAL } else { LONG_POLL_TIMEOUT + TICK_INTERVAL };
        reads < MAX_CONCURRENT_READS && self.read_started.elapsed() >= spacing
    }

    /// Returns a read that starts after `delay`; the log may hold its reply for `max_hold` until there are
    /// records.
    fn start_read(&mut self, delay: Duration, max_hold: Duration) -> LocalBoxFuture<'static, LogRead> {
        let from = self.snapshot_search.as_ref().map_or(self.ledger.next, |search| search.next);
        let read = (self.client.read)(from, max_hold);
        self.read_started = Instant::now() + delay;
        Box::pin(async move {
            tokio::time::sleep(delay).await;
            let started = Instant::now();
            LogRead { from, started, result: read.await }
        })
    }

    /// Applies the groups of a read and returns the delay before the next read.
    fn finish_read(&mut self, read: LogRead) -> Duration {
        let page = match read.result {
            Ok(page) => page,
            Err(fault) => {
                self.metrics.log_faults.inc();
                let delay = self.read_backoff.next_delay(random_u64());
                log::warn!(fault:% = fault, wait_ms = delay.as_millis(); "log read failed");
                return delay;
            }
        };
        self.read_backoff.reset();
        self.last_read = Some(Instant::now());
        self.snapshots.set_oldest_retained(page.first);
        if self.snapshot_search.is_none() && page.first > self.ledger.next {
            log::warn!(
                next = self.ledger.next, first = page.first;
                "next record no longer in the log, searching for a snapshot"
            );
            self.snapshot_search = Some(SnapshotCollector::new(page.first));
            return Duration::ZERO;
        }
        let caught_up = page.groups.len() < LogPage::MAX_GROUPS;
        if self.snapshot_search.is_some() {
            self.search_page(page, caught_up);
        } else if read.from <= self.ledger.next {
            self.apply_page(page);
            if caught_up {
                self.read_barrier.release(read.started);
            }
            self.publisher.outbox.peer(PeerMessage::LogRead(read.started, caught_up));
        }
        Duration::ZERO
    }

    fn apply_page(&mut self, page: LogPage) {
        for (offset, group) in page.groups {
            // Concurrent reads return some groups twice.
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

    /// Collects snapshot pieces; at the end of the log, restores the ledger from the newest complete
    /// snapshot.
    fn search_page(&mut self, page: LogPage, caught_up: bool) {
        let Some(search) = &mut self.snapshot_search else { return };
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
        self.snapshot_search = None;
        log::info!(covers = covers; "snapshot loaded");
        let changes = self.ledger.restore(covers, items);
        let unknown_changes: CommitReply = Arc::new([]);
        let sequence = self.ledger.processes.sequence(&self.process);
        if let Some(group) = self.group_commit.in_flight().filter(|group| group.sequence <= sequence).cloned()
        {
            self.complete_transfers(&group);
        }
        self.finish_commit(sequence, &unknown_changes);
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
            self.complete_transfers(group);
            self.finish_commit(group.sequence, &changes);
        }
        for change in changes.iter() {
            self.publisher.publish(&self.ledger, change);
        }
    }

    /// Completes the transfers in a group of this process, before the changes of the group are published.
    fn complete_transfers(&mut self, group: &RecordGroup) {
        for record in &group.records {
            if let LogRecord::Transfer { team, from, amount, .. } = record {
                self.publisher.pending_transfers.complete(from, team, *amount);
            }
        }
    }

    fn finish_commit(&mut self, sequence: GroupSequence, changes: &CommitReply) {
        for ticket in self.group_commit.complete(sequence) {
            if let Some(reply) = self.replies.remove(&ticket) {
                // The caller may have stopped waiting.
                let _ = reply.send(changes.clone());
            }
        }
        self.reply_to_flushes();
    }

    fn reply_to_flushes(&mut self) {
        if self.group_commit.backlog() == 0 {
            for flush in self.flush_replies.drain(..) {
                let _ = flush.send(());
            }
        }
    }

    fn start_append(&mut self) -> Option<AppendFuture> {
        let group = self.group_commit.take(Instant::now(), unix_ms())?;
        self.metrics.appends.inc();
        Some((self.client.append)(group))
    }

    /// Handles the result of an append and returns the retry of a failed one. The retry appends the same
    /// group, as the ledger ignores a group that it has applied before.
    fn finish_append(&mut self, result: Result<LogOffset, LogFault>) -> Option<AppendFuture> {
        let Err(fault) = result else {
            self.append_backoff.reset();
            return None;
        };
        self.metrics.log_faults.inc();
        let delay = self.append_backoff.next_delay(random_u64());
        let group = self.group_commit.in_flight()?.clone();
        log::warn!(fault:% = fault, sequence = group.sequence; "log append failed, retrying");
        let append = (self.client.append)(group);
        Some(Box::pin(async move {
            tokio::time::sleep(delay).await;
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

/// Returns a random number for the jitter of retry delays; 0, which means no jitter, if the system gives
/// none.
fn random_u64() -> u64 {
    getrandom::u64().unwrap_or_default()
}
