//! Queue of submissions and cancellations, which are appended to the store in groups.

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tokio::sync::oneshot;
use tonic::transport::Channel;

use crate::kernel::cell::{AdaptiveTimeout, StoreHealth};
use crate::prelude::*;
use crate::proto::cell::RelayOutcome;
use crate::proto::cell::cell_client::CellClient;
use crate::tasks::cell::intake::{
    CellRefusal, CellReply, JOB_TOPIC, JobRecord, refuse_unavailable, refuse_unavailable_with_retry, respond,
};
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::peer;
use crate::tasks::cell::ports::{AppendOutcome, AppendRequest, StoreClient};

/// Shortest adaptive timeout of an append; a repeated append does no harm, as jobs are identified by their
/// ids.
const MIN_ADAPTIVE_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest adaptive timeout of an append; while the store is slow, a repetition only lengthens its queue.
const MAX_ADAPTIVE_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Number of consecutive appends without an answer after which the store counts as unavailable and not only
/// as slow.
const UNAVAILABLE_AFTER_TIMEOUTS: u32 = 2;
/// Shortest timeout of an append whose callers have little time left.
const MIN_APPEND_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before an append is repeated.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which a record that is known not to be stored is retried before its caller is refused; less than
/// half of the time that callers of the platform wait, so that they can retry.
const REFUSE_AFTER: Duration = Duration::from_millis(700);
/// Duration of an outage of the store after which callers are refused at once, as it is unlikely to end while
/// they wait.
const FAIL_FAST_AFTER: Duration = Duration::from_millis(1_500);
/// Shortest delay after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest delay after which a refused caller may retry; callers retry only a few times, so their attempts
/// have to span an outage.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Shortest interval between records that are still sent to an unavailable store, and not relayed or refused,
/// to detect the end of the outage.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A record that is not stored yet, and the channel for the answer to its caller.
struct QueuedRecord {
    id: JobId,
    kind: &'static str,
    value: Bytes,
    queued_at: Instant,
    deadline: Instant,
    /// Whether an append of the record was not answered, so that it may be stored.
    may_be_stored: bool,
    /// Client of the owner's process, which may be able to store the record if this process cannot.
    relay: Option<CellClient<Channel>>,
    reply: oneshot::Sender<CellReply>,
}

/// Records of this process that are not stored yet; one append is in flight at a time.
pub struct SubmitQueue {
    store: StoreClient,
    partition: PartitionNumber,
    /// Since when appends have failed, if the last one did; it decides when callers are refused.
    store_health: StoreHealth,
    adaptive_timeout: AdaptiveTimeout,
    sent_at: Instant,
    /// Whether the store refused the last append of this process or left several unanswered. Records are then
    /// relayed to the owner's process, which may still reach the store.
    store_unavailable: bool,
    waiting: Vec<QueuedRecord>,
    in_flight: Option<(Vec<QueuedRecord>, LocalBoxFuture<'static, AppendOutcome>)>,
    retry_at: Option<Instant>,
    last_probe: Option<Instant>,
    metrics: CellMetrics,
}

impl SubmitQueue {
    /// Returns an empty queue for a partition.
    #[must_use]
    pub fn new(store: StoreClient, partition: PartitionNumber, metrics: CellMetrics) -> Self {
        let store_health = StoreHealth::default();
        let adaptive_timeout = AdaptiveTimeout::new(MIN_ADAPTIVE_TIMEOUT, MAX_ADAPTIVE_TIMEOUT);
        Self {
            store,
            partition,
            store_health,
            adaptive_timeout,
            sent_at: Instant::now(),
            store_unavailable: false,
            waiting: Vec::new(),
            in_flight: None,
            retry_at: None,
            last_probe: None,
            metrics,
        }
    }

    /// Whether a record of the job is not stored yet.
    #[must_use]
    pub fn holds(&self, job: &str) -> bool {
        let in_flight = self.in_flight.iter().flat_map(|(group, _)| group);
        self.waiting.iter().chain(in_flight).any(|record| &*record.id == job)
    }

