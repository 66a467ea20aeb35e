//! Guards against tasks that run twice, get lost or are not counted when workers, replies or owners fail.

mod fixture_placement;

use std::time::{Duration, Instant};

use googletest::prelude::*;

use fixture_placement::{TIMING, batch, bundle, outcomes, service, shard, starts, stops, unsynced_shard};
use godwithaven::kernel::{
    JobOutcome, LeaseTiming, ResourceVector, ScheduleEffect, ScheduleEvent, TaskOutcome, WorkerCommand,
    WorkerReport,
};

/// Guards against a second start of a task while a worker that answers no syncs may still run it under its
/// lease.
#[gtest]
fn tasks_of_a_silent_worker_wait_for_the_end_of_its_lease() {
    // Arrange
    let mut shard = shard(3);
    shard.accept(batch("blue/load", 1, 4_000));
    shard.run(Duration::from_secs(1));
    let vm = shard.workers_of("blue/load").remove(0);
    shard.unreachable.push(vm.clone());
    let lease_over = TIMING.latest_expiry(shard.now + Duration::from_millis(500));

    // Act
    let early = shard.effects.len();
    while shard.now + Duration::from_millis(500) < lease_over {
        shard.run(Duration::from_millis(500));
    }
    let before = starts(&shard.effects[early..]);
    shard.run(Duration::from_secs(3));
    let after = starts(&shard.effects[early..]);

    // Assert
    expect_that!(before, is_empty());
    expect_that!(after.len(), eq(1));
    expect_that!(after[0].0, not(eq(&vm)));
    expect_that!(after[0].1, eq("blue/load#0@1"));
}

/// Guards against treating the removal of a worker from the VM list as proof that its tasks have ended.
#[gtest]
fn tasks_of_a_vanished_worker_wait_for_the_end_of_its_lease() {
    // Arrange
    let mut shard = shard(2);
    shard.accept(batch("blue/load", 1, 4_000));
    shard.run(Duration::from_secs(1));
    let vm = shard.workers_of("blue/load").remove(0);
    let rest = shard.workers.iter().filter(|listed| *listed.vm != *vm).cloned().collect();
    shard.unreachable.push(vm.clone());

    // Act
    let mut effects = shard.send_event(ScheduleEvent::WorkersListed(rest));
    effects.extend(shard.send_event(ScheduleEvent::SyncFailed(vm.as_str().into())));
    shard.now += TIMING.lease;
    effects.extend(shard.send_event(ScheduleEvent::Tick));
    shard.now += Duration::from_millis(2_400);
    let other = if vm == "w0" { "w1" } else { "w0" };
    shard.sync(other);
    let later = shard.send_event(ScheduleEvent::Tick);

    // Assert
    expect_that!(starts(&effects), is_empty());
    expect_that!(starts(&later).len(), eq(1));
    expect_that!(later, contains(eq(&ScheduleEffect::DisconnectWorker(vm.as_str().into()))));
}

/// Guards against a second start after a lost reply: the worker may have received the start, although its
/// next report does not list the task yet.
#[gtest]
fn a_start_whose_sync_failed_still_counts() {
    // Arrange
    let mut shard = shard(1);
    let started = starts(&shard.accept(batch("blue/load", 1, 60_000)));

    // Act
    shard.send_event(ScheduleEvent::SyncFailed("w0".into()));
    let after_report = shard.send_event(ScheduleEvent::SyncAnswered("w0".into(), WorkerReport::default()));
    let second = shard.accept(batch("blue/more", 1, 60_000));

    // Assert
    expect_that!(started.len(), eq(1));
    expect_that!(starts(&after_report), is_empty());
    expect_that!(starts(&second), is_empty());
    expect_that!(shard.scheduler.summary("r1/0".into()).used.cores_milli, eq(60_000));
}

/// Guards against tasks that keep their resources forever because their worker lost them in a restart.
#[gtest]
fn a_delivered_start_that_is_not_reported_is_lost() {
    // Arrange
    let mut shard = shard(1);
    shard.accept(batch("blue/load", 1, 60_000));
    shard.run(Duration::from_secs(5));

    // Act
    shard.running.clear();
    let from = shard.effects.len();
    shard.run(Duration::from_secs(2));

    // Assert
    let started = starts(&shard.effects[from..]);
    expect_that!(started, elements_are![eq(&("w0".to_owned(), "blue/load#0@1".to_owned()))]);
}

