use crate::kernel::cell::session::poll_state::PollState;
use crate::kernel::cell::{
    AnswerChange, CallFence, KnownWorker, NotSentReason, PollReport, PollRequest, RestartRule, StartCommand,
    TermAuthority, WorkerFence, WorkerLease,
};
use crate::prelude::*;

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

/// Decides what the connection to one worker sends during a term: the token, the lease and the acknowledgement of each
/// call, and whether a start may be sent. Bounds the leases that the worker may hold.
#[derive(Clone, Debug)]
pub struct WorkerSession {
    fence: CallFence,
    lease: WorkerLease,
    restart_rule: RestartRule,
    /// From when the worker refused calls for a former incarnation, by the records of earlier owners.
    recorded_fence: Option<WorkerFence>,
    poll_state: PollState,
    /// Whether the owner was told that calls for a former incarnation may be carried out, and not yet of their end.
    is_known_unfenced: bool,
}

impl WorkerSession {
    /// Returns the session of a connection that has sent nothing yet.
    #[must_use]
    pub fn new(
        fence: CallFence,
        lease: WorkerLease,
        restart_rule: RestartRule,
        recorded_fence: Option<WorkerFence>,
    ) -> Self {
        let (poll_state, is_known_unfenced) = (PollState::default(), false);
        Self { fence, lease, restart_rule, recorded_fence, poll_state, is_known_unfenced }
    }

    /// Returns what is known of the worker now.
    #[must_use]
    pub fn known(&self) -> KnownWorker {
        KnownWorker {
            incarnation: self.poll_state.incarnation,
            clock: self.lease.last_clock(),
            token: self.fence.token(),
        }
    }

    /// Returns the leases that the worker may hold.
    #[must_use]
    pub const fn lease(&self) -> &WorkerLease {
        &self.lease
    }

    /// Returns whether earlier owners have recorded that this incarnation refuses calls for its former ones.
    #[must_use]
    pub fn has_recorded_fence(&self, incarnation: WorkerIncarnation) -> bool {
        self.recorded_fence.is_some_and(|fence| fence.incarnation == incarnation)
    }

    /// Returns whether the last poll was answered by the incarnation that answers commands.
    #[must_use]
    pub const fn is_answered(&self) -> bool {
        self.poll_state.answered
    }

    /// Returns the delay before the next poll; `None` if it is due.
    #[must_use]
    pub fn poll_delay(&self, now: Instant) -> Option<Duration> {
        self.poll_state.poll_delay(now)
    }

    /// Lets the next poll be sent at once.
    pub const fn end_poll_delay(&mut self) {
        self.poll_state.not_before = None;
    }

    /// Returns the next poll. The lease of a worker that does not answer is not renewed, so that its expiry can be
    /// awaited, and none is renewed by an owner that may have a successor.
    pub fn next_poll(&mut self, authority: TermAuthority, now: Instant) -> PollRequest {
        self.raise_token(authority.newest_token);
        let may_renew = authority.is_confirmed && self.poll_state.may_renew();
        let lease = if may_renew { self.lease.grant(now) } else { None };
        // The first poll, and each one after an unanswered poll, asks for an answer at once, so that the
        // worker's clock becomes known early. Other polls are held open only while the worker has no ended
        // runs to report.
        let wait = match (self.poll_state.answered, self.poll_state.idle) {
            (false, _) => Duration::ZERO,
            (true, _) if self.fence.is_open() => UNFENCED_LONG_POLL_WAIT,
            (true, false) if !authority.is_confirmed => UNCONFIRMED_LONG_POLL_WAIT,
            (true, false) => LONG_POLL_WAIT,
            (true, true) => IDLE_LONG_POLL_WAIT,
        };
        // Another incarnation of the worker may answer, whose ends have the same numbers.
        let acknowledged = if self.poll_state.answered { self.poll_state.acknowledged } else { 0 };
        PollRequest { token: self.fence.token(), acknowledged, lease, wait }
    }

    /// Returns a poll that asks for the progress of the runs at once. It renews no lease and acknowledges no ends.
    #[must_use]
    pub const fn look(&self) -> PollRequest {
        PollRequest { token: self.fence.token(), acknowledged: 0, lease: None, wait: Duration::ZERO }
    }

