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
    /// Digest of service, idempotency and body.
    pub digest: Sha256Digest,
    /// Bytes of the body.
    pub size: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Digest in the ledger if the id was announced before.
    pub recorded_digest: Option<Sha256Digest>,
}

/// A team as a service router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamLimits {
    /// The team.
    pub team: TeamId,
    /// Weight of the team while slots are short.
    pub share: u64,
    /// Most requests that may be queued or in flight at once.
    pub max_requests: u32,
}

/// Why an attempt gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request left this process.
    Unreachable,
    /// The endpoint stated that it did not start the request.
    NotStarted,
    /// The request may have reached the endpoint.
    Unknown,
}

/// Why an intent record has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentRejection {
    /// The id was announced before with the same digest.
    Duplicate,
    /// The id was announced before with another digest.
    Conflict,
    /// The ledger does not hold the id; the record had an old token or was not appended.
    Unrecorded,
}

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointHealth {
    /// Requests that it works on, of any sender.
    pub busy: u32,
    /// Whether it asks for no new work.
    pub leaving: bool,
}

/// What a service router is told.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteEvent {
    /// The present endpoints of the partition.
    EndpointsListed(Vec<EndpointVm>),
    /// The present teams.
    TeamsChanged(Vec<TeamLimits>),
    /// A request arrived.
    Arrived(RouteRequest),
    /// No caller waits for the request any more.
    CallersDisconnected(RequestId),
    /// The intent of a request was folded as valid.
    IntentAccepted(RequestId),
    /// The intent of a request has no effect.
    IntentRefused(RequestId, IntentRejection),
    /// An attempt was answered.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// HTTP status of the answer.
        status: u16,
        /// Bytes of the answer.
        size: usize,
    },
    /// An attempt failed.
    Failed(AttemptId, AttemptFailure),
    /// A health probe of an endpoint has ended.
    Probed {
        /// The endpoint.
        vm: VmId,
        /// When the probe was sent.
        sent: Instant,
        /// Its answer, `None` if there was none.
        health: Option<EndpointHealth>,
    },
    /// The process is stopping: open requests are finished, new ones belong to the next owner.
    Draining,
    /// Another process owns the partition now.
    ClaimLost,
    /// Time passed.
    Tick,
}
