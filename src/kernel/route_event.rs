use crate::kernel::EndpointVm;
use crate::prelude::*;

/// A request as the router sees it; the body stays with the caller of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRequest {
    /// The caller's id, scoped by team.
    pub id: RequestId,
    /// The team that the request is accounted to.
    pub team: TeamId,
    /// Zone of the entry process that took the request.
    pub zone: ZoneId,
    /// Digest of the body.
    pub digest: BodyDigest,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Why an attempt gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteFailure {
    /// The endpoint cannot have seen the request, or said that it did not start it.
    NotStarted,
    /// The request may have reached the endpoint.
    Unknown,
}

/// What a service router is told.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteEvent {
    /// The present endpoints of the partition.
    EndpointsListed(Vec<EndpointVm>),
    /// A request arrived.
    Arrived(RouteRequest),
    /// The intent of a request was folded as valid.
    IntentAccepted(RequestId),
    /// The intent of a request was refused by the ledger.
    IntentRefused(RequestId),
    /// The intent could not be recorded and never will be.
    IntentFailed(RequestId),
    /// An attempt was answered with a status.
    Answered(AttemptId, u16),
    /// An attempt failed.
    Failed(AttemptId, RouteFailure),
    /// Time passed.
    Tick,
}
