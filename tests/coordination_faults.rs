//! Guards against jobs that are lost, run twice or are refused without need when the log or entry processes
//! fail.

mod fixture;

#[path = "fixture/faults.rs"]
mod faults;

use std::collections::BTreeMap;
use std::time::Duration;

use faults::{
    LOG_DOWN, ZONES, count_finished, find_violations, operator_page, sleep_seconds, start_entries,
    start_world_and_entries, submit, submit_many,
};
use fixture::BLUE_KEY;
use godwithaven::tasks::entry::EntryProcess;
use godwithaven_standins::invariant::InvariantViolations;
use godwithaven_standins::logservice::LogFaults;
use googletest::prelude::*;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

#[gtest]
#[actix_rt::test]
async fn a_log_outage_refuses_new_jobs_and_keeps_accepted_ones() {
    // Arrange
    let token = CancellationToken::new();
    let (world, entries) = start_world_and_entries(&token).await;
    let (before, _) = submit_many(&entries, "before", 6).await;

    // Act: the first job waits in the open group until it is withdrawn; the second one is refused at once.
    world.log.set_faults(LOG_DOWN);
    let (withdrawn, refusal) = submit(&entries[0], "withdrawn", 1).await;
    let (at_once, _) = submit(&entries[0], "at-once", 1).await;
    world.log.set_faults(LogFaults::default());
    sleep_seconds(3).await;
    let (after, refused) = submit_many(&entries, "after", 6).await;
    let finished = count_finished(&entries[1], &before).await + count_finished(&entries[1], &after).await;
    let unknown = fixture::wait_job(&entries[2], BLUE_KEY, "blue/at-once").await;
    let withdrawn_state = fixture::wait_job(&entries[2], BLUE_KEY, "blue/withdrawn").await;

    // Assert
    expect_that!((withdrawn, at_once), eq((503, 503)));
    expect_that!(unknown["code"].as_str(), some(eq("not_found")));
    // The append of the first job may have started before the outage was noticed; only `not_run` guarantees
    // that the job does not exist.
    let absent = withdrawn_state["code"].as_str() == Some("not_found");
    expect_true!(absent || refusal["run"].as_str() == Some("may_have_run"));
    expect_that!(refused.len(), eq(0));
    expect_that!(finished, eq(12));
    expect_that!(find_violations(&world).await, eq(InvariantViolations::default()));
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn lost_replies_of_the_log_accept_every_job_once() {
    // Arrange
    let token = CancellationToken::new();
    let (world, entries) = start_world_and_entries(&token).await;

    // Act
    world.log.set_faults(LogFaults { lose_append_replies: true, ..LogFaults::default() });
    let (accepted, _) = submit_many(&entries, "lost", 9).await;
    let finished = count_finished(&entries[0], &accepted).await;

    // Assert
    expect_that!((accepted.len(), finished), eq((9, 9)));
    expect_that!(find_violations(&world).await, eq(InvariantViolations::default()));
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn a_log_latency_of_five_seconds_refuses_no_job() {
    // Arrange
    let token = CancellationToken::new();
    let (world, entries) = start_world_and_entries(&token).await;

    // Act
    world.log.set_faults(LogFaults { delay: Duration::from_secs(5), ..LogFaults::default() });
    sleep_seconds(8).await;
    let (accepted, refused) = submit_many(&entries, "slow", 3).await;
    let finished = count_finished(&entries[0], &accepted).await;

    // Assert
    expect_that!(refused, eq(&BTreeMap::new()));
    expect_that!(finished, eq(3));
    expect_that!(find_violations(&world).await, eq(InvariantViolations::default()));
    token.cancel();
}

/// Guards against the answer `not_found` for an accepted job from a process that has not read its record yet.
#[gtest]
#[actix_rt::test]
async fn a_process_that_reads_the_log_late_finds_an_accepted_job() {
    // Arrange
    let token = CancellationToken::new();
    let (world, entries) = start_world_and_entries(&token).await;
    let (log_listener, late) = faults::start_with_log_listener(&world, "late", "a", &token).await;
    fixture::wait_ready(&late).await;

    // Act
    log_listener.set_faults(LogFaults { delay: Duration::from_secs(2), ..LogFaults::default() });
    sleep_seconds(2).await;
    let (accepted, _) = submit_many(&entries, "job", 1).await;
    let state = fixture::wait_job(&late, BLUE_KEY, &accepted[0]).await;
    let unknown = fixture::wait_job(&late, BLUE_KEY, "blue/never").await;
    log_listener.set_faults(LOG_DOWN);
    sleep_seconds(10).await;
    let without_log = fixture::wait_job(&late, BLUE_KEY, "blue/never").await;

    // Assert: the process answers `not_found` only after it has read the log to its end.
    expect_that!(state["outcome"]["finished"].is_array(), eq(true), "{state}");
    expect_that!(unknown["code"].as_str(), some(eq("not_found")));
    expect_that!(without_log["code"].as_str(), some(eq("log_unavailable")));
    expect_that!(without_log["run"].as_str(), some(eq("may_have_run")));
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn a_process_that_starts_after_records_were_dropped_loads_a_snapshot() {
    // Arrange
    let token = CancellationToken::new();
    let (world, mut entries) = start_world_and_entries(&token).await;
    let (jobs, _) = submit_many(&entries, "old", 6).await;
    count_finished(&entries[0], &jobs).await;

    // Act: the log drops all records, the owner of the first shard writes a snapshot, and all processes are
    // replaced.
    let next = world.log.read_all("control").await.last().map_or(0, |(offset, _)| offset + 1);
    world.log.trim("control", next).await;
    let fresh = start_entries(&world, "fresh").await;
    fixture::wait_ready(&fresh[0]).await;
    for entry in entries.drain(..) {
        entry.stop().await;
    }
    let kept = count_finished(&fresh[0], &jobs).await;
    let (new, _) = submit_many(&fresh, "new", 6).await;
    let finished = count_finished(&fresh[1], &new).await;

    // Assert
    expect_that!((kept, finished), eq((6, 6)));
    expect_that!(find_violations(&world).await, eq(InvariantViolations::default()));
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn killed_owners_lose_no_job() {
    // Arrange
    let token = CancellationToken::new();
    let (world, mut entries) = start_world_and_entries(&token).await;
    let (mut jobs, _) = submit_many(&entries, "before", 9).await;

    // Act: two of the three processes are killed, one after the other.
    for round in 0..2 {
        let killed = entries.remove(0);
        world.unlist(killed.process.split('.').next().unwrap());
        killed.kill();
        let (accepted, _) = submit_many(&entries, &format!("round-{round}"), 6).await;
        jobs.extend(accepted);
    }
    let finished = count_finished(&entries[0], &jobs).await;

    // Assert
    expect_that!((jobs.len(), finished), eq((21, 21)));
    expect_that!(find_violations(&world).await, eq(InvariantViolations::default()));
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn replacing_all_processes_one_after_another_refuses_nothing() {
    // Arrange
    let token = CancellationToken::new();
    let (world, mut entries) = start_world_and_entries(&token).await;
    let mut jobs = Vec::new();

    // Act
    for zone in ZONES {
        let fresh = fixture::start_entry(&world, &format!("fresh-{zone}"), zone).await;
        fixture::wait_ready(&fresh).await;
        let old = entries.remove(0);
        entries.push(fresh);
        let vm = old.process.split('.').next().unwrap().to_owned();
        let name = format!("during-{zone}");
        let ((), (accepted, refused)) = tokio::join!(old.stop(), submit_many(&entries, &name, 12));
        world.unlist(&vm);
        expect_that!(refused, eq(&BTreeMap::new()));
        jobs.extend(accepted);
    }
    let finished = count_finished(&entries[0], &jobs).await;

    // Assert
    expect_that!((jobs.len(), finished), eq((36, 36)));
    expect_that!(find_violations(&world).await, eq(InvariantViolations::default()));
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn replacing_all_processes_at_once_loses_no_job() {
    // Arrange
    let token = CancellationToken::new();
    let (world, entries) = start_world_and_entries(&token).await;
    let (jobs, _) = submit_many(&entries, "before", 9).await;

    // Act
    for entry in entries {
        world.unlist(entry.process.split('.').next().unwrap());
        entry.kill();
    }
    let fresh = start_entries(&world, "fresh").await;
    for entry in &fresh {
        fixture::wait_ready(entry).await;
    }
    let finished = count_finished(&fresh[0], &jobs).await;

    // Assert
    expect_that!((jobs.len(), finished), eq((9, 9)));
    expect_that!(find_violations(&world).await, eq(InvariantViolations::default()));
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn a_process_without_the_log_runs_on_the_bundle_of_its_peers() {
    // Arrange
    let token = CancellationToken::new();
    let (world, entries) = start_world_and_entries(&token).await;
    let log_listener = world.log.add_listener(token.child_token()).await.unwrap();
    log_listener.set_faults(LOG_DOWN);
    let mut settings = fixture::settings(&world, "late", "a");
    settings.log = log_listener.address.to_string();

    // Act
    let late = EntryProcess::start(settings).await.unwrap();
    let (_, first) = submit(&late, "first", 1).await;
    world.list_entry("late", "a", &late.peer_listen.to_string());
    sleep_seconds(4).await;
    let (_, second) = submit(&late, "second", 1).await;
    let ready = operator_page(&late, "/readyz").await;
    for vm in ["late", "entry-a", "entry-b", "entry-c"] {
        world.unlist(vm);
    }
    entries.into_iter().for_each(EntryProcess::kill);
    world.list_entry("gone", "a", "127.0.0.1:1");
    sleep_seconds(9).await;
    let (_, third) = submit(&late, "third", 1).await;

    // Assert: the process first has no bundle, then that of its peers, and in the end no peer that confirms
    // the bundle.
    let read = |body: &Value| format!("{} {}", body["code"].as_str().unwrap(), body["run"].as_str().unwrap());
    expect_that!(read(&first), eq("no_configuration not_run"));
    expect_that!(read(&second), eq("log_unavailable not_run"));
    expect_that!(ready, eq("no configuration\n"));
    expect_that!(read(&third), eq("no_configuration not_run"));
    token.cancel();
}
