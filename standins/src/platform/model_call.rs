use crate::platform::{CallKind, WorkerRequest};

/// What has happened to a call at the worker. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// It is carried out at this time.
    Due(u64),
    /// This incarnation has carried it out, and answers by this time at the latest.
    Open(u32, u64),
    /// It was carried out, or will never be.
    Over,
    /// The worker refused the connection, so that the caller knows that it was not sent.
    Refused,
}

/// A call to a [`ModelHost`](crate::platform::ModelHost).
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// The owner that sends the call, counted from 0, and its number of the call.
    pub id: (usize, u64),
    /// Incarnation of the worker, counted from 0, that the call is meant for.
    pub life: u32,
    /// The call as the worker gets it.
    pub request: WorkerRequest,
    /// How long the worker may hold the call open.
    pub wait_ms: u64,
    /// When the call is sent.
    pub sent_at: u64,
    /// When the caller stops waiting for the answer.
    pub times_out_at: u64,
    /// What has happened to it.
    pub state: CallState,
    /// Whether a fault delays it.
    pub is_delayed: bool,
    /// Whether its answer is lost.
    pub loses_answer: bool,
    /// Whether the caller waits for the answer.
    pub is_awaited: bool,
}

impl ModelCall {
    /// Returns what the call asks for.
    #[must_use]
    pub fn kind(&self) -> CallKind {
        (&self.request.action).into()
    }

    /// Returns whether the worker has the call still before it, or holds it open.
    #[must_use]
    pub const fn is_under_way(&self) -> bool {
        matches!(self.state, CallState::Due(_) | CallState::Open(..))
    }
}
