//! State of the owner of the cell during a term.

use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::{
    CellEffect, CellEvent, CellScheduler, CommandOutcome, GraphSpec, JobForecast, JobForecaster, JobStatus,
    NotSentReason, StartCommand, WorkerListing,
};
use crate::prelude::*;
use crate::tasks::cell::admission_report::AdmissionReport;
use crate::tasks::cell::decision_log::{log_start_not_sent, log_stop};
use crate::tasks::cell::inbox;
use crate::tasks::cell::intake::{JOB_TOPIC, JobRecord};
use crate::tasks::cell::link::LinkMessage;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner::{JobAnswer, OwnerMessage, TermEnd};
use crate::tasks::cell::store_limits::StoreLimits;
use crate::tasks::cell::tail::TailMessage;
use crate::tasks::cell::term_log::TermLog;

/// Largest number of messages that are handled before the next scheduling decision.
const MAX_MESSAGE_BATCH: usize = 256;
/// Age of the last read of submissions up to which an unknown job counts as nonexistent; more than twice as
/// long as the store holds such a read open. A job that was accepted since an older read may be missing from
/// it.
const MAX_SUBMISSION_READ_AGE: Duration = Duration::from_millis(2_500);

/// Shortest time between two forecasts, each of which copies the state.
const FORECAST_INTERVAL: Duration = Duration::from_secs(1);

/// State of a term after recovery.
pub(super) struct OwnerState {
    pub(super) token: FencingToken,
    pub(super) scheduler: CellScheduler,
    pub(super) admission: AdmissionReport,
    pub(super) log: TermLog<CellEffect>,
    pub(super) links: FastMap<WorkerId, (mpsc::Sender<LinkMessage>, CancellationToken)>,
    pub(super) registrations: FastMap<WorkerId, WorkerListing>,
    /// Jobs whose final state is not stored yet; another owner could still reach a different one, so callers
    /// are not told.
    pub(super) unpublished: FastSet<JobId>,
    /// When the last read that reached the end of each partition of submissions was sent.
    pub(super) submissions_read_at: Vec<Instant>,
    /// When the last forecast was made.
    pub(super) forecast_at: Option<Instant>,
    /// Whether leases were granted at the last tick.
    pub(super) ownership_confirmed: bool,
}

impl OwnerState {
    /// Handles a message and further ones that are queued behind it; returns the reason why the term ends if
    /// a worker knows a newer owner.
    pub(super) fn handle_batch(
        &mut self,
        first: OwnerMessage,
        inbox: &mut mpsc::Receiver<OwnerMessage>,
    ) -> Result<(), TermEnd> {
        for message in inbox::batch(first, inbox, MAX_MESSAGE_BATCH) {
            match message {
                OwnerMessage::Event(event) => self.scheduler.handle(event, Instant::now()),
                OwnerMessage::Fenced(worker) => return Err(format!("{worker} knows a newer owner")),
                OwnerMessage::Inspect(job, reply) => respond(reply, self.inspect(&job)),
                OwnerMessage::Forecast(spec, reply) => respond(reply, self.forecast(*spec)),
                OwnerMessage::Count(queue, reply) => {
                    let count = u64::try_from(self.scheduler.queued_jobs(&queue)).unwrap_or(u64::MAX);
                    respond(reply, self.submissions_are_current().then_some(count));
                }
            }
        }
        Ok(())
    }

