//! Decides for the cell during one term of ownership.

use bytes::Bytes;
use futures_util::future::join_all;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::kernel::cell::{
    CellConfig, CellEffect, CellEvent, CellRecord, CellScheduler, JobStatus, StartCommand, WorkerLease,
    WorkerListing,
};
use crate::prelude::*;
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::cell::advisor::{AdvisorMessage, PermitQuestion};
use crate::tasks::cell::intake::{JOB_PARTITIONS, JOB_TOPIC, JobRecord};
use crate::tasks::cell::link::WorkerLink;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner_state::OwnerState;
use crate::tasks::cell::ports::{AppendOutcome, CellAdapter, ReadFault, StorePort, TopicPage};
use crate::tasks::cell::tail::{TailMessage, TopicTail};
use crate::tasks::cell::term_log::{AppendProgress, CELL_TOPIC, TermLog};

/// Lease that workers get; long enough that another process takes over before it ends.
const LEASE: Duration = Duration::from_millis(6_500);
/// How long a deposed owner may go on extending leases before it learns of its successor.
const DEPOSED_LEASE_MARGIN: Duration = Duration::from_millis(2_500);
/// Time between ticks of the scheduler.
const TICK: Duration = Duration::from_millis(100);
/// Time between log lines about the load.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// How long the store may wait for submissions before it answers an empty page.
const SUBMISSION_WAIT: Duration = Duration::from_secs(1);
/// Time between reads of the registrations of workers.
const LISTING_PAUSE: Duration = Duration::from_millis(400);
/// Largest record that the platform's store takes; only the image of a job with thousands of running tasks is larger.
const MOST_RECORD_BYTES: usize = 262_144;
/// Wait before a read is repeated during recovery.
const RECOVERY_RETRY: Duration = Duration::from_millis(150);

/// What the owner says of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// Its state.
    Known(JobStatus),
    /// There is no such job.
    Missing,
    /// The owner does not know yet.
    Unready,
}

/// What the owner is told.
#[derive(Debug)]
pub enum OwnerMessage {
    /// Something for the scheduler.
    Event(CellEvent),
    /// A worker knows a newer owner.
    Fenced(WorkerId),
    /// Asks for the state of a job.
    Inspect(JobId, oneshot::Sender<JobAnswer>),
    /// Asks how many jobs of a queue have not started; `None` if the owner does not know yet.
    Count(QueueId, oneshot::Sender<Option<u64>>),
}

/// One term of ownership.
pub struct OwnerTask {
    /// Token of the claim.
    pub token: FencingToken,
    /// What speaks to the platform.
    pub adapter: CellAdapter,
    /// The store.
    pub store: StorePort,
    /// The inbox of this task.
    pub inbox: mpsc::Sender<OwnerMessage>,
    /// The questions to the placement advisor.
    pub advice: mpsc::Sender<AdvisorMessage>,
    /// The configuration and the closed zones that are known at the start.
    pub config: Option<Arc<CellConfig>>,
    /// Zones that are out of service.
    pub closed: FastSet<ZoneId>,
    /// Longest lease that the platform's workers accept.
    pub longest_lease: Duration,
    /// How long the store keeps records.
    pub log_retention: Duration,
    /// Counters.
    pub metrics: CellMetrics,
}

/// Why a term ended.
pub type TermEnd = String;

impl OwnerTask {
    /// Runs until the token is cancelled or the term is over; returns why it is over.
    pub async fn run(self, mut messages: mpsc::Receiver<OwnerMessage>, token: CancellationToken) -> TermEnd {
        self.metrics.owner.set(1);
        let ended = tokio::select! {
            () = token.cancelled() => "stopped".to_owned(),
            ended = self.serve(&mut messages, &token) => ended,
        };
        token.cancel();
        self.metrics.owner.set(0);
        self.metrics.open_jobs.set(0);
        self.metrics.waiting_tasks.set(0);
        log::info!(token = self.token, reason = &*ended; "ownership ended");
        ended
    }

