//! Renews the lease of one worker by polling it, and sends it start and stop commands.

use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::{CellEvent, CommandOutcome, PollReport, StartCommand, StopCommand, WorkerSession};
use crate::prelude::*;
use crate::tasks::cell::await_optional::await_optional;
use crate::tasks::cell::decision_log::{log_start_not_sent, milliseconds};
use crate::tasks::cell::link_answer::{LinkAnswer, LinkCommand};
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner::OwnerMessage;
use crate::tasks::cell::ownership_lease::OwnershipLease;
use crate::tasks::cell::ports::{CommandAnswer, PollOutcome, WorkerClient};

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
    /// Decides what is sent to the worker.
    pub session: WorkerSession,
    /// Client of the worker.
    pub client: WorkerClient,
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
        let mut poll: Option<LocalBoxFuture<'static, PollOutcome>> = None;
        let mut look: Option<LocalBoxFuture<'static, (FencingToken, PollOutcome)>> = None;
        loop {
            let delay = self.session.poll_delay(Instant::now());
            if poll.is_none() && delay.is_none() {
                let request = self.session.next_poll(self.ownership.authority(), Instant::now());
                poll = Some((self.client.poll)(request));
            }
            tokio::select! {
                // A term that has ended grants no lease any more, so its end comes first.
                biased;
                () = token.cancelled() => return self.log_pending(commands.len()),
                Some(answer) = commands.next(), if !commands.is_empty() => {
                    if self.finish_command(answer).await {
                        // The earlier incarnation may have answered the open poll, and its report would be taken
                        // for that of the present one.
                        poll = None;
                    }
                }
                outcome = await_optional(&mut poll) => {
                    poll = None;
                    if !self.finish_poll(outcome).await {
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
                    if matches!(message, LinkMessage::Look) && self.session.is_answered() && look.is_none() {
                        look = Some(self.look());
                    }
                    self.handle(message, &commands);
                }
                () = tokio::time::sleep(delay.unwrap_or_default()), if poll.is_none() && delay.is_some() => {
                    self.session.end_poll_delay();
                }
            }
        }
    }

    fn handle(
        &mut self,
        message: LinkMessage,
        commands: &FuturesUnordered<LocalBoxFuture<'static, LinkAnswer>>,
    ) {
        let known = self.session.known();
        match message {
            LinkMessage::Start(command) => {
                let authority = self.ownership.authority();
                let lease = match self.session.permit_start(&command, authority, Instant::now()) {
                    Ok(lease) => lease,
                    Err(reason) => {
                        log_start_not_sent(&command, self.token, reason);
                        let answer = CommandAnswer { outcome: CommandOutcome::NotSent, clock: None };
                        let answer = LinkAnswer { command: LinkCommand::Start(command), answer, known };
                        commands.push(Box::pin(std::future::ready(answer)));
                        return;
                    }
                };
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
            LinkMessage::Acknowledge(incarnation, number) => self.session.acknowledge(incarnation, number),
            LinkMessage::RenewLease(polled_at) => self.session.allow_renewal(polled_at),
            LinkMessage::Look => {}
        }
    }

    /// Asks for the progress of the runs at once.
    fn look(&self) -> LocalBoxFuture<'static, (FencingToken, PollOutcome)> {
        self.metrics.looks.inc();
        let request = self.session.look();
        let outcome = (self.client.poll)(request);
        Box::pin(async move { (request.token, outcome.await) })
    }

    /// Passes on the reported progress. Ends, and workers that do not answer, are left to the polls.
    async fn finish_look(&self, token: FencingToken, outcome: PollOutcome) {
        match outcome {
            PollOutcome::Answered(report, _) => {
                let worker = self.worker.clone();
                let event = CellEvent::ProgressReported(worker, report.incarnation, report.running);
                self.send_to_owner(OwnerMessage::Event(event)).await;
            }
            PollOutcome::Fenced if token < self.session.known().token => {}
            PollOutcome::Fenced => self.send_to_owner(OwnerMessage::Fenced(self.worker.clone())).await,
            PollOutcome::Replaced => {}
            PollOutcome::Failed(reason) => {
                log::debug!(worker = &*self.worker, reason = &*reason; "worker does not tell its progress");
            }
        }
    }

    /// Applies the answer to a command; returns whether it is the first one that shows that the worker has
    /// restarted since its last answer to a poll.
    async fn finish_command(&mut self, answer: LinkAnswer) -> bool {
        let LinkAnswer { command, answer, known } = answer;
        self.count_command(command.kind(), answer.outcome);
        if answer.outcome == CommandOutcome::Fenced {
            if known.token == self.session.known().token {
                self.send_to_owner(OwnerMessage::Fenced(self.worker.clone())).await;
            } else {
                // The token has risen since: the command was meant for a former incarnation.
                self.send_to_owner(OwnerMessage::Event(command.into_event(CommandOutcome::Refused))).await;
            }
            return false;
        }
        // The clock of another worker at the address says nothing of this one.
        let clock = answer.clock.filter(|_| answer.outcome != CommandOutcome::Replaced);
        let restarted =
            clock.is_some_and(|clock| self.session.note_command_clock(clock, known, Instant::now()));
        if restarted {
            log::info!(worker = &*self.worker, token = self.token,
                clock_ms = clock.map_or(0, milliseconds),
                last_clock_ms = known.clock.map_or(0, milliseconds); "command is answered by another incarnation");
            // Comes before the outcome, which holds for the new incarnation.
            self.send_to_owner(OwnerMessage::Event(CellEvent::WorkerUnfenced(self.worker.clone()))).await;
        }
        // The outcome holds for the new incarnation too: its next report shows the run or its end.
        self.send_to_owner(OwnerMessage::Event(command.into_event(answer.outcome))).await;
        restarted
    }

    /// Applies the outcome of a poll; returns `false` if the link ends, as the worker knows a newer owner.
    async fn finish_poll(&mut self, outcome: PollOutcome) -> bool {
        let now = Instant::now();
        match outcome {
            PollOutcome::Answered(report, clock) => {
                self.finish_report(report, clock, now).await;
                true
            }
            PollOutcome::Fenced => {
                self.send_to_owner(OwnerMessage::Fenced(self.worker.clone())).await;
                false
            }
            PollOutcome::Replaced => {
                log::info!(worker = &*self.worker, token = self.token; "worker is replaced");
                self.session.note_replaced(now);
                let event = CellEvent::WorkerUnresponsive(self.worker.clone(), now);
                self.send_to_owner(OwnerMessage::Event(event)).await;
                true
            }
            PollOutcome::Failed(reason) => {
                self.session.note_silence(now);
                self.log_silence(&reason, now);
                let event =
                    CellEvent::WorkerUnresponsive(self.worker.clone(), self.session.lease().expires_by());
                self.send_to_owner(OwnerMessage::Event(event)).await;
                true
            }
        }
    }

    async fn finish_report(&mut self, report: PollReport, clock: WorkerTime, now: Instant) {
        let newest_token = self.ownership.newest_token();
        let change = self.session.note_answer(&report, clock, newest_token, now);
        if change.previous != Some(report.incarnation) {
            self.log_incarnation(change.previous, report.incarnation, clock, now);
        }
        if change.is_unfenced {
            let event = CellEvent::WorkerUnfenced(self.worker.clone());
            self.send_to_owner(OwnerMessage::Event(event)).await;
        }
        if let Some(fence) = change.fence {
            log::info!(worker = &*self.worker, token = self.token, incarnation = milliseconds(fence.incarnation),
                clock_ms = milliseconds(fence.clock); "calls for former incarnations are refused");
            let event = CellEvent::WorkerFenced(self.worker.clone(), fence);
            self.send_to_owner(OwnerMessage::Event(event)).await;
        }
        self.send_to_owner(OwnerMessage::Event(CellEvent::WorkerPolled(self.worker.clone(), report))).await;
    }

    /// Logs which incarnation answers now, and until when it may hold a lease that this link has not granted.
    fn log_incarnation(
        &self,
        previous: Option<WorkerIncarnation>,
        incarnation: WorkerIncarnation,
        clock: WorkerTime,
        now: Instant,
    ) {
        let lease = self.session.lease();
        let left = lease.expires_by().saturating_duration_since(now);
        let message = if previous.is_some() { "worker has restarted" } else { "worker answers" };
        log::info!(worker = &*self.worker, token = self.token, incarnation = milliseconds(incarnation),
            previous = previous.map_or(0, milliseconds), clock_ms = milliseconds(clock),
            lease_left_ms = milliseconds(left), basis:% = lease.basis(),
            recorded_fence = self.session.has_recorded_fence(incarnation); "{message}");
    }

    /// Logs that a poll was not answered, with what the bound of the lease rests on.
    fn log_silence(&self, reason: &str, now: Instant) {
        let lease = self.session.lease();
        let left = lease.expires_by().saturating_duration_since(now);
        let clock = lease.last_clock();
        log::info!(worker = &*self.worker, token = self.token, reason = reason,
            clock_ms = clock.map_or(0, milliseconds), until_ms = milliseconds(lease.granted_until()),
            lease_left_ms = milliseconds(left), basis:% = lease.basis(); "worker does not answer");
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
