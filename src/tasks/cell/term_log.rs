//! The owner's appends to its log, one at a time, each followed by the orders that depend on it.

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::kernel::cell::AdaptiveTimeout;
use crate::prelude::*;
use crate::tasks::cell::ports::{AppendCall, AppendOutcome, StorePort, WriterStamp};

/// Topic of the owner's records.
pub const CELL_TOPIC: &str = "cell";
/// Name of the owner as a writer, in all its lives.
const WRITER: &str = "owner";
/// Bounds on the wait for an append before it is repeated; the store recognises the repetition.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(250);
/// See [`SHORTEST_TIMEOUT`]; the store needs up to a second when it is slow.
const LONGEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Wait before an append is repeated.
const RETRY_WAIT: Duration = Duration::from_millis(60);
/// Time without an answer after which no more starts are decided.
const STALLED_AFTER: Duration = Duration::from_millis(600);
/// Time after which an append that was answered no longer shows that this process is the owner.
const FRESH_FOR: Duration = Duration::from_millis(1_500);

/// Appends of one term of ownership; `T` is what waits for the records.
pub struct TermLog<T> {
    store: StorePort,
    token: FencingToken,
    adaptive_timeout: AdaptiveTimeout,
    sequence: u64,
    records: Vec<Bytes>,
    waiting: Vec<T>,
    in_flight: Option<InFlightAppend<T>>,
}

/// An append that was sent.
struct InFlightAppend<T> {
    /// When the records were first sent.
    begun: Instant,
    records: Vec<Bytes>,
    waiting: Vec<T>,
    sent: (Instant, SystemTime),
    result: LocalBoxFuture<'static, AppendOutcome>,
}

/// What became of an append.
pub enum AppendProgress<T> {
    /// The records before these are stored; `fresh` says whether that was known at once.
    Stored {
        /// What waited for the records.
        released: Vec<T>,
        /// Whether the answer is recent enough to show that this process is still the owner.
        fresh: bool,
        /// Time since the records were first sent.
        took: Duration,
    },
    /// It is repeated.
    Repeated(AppendOutcome),
    /// Another process owns the cell.
    Deposed(AppendOutcome),
}

impl<T> TermLog<T> {
    /// Returns the log of a term.
    #[must_use]
    pub const fn new(store: StorePort, token: FencingToken) -> Self {
        let adaptive_timeout = AdaptiveTimeout::new(SHORTEST_TIMEOUT, LONGEST_TIMEOUT);
        Self {
            store,
            token,
            adaptive_timeout,
            sequence: 0,
            records: Vec::new(),
            waiting: Vec::new(),
            in_flight: None,
        }
    }

    /// Adds a record.
    pub fn record(&mut self, record: Bytes) {
        self.records.push(record);
    }

    /// Adds what waits until all records so far are stored.
    pub fn hold_until_stored(&mut self, item: T) {
        match &mut self.in_flight {
            Some(in_flight) if self.records.is_empty() => in_flight.waiting.push(item),
            _ => self.waiting.push(item),
        }
    }

    /// Whether the store has not answered for a while, so that what is decided now would wait.
    #[must_use]
    pub fn is_stalled(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.begun.elapsed() > STALLED_AFTER)
    }

    /// Sends what was recorded, unless an append is on its way; returns what need not wait.
    pub fn flush(&mut self) -> Vec<T> {
        if self.in_flight.is_some() {
            return Vec::new();
        }
        if self.records.is_empty() {
            return std::mem::take(&mut self.waiting);
        }
        self.sequence += 1;
        let records = std::mem::take(&mut self.records);
        let waiting = std::mem::take(&mut self.waiting);
        self.send(records, waiting, Instant::now(), Duration::ZERO);
        Vec::new()
    }

    fn send(&mut self, records: Vec<Bytes>, waiting: Vec<T>, begun: Instant, delay: Duration) {
        let call = AppendCall {
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
            append(call).await
        };
        let sent = (Instant::now() + delay, SystemTime::now() + delay);
        self.in_flight = Some(InFlightAppend { begun, records, waiting, sent, result: result.boxed_local() });
    }

    /// Waits for the append on its way; never returns while there is none.
    pub async fn progress(&mut self) -> AppendProgress<T> {
        let Some(in_flight) = &mut self.in_flight else { return std::future::pending().await };
        let outcome = (&mut in_flight.result).await;
        let Some(in_flight) = self.in_flight.take() else { return std::future::pending().await };
        match outcome {
            AppendOutcome::Stored(_) => {
                self.adaptive_timeout.answer(in_flight.sent.0.elapsed());
                let (fresh, took) = (is_fresh(in_flight.sent), in_flight.begun.elapsed());
                AppendProgress::Stored { fresh, took, released: in_flight.waiting }
            }
            // The answer to the first attempt was lost.
            AppendOutcome::OutOfSequence(expected) if expected == self.sequence + 1 => {
                let took = in_flight.begun.elapsed();
                AppendProgress::Stored { fresh: false, took, released: in_flight.waiting }
            }
            AppendOutcome::Refused(_) | AppendOutcome::Unknown(_) => {
                if matches!(outcome, AppendOutcome::Unknown(_)) {
                    self.adaptive_timeout.miss();
                }
                self.send(in_flight.records, in_flight.waiting, in_flight.begun, RETRY_WAIT);
                AppendProgress::Repeated(outcome)
            }
            AppendOutcome::Fenced | AppendOutcome::OutOfSequence(_) | AppendOutcome::OffsetMismatch(_) => {
                AppendProgress::Deposed(outcome)
            }
        }
    }

    /// Returns the call that fences all earlier owners.
    #[must_use]
    pub fn fencing_append(token: FencingToken) -> AppendCall {
        AppendCall {
            topic: CELL_TOPIC,
            partition: 0,
            records: Vec::new(),
            expected_offset: None,
            stamp: Some(WriterStamp { writer: WRITER, epoch: token, sequence: 0 }),
            timeout: LONGEST_TIMEOUT,
        }
    }
}

/// Whether little time has passed by both clocks; the steady one stands still while the VM is suspended.
fn is_fresh((sent, sent_wall): (Instant, SystemTime)) -> bool {
    let wall = SystemTime::now().duration_since(sent_wall).unwrap_or_default();
    sent.elapsed() < FRESH_FOR && wall < FRESH_FOR
}