    pub(super) fn report_load(&self, metrics: &CellMetrics) {
        let summary = self.scheduler.summary(Instant::now());
        metrics.open_jobs.set(i64::try_from(summary.open_jobs).unwrap_or(i64::MAX));
        metrics.waiting_tasks.set(i64::try_from(summary.waiting_tasks).unwrap_or(i64::MAX));
        metrics.set_team_usages(&self.scheduler.team_usages());
        for (service, pool) in &summary.pools {
            log::info!(service = &**service, listed = pool.listed, open = pool.schedulable,
                used:% = pool.used, capacity:% = pool.capacity; "load of a service");
        }
        for (queue, stats) in &summary.queues {
            log::info!(queue:%, first = stats.first, renewals = stats.renewals,
                more_workers = stats.more_workers, tickets = stats.tickets, starts = stats.starts,
                grant_rate:% = format_args!("{:.2}", stats.grant_rate()); "permits of a queue");
        }
        let (skips, idle) = (summary.permit_skips, summary.idle_accelerators);
        log::info!(proxies = summary.advisor_proxies, open = summary.requesting_steps,
            open_ms = summary.open_decision_time.as_millis(), steps_requested = skips.requested,
            steps_ticketed = skips.ticketed, steps_without_room = skips.no_room, steps_behind = skips.behind,
            steps_queue_full = skips.queue, accelerators_without_ticket = idle.without_ticket,
            accelerators_without_verdict = idle.without_verdict; "load of the advisor");
        metrics.accelerators_without_ticket.set(i64::try_from(idle.without_ticket).unwrap_or(i64::MAX));
        let (waits, classes) = (summary.waits, summary.classes);
        for (class, count) in classes.by_name() {
            let gauge = metrics.waiting_steps.with_label_values(&[class]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        log::info!(open_jobs = summary.open_jobs,
            excess_jobs = summary.excess_jobs, ready_steps = summary.ready_steps,
            asking_steps = summary.requesting_steps, waiting_tasks = summary.waiting_tasks,
            placed_tasks = summary.placed_tasks, unconfirmed_tasks = summary.unconfirmed_tasks,
            steps_at_limit = waits.team_limit, steps_without_worker = waits.worker,
            steps_without_permit = waits.permit, steps_without_room = waits.room,
            steps_restart = classes.restart, steps_useful = classes.useful, steps_excess = classes.excess,
            steps_expired = classes.expired, steps_unestimated = summary.unestimated_steps;
            "load of the cell");
    }

    pub(super) async fn report_waits(&mut self) {
        self.admission.update(self.scheduler.state(), Instant::now()).await;
    }

    /// Logs if the owner has stopped granting leases to workers, or grants them again.
    pub(super) fn note_ownership(&mut self, confirmed: bool) {
        if std::mem::replace(&mut self.ownership_confirmed, confirmed) == confirmed {
            return;
        }
        if confirmed {
            log::info!(token = self.token; "leases are granted again");
        } else {
            log::warn!(token = self.token; "no leases are granted: the store does not confirm the ownership");
        }
    }

    fn submissions_are_current(&self) -> bool {
        self.submissions_read_at.iter().all(|read| read.elapsed() < MAX_SUBMISSION_READ_AGE)
    }

    /// Returns what this owner would do now with a job; at most one a [`FORECAST_INTERVAL`].
    fn forecast(&mut self, spec: GraphSpec) -> Result<JobForecast, String> {
        let now = Instant::now();
        if self.forecast_at.is_some_and(|at| now.saturating_duration_since(at) < FORECAST_INTERVAL) {
            return Err("another forecast was made within the last second; try again".to_owned());
        }
        self.forecast_at = Some(now);
        let forecast = JobForecaster { scheduler: &self.scheduler, now }.forecast(spec)?;
        let read_age = self.submissions_read_at.iter().map(Instant::elapsed).max().unwrap_or_default();
        let submissions_read_ms = u64::try_from(read_age.as_millis()).unwrap_or(u64::MAX);
        Ok(JobForecast { submissions_read_ms, ..forecast })
    }

    fn inspect(&self, job: &str) -> JobAnswer {
        match self.scheduler.status(job) {
            Some(status) if status.is_final() && self.unpublished.contains(job) => {
                JobAnswer::Known(JobStatus::Running)
            }
            Some(status) => JobAnswer::Known(status),
            None if self.submissions_are_current() => JobAnswer::Missing,
            None => JobAnswer::SubmissionsStale,
        }
    }

    pub(super) fn apply_submissions(&mut self, message: TailMessage) {
        let (partition, page, started) = match message {
            TailMessage::Page(partition, page, started) => (partition, page, started),
            // Only keyed topics have snapshots.
            TailMessage::Snapshot(_) => return,
            TailMessage::Failed(reason) => {
                log::info!(reason = &*reason; "submissions cannot be read");
                return;
            }
        };
        let now = Instant::now();
        // A page is bounded in size; the jobs on the next ones are not known yet.
        let reached_end = page.next >= page.end;
        for record in page.records {
            self.scheduler.count_submission(StoreLimits::stored_bytes(&record.value));
            match JobRecord::decode(&record.value) {
                Ok(JobRecord::Submit(spec)) => {
                    self.scheduler.handle(CellEvent::Submitted(Arc::new(spec)), now);
                }
                Ok(JobRecord::Cancel(job)) => self.scheduler.handle(CellEvent::Cancelled(job), now),
                Err(error) => {
                    log::warn!(topic = JOB_TOPIC, offset = record.offset, error:%; "record cannot be decoded");
                }
            }
        }
        if reached_end && let Some(read) = self.submissions_read_at.get_mut(partition as usize) {
            *read = (*read).max(started);
        }
    }

    /// Applies an effect whose records are stored. A start is sent only before its expiry, if its run was not
    /// given up while the records were stored, and if `fresh` shows that this process is still the owner.
    pub(super) async fn apply_effect(&mut self, effect: CellEffect, fresh: bool) {
        let (worker, message) = match effect {
            CellEffect::Start(command) => {
                if let Some(reason) = self.start_obstacle(&command, fresh) {
                    self.give_up_start(command, reason);
                    return;
                }
                (command.worker.clone(), LinkMessage::Start(command))
            }
            CellEffect::Stop(command) => {
                log_stop(&command, self.token);
                (command.worker.clone(), LinkMessage::Stop(command))
            }
            CellEffect::Publish(job) => {
                self.unpublished.remove(&job);
                return;
            }
            CellEffect::Look(worker) => (worker, LinkMessage::Look),
            CellEffect::RenewLease { worker, polled_at, .. } => (worker, LinkMessage::RenewLease(polled_at)),
            CellEffect::Acknowledge(worker, incarnation, number) => {
                (worker, LinkMessage::Acknowledge(incarnation, number))
            }
            _ => return,
        };
        let sent = match self.links.get(&worker) {
            Some((link, _)) => link.send(message).await.map_err(|error| error.0),
            None => Err(message),
        };
        if let Err(LinkMessage::Start(command)) = sent {
            self.give_up_start(command, NotSentReason::NoLink);
        }
    }

    /// Returns why a start whose record is stored must not be sent; `None` if it may be sent.
    fn start_obstacle(&self, command: &StartCommand, fresh: bool) -> Option<NotSentReason> {
        if !fresh {
            Some(NotSentReason::AppendNotFresh)
        } else if command.expires_at < Instant::now() {
            Some(NotSentReason::Expired)
        } else if !self.scheduler.may_start(&command.task, command.run) {
            Some(NotSentReason::RunGivenUp)
        } else {
            None
        }
    }

    fn give_up_start(&mut self, command: StartCommand, reason: NotSentReason) {
        log_start_not_sent(&command, self.token, reason);
        let event =
            CellEvent::StartAnswered(command.task, command.run, command.worker, CommandOutcome::NotSent);
        self.scheduler.handle(event, Instant::now());
    }
}

/// Sends an answer to a requester, which may have gone away.
fn respond<T>(reply: oneshot::Sender<T>, value: T) {
    if reply.send(value).is_err() {
        log::debug!("answer dropped: the requester has gone away");
    }
}
