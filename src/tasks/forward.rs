//! Forwards requests to the entry processes that own their service partitions, and retries when the owner
//! changes.

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tonic::Status;
use tonic::transport::Channel;

use crate::kernel::{ExecutionStatus, FrontReply, RefusalReason, RequestRefusal, rendezvous};
use crate::prelude::*;
use crate::proto::peer::peer_client::PeerClient;
use crate::proto::peer::{ForwardReply, ForwardRequest, Refusal, forward_reply};
use crate::tasks::peer::PeerMessage;
use crate::tasks::router::RoutedCall;

/// How long after its deadline the answer to a forwarded request is still awaited.
const FORWARD_GRACE: Duration = Duration::from_secs(2);
/// Time to the deadline of a request whose caller names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Maximum time to the deadline; the same as in `router_message`, where the reason is given.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Minimum delay before a request is sent again; up to 100 ms of jitter are added, derived from the request
/// id.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A request to be forwarded, before its first attempt or between two attempts.
pub struct PendingForward {
    /// The request and the sender of its reply.
    pub call: RoutedCall,
    /// When the caller stops waiting; the request is not sent again after this time.
    pub deadline: Instant,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
}

impl PendingForward {
    /// Returns a request that was not sent to any owner yet.
    #[must_use]
    pub fn new(call: RoutedCall, now: Instant) -> Self {
        let deadline = now + call.deadline.unwrap_or(DEFAULT_DEADLINE).min(MAX_DEADLINE);
        Self { call, deadline, may_have_run: false }
    }

    /// Notes the reply to an attempt, after which the request may be sent again.
    pub fn note_reply(&mut self, reply: &FrontReply) {
        let may_have_run =
            matches!(reply, FrontReply::Refused(refusal) if refusal.run == ExecutionStatus::MayHaveRun);
        self.may_have_run |= may_have_run;
    }

    /// Answers the caller. A refusal given here never says `not_run` if an earlier attempt may have run.
    pub fn finish(self, reply: FrontReply) {
        let _ = self.call.reply.send(after_attempts(self.may_have_run, reply));
    }

    /// Returns the request for a router of this process, and a future that passes the router's reply on to
    /// the caller as [`Self::finish`] does.
    pub fn redirect(mut self, now: Instant) -> (RoutedCall, impl Future<Output = ()>) {
        let (reply, answer) = oneshot::channel();
        let caller = std::mem::replace(&mut self.call.reply, reply);
        self.call.deadline = Some(self.deadline.saturating_duration_since(now));
        let may_have_run = self.may_have_run;
        let answered = async move {
            let reply = answer.await.unwrap_or_else(|_| dropped_request());
            let _ = caller.send(after_attempts(may_have_run, reply));
        };
        (self.call, answered)
    }
}

/// Returns the reply to a request after earlier attempts: no refusal says `not_run` if one of them may have
/// run.
fn after_attempts(may_have_run: bool, mut reply: FrontReply) -> FrontReply {
    if let FrontReply::Refused(refusal) = &mut reply
        && may_have_run
    {
        refusal.run = ExecutionStatus::MayHaveRun;
    }
    reply
}

/// Sends a request to its owner and answers the caller. If the request may be sent again before its deadline,
/// it goes back to the peer task after a delay instead.
pub async fn forward_call(
    client: Option<PeerClient<Channel>>,
    mut pending: PendingForward,
    sender: mpsc::Sender<PeerMessage>,
) {
    let (reply, retry) = match client {
        Some(client) => send_call(client, &pending).await,
        None => (unreachable_owner(), true),
    };
    pending.note_reply(&reply);
    let jitter_ms = rendezvous::hash(&[&pending.call.request]) % 100;
    let delay = MIN_RETRY_DELAY + Duration::from_millis(jitter_ms);
    let before_deadline = Instant::now() + delay < pending.deadline && !pending.call.reply.is_closed();
    if !retry || !before_deadline {
        pending.finish(reply);
        return;
    }
    tokio::time::sleep(delay).await;
    let _ = sender.send(PeerMessage::RetryForward(Box::new(pending))).await;
}

/// Sends a request to its owner once; returns the reply and whether the request may be sent again.
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
            let owner_changed = |refusal: &RequestRefusal| {
                refusal.code == RefusalReason::NoOwner
                    && (refusal.run == ExecutionStatus::NotRun || call.idempotent)
            };
            let retry = matches!(&reply, FrontReply::Refused(refusal) if owner_changed(refusal));
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

/// Returns whether the connection could not be opened, so that no part of the request was sent.
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

/// Returns the refusal of a request that did not reach the owner of its partition.
#[must_use]
pub fn unreachable_owner() -> FrontReply {
    let text = "the owner of the service partition cannot be reached";
    FrontReply::Refused(RequestRefusal::not_run(RefusalReason::NoOwner, text))
}

fn dropped_request() -> FrontReply {
    let text = "the process is stopping and has dropped the request";
    FrontReply::Refused(RequestRefusal::may_have_run(RefusalReason::Stopping, text))
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
    let json_string = |text: String| serde_json::Value::String(text);
    RequestRefusal {
        code: serde_json::from_value(json_string(refusal.code)).unwrap_or(RefusalReason::AnswerUnknown),
        message: refusal.message,
        // An unknown value must not become `not_run`: the request may have run.
        run: serde_json::from_value(json_string(refusal.run)).unwrap_or(ExecutionStatus::MayHaveRun),
        retry_after: (refusal.retry_after_ms > 0).then(|| Duration::from_millis(refusal.retry_after_ms)),
    }
}
