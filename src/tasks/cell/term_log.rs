//! The owner's appends to its log, one in flight at a time; effects that depend on records are held until
//! these are stored.

use std::collections::VecDeque;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::clock;
use crate::kernel::cell::{AdaptiveTimeout, ClockReading};
use crate::prelude::*;
use crate::tasks::cell::ports::{AppendOutcome, AppendRequest, StoreClient, WriterStamp};

/// Topic of the owner's records.
pub const CELL_TOPIC: &str = "cell";
/// Writer name of the owner, the same for all incarnations and processes; the fencing token is the epoch.
const WRITER: &str = "owner";
/// Shortest wait for an append before it is repeated; the store recognises the repetition by its sequence
/// number.
const MIN_APPEND_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for an append before it is repeated; the store needs up to a second when it is slow.
const MAX_APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before an append is repeated.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Age of an unanswered append from which no more starts are decided.
const STALLED_AFTER: Duration = Duration::from_millis(600);
/// Largest time from sending an append to its answer at which the answer still shows that this process is the
/// owner. A later answer shows only that it was the owner when the store received the append.
const MAX_FRESH_AGE: Duration = Duration::from_millis(1_500);

/// Appends of one term of ownership; items of type `T` are held until the records before them are stored.
pub struct TermLog<T> {
    store: StoreClient,
    token: FencingToken,
    adaptive_timeout: AdaptiveTimeout,
    sequence: u64,
    /// Records that are not sent yet, and items that wait for the records before them, in the order in which
    /// they were added.
    queue: VecDeque<LogItem<T>>,
    in_flight: Option<InFlightAppend<T>>,
}

enum LogItem<T> {
    Record(Bytes),
    Held(T),
}

/// An append without an answer.
struct InFlightAppend<T> {
    /// When the records were first sent, before any repetition.
    first_sent_at: ClockReading,
    records: Vec<Bytes>,
    held: Vec<T>,
    sent_at: ClockReading,
    result: LocalBoxFuture<'static, AppendOutcome>,
}

/// Progress of the append in flight.
pub enum AppendProgress<T> {
    /// The records are stored.
    Stored {
        /// The items that were held until the records are stored.
        released: Vec<T>,
        /// Whether the answer came soon enough to show that this process is still the owner.
        fresh: bool,
        /// When the records were first sent; this process was the owner when they were stored.
        first_sent_at: ClockReading,
    },
    /// The append failed and is repeated.
    Retrying(AppendOutcome),
    /// The store rejected the append for good, as a newer owner has fenced this one or the store expects
    /// another sequence number or offset; the term ends.
    Deposed(AppendOutcome),
}

impl<T> TermLog<T> {
    /// Returns the log of the term with this fencing token.
    #[must_use]
    pub const fn new(store: StoreClient, token: FencingToken) -> Self {
        let adaptive_timeout = AdaptiveTimeout::new(MIN_APPEND_TIMEOUT, MAX_APPEND_TIMEOUT);
        Self { store, token, adaptive_timeout, sequence: 0, queue: VecDeque::new(), in_flight: None }
    }

    /// Adds a serialized record, to be sent with the next flush.
    pub fn record(&mut self, record: Bytes) {
        self.queue.push_back(LogItem::Record(record));
    }

    /// Holds an item until all records so far are stored.
    pub fn hold_until_stored(&mut self, item: T) {
        match &mut self.in_flight {
            Some(in_flight) if self.queue.is_empty() => in_flight.held.push(item),
            _ => self.queue.push_back(LogItem::Held(item)),
        }
    }

