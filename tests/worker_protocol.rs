//! Guards against gaps of the worker protocol through which a worker carries out what was sent to it earlier,
//! shown with the stand-in that follows the protocol.

use std::time::Duration;

use godwithaven::kernel::id::FencingToken;
use godwithaven::kernel::{ResourceVector, WorkerCommand};
use godwithaven::tasks::adapter::{AdapterEntry, SyncAnswer, SyncRequest, SyncResult, WorkerClient};
use godwithaven_standins::worker::WorkerStandin;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

/// Starts the stand-in of a worker and returns it with a client of the adapter.
async fn start_worker(token: &CancellationToken) -> (WorkerStandin, WorkerClient) {
    let workers = WorkerStandin::start("127.0.0.1:0", token.child_token()).await.unwrap();
    let client = (AdapterEntry::find(AdapterEntry::worker).unwrap().connect)(&workers.address.to_string());
    (workers, client)
}

/// Syncs under a lease of 30 s that counts from the stamp of an earlier answer.
async fn sync(
    client: &WorkerClient,
    token: FencingToken,
    earlier: &SyncAnswer,
    commands: Vec<WorkerCommand>,
) -> SyncResult {
    let (lease, stamp) = (Duration::from_secs(30), earlier.stamp.clone());
    client(SyncRequest { vm: "w".into(), token, lease, stamp, commands, known_revision: None }).await
}

/// Syncs without a stamp, as an owner does at first, and returns the answer.
async fn first_sync(client: &WorkerClient, token: FencingToken) -> SyncAnswer {
    match sync(client, token, &SyncAnswer::default(), Vec::new()).await {
        SyncResult::FullReport(answer) => answer,
        result => panic!("{result:?}"),
    }
}

fn start(task: &str) -> WorkerCommand {
    let need = ResourceVector::new(1_000, 1_024, 0);
    WorkerCommand::Start { task: task.into(), team: "blue".into(), need, run_time: None }
}

/// Guards against a worker that takes the syncs of a former owner again after a restart, because it has
/// forgotten the token of the present one.
#[gtest]
#[actix_rt::test]
async fn a_restarted_worker_refuses_a_former_owner() {
    // Arrange
    let token = CancellationToken::new();
    let (workers, client) = start_worker(&token).await;
    first_sync(&client, 7).await;
    first_sync(&client, 9).await;

    // Act
    workers.restart("w").await;
    let former = sync(&client, 7, &SyncAnswer::default(), Vec::new()).await;
    let stamped = match &former {
        SyncResult::FullReport(answer) => sync(&client, 7, answer, vec![start("blue/job#0@0")]).await,
        result => result.clone(),
    };

    // Assert
    for result in [former, stamped] {
        expect_true!(matches!(result, SyncResult::Fenced(9)), "{result:?}");
    }
    expect_that!(workers.running().await.len(), eq(0));
    token.cancel();
}

/// Guards against a start that waited in a silent connection and is carried out after the stop that followed
/// it on another connection. By then its owner has found the task absent and placed it elsewhere.
#[gtest]
#[actix_rt::test]
async fn a_start_that_arrives_after_its_stop_is_not_carried_out() {
    // Arrange
    let token = CancellationToken::new();
    let (workers, client) = start_worker(&token).await;
    let answer = first_sync(&client, 7).await;

    // Act
    sync(&client, 7, &answer, vec![WorkerCommand::Stop { task: "blue/job#0@0".into() }]).await;
    sync(&client, 7, &answer, vec![start("blue/job#0@0"), start("blue/job#1@0")]).await;

    // Assert
    expect_that!(workers.running().await, elements_are![eq(&("w".into(), "blue/job#1@0".into()))]);
    token.cancel();
}
