//! Guards against syncs that carry more than what changed: syncs are most of the traffic of the control
//! plane.

use std::time::Duration;

use godwithaven::kernel::{ResourceVector, WorkerCommand};
use godwithaven::tasks::adapter::{AdapterEntry, SyncAnswer, SyncRequest, SyncResult, WorkerClient};
use godwithaven_standins::relay::RelayStandin;
use godwithaven_standins::worker::WorkerStandin;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

/// Maximum bytes of a sync without changes, request and reply with all headers. The platform sets the headers
/// of the reply.
const MAX_UNCHANGED_SYNC_BYTES: u64 = 400;
/// Number of tasks that run on the worker.
const TASK_COUNT: usize = 10;

async fn sync(client: &WorkerClient, last: &SyncAnswer, commands: Vec<WorkerCommand>) -> SyncResult {
    let (lease, stamp, known_revision) = (Duration::from_secs(30), last.stamp.clone(), last.revision);
    client(SyncRequest { vm: "worker-1000".into(), token: 1_234_567, lease, stamp, commands, known_revision })
        .await
}

fn start(index: usize) -> WorkerCommand {
    let (task, team) = (format!("blue/j{index}#0@1").into(), "blue".into());
    WorkerCommand::Start { task, team, need: ResourceVector::new(1_000, 1_024, 0), run_time: None }
}

/// Guards against sending the running tasks again while they have not changed, and against leaving them out
/// when they have changed or when the worker does not know the revision in the request.
#[gtest]
#[actix_rt::test]
async fn unchanged_running_tasks_are_sent_once() {
    // Arrange
    let token = CancellationToken::new();
    let workers = WorkerStandin::start("127.0.0.1:0", token.child_token()).await.unwrap();
    let relay = RelayStandin::start(workers.address, token.child_token()).await.unwrap();
    let client = (AdapterEntry::find(AdapterEntry::worker).unwrap().connect)(&relay.address.to_string());
    let first_answer = sync(&client, &SyncAnswer::default(), Vec::new()).await;
    let SyncResult::FullReport(first_answer) = first_answer else { panic!("{first_answer:?}") };
    let result = sync(&client, &first_answer, (0..TASK_COUNT).map(start).collect()).await;
    let SyncResult::FullReport(known) = result else { panic!("{result:?}") };
    let bytes_before = relay.count().await;

    // Act
    let unchanged = sync(&client, &known, Vec::new()).await;
    let bytes_after = relay.count().await;
    let changed = sync(&client, &known, vec![start(TASK_COUNT)]).await;
    let unknown_revision = SyncAnswer { revision: known.revision.map(|known| known + 100), ..known.clone() };
    let full = sync(&client, &unknown_revision, Vec::new()).await;

    // Assert
    expect_that!(known.report.running.len(), eq(TASK_COUNT));
    expect_true!(matches!(unchanged, SyncResult::Unchanged(_)));
    expect_that!(
        bytes_after.sent + bytes_after.received - bytes_before.sent - bytes_before.received,
        le(MAX_UNCHANGED_SYNC_BYTES)
    );
    for result in [changed, full] {
        expect_true!(
            matches!(&result, SyncResult::FullReport(answer) if answer.report.running.len() == TASK_COUNT + 1),
            "{result:?}"
        );
    }
    token.cancel();
}