    async fn serve(&self, messages: &mut mpsc::Receiver<OwnerMessage>, token: &CancellationToken) -> TermEnd {
        let started = Instant::now();
        let (mut state, ends) = match self.recover().await {
            Ok(recovered) => recovered,
            Err(end) => return end,
        };
        log::info!(token = self.token, took_ms:? = started.elapsed().as_millis(); "cell recovered");
        if self.advice.send(AdvisorMessage::OwnerStarted(self.inbox.clone())).await.is_err() {
            log::error!("task of the placement advisor has ended");
        }
        let (sender, mut jobs) = mpsc::channel(CHANNEL_CAPACITY);
        for (partition, next) in (0..JOB_PARTITIONS).zip(ends) {
            let (store, sender, stop) = (self.store.clone(), sender.clone(), token.clone());
            actix_rt::spawn(async move {
                let tail =
                    TopicTail { topic: JOB_TOPIC, partition, wait: SUBMISSION_WAIT, pause: Duration::ZERO };
                tail.follow(next, &store, &sender, &stop).await;
            });
        }
        let (sender, mut listings) = mpsc::channel(CHANNEL_CAPACITY);
        let topic = self.adapter.worker_topic;
        let tail = TopicTail { topic, partition: 0, wait: Duration::ZERO, pause: LISTING_PAUSE };
        actix_rt::spawn(tail.follow_keyed(self.store.clone(), sender, token.clone()));

        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut summary = tokio::time::interval(SUMMARY_INTERVAL);
        summary.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let due = state.scheduler.next_pass(Instant::now());
            tokio::select! {
                () = sleep_until(due) => {}
                progress = state.log.progress() => {
                    if let Err(end) = self.note_append(&mut state, progress).await {
                        return end;
                    }
                }
                Some(message) = messages.recv() => {
                    if let Err(end) = state.take(message, messages) {
                        return end;
                    }
                }
                Some(message) = jobs.recv() => state.note_jobs(message),
                Some(message) = listings.recv() => self.note_listings(&mut state, message),
                _ = summary.tick() => state.summarise(&self.metrics),
                _ = tick.tick() => {
                    let event = CellEvent::Tick(clock::unix_time());
                    state.scheduler.handle(event, Instant::now());
                }
            }
            self.apply_effects(&mut state, token).await;
        }
    }

    fn lease(&self) -> Duration {
        LEASE.min(self.longest_lease)
    }

    /// Makes the store refuse records of all earlier owners.
    async fn fence(&self) -> Result<(), TermEnd> {
        loop {
            match (self.store.append)(TermLog::<CellEffect>::fencing_append(self.token)).await {
                AppendOutcome::Stored(_) => return Ok(()),
                AppendOutcome::Refused(reason) | AppendOutcome::Unknown(reason) => {
                    log::warn!(token = self.token, reason = &*reason; "store does not take the claim");
                    tokio::time::sleep(RECOVERY_RETRY).await;
                }
                outcome => return Err(outcome.to_string()),
            }
        }
    }

    /// Rebuilds the state of the cell from the store; returns the offsets from which submissions are read on.
    async fn recover(&self) -> Result<(OwnerState, Vec<LogOffset>), TermEnd> {
        // All reads are sent at once, as each takes long while the store is slow; the owner's own records are read
        // only once no earlier owner can add to them.
        let jobs = (0..JOB_PARTITIONS).map(|partition| self.read_all(JOB_TOPIC, partition));
        let cell = async {
            self.fence().await?;
            Ok::<_, TermEnd>(self.read_all(CELL_TOPIC, 0).await)
        };
        let (jobs, cell) = tokio::join!(join_all(jobs), cell);
        let (records, ..) = cell?;
        let now = Instant::now();
        let mut scheduler =
            CellScheduler::new(now + self.lease() + DEPOSED_LEASE_MARGIN).with_history(self.log_retention);
        scheduler.handle(CellEvent::Tick(clock::unix_time()), now);
        if let Some(config) = &self.config {
            scheduler.handle(CellEvent::Configured(config.clone()), now);
        }
        scheduler.handle(CellEvent::ZonesClosed(self.closed.clone()), now);
        let (mut cancelled, mut ends, mut jobs_read) = (Vec::new(), Vec::new(), Vec::new());
        for (values, end, started) in jobs {
            ends.push(end);
            // Reading and folding the rest takes long on a busy process, in which further jobs are accepted.
            jobs_read.push(started);
            for value in values {
                match serde_json::from_slice(&value) {
                    Ok(JobRecord::Submit(spec)) => scheduler.handle(CellEvent::Submitted(spec.into()), now),
                    Ok(JobRecord::Cancel(job)) => cancelled.push(job),
                    Err(error) => log::warn!(topic = JOB_TOPIC, error:%; "record cannot be read"),
                }
            }
        }
        for value in records {
            match serde_json::from_slice::<CellRecord>(&value) {
                Ok(record) => scheduler.replay(record, now),
                Err(error) => log::warn!(topic = CELL_TOPIC, error:%; "record cannot be read"),
            }
        }
        scheduler.end_replay();
        for job in cancelled {
            scheduler.handle(CellEvent::Cancelled(job), now);
        }
        let state = OwnerState {
            scheduler,
            log: TermLog::new(self.store.clone(), self.token),
            links: FastMap::default(),
            listings: FastMap::default(),
            unpublished: FastSet::default(),
            jobs_read,
        };
        Ok((state, ends))
    }

    /// Reads a whole partition; returns its values, the offset after them and when the last read was sent.
    async fn read_all(
        &self,
        topic: &'static str,
        partition: PartitionNumber,
    ) -> (Vec<Bytes>, LogOffset, Instant) {
        let (mut values, mut next) = (Vec::new(), 0);
        loop {
            let started = Instant::now();
            match (self.store.read)(topic, partition, next, Duration::ZERO).await {
                Ok(page) => {
                    values.extend(page.records.into_iter().map(|record| record.value));
                    next = page.next;
                    if next >= page.end {
                        return (values, next, started);
                    }
                }
                Err(ReadFault::Expired(first)) => next = first,
                Err(fault) => {
                    log::warn!(topic = topic, reason:% = fault; "store cannot be read");
                    tokio::time::sleep(RECOVERY_RETRY).await;
                }
            }
        }
    }

    fn note_listings(&self, state: &mut OwnerState, message: TailMessage) {
        let page = match message {
            TailMessage::Newest(page) => {
                state.listings.clear();
                page
            }
            TailMessage::Page(_, page, _) => page,
            TailMessage::Failed(reason) => {
                log::debug!(reason = &*reason; "registrations of workers cannot be read");
                return;
            }
        };
        if self.apply_listings(state, &page) {
            let listings = state.listings.values().cloned().collect();
            state.scheduler.handle(CellEvent::WorkersListed(listings), Instant::now());
        }
    }

    /// Applies registrations and returns whether any of them changed.
    fn apply_listings(&self, state: &mut OwnerState, page: &TopicPage) -> bool {
        let mut changed = false;
        for record in &page.records {
            let Some(key) = &record.key else { continue };
            if record.value.is_empty() {
                changed |= state.listings.remove(key).is_some();
                continue;
            }
            match (self.adapter.parse_worker_listing)(key, &record.value) {
                Ok(listing) => {
                    let old = state.listings.insert(key.clone(), listing.clone());
                    changed |= old.is_none_or(|old| old != listing);
                }
                Err(reason) => {
                    log::warn!(worker = &**key, reason = &*reason; "registration cannot be used");
                    changed |= state.listings.remove(key).is_some();
                }
            }
        }
        changed
    }

    /// Decides, and does or queues what follows.
    async fn apply_effects(&self, state: &mut OwnerState, token: &CancellationToken) {
        let started = Instant::now();
        let passes = state.scheduler.next_pass(started).is_some_and(|due| started >= due);
        let effects = state.scheduler.decide(!state.log.is_stalled(), started);
        if passes {
            let took = started.elapsed();
            state.scheduler.note_pass(took);
            self.metrics.pass_seconds.observe(took.as_secs_f64());
        }
        for effect in effects {
            match effect {
                CellEffect::Record(record) => {
                    log_record(&record);
                    if let CellRecord::Ended(_, _, cause, _) = &record {
                        self.metrics.ends.with_label_values(&[&cause.to_string()]).inc();
                    }
                    if let CellRecord::Closed(job, _) = &record {
                        state.unpublished.insert(job.clone());
                    }
                    match serde_json::to_vec(&record) {
                        Ok(value) if value.len() > MOST_RECORD_BYTES => {
                            log::error!(bytes = value.len(); "record is larger than the store takes, dropped");
                        }
                        Ok(value) => state.log.record(Bytes::from(value)),
                        Err(error) => log::error!(error:%; "record cannot be written"),
                    }
                }
                CellEffect::AskPermits { step, rule, priority, workers } => {
                    let question = PermitQuestion { step, rule, priority, workers };
                    let message = AdvisorMessage::Ask(question, self.inbox.clone());
                    // The task ends only with the process.
                    if self.advice.send(message).await.is_err() {
                        log::error!("task of the placement advisor has ended");
                    }
                }
                CellEffect::Watch(listing) => self.watch(state, &listing, token),
                CellEffect::Unwatch(worker) => {
                    if let Some((_, stop)) = state.links.remove(&worker) {
                        stop.cancel();
                    }
                }
                effect => {
                    if let CellEffect::Start(command) = &effect {
                        log_start(command);
                    }
                    if let CellEffect::Stop(command) = &effect {
                        self.metrics.stops.with_label_values(&[command.reason]).inc();
                    }
                    state.log.hold_until_stored(effect);
                }
            }
        }
        for effect in state.log.flush() {
            state.send(effect, true).await;
        }
    }

    fn watch(&self, state: &mut OwnerState, listing: &WorkerListing, token: &CancellationToken) {
        if let Some((_, stop)) = state.links.remove(&listing.worker) {
            stop.cancel();
        }
        let (sender, inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let stop = token.child_token();
        let link = WorkerLink {
            worker: listing.worker.clone(),
            token: self.token,
            port: (self.adapter.worker)(listing),
            lease: WorkerLease::new(self.lease(), Instant::now() + self.lease() + DEPOSED_LEASE_MARGIN),
            owner: self.inbox.clone(),
            metrics: self.metrics.clone(),
        };
        actix_rt::spawn(link.run(inbox, stop.clone()));
        state.links.insert(listing.worker.clone(), (sender, stop));
    }

    async fn note_append(
        &self,
        state: &mut OwnerState,
        progress: AppendProgress<CellEffect>,
    ) -> Result<(), TermEnd> {
        match progress {
            AppendProgress::Stored { released, fresh, took } => {
                self.metrics.appends.with_label_values(&["stored"]).inc();
                self.metrics.append_seconds.observe(took.as_secs_f64());
                for effect in released {
                    state.send(effect, fresh).await;
                }
                Ok(())
            }
            AppendProgress::Repeated(outcome) => {
                self.metrics.appends.with_label_values(&["repeated"]).inc();
                log::warn!(token = self.token, outcome:%; "append is repeated");
                Ok(())
            }
            AppendProgress::Deposed(outcome) => Err(outcome.to_string()),
        }
    }
}

/// Waits for a time; for ever if there is none.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

fn log_start(command: &StartCommand) {
    let inputs = &command.inputs;
    log::info!(task:% = command.task, run = command.run, worker = &*command.worker, config = inputs.config,
        report_age_ms = milliseconds(inputs.report_age), waited_ms = milliseconds(inputs.waited),
        free:% = inputs.free, permit = command.ticket.is_some(), checkpoint = command.checkpoint.is_some();
        "task is started");
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn log_record(record: &CellRecord) {
    match record {
        // Logged with its inputs as the order is made.
        CellRecord::Started(..) => {}
        CellRecord::Ended(task, run, cause, _) => {
            log::info!(task:%, run = *run, cause:%; "task has ended");
        }
        CellRecord::Lost(task, run) => log::info!(task:%, run = *run; "task is given up"),
        CellRecord::Closed(job, status) => log::info!(job = &**job, status:%; "job is closed"),
        CellRecord::Snapshot(snapshot) => {
            log::info!(job = &*snapshot.spec.id, status:% = snapshot.status, placed = snapshot.placed.len();
                "job is recorded again before its records expire");
        }
    }
}
