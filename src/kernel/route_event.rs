use crate::kernel::EndpointVm;
use crate::prelude::*;

/// Properties of a request that routing depends on; the code that drives the router holds the body.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRequest {
    /// Request id chosen by the caller, scoped by team.
    pub id: RequestId,
    /// Team that the request is accounted to.
    pub team: TeamId,
    /// Availability zone of the entry process that received the request from the caller.
    pub zone: ZoneId,
    /// Digest of service, idempotency and body; a repeated id must have the same one.
    pub digest: Sha256Digest,
    /// Size of the body in bytes.
    pub size: usize,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Digest of an intent with this id in the ledger; `None` if there is none.
    pub recorded_digest: Option<Sha256Digest>,
}

/// Share and bound of a team in a service router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamLimits {
    /// Name of the team.
    pub team: TeamId,
    /// Weight of the team when slots are short.
    pub share: u64,
    /// Bound on the open requests of the team in the partition, queued or in flight.
    pub max_requests: u32,
}

/// Why an attempt ended without an answer, and whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    Unreachable,
    /// The endpoint replied that it did not start the request.
    NotStarted,
    /// The request may have reached the endpoint and may have run.
    Unknown,
}

/// Why an intent has no effect in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentRejection {
    /// The ledger holds an earlier intent with the same id and digest.
    Duplicate,
    /// The ledger holds an earlier intent with the same id and another digest.
    Conflict,
    /// The ledger holds no intent with the id: the record had an old fencing token or was not appended.
    Unrecorded,
}

/// Answer of an endpoint to a health probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointHealth {
    /// Number of requests that the endpoint works on, from all senders.
    pub busy: u32,
    /// Whether the endpoint wants no new requests.
    pub leaving: bool,
}

/// An input of a service router.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteEvent {
    /// The VM list changed; holds all current endpoints of the partition.
    EndpointsListed(Vec<EndpointVm>),
    /// The bundle in force changed; holds all its teams.
    TeamsChanged(Vec<TeamLimits>),
    /// A request arrived from a caller.
    Arrived(RouteRequest),
    /// All callers that waited for the request have disconnected.
    CallersDisconnected(RequestId),
    /// The intent of a request was applied to the ledger and is valid.
    IntentAccepted(RequestId),
    /// The intent of a request has no effect.
    IntentRefused(RequestId, IntentRejection),
    /// The endpoint answered an attempt.
    Answered {
        /// Number of the attempt.
        attempt: AttemptId,
        /// HTTP status of the answer.
        status: u16,
        /// Size of the answer in bytes.
        size: usize,
    },
    /// An attempt ended without an answer.
    Failed(AttemptId, AttemptFailure),
    /// A health probe of an endpoint has ended.
    Probed {
        /// VM of the endpoint.
        vm: VmId,
        /// Time at which the probe was sent.
        sent: Instant,
        /// Answer of the endpoint, `None` if the probe failed.
        health: Option<EndpointHealth>,
    },
    /// The process is stopping: open requests are completed, and new ones are refused
    /// as the next owner serves them.
    Draining,
    /// Another process claimed the partition, so this router may dispatch no further requests.
    ClaimLost,
    /// A timer fired; see [`RouteTimer`](crate::kernel::RouteTimer).
    Tick,
}
