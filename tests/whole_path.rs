//! End-to-end test: guards against a failure anywhere on the path between caller, entry process, worker and
//! endpoint.

mod fixture;

use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

use fixture::{BLUE_KEY, RED_KEY};

/// Guards against jobs and requests that work only in the process that owns their shard: each process gets a
/// request, and the job is read in another process than the one that accepted it.
#[gtest]
#[actix_rt::test]
async fn a_job_and_a_request_go_through_three_entry_processes() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let first = fixture::start_entry(&world, "entry-1", "a").await;
    let second = fixture::start_entry(&world, "entry-2", "b").await;
    let third = fixture::start_entry(&world, "entry-3", "c").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    for entry in [&first, &second, &third] {
        fixture::wait_ready(entry).await;
    }

    // Act
    let (accepted_status, _) =
        fixture::submit(&first, BLUE_KEY, &fixture::batch_job("blue", "load", 5)).await;
    let (foreign_status, refusal) =
        fixture::submit(&first, RED_KEY, &fixture::batch_job("blue", "other", 1)).await;
    let state = fixture::wait_job(&second, BLUE_KEY, "blue/load").await;
    let mut answers = Vec::new();
    for entry in [&first, &second, &third] {
        let id = format!("r-{}", entry.listen.port());
        answers.push((fixture::call(entry, "blue", BLUE_KEY, &id, false).await, id));
    }

    // Assert
    expect_that!(accepted_status, eq(202));
    expect_that!(foreign_status, eq(403));
    expect_that!(refusal["run"].as_str(), some(eq("not_run")));
    expect_that!(state["outcome"]["finished"].as_array().map(Vec::len), some(eq(5)));
    for ((status, body), id) in answers {
        expect_that!(status, eq(200));
        expect_that!(body, eq(&format!("answer to blue/{id}: body of {id}")));
    }
    for entry in [first, second, third] {
        entry.stop().await;
    }
    token.cancel();
}