    /// Grants the lease for a start, until the returned time on the worker's clock.
    ///
    /// # Errors
    ///
    /// Returns the reason if the start must not be sent.
    pub fn permit_start(
        &mut self,
        command: &StartCommand,
        authority: TermAuthority,
        now: Instant,
    ) -> Result<WorkerTime, NotSentReason> {
        if !authority.is_confirmed {
            return Err(NotSentReason::OwnershipNotConfirmed);
        }
        if let Some(reason) = self.poll_state.start_obstacle(command, now) {
            return Err(reason);
        }
        // A late call for a former incarnation would acknowledge the end of the run before it is reported.
        if self.fence.is_open() {
            return Err(NotSentReason::WorkerUnfenced);
        }
        let until = self.lease.grant(now).ok_or(NotSentReason::WorkerClockUnknown)?;
        self.poll_state.idle = false;
        Ok(until)
    }

    /// Notes that the ends that this incarnation reported are recorded up to this number.
    pub fn acknowledge(&mut self, incarnation: WorkerIncarnation, number: TaskEndNumber) {
        if self.poll_state.incarnation == Some(incarnation) {
            self.poll_state.acknowledged = self.poll_state.acknowledged.max(number);
            self.poll_state.poll_if_ready();
        }
    }

    /// Notes that the lease may be renewed, unless the worker was silent since the poll that was sent at this time.
    pub fn allow_renewal(&mut self, polled_at: Instant) {
        let silent_at = self.poll_state.silent_at;
        self.poll_state.renewable |= silent_at.is_none_or(|silent_at| polled_at >= silent_at);
        self.poll_state.poll_if_ready();
    }

    /// Notes the worker's clock in an answer to a command, which was sent when `known` was known: the clock of an
    /// incarnation does not go back. Returns whether it shows a restart that was not known before.
    pub fn note_command_clock(&mut self, clock: WorkerTime, known: KnownWorker, now: Instant) -> bool {
        if known.clock.is_none_or(|last_clock| clock >= last_clock) {
            return false;
        }
        self.lease.extend_to_longest(now);
        let is_first = self.poll_state.answered && self.poll_state.incarnation == known.incarnation;
        if is_first {
            self.fence.note_restart();
            self.poll_state.expect_restart();
            self.is_known_unfenced = true;
        }
        is_first
    }

    /// Notes the answer to a poll, in which the worker's clock shows `clock`.
    pub fn note_answer(
        &mut self,
        report: &PollReport,
        clock: WorkerTime,
        newest_token: FencingToken,
        now: Instant,
    ) -> AnswerChange {
        let incarnation = report.incarnation;
        let previous = self.poll_state.incarnation.replace(incarnation);
        if previous != Some(incarnation) {
            self.poll_state.acknowledged = 0;
        }
        let is_fenced = self.note_incarnation(previous, incarnation, clock, now);
        self.lease.note_clock(clock, now);
        self.poll_state.answered = true;
        self.poll_state.idle = report.running.is_empty();
        self.poll_state.last_reported = report.ended.iter().map(|end| end.number).max().unwrap_or_default();
        if self.poll_state.last_reported > 0 || !self.poll_state.renewable {
            self.poll_state.not_before = Some(now + MAX_ACKNOWLEDGE_WAIT);
        }
        self.raise_token(newest_token);
        let was_unfenced = std::mem::replace(&mut self.is_known_unfenced, self.fence.is_open());
        AnswerChange {
            previous,
            is_unfenced: self.is_known_unfenced && !(was_unfenced && previous == Some(incarnation)),
            fence: is_fenced.then_some(WorkerFence { incarnation, clock }),
        }
    }

    /// Notes that another worker answers at the address, so that this one is gone.
    pub fn note_replaced(&mut self, now: Instant) {
        self.lease.end(now);
        self.poll_state.not_before = Some(now + MAX_ACKNOWLEDGE_WAIT);
        self.poll_state.fall_silent(now);
    }

    /// Notes that a poll was not answered.
    pub fn note_silence(&mut self, now: Instant) {
        self.poll_state.fall_silent(now);
        self.poll_state.not_before = Some(now + POLL_RETRY_DELAY);
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
            let extension = self.restart_rule.extension(incarnation, clock, self.recorded_fence);
            self.lease.note_fenced(extension, now);
        }
        !self.fence.is_open() && (is_fenced || previous.is_none())
    }

    /// Raises the token if a restart calls for it. Calls with the higher token grant no lease and start nothing before
    /// one of them is answered, as they would not be fenced if the worker restarted once more.
    fn raise_token(&mut self, newest_token: FencingToken) {
        if self.fence.raise(newest_token) {
            self.poll_state.expect_restart();
        }
    }
}
