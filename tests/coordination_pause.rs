//! Guards against an entry process or worker that is paused and then acts on outdated state.

mod fixture;

#[path = "fixture/daemon.rs"]
mod daemon;

use std::collections::BTreeSet;
use std::time::Duration;

use fixture::BLUE_KEY;
use godwithaven_standins::invariant::{self, InvariantViolations, TaskEvent};
use godwithaven_standins::worker::WorkerFaults;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

#[gtest]
#[actix_rt::test]
async fn a_process_paused_past_its_lease_starts_nothing_twice() {
    // Arrange: the child process owns all shards before the other process joins.
    let token = CancellationToken::new();
    let mut world = fixture::start_world(&token).await;
    for team in ["blue", "red"] {
        world.facts.limits.insert(team.into(), [64_000, 262_144, 16]);
    }
    let daemon = daemon::start_daemon(&world);
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let entry = fixture::start_entry(&world, "entry-1", "b").await;
    fixture::wait_ready(&entry).await;

    // Act: while long tasks run, the owner is paused, the other process takes over, and the old owner
    // resumes.
    let mut jobs = Vec::new();
    for index in 0..12 {
        let mut job = fixture::batch_job("blue", &format!("job-{index}"), 4);
        job["run_ms"] = 1_500.into();
        expect_that!(fixture::submit(&entry, BLUE_KEY, &job).await.0, eq(202));
        jobs.push(format!("blue/job-{index}"));
        match index {
            3 => daemon.signal("STOP"),
            7 => tokio::time::sleep(Duration::from_secs(5)).await,
            9 => daemon.signal("CONT"),
            _ => {}
        }
    }
    let mut finished = 0;
    for job in &jobs {
        let state = fixture::wait_job(&entry, BLUE_KEY, job).await;
        finished += usize::from(state["outcome"]["finished"].is_array());
    }
    drop(daemon);

    // Assert
    expect_that!(finished, eq(12));
    let violations = invariant::check(&world.workers.records().await, &world.facts);
    expect_that!(violations, eq(InvariantViolations::default()));
    entry.stop().await;
    token.cancel();
}

/// Guards against starts that a paused worker reads from its socket after its owner has placed the tasks
/// elsewhere.
#[gtest]
#[actix_rt::test]
async fn a_worker_paused_past_its_lease_runs_no_buffered_start() {
    // Arrange: packing places later jobs on workers that already run tasks.
    let token = CancellationToken::new();
    let mut world = fixture::start_world(&token).await;
    world.facts.limits.insert("blue".into(), [64_000, 262_144, 16]);
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&entry).await;
    let mut paused = Vec::new();
    for index in 0..12 {
        // Act: the busy workers are paused, are sent starts, and read them after their leases have expired.
        if index == 6 {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let busy: BTreeSet<String> =
                world.workers.running().await.into_iter().map(|(vm, _)| vm).collect();
            for vm in busy {
                world.workers.set_faults(&vm, WorkerFaults { paused: true, ..WorkerFaults::default() }).await;
                paused.push(vm);
            }
        }
        let mut job = fixture::batch_job("blue", &format!("job-{index}"), 2);
        job["run_ms"] = 30_000.into();
        expect_that!(fixture::submit(&entry, BLUE_KEY, &job).await.0, eq(202));
    }
    // All 24 tasks run on other workers in the end; twelve of them were started before on a worker that was
    // paused.
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    let mut started = 0;
    while started < 36 && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let records = world.workers.records().await;
        started = records.iter().filter(|record| matches!(record.event, TaskEvent::Started { .. })).count();
    }
    for vm in &paused {
        world.workers.set_faults(vm, WorkerFaults::default()).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    // Assert
    let records = world.workers.records().await;
    expect_that!(started, eq(36));
    expect_that!(invariant::check(&records, &world.facts), eq(InvariantViolations::default()));
    token.cancel();
}