    /// Returns whether the append in flight has been unanswered for so long that no starts should be decided,
    /// as they would only wait for the store.
    #[must_use]
    pub fn is_stalled(&self) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.first_sent_at.monotonic.elapsed() > STALLED_AFTER)
    }

    /// Sends added records, unless an append is in flight; returns the held items that depend on no records.
    /// Records beyond the size of one append are sent with the next flush.
    pub fn flush(&mut self) -> Vec<T> {
        if self.in_flight.is_some() {
            return Vec::new();
        }
        let released = self.take_held();
        if self.queue.is_empty() {
            return released;
        }
        let (records, held) = self.take_group();
        self.sequence += 1;
        self.send(records, held, clock::reading(), Duration::ZERO);
        released
    }

    /// Takes the held items at the front of the queue.
    fn take_held(&mut self) -> Vec<T> {
        let mut held = Vec::new();
        while let Some(item) = self.queue.pop_front() {
            match item {
                LogItem::Held(item) => held.push(item),
                LogItem::Record(_) => {
                    self.queue.push_front(item);
                    break;
                }
            }
        }
        held
    }

    /// Takes the records of the next append, and the held items that depend on no later record.
    fn take_group(&mut self) -> (Vec<Bytes>, Vec<T>) {
        let queued = self.queue.iter().filter_map(|item| match item {
            LogItem::Record(record) => Some(record),
            LogItem::Held(_) => None,
        });
        let count = self.store.limits.group_len(queued);
        let (mut records, mut held) = (Vec::new(), Vec::new());
        while records.len() < count {
            match self.queue.pop_front() {
                Some(LogItem::Record(record)) => records.push(record),
                Some(LogItem::Held(item)) => held.push(item),
                None => break,
            }
        }
        held.append(&mut self.take_held());
        (records, held)
    }

    fn send(&mut self, records: Vec<Bytes>, held: Vec<T>, first_sent_at: ClockReading, delay: Duration) {
        let request = AppendRequest {
            topic: CELL_TOPIC,
            partition: 0,
            records: records.clone(),
            expected_offset: None,
            stamp: Some(WriterStamp { writer: WRITER, epoch: self.token, sequence: self.sequence }),
            timeout: self.adaptive_timeout.timeout(),
        };
        let append = self.store.append.clone();
        let result = async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            append(request).await
        };
        let sent_at = clock::reading().after(delay);
        self.in_flight =
            Some(InFlightAppend { first_sent_at, records, held, sent_at, result: result.boxed_local() });
    }

    /// Waits for the append in flight; stays pending while there is none.
    pub async fn progress(&mut self) -> AppendProgress<T> {
        let Some(in_flight) = &mut self.in_flight else { return std::future::pending().await };
        let outcome = (&mut in_flight.result).await;
        let Some(in_flight) = self.in_flight.take() else { return std::future::pending().await };
        match outcome {
            AppendOutcome::Stored(_) => {
                self.adaptive_timeout.record_answer(in_flight.sent_at.monotonic.elapsed());
                let fresh = in_flight.sent_at.elapsed_until(&clock::reading()) < MAX_FRESH_AGE;
                let first_sent_at = in_flight.first_sent_at;
                AppendProgress::Stored { fresh, first_sent_at, released: in_flight.held }
            }
            // An earlier attempt was stored but its answer was lost.
            AppendOutcome::OutOfSequence(expected) if expected == self.sequence + 1 => {
                let first_sent_at = in_flight.first_sent_at;
                AppendProgress::Stored { fresh: false, first_sent_at, released: in_flight.held }
            }
            AppendOutcome::Refused(_) | AppendOutcome::Unknown(_) => {
                if matches!(outcome, AppendOutcome::Unknown(_)) {
                    self.adaptive_timeout.record_timeout();
                }
                self.send(in_flight.records, in_flight.held, in_flight.first_sent_at, APPEND_RETRY_DELAY);
                AppendProgress::Retrying(outcome)
            }
            AppendOutcome::Fenced | AppendOutcome::OutOfSequence(_) | AppendOutcome::OffsetMismatch(_) => {
                AppendProgress::Deposed(outcome)
            }
        }
    }

    /// Returns the empty append that makes the store reject all earlier owners.
    #[must_use]
    pub fn fencing_append(token: FencingToken) -> AppendRequest {
        AppendRequest {
            topic: CELL_TOPIC,
            partition: 0,
            records: Vec::new(),
            expected_offset: None,
            stamp: Some(WriterStamp { writer: WRITER, epoch: token, sequence: 0 }),
            timeout: MAX_APPEND_TIMEOUT,
        }
    }
}