/// Guards against a repeated or late report that ends or restarts a task once more.
#[gtest]
fn repeated_and_late_ends_change_nothing() {
    // Arrange
    let mut shard = shard(1);
    shard.accept(batch("blue/load", 2, 1_000));
    shard.run(Duration::from_secs(1));
    shard.end("blue/load#0@0", TaskOutcome::Failed);
    let late = shard.report("w0");
    shard.run(Duration::from_secs(2));
    let from = shard.effects.len();

    // Act
    for _ in 0..3 {
        shard.send_event(ScheduleEvent::SyncAnswered("w0".into(), late.clone()));
    }

    // Assert
    expect_that!(starts(&shard.effects[from..]), is_empty());
    expect_that!(stops(&shard.effects[from..]), is_empty());
    expect_that!(shard.outcome("blue/load"), none());
    expect_that!(shard.running.len(), eq(2));
}

/// Guards against losing the result of a task. A worker that is told to forget an end before the outcome is
/// in the log cannot report it to the next owner.
#[gtest]
fn a_finished_task_is_acknowledged_after_the_outcome_was_folded() {
    // Arrange
    let mut shard = shard(1);
    shard.accept(batch("blue/load", 2, 1_000));
    shard.run(Duration::from_secs(1));
    let acknowledged = |effects: &[ScheduleEffect]| {
        let is_one = |effect: &&ScheduleEffect| {
            matches!(effect, ScheduleEffect::Command(_, WorkerCommand::Acknowledge { .. }))
        };
        effects.iter().filter(is_one).count()
    };

    // Act
    shard.end("blue/load#0@0", TaskOutcome::Finished);
    shard.run(Duration::from_secs(5));
    shard.end("blue/load#1@0", TaskOutcome::Finished);
    shard.run(Duration::from_secs(5));
    let before = acknowledged(&shard.effects);
    let applied = shard.send_event(ScheduleEvent::JobEnded("blue/load".into()));

    // Assert
    let results = ["blue/load#0@0", "blue/load#1@0"].map(|task| format!("result of {task}"));
    expect_that!(outcomes(&shard.effects, "blue/load"), eq(&vec![JobOutcome::Finished(results.into())]));
    expect_that!(before, eq(0));
    expect_that!(acknowledged(&applied), eq(2));
}

/// Guards against a queued start that is sent after its zone was closed.
#[gtest]
fn closing_a_zone_takes_back_starts_that_were_not_sent() {
    // Arrange
    let mut shard = shard(1);
    let started = starts(&shard.accept(batch("blue/load", 1, 1_000)));

    // Act
    let closed = shard.send_event(ScheduleEvent::BundleAdopted(bundle(&["a"])));
    let stopped = stops(&closed);
    let task = started[0].1.as_str();
    let withdrawn = shard.send_event(ScheduleEvent::StartWithdrawn("w0".into(), task.into()));

    // Assert
    expect_that!(stopped, elements_are![eq(task)]);
    expect_that!(starts(&withdrawn), is_empty());
    expect_that!(shard.scheduler.summary("r1/0".into()).used, eq(ResourceVector::default()));
    expect_that!(shard.reasons("blue/load"), contains(eq(&("zone_closed".to_owned(), 1))));
}

/// Guards against overcommitting a worker by freeing the resources of a task that is still being stopped.
#[gtest]
fn stopping_tasks_count_until_their_end_is_confirmed() {
    // Arrange
    let mut shard = shard(1);
    shard.accept(batch("blue/load", 1, 60_000));
    shard.run(Duration::from_secs(1));

    // Act
    let cancelled = shard.send_event(ScheduleEvent::JobCancelled("blue/load".into()));
    let too_early = shard.accept(batch("red/next", 1, 60_000));
    shard.run(Duration::from_secs(1));

    // Assert
    expect_that!(stops(&cancelled).len(), eq(1));
    expect_that!(starts(&too_early), is_empty());
    expect_that!(shard.outcome("blue/load"), some(eq(&JobOutcome::Cancelled)));
    expect_that!(shard.workers_of("red/next").len(), eq(1));
}

/// Guards against a new owner that starts tasks again which still run on workers it has not synced yet.
#[gtest]
fn inherited_jobs_wait_for_all_workers_or_the_old_lease() {
    // Arrange
    let old_leases_end = Instant::now() + Duration::from_secs(32);
    let mut shard = unsynced_shard(2, old_leases_end);
    let spec = std::sync::Arc::new(service("blue/web", 2, 1_000));
    shard.scheduler.restore_job(&spec, false);
    shard.running.push(("w1".into(), "blue/web#1@3".into(), "blue".into(), spec.need));

    // Act
    shard.sync("w0");
    let waits = shard.reasons("blue/web");
    let early = starts(&shard.effects);
    shard.sync("w1");
    shard.run(Duration::from_secs(1));

    // Assert
    expect_that!(early, is_empty());
    expect_that!(waits, elements_are![eq(&("waits_for_old_lease".to_owned(), 2))]);
    let tasks: Vec<&str> = shard.running.iter().map(|(_, task, ..)| task.as_str()).collect();
    expect_that!(tasks, unordered_elements_are![eq(&"blue/web#0@0"), eq(&"blue/web#1@3")]);
}

