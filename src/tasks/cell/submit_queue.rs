//! Submissions and cancellations on their way to the store, appended in groups.

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
    CellRefusal, CellReply, JOB_TOPIC, JobRecord, respond, unavailable, unavailable_for,
};
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::peer;
use crate::tasks::cell::ports::{AppendCall, AppendOutcome, StorePort};

/// Bounds on the wait for one append; a repeated one does no harm, as jobs are known by their ids.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(900);
/// See [`SHORTEST_TIMEOUT`]; while the store is slow, a repetition only lengthens its queue.
const LONGEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Appends in a row without an answer after which the store counts as out of reach, and not only as slow.
const MOST_MISSES: u32 = 2;
/// Shortest wait for one append whose callers have little time left.
const SHORTEST_APPEND: Duration = Duration::from_millis(150);
/// Wait before an append is repeated.
const APPEND_RETRY: Duration = Duration::from_millis(100);
/// Time for which a record that was surely not stored is tried again before its caller is refused; less than half of
/// the time that callers of the platform wait, so that they can try again.
const REFUSED_FOR: Duration = Duration::from_millis(700);
/// Outage of the store after which callers are refused at once, as it will hardly end while they wait.
const OUTAGE: Duration = Duration::from_millis(1_500);
/// Bounds on the time after which a refused caller may come back.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_secs(1);
/// See [`SHORTEST_RETRY_AFTER`]; callers repeat a call only a few times, so their attempts have to span an outage.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Time between calls that are sent to a store that takes nothing.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest group in bytes, a quarter of what the platform's store takes in one call.
const GROUP_BYTES: usize = 512 << 10;

/// A record that waits to be stored.
struct QueuedRecord {
    id: JobId,
    kind: &'static str,
    value: Bytes,
    added: Instant,
    until: Instant,
    /// Whether an append of it was not answered, so that it may be stored.
    may_be_stored: bool,
    /// The owner's process, which may be able to store it if this one is not.
    relay: Option<CellClient<Channel>>,
    reply: oneshot::Sender<CellReply>,
}

/// Records of one process on their way to the store.
pub struct SubmitQueue {
    store: StorePort,
    partition: PartitionNumber,
    health: StoreHealth,
    adaptive_timeout: AdaptiveTimeout,
    sent: Instant,
    /// Whether the store refuses this process or is out of its reach, so that another one may do better.
    store_unavailable: bool,
    waiting: Vec<QueuedRecord>,
    flight: Option<(Vec<QueuedRecord>, LocalBoxFuture<'static, AppendOutcome>)>,
    retry_at: Option<Instant>,
    probed: Option<Instant>,
    metrics: CellMetrics,
}

impl SubmitQueue {
    /// Returns an empty queue for a partition.
    #[must_use]
    pub fn new(store: StorePort, partition: PartitionNumber, metrics: CellMetrics) -> Self {
        let health = StoreHealth::default();
        let adaptive_timeout = AdaptiveTimeout::new(SHORTEST_TIMEOUT, LONGEST_TIMEOUT);
        Self {
            store,
            partition,
            health,
            adaptive_timeout,
            sent: Instant::now(),
            store_unavailable: false,
            waiting: Vec::new(),
            flight: None,
            retry_at: None,
            probed: None,
            metrics,
        }
    }

    /// Adds a record; its caller is answered once it is stored, surely not stored, or `until` has passed.
    /// With `relay`, the process of that connection stores it if this one cannot.
    pub fn add(
        &mut self,
        record: &JobRecord,
        until: Instant,
        relay: Option<CellClient<Channel>>,
        reply: oneshot::Sender<CellReply>,
    ) {
        let now = Instant::now();
        let (id, kind) = match record {
            JobRecord::Submit(spec) => (spec.id.clone(), "submit"),
            JobRecord::Cancel(job) => (job.clone(), "cancel"),
        };
        let value = match serde_json::to_vec(record) {
            Ok(value) => Bytes::from(value),
            Err(error) => {
                respond(reply, unavailable(&id, &error.to_string()));
                return;
            }
        };
        let record = QueuedRecord { id, kind, value, added: now, until, may_be_stored: false, relay, reply };
        let failing = self.health.failing_for(now);
        // Some calls go on to the store, to find out when the outage ends.
        let idle = self.flight.is_none() && self.waiting.is_empty();
        let probes = !self.store_unavailable || (idle && self.may_probe(now));
        if probes {
            self.waiting.push(record);
        } else if record.relay.is_some() {
            actix_rt::spawn(record.relay_to_owner(self.wait(now)));
        } else if failing >= OUTAGE {
            let refusal = self.refusal(&record.id, now);
            respond(record.reply, refusal);
        } else {
            self.waiting.push(record);
        }
    }

