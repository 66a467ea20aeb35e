use crate::prelude::*;

/// The fencing token of the calls to one worker.
///
/// A restarted worker has the id of its former incarnation and knows no token. The token rises after a restart, so
/// that calls that were meant for the former incarnation are refused once a later one was carried out.
#[derive(Clone, Copy, Debug)]
pub struct CallFence {
    token: FencingToken,
    phase: FencePhase,
}

/// What is known about calls that were meant for a former incarnation of the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FencePhase {
    /// The worker refuses them, or there was no restart.
    Closed,
    /// The worker may carry them out, and they may carry the present token.
    Open,
    /// The worker may carry them out until it has handled a call with the present token, which is above theirs.
    Raised,
}

impl CallFence {
    /// Returns the fence of an owner with this token, which no call to the worker has carried yet.
    #[must_use]
    pub const fn new(token: FencingToken) -> Self {
        Self { token, phase: FencePhase::Closed }
    }

    /// Returns the fence of a further connection to a worker during one term. Earlier calls of the term may be on their
    /// way and carry this token.
    #[must_use]
    pub const fn reopened(token: FencingToken) -> Self {
        Self { token, phase: FencePhase::Open }
    }

    /// Returns the token of the calls that are sent now.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns whether calls for a former incarnation may still be carried out.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !matches!(self.phase, FencePhase::Closed)
    }

    /// Notes that another incarnation of the worker answers.
    pub const fn note_restart(&mut self) {
        self.phase = FencePhase::Open;
    }

    /// Raises the token to `newest` if a restart calls for it and `newest` is above the present token; returns
    /// whether the token has risen.
    pub const fn raise(&mut self, newest: FencingToken) -> bool {
        let rises = matches!(self.phase, FencePhase::Open) && newest > self.token;
        if rises {
            (self.token, self.phase) = (newest, FencePhase::Raised);
        }
        rises
    }

    /// Notes an answer to a call that carried the present token; returns whether the worker refuses the calls for its
    /// former incarnation from this answer on.
    pub const fn note_answer(&mut self) -> bool {
        let closes = matches!(self.phase, FencePhase::Raised);
        if closes {
            self.phase = FencePhase::Closed;
        }
        closes
    }
}
