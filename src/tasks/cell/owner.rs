//! Owns the state of the cell and makes its scheduling decisions during one term of ownership.

use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::kernel::cell::admission::MemoryBudget;
use crate::kernel::cell::{
    CallFence, CellConfig, CellEffect, CellEvent, CellNotice, CellRecord, FormerRelease, GraphSpec,
    JobForecast, JobStatus, RestartRule, WorkerLease, WorkerListing, WorkerSession,
};
use crate::prelude::*;
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::cell::admission::AdmissionMessage;
use crate::tasks::cell::admission_report::ESTIMATE_INTERVAL;
use crate::tasks::cell::advisor::AdvisorMessage;
use crate::tasks::cell::decision_log::{log_notice, log_record, log_run_end, log_start_decision};
use crate::tasks::cell::intake::{JOB_PARTITIONS, JOB_TOPIC};
use crate::tasks::cell::link::WorkerLink;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner_state::OwnerState;
use crate::tasks::cell::ownership_lease::OwnershipLease;
use crate::tasks::cell::ports::{CellAdapter, StoreClient, TopicPage};
use crate::tasks::cell::record_codec;
use crate::tasks::cell::recovery::CellRecovery;
use crate::tasks::cell::store_limits::StoreLimits;
use crate::tasks::cell::tail::{TailMessage, TopicTail};
use crate::tasks::cell::term_log::AppendProgress;

/// Lease that workers are granted; long enough for another process to take over before it expires.
const WORKER_LEASE: Duration = Duration::from_millis(6_500);
/// Interval between ticks of the scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reports of the load to the log and the metrics.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// How long the store may hold a read of submissions open before it answers with an empty page.
const SUBMISSION_LONG_POLL: Duration = Duration::from_secs(1);
/// Pause between two reads of the worker registrations.
const REGISTRATION_READ_PAUSE: Duration = Duration::from_millis(400);

/// The owner's answer to a query for the state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// State of the job.
    Known(JobStatus),
    /// The job does not exist.
    Missing,
    /// The owner has not read the submissions recently enough, as in an outage of the store, to tell whether
    /// the job exists.
    SubmissionsStale,
}

/// Messages to the [`OwnerTask`].
#[derive(Debug)]
pub enum OwnerMessage {
    /// An event for the scheduler.
    Event(CellEvent),
    /// This worker knows a newer owner, so that the term is over.
    Fenced(WorkerId),
    /// Queries the state of a job.
    Inspect(JobId, oneshot::Sender<JobAnswer>),
    /// Asks what this owner would do now with a job, without submitting it.
    Forecast(Box<GraphSpec>, oneshot::Sender<Result<JobForecast, String>>),
    /// Queries how many jobs of a queue have not started; the answer is `None` if the submissions were not
    /// read recently.
    Count(QueueId, oneshot::Sender<Option<u64>>),
}

/// The async task that runs one term of ownership.
pub struct OwnerTask {
    /// Fencing token of the claim.
    pub token: FencingToken,
    /// The adapter of the platform.
    pub adapter: CellAdapter,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Sends messages to this task; cloned for the tasks that answer it.
    pub own_sender: mpsc::Sender<OwnerMessage>,
    /// Sends messages to the task that distributes permit requests to the placement advisor.
    pub advisor_sender: mpsc::Sender<AdvisorMessage>,
    /// Sends messages to the task that distributes notices of long waits.
    pub admission_sender: mpsc::Sender<AdmissionMessage>,
    /// Configuration in force at the start of the term; `None` if none is known.
    pub config: Option<Arc<CellConfig>>,
    /// Zones that are out of service at the start of the term.
    pub closed_zones: FastSet<ZoneId>,
    /// Longest lease that the platform's workers accept.
    pub longest_lease: Duration,
    /// The lease under which this owner grants leases to workers.
    pub ownership: OwnershipLease,
    /// The release of the former owner, if it has released the cell after it had fenced those before it.
    pub former_release: Option<FormerRelease>,
    /// How long the store retains records.
    pub log_retention: Duration,
    /// Time in which past use of the teams loses half of its weight; zero if it is not accounted for.
    pub usage_half_life: Duration,
    /// Memory for accepted jobs.
    pub memory_budget: MemoryBudget,
    /// Metrics of the process.
    pub metrics: CellMetrics,
}

/// Reason why a term of ownership ended, for logs.
pub type TermEnd = String;

impl OwnerTask {
    /// Runs until the token is cancelled or the term is over; returns the reason.
    pub async fn run(self, mut inbox: mpsc::Receiver<OwnerMessage>, token: CancellationToken) -> TermEnd {
        self.metrics.owner.set(1);
        let ended = tokio::select! {
            () = token.cancelled() => "stopped".to_owned(),
            ended = self.serve(&mut inbox, &token) => ended,
        };
        token.cancel();
        self.metrics.owner.set(0);
        self.metrics.open_jobs.set(0);
        self.metrics.waiting_tasks.set(0);
        self.metrics.set_team_usages(&[]);
        self.metrics.waiting_steps.reset();
        self.metrics.accelerators_without_ticket.set(0);
        log::info!(token = self.token, reason = &*ended; "ownership ended");
        ended
    }

