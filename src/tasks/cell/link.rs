//! Keeps the lease of one worker, looks at what it runs and sends it orders.

use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::{CellEvent, CommandOutcome, StartCommand, StopCommand, WorkerLease};
use crate::prelude::*;
use crate::tasks::cell::await_optional::await_optional;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner::OwnerMessage;
use crate::tasks::cell::ports::{CommandAnswer, PollCall, PollOutcome, WorkerPort};

/// How long a worker may wait for an end before it answers a look; its answer also tells how far its tasks are.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The same for a worker without tasks, the longest that the platform's workers wait.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Wait before a worker that did not answer is looked at again.
const RETRY_WAIT: Duration = Duration::from_millis(150);
/// Longest wait for the owner to record ends before the worker is looked at again to keep its lease.
const ACKNOWLEDGE_WAIT: Duration = Duration::from_secs(1);

/// What a link is told.
#[derive(Debug)]
pub enum LinkMessage {
    /// Start a task.
    Start(StartCommand),
    /// Stop a task.
    Stop(StopCommand),
    /// Ends of a life of the worker are recorded up to the number.
    Acknowledge(WorkerIncarnation, TaskEndNumber),
}

/// The task that owns the connections to one worker.
pub struct WorkerLink {
    /// The worker.
    pub worker: WorkerId,
    /// Token of the owner.
    pub token: FencingToken,
    /// The calls to it.
    pub port: WorkerPort,
    /// Its lease.
    pub lease: WorkerLease,
    /// Where answers go.
    pub owner: mpsc::Sender<OwnerMessage>,
    /// Counters.
    pub metrics: CellMetrics,
}

/// An order that was answered.
enum LinkAnswer {
    Start(StartCommand, CommandAnswer),
    Stop(StopCommand, CommandAnswer),
}

/// State of the looks at one worker.
struct PollState {
    incarnation: Option<WorkerIncarnation>,
    acknowledged: TaskEndNumber,
    reported: TaskEndNumber,
    /// Whether the last look was answered.
    answered: bool,
    /// Whether it named no task.
    idle: bool,
    /// When the next look is sent, if not at once.
    not_before: Option<Instant>,
}