/// Guards against two owners that place tasks at the same time on workers that do not check fencing tokens.
#[gtest]
fn without_fencing_nothing_is_placed_before_the_old_lease_ended() {
    // Arrange
    let old_leases_end = Instant::now() + Duration::from_secs(32);
    let mut shard = unsynced_shard(1, old_leases_end);
    shard.scheduler = std::mem::replace(&mut shard.scheduler, unsynced_shard(0, old_leases_end).scheduler)
        .with_timing(LeaseTiming { supports_fencing: false, ..TIMING });
    shard.send_event(ScheduleEvent::JobAccepted(std::sync::Arc::new(service("blue/web", 1, 1_000))));

    // Act
    shard.sync("w0");
    shard.run(Duration::from_secs(20));
    let early = starts(&shard.effects);
    shard.run(Duration::from_secs(15));

    // Assert
    expect_that!(early, is_empty());
    expect_that!(starts(&shard.effects).len(), eq(1));
}

/// Guards against taking a late report of the end of an earlier owner's attempt for the end of an own one.
#[gtest]
fn attempts_of_two_owners_have_different_names() {
    // Arrange
    let mut shard = unsynced_shard(1, Instant::now() + Duration::from_secs(32));
    shard.scheduler = std::mem::replace(&mut shard.scheduler, unsynced_shard(0, Instant::now()).scheduler)
        .with_first_attempt(7 << 16);
    shard.scheduler.restore_job(&std::sync::Arc::new(batch("blue/load", 1, 1_000)), false);

    // Act
    shard.sync("w0");
    let started = starts(&shard.effects);

    // Assert
    expect_that!(started[0].1, eq("blue/load#0@458752"));
}

/// Guards against a task that stays throttled forever: the owner that reclaimed its resources was replaced
/// before it stopped the task or ended the plan.
#[gtest]
fn a_new_owner_lifts_the_throttle_of_tasks_it_finds() {
    // Arrange
    let mut shard = unsynced_shard(1, Instant::now() + Duration::from_secs(32));
    let spec = std::sync::Arc::new(batch("blue/load", 1, 1_000));
    shard.scheduler.restore_job(&spec, false);
    shard.running.push(("w0".into(), "blue/load#0@3".into(), "blue".into(), spec.need));

    // Act
    shard.sync("w0");

    // Assert
    let lift = WorkerCommand::Throttle { task: "blue/load#0@3".into(), percent: 100 };
    expect_that!(shard.pending, contains(eq(&("w0".to_owned(), lift))));
}

/// Guards against starting inherited tasks again while they run on a worker that left the VM list before its
/// first sync.
#[gtest]
fn inherited_jobs_wait_for_workers_that_left_the_list() {
    // Arrange
    let old_leases_end = Instant::now() + Duration::from_secs(32);
    let mut shard = unsynced_shard(2, old_leases_end);
    shard.scheduler.restore_job(&std::sync::Arc::new(service("blue/web", 1, 1_000)), false);
    shard.workers.truncate(1);
    let listed = shard.workers.clone();

    // Act
    shard.send_event(ScheduleEvent::WorkersListed(listed));
    shard.run(Duration::from_secs(30));
    let early = shard.running.len();
    shard.run(Duration::from_secs(3));

    // Assert
    expect_that!(early, eq(0));
    expect_that!(shard.running.len(), eq(1));
}

/// Guards against a new owner that exceeds an allotment because it does not count running tasks that it has
/// not found yet.
#[gtest]
fn tasks_that_were_not_found_yet_count_against_the_allotment() {
    // Arrange
    let old_leases_end = Instant::now() + Duration::from_secs(32);
    let mut shard = unsynced_shard(2, old_leases_end);
    let amount = ResourceVector::new(3_000, 1 << 20, 0);
    shard.send_event(ScheduleEvent::AllotmentChanged("blue".into(), amount));
    shard.scheduler.restore_job(&std::sync::Arc::new(service("blue/web", 2, 1_000)), false);
    shard.sync("w0");

    // Act
    let over = starts(&shard.accept(batch("blue/large", 1, 2_000)));
    let within = starts(&shard.accept(batch("blue/small", 1, 1_000)));

    // Assert
    expect_that!(over, is_empty());
    expect_that!(within.len(), eq(1));
}

