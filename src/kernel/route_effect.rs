use crate::kernel::TeamRefusal;
use crate::prelude::*;

/// What a service router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteEffect {
    /// Record the intent of a non-idempotent request before it is dispatched.
    Announce(RequestId),
    /// Send the request to an endpoint.
    Dispatch {
        /// Number of the attempt.
        attempt: AttemptId,
        /// The request.
        request: RequestId,
        /// The chosen endpoint.
        vm: VmId,
        /// Longest time to the answer.
        timeout: Duration,
        /// Why this endpoint.
        reason: &'static str,
        /// Endpoints that were rejected, counted by reason.
        rejected: Vec<(&'static str, u32)>,
    },
    /// Give the answer of an attempt to all callers that wait for the request.
    Deliver {
        /// The request.
        request: RequestId,
        /// The answered attempt.
        attempt: AttemptId,
    },
    /// Refuse a request to all callers that wait for it.
    Refuse(RequestId, TeamRefusal),
    /// Refuse only the latest arrival of an id that is in use with another body.
    RefuseArrival(RequestId, TeamRefusal),
    /// Give the kept answer to the latest arrival.
    Replay(RequestId),
    /// Forget the kept answer.
    Forget(RequestId),
}
