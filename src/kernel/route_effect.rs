use crate::kernel::RequestRefusal;
use crate::prelude::*;

/// What a service router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteEffect {
    /// Record the intent of a non-idempotent request before it is dispatched.
    RecordIntent(RequestId),
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
    /// End an attempt unless a part of its answer has arrived; its result is reported as usual.
    Abandon {
        /// The endpoint.
        vm: VmId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give the answer of an attempt to all callers that wait for the request, and keep it.
    Deliver {
        /// The request.
        request: RequestId,
        /// The answered attempt.
        attempt: AttemptId,
    },
    /// Refuse the request to all callers that wait for it, and drop its body.
    Refuse(RequestId, RequestRefusal),
    /// Refuse the request to all callers that wait for it; it stays in flight.
    RefuseCallers(RequestId, RequestRefusal),
    /// Refuse only the arrival that is being handled.
    RefuseArrival(RequestId, RequestRefusal),
    /// Give the kept answer to the arrival that is being handled.
    Replay(RequestId),
    /// Drop the kept answer.
    EvictAnswer(RequestId),
}