    fn may_probe(&mut self, now: Instant) -> bool {
        let due = self.probed.is_none_or(|probed| now.saturating_duration_since(probed) >= PROBE_INTERVAL);
        if due {
            self.probed = Some(now);
        }
        due
    }

    /// Sends and answers records; returns when something has changed.
    pub async fn progress(&mut self) {
        if let Some((_, call)) = &mut self.flight {
            let outcome = call.await;
            if let Some((group, _)) = self.flight.take() {
                self.note(group, &outcome);
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
        self.give_up();
        self.send();
    }

    fn send(&mut self) {
        let mut bytes = 0;
        let fits = self.waiting.iter().take_while(|record| {
            bytes += record.value.len();
            bytes <= GROUP_BYTES
        });
        let count = fits.count().max(1).min(self.waiting.len());
        if count == 0 {
            return;
        }
        let group: Vec<QueuedRecord> = self.waiting.drain(..count).collect();
        let until = group.iter().map(|record| record.until).min();
        let left = until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
        let call = AppendCall {
            topic: JOB_TOPIC,
            partition: self.partition,
            records: group.iter().map(|record| record.value.clone()).collect(),
            expected_offset: None,
            stamp: None,
            timeout: left.max(SHORTEST_APPEND).min(self.adaptive_timeout.timeout()),
        };
        self.sent = Instant::now();
        let call = (self.store.append)(call);
        self.flight = Some((group, call.boxed_local()));
    }

    fn note(&mut self, group: Vec<QueuedRecord>, outcome: &AppendOutcome) {
        let now = Instant::now();
        if let AppendOutcome::Stored(offset) = outcome {
            self.health.succeed();
            self.store_unavailable = false;
            self.adaptive_timeout.answer(now.saturating_duration_since(self.sent));
            for record in group {
                let took = now.saturating_duration_since(record.added).as_millis();
                log::info!(job = &*record.id, kind = record.kind, partition = self.partition, offset = offset,
                    took_ms = took; "call is stored");
                self.metrics.store_seconds.observe(record.added.elapsed().as_secs_f64());
                respond(record.reply, CellReply::Stored);
            }
            return;
        }
        self.health.fail(now);
        log::info!(records = group.len(), outcome:%; "append of submissions failed");
        let may_be_stored = !matches!(outcome, AppendOutcome::Refused(_));
        if may_be_stored {
            self.adaptive_timeout.miss();
        }
        self.store_unavailable = !may_be_stored || self.adaptive_timeout.misses() >= MOST_MISSES;
        let store_unavailable = self.store_unavailable;
        let group = group
            .into_iter()
            .map(|record| QueuedRecord { may_be_stored: record.may_be_stored || may_be_stored, ..record });
        let (relayed, kept): (Vec<_>, Vec<_>) =
            group.partition(|record| store_unavailable && record.relay.is_some());
        for record in relayed {
            actix_rt::spawn(record.relay_to_owner(self.wait(now)));
        }
        self.waiting.splice(0..0, kept);
        self.retry_at = Some(now + APPEND_RETRY);
        self.give_up();
    }

    /// Refuses a call; the longer the outage has lasted, the later its caller may come back.
    fn refusal(&self, id: &str, now: Instant) -> CellReply {
        unavailable_for(id, "store takes no records", self.wait(now))
    }

    fn wait(&self, now: Instant) -> Duration {
        self.health.failing_for(now).clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER)
    }

    /// Answers callers whose record is surely not stored for a while, or whose time is over.
    fn give_up(&mut self) {
        let now = Instant::now();
        let failing = !self.health.failing_for(now).is_zero();
        let (kept, given_up): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|record| {
                let refused = failing
                    && !record.may_be_stored
                    && now.saturating_duration_since(record.added) >= REFUSED_FOR;
                now < record.until && !refused
            });
        self.waiting = kept;
        for record in given_up {
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
    /// Lets the owner's process store the record, and answers the caller; one that is refused may come back after
    /// `wait`.
    async fn relay_to_owner(self, wait: Duration) {
        let Some(client) = self.relay else { return };
        let outcome = peer::relay(&client, &self.value, self.until).await;
        let took = self.added.elapsed().as_millis();
        let reply = match outcome {
            Ok(RelayOutcome::Stored) => {
                log::info!(job = &*self.id, kind = self.kind, took_ms = took; "call is stored by the owner");
                CellReply::Stored
            }
            Ok(RelayOutcome::Refused) if !self.may_be_stored => {
                unavailable_for(&self.id, "store takes no records", wait)
            }
            // A call to the owner that was not answered may have had its effect too.
            outcome => {
                log::info!(job = &*self.id, kind = self.kind, outcome:?; "call may be stored");
                let refusal = CellRefusal::MayBeStored("owner does not answer".to_owned());
                CellReply::Refused(refusal, None)
            }
        };
        respond(self.reply, reply);
    }
}
