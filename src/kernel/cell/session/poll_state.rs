use crate::kernel::cell::{NotSentReason, StartCommand};
use crate::prelude::*;

/// What is known of a worker from its polls, and when the next one is due.
#[derive(Clone, Debug, Default)]
pub(super) struct PollState {
    pub(super) incarnation: Option<WorkerIncarnation>,
    pub(super) acknowledged: TaskEndNumber,
    pub(super) last_reported: TaskEndNumber,
    /// Whether the last poll was answered, and no answer to a command since then came from another incarnation.
    pub(super) answered: bool,
    /// Whether the owner allows that the lease is renewed. An earlier owner may have recorded that it is not.
    pub(super) renewable: bool,
    /// When the last unanswered poll ended.
    pub(super) silent_at: Option<Instant>,
    /// Whether the last report named no running task and no start was sent since.
    pub(super) idle: bool,
    /// Earliest time of the next poll; `None` if it is sent at once.
    pub(super) not_before: Option<Instant>,
}

impl PollState {
    /// Returns why a start must not be sent; `None` if the worker answers, is the incarnation that the decision
    /// is based on, and the command has not expired.
    pub(super) fn start_obstacle(&self, command: &StartCommand, now: Instant) -> Option<NotSentReason> {
        if !self.answered {
            Some(NotSentReason::WorkerSilent)
        } else if !self.renewable {
            Some(NotSentReason::WorkerNotRenewable)
        } else if self.incarnation != command.incarnation {
            Some(NotSentReason::OtherIncarnation)
        } else if now > command.expires_at {
            Some(NotSentReason::Expired)
        } else {
            None
        }
    }

    /// Returns whether the lease may be renewed.
    pub(super) const fn may_renew(&self) -> bool {
        self.answered && self.renewable
    }

    /// Lets the next poll be sent at once, without an acknowledgement, whose number would be that of an earlier
    /// incarnation. Until it is answered, no start is sent.
    pub(super) const fn expect_restart(&mut self) {
        self.answered = false;
        self.not_before = None;
    }

    pub(super) const fn fall_silent(&mut self, now: Instant) {
        self.answered = false;
        self.renewable = false;
        self.silent_at = Some(now);
    }

    /// Lets the next poll be sent at once if the ends of the last one are acknowledged and it can renew the
    /// lease.
    pub(super) const fn poll_if_ready(&mut self) {
        if self.may_renew() && self.acknowledged >= self.last_reported {
            self.not_before = None;
        }
    }

    /// Returns the delay before the next poll; `None` if it is due.
    pub(super) fn poll_delay(&self, now: Instant) -> Option<Duration> {
        let left = self.not_before?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}
