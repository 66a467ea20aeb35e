//! Renews the lease of one worker by polling it, and sends it start and stop commands.

use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::kernel::cell::{
    CallFence, CellEvent, CommandOutcome, RestartRule, StartCommand, StopCommand, WorkerFence, WorkerLease,
};
use crate::prelude::*;
use crate::tasks::cell::await_optional::await_optional;
use crate::tasks::cell::decision_log::{log_start_not_sent, milliseconds};
use crate::tasks::cell::link_answer::{KnownWorker, LinkAnswer, LinkCommand};
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::not_sent_reason::NotSentReason;
use crate::tasks::cell::owner::OwnerMessage;
use crate::tasks::cell::ownership_lease::OwnershipLease;
use crate::tasks::cell::poll_state::PollState;
use crate::tasks::cell::ports::{CommandAnswer, PollOutcome, PollRequest, WorkerClient};

/// How long a worker may hold a poll open while no run ends. The answer also reports the progress of its
/// tasks, so this bounds the age of the report.
const LONG_POLL_WAIT: Duration = Duration::from_secs(1);
/// The same for a worker without tasks; the platform's workers hold no poll open for longer.
const IDLE_LONG_POLL_WAIT: Duration = Duration::from_secs(2);
/// The same for a worker with tasks while no lease may be granted, so that its lease is renewed soon after the
/// ownership is confirmed.
const UNCONFIRMED_LONG_POLL_WAIT: Duration = Duration::from_millis(500);
/// The same while calls for a former incarnation of the worker may still be carried out, as a later poll is needed to
/// have them refused.
const UNFENCED_LONG_POLL_WAIT: Duration = Duration::from_millis(500);
/// Delay before a poll is repeated after a worker did not answer.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest wait for the owner to record reported ends, or to allow that the lease is renewed, before the next
/// poll, which renews the lease. It is also the delay before the next poll if another worker was found at the address.
const MAX_ACKNOWLEDGE_WAIT: Duration = Duration::from_secs(1);

/// Messages to a [`WorkerLink`].
#[derive(Debug)]
pub enum LinkMessage {
    /// Starts a task.
    Start(StartCommand),
    /// Stops a run.
    Stop(StopCommand),
    /// The lease of the worker may be renewed, unless it was silent since the poll that was sent at this time.
    RenewLease(Instant),
    /// Ask for the progress of the runs at once, beside the open poll.
    Look,
    /// The ends that this incarnation of the worker reported are recorded up to this number.
    Acknowledge(WorkerIncarnation, TaskEndNumber),
}

/// The async task that owns the connections to one worker during a term of ownership.
pub struct WorkerLink {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Fencing token of the owner, for logs.
    pub token: FencingToken,
    /// The fencing token of the calls.
    pub fence: CallFence,
    /// Client of the worker.
    pub client: WorkerClient,
    /// The leases granted to the worker.
    pub lease: WorkerLease,
    /// From when the worker refused calls for a former incarnation, by the records of earlier owners.
    pub recorded_fence: Option<WorkerFence>,
    /// How much longer the worker may hold a lease of earlier owners if it has restarted.
    pub restart_rule: RestartRule,
    /// The lease under which the owner grants them.
    pub ownership: OwnershipLease,
    /// Sends answers and reports to the owner task.
    pub owner_sender: mpsc::Sender<OwnerMessage>,
    /// Metrics of the process.
    pub metrics: CellMetrics,
}

