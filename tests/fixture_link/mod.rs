//! A link to a worker whose answers the test sets.

#![allow(dead_code, reason = "each test program uses a part of the fixture")]

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use godwithaven::clock;
use godwithaven::kernel::cell::{
    CallFence, CellEvent, CommandOutcome, EndCause, EndedRun, PollReport, PollRequest, RestartRule,
    StartCommand, TaskKey, WorkerFence, WorkerLease, WorkerSession,
};
use godwithaven::prelude::{FencingToken, TaskEndNumber, WorkerIncarnation};
use godwithaven::tasks::cell::link::{LinkMessage, WorkerLink};
use godwithaven::tasks::cell::metrics::CellMetrics;
use godwithaven::tasks::cell::owner::OwnerMessage;
use godwithaven::tasks::cell::ownership_lease::OwnershipLease;
use godwithaven::tasks::cell::ports::{CommandAnswer, PollOutcome, WorkerClient};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::fixture_cell::report;

/// Lease that the link grants.
pub const LEASE: Duration = Duration::from_millis(6_500);
/// Longest lease that the worker accepts.
pub const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// How long the worker holds a poll open, unless the test says otherwise.
pub const USUAL_HOLD: Duration = Duration::from_millis(20);
/// Number of an end that an earlier incarnation of the worker reported.
pub const EARLIER_END: TaskEndNumber = 311;
/// The highest token below that of each successor.
pub const NEWEST_TOKEN: FencingToken = 9;
/// Longest wait for a message, far above the usual time.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A worker whose answers to polls the test sets; `None` is no answer.
#[derive(Clone, Default)]
pub struct FakeWorker {
    pub answer: Rc<Cell<Option<(Duration, Duration)>>>,
    pub started: Rc<RefCell<Vec<TaskKey>>>,
    /// The worker's clock in its answers to commands.
    pub command_clock: Rc<Cell<Option<Duration>>>,
    /// How long the worker takes to answer a start.
    pub start_delay: Rc<Cell<Duration>>,
    /// Longest time for which the worker holds a poll open; `None` is [`USUAL_HOLD`].
    pub longest_hold: Rc<Cell<Option<Duration>>>,
    /// Number of the end in the answers to polls, if they contain one.
    pub ended: Rc<Cell<Option<TaskEndNumber>>>,
    /// The incarnation that answered each poll, and the number that the poll acknowledged.
    pub acknowledged: Rc<RefCell<Vec<(WorkerIncarnation, TaskEndNumber)>>>,
    /// Number of polls that renewed the lease.
    pub renewals: Rc<Cell<usize>>,
    /// Fencing tokens of the starts.
    pub start_tokens: Rc<RefCell<Vec<FencingToken>>>,
    /// The worker answers a start only after it has answered a poll with this fencing token.
    pub start_answered_after: Rc<Cell<FencingToken>>,
    /// Highest fencing token of the polls that the present incarnation has answered.
    pub highest_token: Rc<Cell<FencingToken>>,
}

impl FakeWorker {
    /// Lets the worker answer polls as this incarnation, whose clock shows `clock`.
    pub fn answer_as(&self, incarnation: Duration, clock: Duration) {
        self.answer.set(Some((incarnation, clock)));
    }

    /// Lets the worker restart as this incarnation, with a clock that begins anew and without ended runs.
    pub fn restart_as(&self, incarnation: Duration) {
        self.answer_as(incarnation, Duration::ZERO);
        self.command_clock.set(Some(Duration::ZERO));
        self.ended.set(None);
        self.highest_token.set(0);
    }

    /// Returns the numbers that the polls which this incarnation answered have acknowledged.
    pub fn acknowledged_to(&self, incarnation: Duration) -> Vec<TaskEndNumber> {
        let acknowledged = self.acknowledged.borrow();
        acknowledged.iter().filter(|(answered, _)| *answered == incarnation).map(|(_, last)| *last).collect()
    }

    pub fn client(&self) -> WorkerClient {
        let (starter, stopper, poller) = (self.clone(), self.clone(), self.clone());
        WorkerClient {
            start: Rc::new(move |command, token, _| {
                starter.started.borrow_mut().push(command.task);
                starter.start_tokens.borrow_mut().push(token);
                let starter = starter.clone();
                async move {
                    tokio::time::sleep(starter.start_delay.get()).await;
                    while starter.highest_token.get() < starter.start_answered_after.get() {
                        tokio::time::sleep(USUAL_HOLD).await;
                    }
                    let (answer, highest_token) = (starter.accepted(), &starter.highest_token);
                    let is_fenced = token < highest_token.get();
                    let outcome = if is_fenced { CommandOutcome::Fenced } else { answer.outcome };
                    CommandAnswer { outcome, ..answer }
                }
                .boxed_local()
            }),
            stop: Rc::new(move |_, _| std::future::ready(stopper.accepted()).boxed_local()),
            poll: Rc::new(move |request: PollRequest| poller.clone().answer_poll(request).boxed_local()),
        }
    }

    pub fn accepted(&self) -> CommandAnswer {
        CommandAnswer { outcome: CommandOutcome::Accepted, clock: self.command_clock.get() }
    }