    /// Adds a record; its caller is answered once the record is stored, is known not to be stored, or
    /// `deadline` has passed. With `relay`, the owner's process behind that connection stores it if this
    /// process cannot.
    pub fn add(
        &mut self,
        record: &JobRecord,
        deadline: Instant,
        relay: Option<CellClient<Channel>>,
        reply: oneshot::Sender<CellReply>,
    ) {
        let now = Instant::now();
        let (id, kind) = match record {
            JobRecord::Submit(spec) => (spec.id.clone(), "submit"),
            JobRecord::Cancel(job) => (job.clone(), "cancel"),
        };
        let max_bytes = self.store.limits.largest_record();
        let value = match serde_json::to_vec(record) {
            // The store would reject the whole group, again at each repetition.
            Ok(value) if value.len() > max_bytes => {
                let reason = format!("the call takes {} bytes, at most {max_bytes}", value.len());
                log::info!(id = &*id, reason = &*reason; "call is refused");
                respond(reply, CellReply::Refused(CellRefusal::BadRequest(reason), None));
                return;
            }
            Ok(value) => Bytes::from(value),
            Err(error) => {
                respond(reply, refuse_unavailable(&id, &error.to_string()));
                return;
            }
        };
        let record =
            QueuedRecord { id, kind, value, queued_at: now, deadline, may_be_stored: false, relay, reply };
        let failing_for = self.store_health.failing_for(now);
        // During an outage a record is sent to the store at intervals, to detect the end of the outage.
        let idle = self.in_flight.is_none() && self.waiting.is_empty();
        let sends_to_store = !self.store_unavailable || (idle && self.may_probe(now));
        if sends_to_store {
            self.waiting.push(record);
        } else if record.relay.is_some() {
            actix_rt::spawn(record.relay_to_owner(self.retry_after(now)));
        } else if failing_for >= FAIL_FAST_AFTER {
            let refusal = self.refusal(&record.id, now);
            respond(record.reply, refusal);
        } else {
            // Early in an outage, a record that cannot be relayed is retried as well.
            self.waiting.push(record);
        }
    }

    fn may_probe(&mut self, now: Instant) -> bool {
        let due = self
            .last_probe
            .is_none_or(|last_probe| now.saturating_duration_since(last_probe) >= PROBE_INTERVAL);
        if due {
            self.last_probe = Some(now);
        }
        due
    }

    /// Completes the append in flight or sends the next one; stays pending while the queue is empty. It is
    /// cancel safe.
    pub async fn progress(&mut self) {
        if let Some((_, append)) = &mut self.in_flight {
            let outcome = append.await;
            if let Some((group, _)) = self.in_flight.take() {
                self.finish_append(group, &outcome);
            }
            return;
        }
        if self.waiting.is_empty() {
            return std::future::pending().await;
        }
        if let Some(at) = self.retry_at {
            tokio::time::sleep_until(at.into()).await;
            self.retry_at = None;
        }
        self.expire_records();
        self.send();
    }

    fn send(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let count = self.store.limits.group_len(self.waiting.iter().map(|record| &record.value));
        let group: Vec<QueuedRecord> = self.waiting.drain(..count).collect();
        let deadline = group.iter().map(|record| record.deadline).min();
        let time_left =
            deadline.map_or(Duration::ZERO, |deadline| deadline.saturating_duration_since(Instant::now()));
        let request = AppendRequest {
            topic: JOB_TOPIC,
            partition: self.partition,
            records: group.iter().map(|record| record.value.clone()).collect(),
            expected_offset: None,
            stamp: None,
            timeout: time_left.max(MIN_APPEND_TIMEOUT).min(self.adaptive_timeout.timeout()),
        };
        self.sent_at = Instant::now();
        let append = (self.store.append)(request);
        self.in_flight = Some((group, append.boxed_local()));
    }