impl WorkerLink {
    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<LinkMessage>, token: CancellationToken) {
        let mut commands: FuturesUnordered<LocalBoxFuture<'static, LinkAnswer>> = FuturesUnordered::new();
        let mut poll_state = PollState::default();
        let mut poll: Option<LocalBoxFuture<'static, PollOutcome>> = None;
        let mut look: Option<LocalBoxFuture<'static, (FencingToken, PollOutcome)>> = None;
        loop {
            let delay = poll_state.poll_delay();
            if poll.is_none() && delay.is_none() {
                poll = Some(self.poll(&mut poll_state));
            }
            tokio::select! {
                // A term that has ended grants no lease any more, so its end comes first.
                biased;
                () = token.cancelled() => return self.log_pending(commands.len()),
                Some(answer) = commands.next(), if !commands.is_empty() => {
                    if self.finish_command(answer, &mut poll_state).await {
                        // The earlier incarnation may have answered the open poll, and its report would be taken
                        // for that of the present one.
                        poll = None;
                    }
                }
                outcome = await_optional(&mut poll) => {
                    poll = None;
                    if !self.finish_poll(outcome, &mut poll_state).await {
                        return;
                    }
                }
                (token, outcome) = await_optional(&mut look) => {
                    look = None;
                    self.finish_look(token, outcome).await;
                }
                message = inbox.recv() => {
                    let Some(message) = message else { return };
                    // An open look will also tell the progress that another one would.
                    if matches!(message, LinkMessage::Look) && poll_state.answered && look.is_none() {
                        look = Some(self.look());
                    }
                    self.handle(message, &mut poll_state, &commands);
                }
                () = tokio::time::sleep(delay.unwrap_or_default()), if poll.is_none() && delay.is_some() => {
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
        let known = KnownWorker {
            incarnation: poll_state.incarnation,
            clock: self.lease.last_clock(),
            token: self.fence.token(),
        };
        match message {
            LinkMessage::Start(command) => {
                let lease = match self.grant_for_start(&command, poll_state) {
                    Ok(lease) => lease,
                    Err(reason) => {
                        log_start_not_sent(&command, self.token, reason);
                        let answer = CommandAnswer { outcome: CommandOutcome::NotSent, clock: None };
                        let answer = LinkAnswer { command: LinkCommand::Start(command), answer, known };
                        commands.push(Box::pin(std::future::ready(answer)));
                        return;
                    }
                };
                poll_state.idle = false;
                let answer = (self.client.start)(command.clone(), known.token, lease);
                commands.push(Box::pin(async move {
                    LinkAnswer { command: LinkCommand::Start(command), answer: answer.await, known }
                }));
            }
            LinkMessage::Stop(command) => {
                let answer = (self.client.stop)(command.clone(), known.token);
                commands.push(Box::pin(async move {
                    LinkAnswer { command: LinkCommand::Stop(command), answer: answer.await, known }
                }));
            }
            LinkMessage::Acknowledge(incarnation, number) if poll_state.incarnation == Some(incarnation) => {
                poll_state.acknowledged = poll_state.acknowledged.max(number);
                poll_state.poll_if_ready();
            }
            LinkMessage::RenewLease(polled_at) => {
                poll_state.renewable |= poll_state.silent_at.is_none_or(|silent_at| polled_at >= silent_at);
                poll_state.poll_if_ready();
            }
            LinkMessage::Acknowledge(..) | LinkMessage::Look => {}
        }
    }

    /// Grants the lease for a start; returns the reason if the start must not be sent.
    fn grant_for_start(
        &mut self,
        command: &StartCommand,
        poll_state: &PollState,
    ) -> Result<WorkerTime, NotSentReason> {
        let now = Instant::now();
        if !self.ownership.is_valid() {
            return Err(NotSentReason::OwnershipNotConfirmed);
        }
        if let Some(reason) = poll_state.start_obstacle(command, now) {
            return Err(reason);
        }
        self.lease.grant(now).ok_or(NotSentReason::WorkerClockUnknown)
    }

    /// Polls the worker. The lease of one that does not answer is not renewed, so that its expiry can be
    /// awaited, and none is renewed by an owner that may have a successor.
    fn poll(&mut self, poll_state: &mut PollState) -> LocalBoxFuture<'static, PollOutcome> {
        let now = Instant::now();
        self.raise_token(poll_state);
        let is_confirmed = self.ownership.is_valid();
        let may_renew = is_confirmed && poll_state.may_renew();
        let lease = if may_renew { self.lease.grant(now) } else { None };
        // The first poll, and each one after an unanswered poll, asks for an answer at once, so that the
        // worker's clock becomes known early. Other polls are held open only while the worker has no ended
        // runs to report.
        let wait = match (poll_state.answered, poll_state.idle) {
            (false, _) => Duration::ZERO,
            (true, _) if self.fence.is_open() => UNFENCED_LONG_POLL_WAIT,
            (true, false) if !is_confirmed => UNCONFIRMED_LONG_POLL_WAIT,
            (true, false) => LONG_POLL_WAIT,
            (true, true) => IDLE_LONG_POLL_WAIT,
        };
        // Another incarnation of the worker may answer, whose ends have the same numbers.
        let acknowledged = if poll_state.answered { poll_state.acknowledged } else { 0 };
        let request = PollRequest { token: self.fence.token(), acknowledged, lease, wait };
        (self.client.poll)(request)
    }

    /// Asks for the progress of the runs at once. This renews no lease and acknowledges no ends.
    fn look(&self) -> LocalBoxFuture<'static, (FencingToken, PollOutcome)> {
        self.metrics.looks.inc();
        let token = self.fence.token();
        let request = PollRequest { token, acknowledged: 0, lease: None, wait: Duration::ZERO };
        let outcome = (self.client.poll)(request);
        Box::pin(async move { (token, outcome.await) })
    }

    /// Passes on the reported progress. Ends, and workers that do not answer, are left to the polls.
    async fn finish_look(&self, token: FencingToken, outcome: PollOutcome) {
        match outcome {
            PollOutcome::Answered(report, _) => {
                let worker = self.worker.clone();
                let event = CellEvent::ProgressReported(worker, report.incarnation, report.running);
                self.send_to_owner(OwnerMessage::Event(event)).await;
            }
            PollOutcome::Fenced if token < self.fence.token() => {}
            PollOutcome::Fenced => self.send_to_owner(OwnerMessage::Fenced(self.worker.clone())).await,
            PollOutcome::Replaced => {}
            PollOutcome::Failed(reason) => {
                log::debug!(worker = &*self.worker, reason = &*reason; "worker does not tell its progress");
            }
        }
    }

    /// Applies the answer to a command; returns whether it is the first one that shows that the worker has
    /// restarted since its last answer to a poll.
    async fn finish_command(&mut self, answer: LinkAnswer, poll_state: &mut PollState) -> bool {
        let LinkAnswer { command, answer, known } = answer;
        self.count_command(command.kind(), answer.outcome);
        if answer.outcome == CommandOutcome::Fenced {
            if known.token == self.fence.token() {
                self.send_to_owner(OwnerMessage::Fenced(self.worker.clone())).await;
            } else {
                // The token has risen since: the command was meant for a former incarnation.
                self.send_to_owner(OwnerMessage::Event(command.into_event(CommandOutcome::Refused))).await;
            }
            return false;
        }
        let restarted = self.note_restart(&answer, known, poll_state);
        // The outcome holds for the new incarnation too: its next report shows the run or its end.
        self.send_to_owner(OwnerMessage::Event(command.into_event(answer.outcome))).await;
        restarted
    }

    /// Notes a restart of the worker if the clock in its answer to a command shows one: the clock of an
    /// incarnation does not go back. Returns whether that was not known before.
    fn note_restart(
        &mut self,
        answer: &CommandAnswer,
        known: KnownWorker,
        poll_state: &mut PollState,
    ) -> bool {
        let (Some(clock), Some(last_clock)) = (answer.clock, known.clock) else { return false };
        // The clock of another worker at the address says nothing of this one.
        if clock >= last_clock || answer.outcome == CommandOutcome::Replaced {
            return false;
        }
        self.lease.extend_to_longest(Instant::now());
        let is_first = poll_state.answered && poll_state.incarnation == known.incarnation;
        if is_first {
            log::info!(worker = &*self.worker, token = self.token, clock_ms = milliseconds(clock),
                last_clock_ms = milliseconds(last_clock); "command is answered by another incarnation");
            self.fence.note_restart();
            poll_state.expect_restart();
        }
        is_first
    }

    /// Applies the outcome of a poll; returns `false` if the link ends, as the worker knows a newer owner.
    async fn finish_poll(&mut self, outcome: PollOutcome, poll_state: &mut PollState) -> bool {
        let now = Instant::now();
        match outcome {
            PollOutcome::Answered(report, clock) => {
                let incarnation = report.incarnation;
                let previous = poll_state.incarnation.replace(incarnation);
                if previous != Some(incarnation) {
                    poll_state.acknowledged = 0;
                }
                if self.note_incarnation(previous, incarnation, clock, now) {
                    let fence = WorkerFence::new(incarnation, clock::unix_time());
                    let event = CellEvent::WorkerFenced(self.worker.clone(), fence);
                    self.send_to_owner(OwnerMessage::Event(event)).await;
                }
                self.lease.note_clock(clock, now);
                poll_state.answered = true;
                poll_state.idle = report.running.is_empty();
                poll_state.last_reported =
                    report.ended.iter().map(|end| end.number).max().unwrap_or_default();
                if poll_state.last_reported > 0 || !poll_state.renewable {
                    poll_state.not_before = Some(now + MAX_ACKNOWLEDGE_WAIT);
                }
                self.raise_token(poll_state);
                self.send_to_owner(OwnerMessage::Event(CellEvent::WorkerPolled(self.worker.clone(), report)))
                    .await;
                true
            }
            PollOutcome::Fenced => {
                self.send_to_owner(OwnerMessage::Fenced(self.worker.clone())).await;
                false
            }
            PollOutcome::Replaced => {
                log::info!(worker = &*self.worker, token = self.token; "worker is replaced");
                self.lease.end(now);
                let event = CellEvent::WorkerUnresponsive(self.worker.clone(), now);
                self.send_to_owner(OwnerMessage::Event(event)).await;
                poll_state.not_before = Some(now + MAX_ACKNOWLEDGE_WAIT);
                poll_state.fall_silent(now);
                true
            }
            PollOutcome::Failed(reason) => {
                poll_state.fall_silent(now);
                poll_state.not_before = Some(now + POLL_RETRY_DELAY);
                self.log_silence(&reason, now);
                let event = CellEvent::WorkerUnresponsive(self.worker.clone(), self.lease.expires_by());
                self.send_to_owner(OwnerMessage::Event(event)).await;
                true
            }
        }
    }

    /// Bounds the leases that calls of earlier owners, or for a former incarnation, may have granted until this answer
    /// to a poll. Returns whether the worker has refused such calls since this answer.
    fn note_incarnation(
        &mut self,
        previous: Option<WorkerIncarnation>,
        incarnation: WorkerIncarnation,
        clock: WorkerTime,
        now: Instant,
    ) -> bool {
        let is_fenced = self.fence.note_answer();
        if previous == Some(incarnation) {
            if is_fenced || self.fence.is_open() {
                self.lease.note_former_calls(clock, now);
            }
            return is_fenced;
        }
        if previous.is_some() {
            self.lease.restart(clock, now);
            if !is_fenced {
                self.fence.note_restart();
            }
        } else {
            self.note_first_answer(incarnation, now);
        }
        self.log_incarnation(previous, incarnation, clock, now);
        !self.fence.is_open() && (is_fenced || previous.is_none())
    }

    /// Raises the token if a restart calls for it. Calls with the higher token grant no lease and start nothing before
    /// one of them is answered, as they would not be fenced if the worker restarted once more.
    fn raise_token(&mut self, poll_state: &mut PollState) {
        if self.fence.raise(self.ownership.newest_token()) {
            poll_state.expect_restart();
        }
    }

    /// Bounds the leases of earlier owners after the first answer to this one.
    fn note_first_answer(&mut self, incarnation: WorkerIncarnation, now: Instant) {
        let unix_time = clock::unix_time();
        let extension = self.restart_rule.extension(incarnation, self.recorded_fence, unix_time);
        self.lease.note_fenced(extension, now);
    }

    /// Logs which incarnation answers now, and until when it may hold a lease that this link has not granted.
    fn log_incarnation(
        &self,
        previous: Option<WorkerIncarnation>,
        incarnation: WorkerIncarnation,
        clock: WorkerTime,
        now: Instant,
    ) {
        let left = self.lease.expires_by().saturating_duration_since(now);
        let message = if previous.is_some() { "worker has restarted" } else { "worker answers" };
        log::info!(worker = &*self.worker, token = self.token, incarnation = milliseconds(incarnation),
            previous = previous.map_or(0, milliseconds), clock_ms = milliseconds(clock),
            lease_left_ms = milliseconds(left), basis:% = self.lease.basis(); "{message}");
    }

    /// Logs that a poll was not answered, with what the bound of the lease rests on.
    fn log_silence(&self, reason: &str, now: Instant) {
        let left = self.lease.expires_by().saturating_duration_since(now);
        let clock = self.lease.last_clock();
        log::info!(worker = &*self.worker, token = self.token, reason = reason,
            clock_ms = clock.map_or(0, milliseconds), until_ms = milliseconds(self.lease.granted_until()),
            lease_left_ms = milliseconds(left), basis:% = self.lease.basis(); "worker does not answer");
    }

    /// Logs that the link ends before the worker has answered these commands.
    fn log_pending(&self, commands: usize) {
        if commands > 0 {
            log::info!(worker = &*self.worker, token = self.token, commands = commands;
                "commands are left unanswered");
        }
    }

    fn count_command(&self, kind: &str, outcome: CommandOutcome) {
        self.metrics.commands.with_label_values(&[kind, &outcome.to_string()]).inc();
    }

    async fn send_to_owner(&self, message: OwnerMessage) {
        // The owner drops its inbox only when its term ends, which also ends this link.
        if self.owner_sender.send(message).await.is_err() {
            log::debug!(worker = &*self.worker; "answer dropped: the term of ownership has ended");
        }
    }
}