    async fn serve(&self, inbox: &mut mpsc::Receiver<OwnerMessage>, token: &CancellationToken) -> TermEnd {
        let started = Instant::now();
        let (mut state, next_offsets, summary) = match (CellRecovery { owner: self }).run().await {
            Ok(recovered) => recovered,
            Err(end) => return end,
        };
        summary.log(self.token, started.elapsed(), &state.scheduler);
        if self.advisor_sender.send(AdvisorMessage::OwnerStarted(self.own_sender.clone())).await.is_err() {
            log::error!("placement advisor task has ended");
        }
        let (sender, mut jobs) = mpsc::channel(CHANNEL_CAPACITY);
        for (partition, next) in (0..JOB_PARTITIONS).zip(next_offsets) {
            let (store, sender, stop) = (self.store.clone(), sender.clone(), token.clone());
            actix_rt::spawn(async move {
                let tail = TopicTail {
                    topic: JOB_TOPIC,
                    partition,
                    wait: SUBMISSION_LONG_POLL,
                    pause: Duration::ZERO,
                };
                tail.follow_retained(next, &store, &sender, &stop).await;
            });
        }
        let (sender, mut registrations) = mpsc::channel(CHANNEL_CAPACITY);
        let topic = self.adapter.worker_topic;
        let tail = TopicTail { topic, partition: 0, wait: Duration::ZERO, pause: REGISTRATION_READ_PAUSE };
        actix_rt::spawn(tail.follow_keyed(self.store.clone(), sender, token.clone()));

        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut summary = tokio::time::interval(SUMMARY_INTERVAL);
        summary.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut estimate = tokio::time::interval(ESTIMATE_INTERVAL);
        estimate.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let due = state.scheduler.next_pass(Instant::now());
            tokio::select! {
                () = sleep_until(due) => {}
                progress = state.log.progress() => {
                    if let Err(end) = self.finish_append(&mut state, progress).await {
                        return end;
                    }
                }
                Some(message) = inbox.recv() => {
                    if let Err(end) = state.handle_batch(message, inbox) {
                        return end;
                    }
                }
                Some(message) = jobs.recv() => state.apply_submissions(message),
                Some(message) = registrations.recv() => self.handle_registrations(&mut state, message),
                _ = summary.tick() => state.report_load(&self.metrics),
                _ = estimate.tick() => state.report_waits().await,
                _ = tick.tick() => {
                    let event = CellEvent::Tick(clock::unix_time());
                    state.scheduler.handle(event, Instant::now());
                    // While the store is slow, the records would only keep leases from being renewed.
                    if !state.log.is_stalled() {
                        state.scheduler.record_lease_bounds(Instant::now());
                    }
                    state.note_ownership(self.ownership.is_valid());
                }
            }
            self.apply_effects(&mut state, token).await;
        }
    }

    pub(super) fn lease(&self) -> Duration {
        WORKER_LEASE.min(self.longest_lease)
    }

    pub(super) fn restart_rule(&self) -> RestartRule {
        RestartRule::new(self.lease(), self.longest_lease)
    }

    fn handle_registrations(&self, state: &mut OwnerState, message: TailMessage) {
        let page = match message {
            TailMessage::Snapshot(page) => {
                state.registrations.clear();
                page
            }
            TailMessage::Page(_, page, _) => page,
            TailMessage::Failed(reason) => {
                log::debug!(reason = &*reason; "worker registrations cannot be read");
                return;
            }
        };
        if self.apply_registrations(state, &page) {
            let listings = state.registrations.values().cloned().collect();
            state.scheduler.handle(CellEvent::WorkersListed(listings), Instant::now());
        }
    }

    /// Applies worker registrations; returns whether any of them changed.
    fn apply_registrations(&self, state: &mut OwnerState, page: &TopicPage) -> bool {
        let mut changed = false;
        for record in &page.records {
            let Some(key) = &record.key else { continue };
            if record.value.is_empty() {
                changed |= state.registrations.remove(key).is_some();
                continue;
            }
            match (self.adapter.parse_worker_registration)(key, &record.value) {
                Ok(listing) => {
                    let old = state.registrations.insert(key.clone(), listing.clone());
                    changed |= old.is_none_or(|old| !listing.repeats(&old));
                }
                Err(reason) => {
                    log::warn!(worker = &**key, reason = &*reason; "worker registration is invalid");
                    changed |= state.registrations.remove(key).is_some();
                }
            }
        }
        changed
    }

    /// Makes the scheduling decisions that are due and applies their effects; those that depend on records
    /// wait until these are stored.
    async fn apply_effects(&self, state: &mut OwnerState, token: &CancellationToken) {
        let started = Instant::now();
        let runs_pass = state.scheduler.next_pass(started).is_some_and(|due| started >= due);
        let effects = state.scheduler.decide(!state.log.is_stalled(), started);
        if runs_pass {
            let took = started.elapsed();
            state.scheduler.record_pass_duration(took);
            self.metrics.pass_seconds.observe(took.as_secs_f64());
        }
        for effect in effects {
            match effect {
                CellEffect::Record(record) => {
                    log_record(&record);
                    self.record(state, &record);
                }
                CellEffect::RecordEnd(record, end) => {
                    log_run_end(&record, &end, self.token);
                    self.record(state, &record);
                }
                CellEffect::Log(notice) => {
                    if let CellNotice::SlowRun { action, .. } = &notice {
                        self.metrics.slow_runs.with_label_values(&[&action.to_string()]).inc();
                    }
                    log_notice(&notice, self.token);
                }
                CellEffect::RequestPermits(request) => {
                    let message = AdvisorMessage::Request(request, self.own_sender.clone());
                    // The advisor task ends only with the process.
                    if self.advisor_sender.send(message).await.is_err() {
                        log::error!("placement advisor task has ended");
                    }
                }
                CellEffect::Watch(listing) => self.open_link(state, &listing, token),
                CellEffect::RenewLease { after_records: false, .. } | CellEffect::Look(_) => {
                    state.apply_effect(effect, true).await;
                }
                CellEffect::Unwatch(worker) => {
                    if let Some((_, stop)) = state.links.remove(&worker) {
                        stop.cancel();
                    }
                }
                effect => {
                    if let CellEffect::Start(command) = &effect {
                        log_start_decision(command, self.token);
                    }
                    // Counts the decision; the run may end in another way before the command is sent.
                    if let CellEffect::Stop(command) = &effect {
                        self.metrics.run_stops.with_label_values(&[command.reason]).inc();
                    }
                    state.log.hold_until_stored(effect);
                }
            }
        }
        for effect in state.log.flush() {
            // No start is among these effects, as its record is added just before it.
            state.apply_effect(effect, true).await;
        }
    }

    /// Adds a record to the log of the term.
    fn record(&self, state: &mut OwnerState, record: &CellRecord) {
        if let CellRecord::Ended(_, _, cause, _) = record {
            self.metrics.run_ends.with_label_values(&[&cause.to_string()]).inc();
        }
        if let CellRecord::Closed(job, _) = record {
            state.unpublished.insert(job.clone());
        }
        match record_codec::encode(record, self.store.limits.largest_record()) {
            Ok(values) => {
                state.scheduler.count_record(record, values.iter().map(StoreLimits::stored_bytes).sum());
                for value in values {
                    state.log.record(value);
                }
            }
            Err(reason) => log::error!(reason = &*reason; "record cannot be stored"),
        }
    }

    fn open_link(&self, state: &mut OwnerState, listing: &WorkerListing, token: &CancellationToken) {
        if let Some((_, stop)) = state.links.remove(&listing.worker) {
            stop.cancel();
        }
        let (sender, inbox) = mpsc::channel(CHANNEL_CAPACITY);
        let stop = token.child_token();
        let (usual, longest) = (self.lease(), self.longest_lease);
        let (fence, lease) = match state.scheduler.inherited_lease_of(&listing.worker) {
            Some(expires_by) => (CallFence::new(self.token), WorkerLease::new(usual, longest, expires_by)),
            // An earlier link of this term may have raised the token.
            None => (
                CallFence::reopened(self.token.max(self.ownership.newest_token())),
                WorkerLease::reopened(usual, longest, Instant::now()),
            ),
        };
        let recorded_fence = state.scheduler.fence_of(&listing.worker);
        let link = WorkerLink {
            worker: listing.worker.clone(),
            token: self.token,
            session: WorkerSession::new(fence, lease, self.restart_rule(), recorded_fence),
            client: (self.adapter.worker)(listing),
            ownership: self.ownership.clone(),
            owner_sender: self.own_sender.clone(),
            metrics: self.metrics.clone(),
        };
        actix_rt::spawn(link.run(inbox, stop.clone()));
        state.links.insert(listing.worker.clone(), (sender, stop));
    }

    async fn finish_append(
        &self,
        state: &mut OwnerState,
        progress: AppendProgress<CellEffect>,
    ) -> Result<(), TermEnd> {
        match progress {
            AppendProgress::Stored { released, fresh, first_sent_at } => {
                self.ownership.confirm(first_sent_at);
                let took = first_sent_at.monotonic.elapsed();
                self.metrics.appends.with_label_values(&["stored"]).inc();
                self.metrics.append_seconds.observe(took.as_secs_f64());
                for effect in released {
                    state.apply_effect(effect, fresh).await;
                }
                Ok(())
            }
            AppendProgress::Retrying(outcome) => {
                self.metrics.appends.with_label_values(&["repeated"]).inc();
                log::warn!(token = self.token, outcome:%; "append is repeated");
                Ok(())
            }
            AppendProgress::Deposed(outcome) => Err(outcome.to_string()),
        }
    }
}

/// Sleeps until `due`; stays pending if there is none.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}
