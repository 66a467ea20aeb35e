//! What the router task is told.

use bytes::Bytes;
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use crate::kernel::{AttemptFailure, EndpointHealth, EndpointSummary, EndpointVm, FrontReply, LedgerChange};
use crate::prelude::*;
use crate::tasks::adapter::EndpointAnswer;

/// Longest wait for an answer where the caller names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Longest deadline; ids are remembered as long.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// A request for a service partition that this process owns.
pub struct RoutedCall {
    /// The partition.
    pub shard: ShardId,
    /// The team that the request is accounted to.
    pub team: TeamId,
    /// The request.
    pub request: RequestId,
    /// Zone of the entry process that took it.
    pub zone: ZoneId,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Longest time to an answer.
    pub deadline: Option<Duration>,
    /// The body.
    pub body: Bytes,
    /// Where the reply goes.
    pub reply: oneshot::Sender<FrontReply>,
}

/// A request with its digest and what the ledger knows of its id.
pub struct CheckedCall {
    /// The request.
    pub call: RoutedCall,
    /// Digest of service, idempotency and body.
    pub digest: Sha256Digest,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Digest in the ledger if the id was announced before.
    pub announced: Option<Sha256Digest>,
}

impl CheckedCall {
    /// Returns the call before its id was looked up.
    #[must_use]
    pub fn new(call: RoutedCall, now: Instant) -> Self {
        let digest = digest(&call);
        let deadline = now + call.deadline.unwrap_or(DEFAULT_DEADLINE).min(MAX_DEADLINE);
        Self { call, digest, deadline, announced: None }
    }
}

/// A repeat of an id must have the same service, idempotency and body.
fn digest(call: &RoutedCall) -> Sha256Digest {
    let service = call.shard.rsplit_once('/').map_or(&*call.shard, |(service, _)| service);
    let mut hasher = Sha256::new();
    hasher.update(service.as_bytes());
    hasher.update([0, u8::from(call.idempotent)]);
    hasher.update(&call.body);
    hasher.finalize().into()
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The partition.
    pub shard: ShardId,
    /// Token under which the attempt was sent.
    pub token: FencingToken,
    /// The attempt.
    pub attempt: AttemptId,
    /// The answer, or why there is none.
    pub result: Result<EndpointAnswer, AttemptFailure>,
}

/// What the router task is told.
pub enum RouterMessage {
    /// A request for an owned partition.
    Call(Box<RoutedCall>),
    /// A request whose id was looked up in the ledger.
    Checked(Box<CheckedCall>),
    /// An attempt has ended.
    Attempted(Box<AttemptResult>),
    /// A probe of an endpoint, sent at a time, has ended.
    Probed(VmId, Instant, Option<EndpointHealth>),
    /// The ledger changed.
    Changed(LedgerChange),
    /// The VM list was read.
    Listed(Vec<EndpointVm>),
    /// The intent of a request has no effect; holds the digest that the ledger knows.
    IntentChecked(ShardId, RequestId, Option<Sha256Digest>),
    /// Asks for the endpoints of all owned partitions.
    Summarise(oneshot::Sender<Vec<(ShardId, Vec<EndpointSummary>)>>),
    /// Asks for the present stage of a request; `None` if no owned partition knows it.
    Explain(RequestId, oneshot::Sender<Option<String>>),
    /// Asks to take no new requests, and to be told once none is open in any partition.
    Drain(oneshot::Sender<()>),
}
