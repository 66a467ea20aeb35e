use crate::kernel::RequestRefusal;
use crate::prelude::*;

/// An action that a service router requests from the code that drives it, which holds bodies, answers and
/// connections.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteEffect {
    /// Append the intent of a non-idempotent request to the log; the request is
    /// dispatched once the intent is applied.
    RecordIntent(RequestId),
    /// Start an attempt: send the request to an endpoint.
    Dispatch {
        /// Number of the new attempt.
        attempt: AttemptId,
        /// Request to send.
        request: RequestId,
        /// VM of the chosen endpoint.
        vm: VmId,
        /// Time limit for the answer.
        timeout: Duration,
        /// Name of the routing policy that chose the endpoint.
        reason: &'static str,
        /// Number of endpoints that could not take the request, by reason.
        rejected: Vec<(&'static str, u32)>,
    },
    /// Cancel an attempt that the endpoint does not know, unless a part of its answer has arrived. Its result
    /// is reported like that of any attempt.
    Abandon {
        /// VM of the endpoint.
        vm: VmId,
        /// Attempt to cancel.
        attempt: AttemptId,
    },
    /// Send the answer of an attempt to all callers that wait for the request, and retain it.
    Deliver {
        /// Answered request.
        request: RequestId,
        /// Attempt whose answer is sent.
        attempt: AttemptId,
    },
    /// Send a refusal to all callers that wait for the request, and drop its body.
    Refuse(RequestId, RequestRefusal),
    /// Send a refusal to all callers that wait for the request, which stays in flight.
    RefuseCallers(RequestId, RequestRefusal),
    /// Send a refusal only to the caller whose arrival is being handled.
    RefuseArrival(RequestId, RequestRefusal),
    /// Send the retained answer to the caller whose arrival is being handled.
    Replay(RequestId),
    /// Drop the retained answer of a request.
    EvictAnswer(RequestId),
}
