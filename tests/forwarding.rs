//! Tests of requests that are forwarded to the owners of service partitions.

use std::time::{Duration, Instant};

use bytes::Bytes;
use godwithaven::kernel::{
    ExecutionStatus, FrontReply, LedgerChange, RefusalReason, RequestRefusal, ShardClaim,
};
use godwithaven::tasks::admission::AdmissionMessage;
use godwithaven::tasks::forward::PendingForward;
use godwithaven::tasks::peer::{PeerMessage, PeerOutputs, PeerTask};
use godwithaven::tasks::router::RoutedCall;
use googletest::prelude::*;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

const CAPACITY: usize = 64;
const SHARD: &str = "planner/0";

fn call(reply: oneshot::Sender<FrontReply>) -> RoutedCall {
    RoutedCall {
        shard: SHARD.into(),
        team: "blue".into(),
        request: "blue/r1".into(),
        zone: "a".into(),
        idempotent: true,
        deadline: Some(Duration::from_secs(30)),
        body: Bytes::new(),
        reply,
    }
}

/// Guards against a refusal that says `not_run`, given by a process that has become the owner, although an
/// attempt at the former owner may have run.
#[gtest]
#[actix_rt::test]
async fn a_new_owner_never_denies_an_attempt_that_may_have_run() -> Result<()> {
    let token = CancellationToken::new();
    let (peer, inbox) = mpsc::channel(CAPACITY);
    let (journal, _journal_inbox) = mpsc::channel(CAPACITY);
    let (admission, mut admission_inbox) = mpsc::channel(CAPACITY);
    let (scheduler, _scheduler_inbox) = mpsc::channel(CAPACITY);
    let outputs = PeerOutputs { peer: peer.clone(), journal, admission, scheduler };
    actix_rt::spawn(PeerTask::new("p1".into(), "vm1".into(), outputs).run(inbox, token.clone()));
    let (reply, answer) = oneshot::channel();
    let mut pending = PendingForward::new(call(reply), Instant::now());
    let lost = RequestRefusal::may_have_run(RefusalReason::ConnectionLost, "the former owner has failed");
    pending.note_reply(&FrontReply::Refused(lost));
    let claim = ShardClaim { process: "p1".into(), token: 1 };

    let claimed = LedgerChange::ShardClaimed(SHARD.into(), claim);
    let sent = peer.send(PeerMessage::LedgerChanged(claimed)).await.is_ok()
        && peer.send(PeerMessage::RetryForward(Box::new(pending))).await.is_ok();
    let forwarded = loop {
        if let AdmissionMessage::Forwarded(call) = admission_inbox.recv().await.or_fail()? {
            break call;
        }
    };
    let full = RequestRefusal::not_run(RefusalReason::QueueFull, "the queue is full");
    let answered = forwarded.reply.send(FrontReply::Refused(full)).is_ok();
    let reply = answer.await.or_fail()?;
    token.cancel();

    verify_that!((sent, answered), eq((true, true)))?;
    let FrontReply::Refused(refusal) = reply else { return fail!("a refusal was expected") };
    verify_that!(refusal.run, eq(ExecutionStatus::MayHaveRun))
}