    fn finish_append(&mut self, group: Vec<QueuedRecord>, outcome: &AppendOutcome) {
        let now = Instant::now();
        if let AppendOutcome::Stored(offset) = outcome {
            self.store_health.record_success();
            self.store_unavailable = false;
            self.adaptive_timeout.record_answer(now.saturating_duration_since(self.sent_at));
            for record in group {
                let took = now.saturating_duration_since(record.queued_at).as_millis();
                log::info!(job = &*record.id, kind = record.kind, partition = self.partition, offset = offset,
                    took_ms = took; "call is stored");
                self.metrics.store_seconds.observe(record.queued_at.elapsed().as_secs_f64());
                respond(record.reply, CellReply::Stored);
            }
            return;
        }
        self.store_health.record_failure(now);
        log::info!(records = group.len(), outcome:%; "append of submissions failed");
        let may_be_stored = !matches!(outcome, AppendOutcome::Refused(_));
        if may_be_stored {
            self.adaptive_timeout.record_timeout();
        }
        self.store_unavailable =
            !may_be_stored || self.adaptive_timeout.consecutive_timeouts() >= UNAVAILABLE_AFTER_TIMEOUTS;
        let store_unavailable = self.store_unavailable;
        let group = group
            .into_iter()
            .map(|record| QueuedRecord { may_be_stored: record.may_be_stored || may_be_stored, ..record });
        let (relayed, kept): (Vec<_>, Vec<_>) =
            group.partition(|record| store_unavailable && record.relay.is_some());
        for record in relayed {
            actix_rt::spawn(record.relay_to_owner(self.retry_after(now)));
        }
        self.waiting.splice(0..0, kept);
        self.retry_at = Some(now + APPEND_RETRY_DELAY);
        self.expire_records();
    }

    /// Returns the refusal of a call; the longer the outage has lasted, the longer the caller is told to wait
    /// before a retry.
    fn refusal(&self, id: &str, now: Instant) -> CellReply {
        refuse_unavailable_with_retry(id, "store takes no records", self.retry_after(now))
    }

    fn retry_after(&self, now: Instant) -> Duration {
        self.store_health.failing_for(now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Answers callers whose deadline has passed and, during an outage, those whose record is known not to be
    /// stored and was queued at least [`REFUSE_AFTER`] ago.
    fn expire_records(&mut self) {
        let now = Instant::now();
        let is_failing = !self.store_health.failing_for(now).is_zero();
        let (kept, expired): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|record| {
                let refused = is_failing
                    && !record.may_be_stored
                    && now.saturating_duration_since(record.queued_at) >= REFUSE_AFTER;
                now < record.deadline && !refused
            });
        self.waiting = kept;
        for record in expired {
            if record.may_be_stored {
                log::info!(job = &*record.id, kind = record.kind; "call may be stored");
                let refusal = CellRefusal::MayBeStored("store does not answer".to_owned());
                respond(record.reply, CellReply::Refused(refusal, None));
            } else {
                respond(record.reply, self.refusal(&record.id, now));
            }
        }
    }
}

impl QueuedRecord {
    /// Relays the record to the owner's process and answers the caller; one that is refused may retry after
    /// `retry_after`.
    async fn relay_to_owner(self, retry_after: Duration) {
        let Some(client) = self.relay else { return };
        let outcome = peer::relay(&client, &self.value, self.deadline).await;
        let took = self.queued_at.elapsed().as_millis();
        let reply = match outcome {
            Ok(RelayOutcome::Stored) => {
                log::info!(job = &*self.id, kind = self.kind, took_ms = took; "call is stored by the owner");
                CellReply::Stored
            }
            Ok(RelayOutcome::Refused) if !self.may_be_stored => {
                refuse_unavailable_with_retry(&self.id, "store takes no records", retry_after)
            }
            // The record may be stored: the relay call failed or its outcome is unsure, or an earlier append
            // was not answered.
            outcome => {
                log::info!(job = &*self.id, kind = self.kind, outcome:?; "call may be stored");
                let refusal = CellRefusal::MayBeStored("owner does not answer".to_owned());
                CellReply::Refused(refusal, None)
            }
        };
        respond(self.reply, reply);
    }
}