    pub async fn answer_poll(self, request: PollRequest) -> PollOutcome {
        self.renewals.set(self.renewals.get() + usize::from(request.lease.is_some()));
        tokio::time::sleep(request.wait.min(self.longest_hold.get().unwrap_or(USUAL_HOLD))).await;
        let Some((incarnation, clock)) = self.answer.get() else {
            return PollOutcome::Failed("no answer".to_owned());
        };
        self.acknowledged.borrow_mut().push((incarnation, request.acknowledged));
        self.highest_token.set(self.highest_token.get().max(request.token));
        let ended = self.ended.get().filter(|number| *number > request.acknowledged).map(ended_run);
        let report = report(Instant::now(), Vec::new(), ended.into_iter().collect());
        PollOutcome::Answered(PollReport { incarnation, ..report }, clock)
    }
}

pub fn ended_run(number: TaskEndNumber) -> EndedRun {
    let task = TaskKey::parse("j.0.0.9").expect("the key is valid");
    EndedRun { number, task, run: 1, cause: EndCause::Done, checkpoint: None }
}

/// Returns the lease of an owner that remains the owner for the whole test.
pub fn ownership_for_the_test() -> OwnershipLease {
    let (ownership, now) = (OwnershipLease::new(), clock::reading());
    ownership.confirm(now.after(WAIT_TIMEOUT));
    ownership
}

/// The ends of the channels of a running link.
pub struct RunningLink {
    pub commands: mpsc::Sender<LinkMessage>,
    pub events: mpsc::Receiver<OwnerMessage>,
    pub token: CancellationToken,
}

impl RunningLink {
    /// Starts a link that may renew the lease.
    pub fn start(worker: &FakeWorker) -> Self {
        let link = Self::start_without_renewal(worker);
        link.commands.try_send(LinkMessage::RenewLease(Instant::now())).expect("the inbox has room");
        link
    }

    pub fn start_without_renewal(worker: &FakeWorker) -> Self {
        Self::start_with_ownership(worker, ownership_for_the_test())
    }

    /// Starts the link of a new owner that knows that earlier ones may have granted a lease for this long, and from
    /// when the worker refused calls for its former incarnation.
    pub fn start_with_inherited(
        worker: &FakeWorker,
        inherited: Duration,
        fence: Option<WorkerFence>,
    ) -> Self {
        Self::start_with(worker, ownership_for_the_test(), inherited, fence)
    }

    pub fn start_with_ownership(worker: &FakeWorker, ownership: OwnershipLease) -> Self {
        Self::start_with(worker, ownership, Duration::ZERO, None)
    }

    pub fn start_with(
        worker: &FakeWorker,
        ownership: OwnershipLease,
        inherited: Duration,
        fence: Option<WorkerFence>,
    ) -> Self {
        let (commands, inbox) = mpsc::channel(64);
        let (owner_sender, events) = mpsc::channel(64);
        let token = CancellationToken::new();
        let lease = WorkerLease::new(LEASE, LONGEST_LEASE, Instant::now() + inherited);
        let rule = RestartRule::new(LEASE, LONGEST_LEASE);
        let link = WorkerLink {
            worker: "w0".into(),
            token: 1,
            session: WorkerSession::new(CallFence::new(1), lease, rule, fence),
            client: worker.client(),
            ownership,
            owner_sender,
            metrics: CellMetrics::new().expect("the metrics are valid"),
        };
        actix_rt::spawn(link.run(inbox, token.clone()));
        Self { commands, events, token }
    }

    /// Returns the first event that `select` accepts.
    pub async fn await_event<T>(&mut self, select: impl Fn(CellEvent) -> Option<T>) -> Option<T> {
        let events = async {
            while let Some(message) = self.events.recv().await {
                if let OwnerMessage::Event(event) = message
                    && let Some(selected) = select(event)
                {
                    return Some(selected);
                }
            }
            None
        };
        tokio::time::timeout(WAIT_TIMEOUT, events).await.ok().flatten()
    }

    /// Waits for a report of this incarnation.
    pub async fn await_report(&mut self, expected: Duration) -> Option<()> {
        let is_expected = |event| match event {
            CellEvent::WorkerPolled(_, report) if report.incarnation == expected => Some(()),
            _ => None,
        };
        self.await_event(is_expected).await
    }

    /// Waits until the worker does not answer a poll; returns the bound of its lease.
    pub async fn await_lease_bound(&mut self) -> Option<Instant> {
        self.await_event(|event| match event {
            CellEvent::WorkerUnresponsive(_, lease_expires_at) => Some(lease_expires_at),
            _ => None,
        })
        .await
    }

    /// Sends a start; returns its outcome.
    pub async fn send(&mut self, command: StartCommand) -> Option<CommandOutcome> {
        self.commands.send(LinkMessage::Start(command)).await.expect("the link runs");
        self.await_start_outcome().await
    }

    /// Waits for the answer to a start; returns its outcome.
    pub async fn await_start_outcome(&mut self) -> Option<CommandOutcome> {
        self.await_event(|event| match event {
            CellEvent::StartAnswered(_, _, _, outcome) => Some(outcome),
            _ => None,
        })
        .await
    }
}
