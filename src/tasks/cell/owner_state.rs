//! What the owner of the cell holds during a term.

use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::{CellEffect, CellEvent, CellScheduler, CommandOutcome, JobStatus, WorkerListing};
use crate::prelude::*;
use crate::tasks::cell::inbox;
use crate::tasks::cell::intake::{JOB_TOPIC, JobRecord};
use crate::tasks::cell::link::LinkMessage;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner::{JobAnswer, OwnerMessage, TermEnd};
use crate::tasks::cell::tail::TailMessage;
use crate::tasks::cell::term_log::TermLog;

/// Messages that are handled before the next decision.
const BATCH: usize = 256;
/// Age of the newest read of submissions up to which a job that is not known does not exist.
const CURRENT_FOR: Duration = Duration::from_millis(2_500);

/// State of a term once everything was recovered.
pub(super) struct OwnerState {
    pub(super) scheduler: CellScheduler,
    pub(super) log: TermLog<CellEffect>,
    pub(super) links: FastMap<WorkerId, (mpsc::Sender<LinkMessage>, CancellationToken)>,
    pub(super) listings: FastMap<WorkerId, WorkerListing>,
    /// Jobs whose final state is not stored, so that another owner could come to a different one.
    pub(super) unpublished: FastSet<JobId>,
    /// When the newest answered read of each partition of submissions was sent.
    pub(super) jobs_read: Vec<Instant>,
}

impl OwnerState {
    /// Handles a message and further ones that wait.
    pub(super) fn take(
        &mut self,
        first: OwnerMessage,
        messages: &mut mpsc::Receiver<OwnerMessage>,
    ) -> Result<(), TermEnd> {
        for message in inbox::batch(first, messages, BATCH) {
            match message {
                OwnerMessage::Event(event) => self.scheduler.handle(event, Instant::now()),
                OwnerMessage::Fenced(worker) => return Err(format!("{worker} knows a newer owner")),
                OwnerMessage::Inspect(job, reply) => answer(reply, self.inspect(&job)),
                OwnerMessage::Count(queue, reply) => {
                    let count = u64::try_from(self.scheduler.pending(&queue)).unwrap_or(u64::MAX);
                    answer(reply, self.is_current().then_some(count));
                }
            }
        }
        Ok(())
    }

    pub(super) fn summarise(&self, metrics: &CellMetrics) {
        let summary = self.scheduler.summary(Instant::now());
        metrics.open_jobs.set(i64::try_from(summary.open_jobs).unwrap_or(i64::MAX));
        metrics.waiting_tasks.set(i64::try_from(summary.waiting_tasks).unwrap_or(i64::MAX));
        for (service, pool) in &summary.pools {
            log::info!(service = &**service, listed = pool.listed, open = pool.open,
                used:% = pool.used, capacity:% = pool.capacity; "load of a service");
        }
        let (limit, permit, room) = summary.waits;
        log::info!(open_jobs = summary.open_jobs,
            excess_jobs = summary.excess_jobs, ready_steps = summary.ready_steps,
            asking_steps = summary.asking_steps, waiting_tasks = summary.waiting_tasks,
            placed_tasks = summary.placed_tasks, unconfirmed_tasks = summary.unconfirmed_tasks,
            steps_at_limit = limit, steps_without_permit = permit, steps_without_room = room;
            "load of the cell");
    }

    fn is_current(&self) -> bool {
        self.jobs_read.iter().all(|read| read.elapsed() < CURRENT_FOR)
    }

    fn inspect(&self, job: &str) -> JobAnswer {
        match self.scheduler.status(job) {
            Some(status) if status.is_final() && self.unpublished.contains(job) => {
                JobAnswer::Known(JobStatus::Running)
            }
            Some(status) => JobAnswer::Known(status),
            None if self.is_current() => JobAnswer::Missing,
            None => JobAnswer::Unready,
        }
    }

    pub(super) fn note_jobs(&mut self, message: TailMessage) {
        let (partition, page, started) = match message {
            TailMessage::Page(partition, page, started) => (partition, page, started),
            TailMessage::Newest(_) => return,
            TailMessage::Failed(reason) => {
                log::info!(reason = &*reason; "submissions cannot be read");
                return;
            }
        };
        let now = Instant::now();
        for record in page.records {
            match serde_json::from_slice(&record.value) {
                Ok(JobRecord::Submit(spec)) => {
                    self.scheduler.handle(CellEvent::Submitted(Arc::new(spec)), now);
                }
                Ok(JobRecord::Cancel(job)) => self.scheduler.handle(CellEvent::Cancelled(job), now),
                Err(error) => {
                    log::warn!(topic = JOB_TOPIC, offset = record.offset, error:%; "record cannot be read");
                }
            }
        }
        if let Some(read) = self.jobs_read.get_mut(partition as usize) {
            *read = (*read).max(started);
        }
    }

    /// Sends an order whose records are stored; starts only if this process is surely the owner still.
    pub(super) async fn send(&mut self, effect: CellEffect, fresh: bool) {
        let (worker, message) = match effect {
            CellEffect::Start(command) if !fresh || command.expires < Instant::now() => {
                let event = CellEvent::StartAnswered(
                    command.task,
                    command.run,
                    command.worker,
                    CommandOutcome::NotSent,
                );
                self.scheduler.handle(event, Instant::now());
                return;
            }
            CellEffect::Start(command) => (command.worker.clone(), LinkMessage::Start(command)),
            CellEffect::Stop(command) => {
                log::info!(task:% = command.task, run = command.run, worker = &*command.worker,
                    reason = command.reason; "task is stopped");
                (command.worker.clone(), LinkMessage::Stop(command))
            }
            CellEffect::Publish(job) => {
                self.unpublished.remove(&job);
                return;
            }
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
            let event =
                CellEvent::StartAnswered(command.task, command.run, command.worker, CommandOutcome::NotSent);
            self.scheduler.handle(event, Instant::now());
        }
    }
}

/// Answers a question whose asker may have gone away.
fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    if reply.send(value).is_err() {
        log::debug!("asker has gone away");
    }
}