impl WorkerLink {
    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<LinkMessage>, token: CancellationToken) {
        let mut commands: FuturesUnordered<LocalBoxFuture<'static, LinkAnswer>> = FuturesUnordered::new();
        let mut poll_state = PollState {
            incarnation: None,
            acknowledged: 0,
            reported: 0,
            answered: false,
            idle: false,
            not_before: None,
        };
        let mut poll: Option<LocalBoxFuture<'static, PollOutcome>> = None;
        loop {
            let pause = poll_state.pause();
            if poll.is_none() && pause.is_none() {
                poll = Some(self.poll(&poll_state));
            }
            tokio::select! {
                () = token.cancelled() => return,
                message = inbox.recv() => {
                    let Some(message) = message else { return };
                    self.handle(message, &mut poll_state, &commands);
                }
                Some(answer) = commands.next(), if !commands.is_empty() => self.note_command(answer).await,
                outcome = await_optional(&mut poll) => {
                    poll = None;
                    if !self.note_poll(outcome, &mut poll_state).await {
                        return;
                    }
                }
                () = tokio::time::sleep(pause.unwrap_or_default()), if poll.is_none() && pause.is_some() => {
                    poll_state.not_before = None;
                }
            }
        }
    }

    fn handle(
        &mut self,
        message: LinkMessage,
        poll_state: &mut PollState,
        commands: &FuturesUnordered<LocalBoxFuture<'static, LinkAnswer>>,
    ) {
        match message {
            LinkMessage::Start(command) => {
                poll_state.idle = false;
                let Some(lease) = self.lease.grant(Instant::now()) else {
                    let answer = CommandAnswer { outcome: CommandOutcome::NotSent, clock: None };
                    commands.push(Box::pin(async move { LinkAnswer::Start(command, answer) }));
                    return;
                };
                let call = (self.port.start)(command.clone(), self.token, lease);
                commands.push(Box::pin(async move { LinkAnswer::Start(command, call.await) }));
            }
            LinkMessage::Stop(command) => {
                let call = (self.port.stop)(command.clone(), self.token);
                commands.push(Box::pin(async move { LinkAnswer::Stop(command, call.await) }));
            }
            LinkMessage::Acknowledge(incarnation, number) if poll_state.incarnation == Some(incarnation) => {
                poll_state.acknowledged = poll_state.acknowledged.max(number);
                if poll_state.acknowledged >= poll_state.reported && poll_state.answered {
                    poll_state.not_before = None;
                }
            }
            LinkMessage::Acknowledge(..) => {}
        }
    }

    /// Looks at the worker. One that does not answer gets no longer lease, so that its end can be waited for.
    fn poll(&mut self, poll_state: &PollState) -> LocalBoxFuture<'static, PollOutcome> {
        let now = Instant::now();
        let lease = if poll_state.answered { self.lease.grant(now) } else { None };
        // The first look learns the clock at once; one that waits for nothing new returns at once anyway.
        let wait = match (poll_state.answered, poll_state.idle) {
            (false, _) => Duration::ZERO,
            (true, false) => POLL_INTERVAL,
            (true, true) => IDLE_POLL_INTERVAL,
        };
        // Another life may answer, whose ends have the same numbers.
        let acknowledged = if poll_state.answered { poll_state.acknowledged } else { 0 };
        let call = PollCall { token: self.token, acknowledged, lease, wait };
        (self.port.poll)(call)
    }

    async fn note_command(&mut self, answer: LinkAnswer) {
        let (event, clock) = match answer {
            LinkAnswer::Start(command, answer) => {
                self.count("start", answer.outcome);
                (CellEvent::StartAnswered(command.task, command.run, command.worker, answer.outcome), answer)
            }
            LinkAnswer::Stop(command, answer) => {
                self.count("stop", answer.outcome);
                (CellEvent::StopAnswered(command.task, command.run, command.worker, answer.outcome), answer)
            }
        };
        if clock.outcome == CommandOutcome::Fenced {
            self.tell(OwnerMessage::Fenced(self.worker.clone())).await;
            return;
        }
        self.tell(OwnerMessage::Event(event)).await;
    }

    /// Notes the outcome of a look; returns whether the worker is still the one that this link is for.
    async fn note_poll(&mut self, outcome: PollOutcome, poll_state: &mut PollState) -> bool {
        let now = Instant::now();
        match outcome {
            PollOutcome::Answered(report, clock) => {
                if poll_state.incarnation != Some(report.incarnation) {
                    poll_state.incarnation = Some(report.incarnation);
                    poll_state.acknowledged = 0;
                }
                self.lease.note_clock(clock, now);
                poll_state.answered = true;
                poll_state.idle = report.running.is_empty();
                poll_state.reported = report.ended.iter().map(|end| end.number).max().unwrap_or_default();
                if poll_state.reported > 0 {
                    poll_state.not_before = Some(now + ACKNOWLEDGE_WAIT);
                }
                self.tell(OwnerMessage::Event(CellEvent::WorkerPolled(self.worker.clone(), report))).await;
                true
            }
            PollOutcome::Fenced => {
                self.tell(OwnerMessage::Fenced(self.worker.clone())).await;
                false
            }
            PollOutcome::Replaced => {
                self.lease.forget(now);
                let event = CellEvent::WorkerUnresponsive(self.worker.clone(), now);
                self.tell(OwnerMessage::Event(event)).await;
                poll_state.not_before = Some(now + ACKNOWLEDGE_WAIT);
                poll_state.answered = false;
                true
            }
            PollOutcome::Failed(reason) => {
                poll_state.answered = false;
                poll_state.not_before = Some(now + RETRY_WAIT);
                log::info!(worker = &*self.worker, reason = &*reason; "worker does not answer");
                let event = CellEvent::WorkerUnresponsive(self.worker.clone(), self.lease.over_at());
                self.tell(OwnerMessage::Event(event)).await;
                true
            }
        }
    }

    fn count(&self, kind: &str, outcome: CommandOutcome) {
        self.metrics.orders.with_label_values(&[kind, &outcome.to_string()]).inc();
    }

    async fn tell(&self, message: OwnerMessage) {
        // The owner drops its inbox only when its term is over, which also ends this link.
        if self.owner.send(message).await.is_err() {
            log::debug!(worker = &*self.worker; "term is over, answer dropped");
        }
    }
}

impl PollState {
    /// Returns how long to wait before the next look, if at all.
    fn pause(&self) -> Option<Duration> {
        let left = self.not_before?.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }
}
