//! Guards against syncs that carry more than what changed, as they are most of the traffic of control.

use std::time::Duration;

use godwithaven::kernel::{ResourceVector, WorkerCommand};
use godwithaven::tasks::adapter::{AdapterEntry, SyncAnswer, SyncRequest, SyncResult, WorkerClient};
use godwithaven_standins::relay::RelayStandin;
use godwithaven_standins::worker::WorkerStandin;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

/// Bytes of a sync without news, request and reply with all headers; the headers of the reply are the platform's.
const SYNC_BYTES: u64 = 400;
/// Tasks that run on the worker.
const TASKS: usize = 10;

async fn sync(client: &WorkerClient, last: &SyncAnswer, commands: Vec<WorkerCommand>) -> SyncResult {
    let (lease, stamp, known) = (Duration::from_secs(30), last.stamp.clone(), last.revision);
    client(SyncRequest { vm: "worker-1000".into(), token: 1_234_567, lease, stamp, commands, known }).await
}

fn start(index: usize) -> WorkerCommand {
    let (task, team) = (format!("blue/j{index}#0@1").into(), "blue".into());
    WorkerCommand::Start { task, team, need: ResourceVector::new(1_000, 1_024, 0), run_time: None }
}

#[gtest]
#[actix_rt::test]
async fn a_running_list_is_sent_once() {
    // Arrange
    let token = CancellationToken::new();
    let workers = WorkerStandin::start("127.0.0.1:0", token.child_token()).await.unwrap();
    let relay = RelayStandin::start(workers.address, token.child_token()).await.unwrap();
    let client = (AdapterEntry::find(AdapterEntry::worker).unwrap().connect)(&relay.address.to_string());
    let hello = sync(&client, &SyncAnswer::default(), Vec::new()).await;
    let SyncResult::Report(hello) = hello else { panic!("{hello:?}") };
    let first = sync(&client, &hello, (0..TASKS).map(start).collect()).await;
    let SyncResult::Report(known) = first else { panic!("{first:?}") };
    let before = relay.count().await;

    // Act
    let again = sync(&client, &known, Vec::new()).await;
    let after = relay.count().await;
    let changed = sync(&client, &known, vec![start(TASKS)]).await;
    let other = SyncAnswer { revision: known.revision.map(|known| known + 100), ..known.clone() };
    let unknown = sync(&client, &other, Vec::new()).await;

    // Assert
    expect_that!(known.report.running.len(), eq(TASKS));
    expect_true!(matches!(again, SyncResult::Unchanged(_)));
    expect_that!(after.sent + after.received - before.sent - before.received, le(SYNC_BYTES));
    for result in [changed, unknown] {
        expect_true!(
            matches!(&result, SyncResult::Report(answer) if answer.report.running.len() == TASKS + 1),
            "{result:?}"
        );
    }
    token.cancel();
}
