//! Sends requests to the owners of their partitions.

use bytes::Bytes;
use tokio::sync::mpsc;
use tonic::Status;
use tonic::transport::Channel;

use crate::kernel::{ExecutionStatus, FrontReply, RefusalReason, RequestRefusal, rendezvous};
use crate::prelude::*;
use crate::proto::peer::peer_client::PeerClient;
use crate::proto::peer::{ForwardReply, ForwardRequest, Refusal, forward_reply};
use crate::tasks::peer::PeerMessage;
use crate::tasks::router::RoutedCall;

/// Longest wait for the answer to a forwarded request beyond its deadline.
const FORWARD_GRACE: Duration = Duration::from_secs(2);
/// Deadline of forwarded requests that name none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Longest deadline of forwarded requests, as the router has it.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Shortest wait before a request is sent to the next owner; up to 100 ms are added by id.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// A forwarded request between two attempts.
pub struct PendingForward {
    /// The request.
    pub call: RoutedCall,
    /// When the caller stops waiting.
    pub deadline: Instant,
    may_have_run: bool,
}

impl PendingForward {
    /// Returns the state of a request that was not sent to any owner yet.
    #[must_use]
    pub fn new(call: RoutedCall, now: Instant) -> Self {
        let deadline = now + call.deadline.unwrap_or(DEFAULT_DEADLINE).min(MAX_DEADLINE);
        Self { call, deadline, may_have_run: false }
    }

    /// Answers the caller; what an earlier attempt may have run is not denied.
    pub fn end(self, mut reply: FrontReply) {
        if let FrontReply::Refused(refusal) = &mut reply
            && self.may_have_run
        {
            refusal.run = ExecutionStatus::MayHaveRun;
        }
        let _ = self.call.reply.send(reply);
    }
}

/// Sends a request to its owner; hands it back to the peer task if it may be sent again.
pub async fn forward_call(
    client: Option<PeerClient<Channel>>,
    mut pending: PendingForward,
    sender: mpsc::Sender<PeerMessage>,
) {
    let (reply, retry) = match client {
        Some(client) => send_call(client, &pending).await,
        None => (unreachable_owner(), true),
    };
    let may_have_run =
        matches!(&reply, FrontReply::Refused(refusal) if refusal.run == ExecutionStatus::MayHaveRun);
    pending.may_have_run |= may_have_run;
    let spread = rendezvous::hash(&[&pending.call.request]) % 100;
    let wait = RETRY_WAIT + Duration::from_millis(spread);
    let in_time = Instant::now() + wait < pending.deadline && !pending.call.reply.is_closed();
    if !retry || !in_time {
        pending.end(reply);
        return;
    }
    tokio::time::sleep(wait).await;
    let _ = sender.send(PeerMessage::RetryForward(Box::new(pending))).await;
}

/// Sends a request to the owner once; returns the reply and whether the request may be sent again.
async fn send_call(mut client: PeerClient<Channel>, pending: &PendingForward) -> (FrontReply, bool) {
    let call = &pending.call;
    let left = pending.deadline.saturating_duration_since(Instant::now());
    let request = ForwardRequest {
        shard: call.shard.to_string(),
        team: call.team.to_string(),
        request: call.request.to_string(),
        zone: call.zone.to_string(),
        idempotent: call.idempotent,
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        body: call.body.to_vec(),
    };
    match tokio::time::timeout(left + FORWARD_GRACE, client.forward(request)).await {
        Ok(Ok(reply)) => {
            let reply = decode_reply(reply.into_inner());
            let moved = |refusal: &RequestRefusal| {
                refusal.code == RefusalReason::NoOwner
                    && (refusal.run == ExecutionStatus::NotRun || call.idempotent)
            };
            let retry = matches!(&reply, FrontReply::Refused(refusal) if moved(refusal));
            (reply, retry)
        }
        Ok(Err(status)) if not_sent(&status) => (unreachable_owner(), true),
        Ok(Err(status)) => {
            let text = format!("the owner of the service partition failed: {}", status.code());
            let refusal = RequestRefusal::may_have_run(RefusalReason::ConnectionLost, text);
            (FrontReply::Refused(refusal), call.idempotent)
        }
        Err(_) => {
            let text = "the owner of the service partition did not answer in time";
            (FrontReply::Refused(RequestRefusal::may_have_run(RefusalReason::Timeout, text)), false)
        }
    }
}

/// Whether no connection could be opened, so that no part of the request was sent.
fn not_sent(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(fault) = source {
        if fault.is::<tonic::ConnectError>() {
            return true;
        }
        source = fault.source();
    }
    false
}

/// Returns the refusal of a request that reached no owner.
#[must_use]
pub fn unreachable_owner() -> FrontReply {
    let text = "the owner of the service partition cannot be reached";
    FrontReply::Refused(RequestRefusal::not_run(RefusalReason::NoOwner, text))
}

fn decode_reply(reply: ForwardReply) -> FrontReply {
    match reply.reply {
        Some(forward_reply::Reply::Answer(answer)) => FrontReply::Answer {
            status: u16::try_from(answer.status).unwrap_or(502),
            body: Bytes::from(answer.body),
        },
        Some(forward_reply::Reply::Refusal(refusal)) => FrontReply::Refused(decode_refusal(refusal)),
        None => {
            let text = "the owner of the service partition sent an empty reply";
            FrontReply::Refused(RequestRefusal::may_have_run(RefusalReason::AnswerUnknown, text))
        }
    }
}

fn decode_refusal(refusal: Refusal) -> RequestRefusal {
    let named = |text: String| serde_json::Value::String(text);
    RequestRefusal {
        code: serde_json::from_value(named(refusal.code)).unwrap_or(RefusalReason::AnswerUnknown),
        message: refusal.message,
        // An unknown word must never turn into a false `not_run`.
        run: serde_json::from_value(named(refusal.run)).unwrap_or(ExecutionStatus::MayHaveRun),
        retry_after: (refusal.retry_after_ms > 0).then(|| Duration::from_millis(refusal.retry_after_ms)),
    }
}