/// Guards against recording an outcome while tasks of the job still run: a new owner would not know the job
/// and so not count these tasks.
#[gtest]
fn the_outcome_of_a_failed_job_waits_for_its_other_tasks() {
    // Arrange
    let mut shard = shard(1);
    let mut spec = batch("blue/load", 2, 1_000);
    spec.retries = 0;
    shard.accept(spec);
    shard.run(Duration::from_secs(1));

    // Act
    shard.end("blue/load#0@0", TaskOutcome::Failed);
    shard.sync("w0");
    let at_once = shard.outcome("blue/load");
    shard.run(Duration::from_secs(1));

    // Assert
    expect_that!(at_once, none());
    expect_that!(shard.outcome("blue/load"), some(matches_pattern!(JobOutcome::Failed(_))));
}

/// Guards against a team that exceeds its allotment because tasks that are still starting are not counted.
#[gtest]
fn starting_tasks_count_against_the_allotment() {
    // Arrange
    let mut shard = shard(3);
    let amount = ResourceVector::new(2_000, 1 << 20, 0);
    shard.send_event(ScheduleEvent::AllotmentChanged("blue".into(), amount));

    // Act
    let effects = shard.accept(batch("blue/load", 3, 1_000));

    // Assert
    expect_that!(starts(&effects).len(), eq(2));
    expect_that!(shard.reasons("blue/load"), elements_are![eq(&("over_limit".to_owned(), 1))]);
}

/// Guards against one faulty worker that uses up the retries of many jobs, and one faulty job for which many workers
/// are blamed.
#[gtest]
fn failures_of_several_jobs_put_a_worker_on_probation() {
    // Arrange
    let mut shard = shard(40);
    for (number, team) in ["blue", "red", "green"].into_iter().enumerate() {
        shard.accept(batch(&format!("{team}/load{number}"), 1, 1_000));
    }
    shard.run(Duration::from_secs(1));
    let vm = shard.workers_of("blue/load0").remove(0);
    let on_it: Vec<String> =
        shard.running.iter().filter(|(on, ..)| *on == vm).map(|(_, task, ..)| task.clone()).collect();

    // Act
    for task in &on_it {
        shard.end(task, TaskOutcome::Failed);
    }
    shard.run(Duration::from_secs(2));

    // Assert
    expect_that!(on_it.len(), eq(3));
    expect_that!(shard.running.len(), eq(3));
    expect_that!(shard.running.iter().filter(|(on, ..)| *on == vm).count(), eq(0));
}

/// Guards against an outcome that does not give the reason of the last failure.
#[gtest]
fn a_job_fails_with_its_last_reason_after_its_retries() {
    // Arrange
    let mut shard = shard(2);
    shard.accept(batch("blue/load", 1, 1_000));

    // Act
    for attempt in 0..2 {
        shard.run(Duration::from_secs(2));
        shard.end(&format!("blue/load#0@{attempt}"), TaskOutcome::Failed);
    }
    shard.run(Duration::from_secs(2));

    // Assert
    let outcome = JobOutcome::Failed("result of blue/load#0@1".into());
    expect_that!(outcomes(&shard.effects, "blue/load"), elements_are![eq(&outcome)]);
}

/// Guards against tasks of lost workers that stay placed until the next tick, once more leases expire at the
/// same time than one tick checks.
#[gtest]
fn leases_that_expire_together_are_checked_without_waiting_for_a_tick() {
    // Arrange
    let mut shard = shard(600);
    shard.accept(batch("blue/load", 600, 60_000));
    shard.run(Duration::from_secs(1));
    let vms: Vec<String> = shard.workers.iter().map(|listed| listed.vm.to_string()).collect();
    for vm in vms {
        shard.send_event(ScheduleEvent::SyncFailed(vm.as_str().into()));
    }
    shard.now += TIMING.lease * 2;

    // Act
    shard.send_event(ScheduleEvent::Tick);
    let mut slices = 1;
    while shard.scheduler.backlog && slices < 10 {
        shard.send_event(ScheduleEvent::Tick);
        slices += 1;
    }

    // Assert
    let summary = shard.scheduler.summary("r1/0".into());
    expect_that!(slices, gt(1));
    expect_that!((summary.used, summary.waiting), eq((ResourceVector::default(), 600)));
}
