//! Messages to the router task.

use bytes::Bytes;
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use crate::kernel::{AttemptFailure, EndpointHealth, EndpointSummary, EndpointVm, FrontReply, LedgerChange};
use crate::prelude::*;
use crate::tasks::adapter::EndpointAnswer;

/// Time to the deadline of a request whose caller names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Maximum time to the deadline, as request ids are remembered for no longer. Admission accepts longer
/// deadlines; they are cut to this.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// A request that was admitted and assigned to a service partition.
pub struct RoutedCall {
    /// Partition that the request id hashes to.
    pub shard: ShardId,
    /// The team that the request is accounted to.
    pub team: TeamId,
    /// Id of the request.
    pub request: RequestId,
    /// Zone of the entry process that admitted it.
    pub zone: ZoneId,
    /// Whether the caller allows it to run more than once.
    pub idempotent: bool,
    /// Time that the caller waits for an answer; `None` for the default.
    pub deadline: Option<Duration>,
    /// Body of the request.
    pub body: Bytes,
    /// Gets the reply.
    pub reply: oneshot::Sender<FrontReply>,
}

/// A request with its digest, and the digest that the ledger holds for its id once that has been looked up.
pub struct PreparedCall {
    /// The request and the sender of its reply.
    pub call: RoutedCall,
    /// Digest of the service, the idempotency flag and the body.
    pub digest: Sha256Digest,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Digest in the ledger; `None` if no intent is recorded for the id, or if it was not looked up.
    pub recorded_digest: Option<Sha256Digest>,
}

impl PreparedCall {
    /// Returns a call whose id has not been looked up in the ledger; `recorded_digest` is filled in after the
    /// lookup.
    #[must_use]
    pub fn new(call: RoutedCall, now: Instant) -> Self {
        let digest = digest(&call);
        let deadline = now + call.deadline.unwrap_or(DEFAULT_DEADLINE).min(MAX_DEADLINE);
        Self { call, digest, deadline, recorded_digest: None }
    }
}

/// Returns the digest of the service, the idempotency flag and the body: a repeat of a request id must have
/// the same.
fn digest(call: &RoutedCall) -> Sha256Digest {
    let service = call.shard.rsplit_once('/').map_or(&*call.shard, |(service, _)| service);
    let mut hasher = Sha256::new();
    hasher.update(service.as_bytes());
    hasher.update([0, u8::from(call.idempotent)]);
    hasher.update(&call.body);
    hasher.finalize().into()
}

/// Result of an attempt to send a request to an endpoint.
pub struct AttemptResult {
    /// Partition whose router dispatched the attempt.
    pub shard: ShardId,
    /// Fencing token of the claim under which the attempt was dispatched.
    pub token: FencingToken,
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// The complete answer, or why there is none.
    pub result: Result<EndpointAnswer, AttemptFailure>,
}

/// Message to the router task.
pub enum RouterMessage {
    /// A request for a partition that this process owns according to the sender.
    Call(Box<RoutedCall>),
    /// A request whose id has been looked up in the ledger, from the router task itself.
    LookedUp(Box<PreparedCall>),
    /// An attempt has ended, from the task of its endpoint.
    AttemptEnded(Box<AttemptResult>),
    /// A probe of an endpoint that was sent at this time has ended; without a health value it got no answer.
    ProbeEnded(VmId, Instant, Option<EndpointHealth>),
    /// A change of the ledger, from the journal.
    LedgerChanged(LedgerChange),
    /// Endpoints on the VM list after it changed.
    EndpointsListed(Vec<EndpointVm>),
    /// The intent of a request was refused or never appended; carries the digest that the ledger holds for
    /// its id.
    IntentRejected(ShardId, RequestId, Option<Sha256Digest>),
    /// Asks for the endpoints of all owned partitions.
    Summarise(oneshot::Sender<Vec<(ShardId, Vec<EndpointSummary>)>>),
    /// Asks for the present stage of a request; answered with `None` if no owned partition has it.
    Explain(RequestId, oneshot::Sender<Option<String>>),
    /// Stops taking new requests; replies once no request is open in any partition.
    Drain(oneshot::Sender<()>),
}
