//! Guards against outcomes and acknowledgements that contradict what ran.

mod fixture_placement;

use std::time::Duration;

use fixture_placement::{gang, shard, unsynced_shard};
use godwithaven::kernel::{ScheduleEffect, ScheduleEvent, TaskEnd, TaskOutcome, WorkerCommand, WorkerReport};
use googletest::prelude::*;

/// Returns the report of a worker on which one attempt has finished and nothing runs.
fn finished(task: &str) -> WorkerReport {
    let end = TaskEnd { task: task.into(), outcome: TaskOutcome::Finished, result: task.to_owned() };
    WorkerReport { running: Vec::new(), ended: vec![end] }
}

/// Guards against refusing a gang job that has started: when a worker vanishes, the gang fits no more, but a
/// refusal says that nothing of the job ran.
#[gtest]
fn a_started_gang_waits_for_vanished_workers() {
    // Arrange
    let mut shard = shard(3);
    shard.accept(gang("blue/gang", 3, 60_000));
    shard.run(Duration::from_secs(2));
    let started = shard.workers_of("blue/gang").len();

    // Act: one worker fails and leaves the VM list; later it is listed again.
    shard.running.retain(|(vm, ..)| vm != "w2");
    shard.unreachable.push("w2".to_owned());
    let all = shard.workers.clone();
    shard.workers.pop();
    shard.send_event(ScheduleEvent::WorkersListed(shard.workers.clone()));
    shard.run(Duration::from_secs(60));
    let meanwhile = shard.outcome("blue/gang");
    shard.unreachable.clear();
    shard.workers = all;
    shard.send_event(ScheduleEvent::WorkersListed(shard.workers.clone()));
    shard.run(Duration::from_secs(60));

    // Assert
    expect_that!((started, meanwhile), eq(&(3, None)));
    expect_that!(shard.workers_of("blue/gang").len(), eq(3));
}

/// Guards against running a finished task again: if only one of its two ends is kept, and on a worker that a
/// new owner cannot reach, that owner places the task once more.
#[gtest]
fn each_end_of_a_finished_task_is_kept_until_the_outcome_is_recorded() {
    // Arrange: two attempts of one task finished, as the worker of the first one was unreachable for a while.
    let now = std::time::Instant::now();
    let mut shard = unsynced_shard(2, now + Duration::from_secs(30));
    let job = std::sync::Arc::new(fixture_placement::batch("blue/load", 2, 1_000));
    shard.scheduler.restore_job(&job, false);

    // Act
    shard.send_event(ScheduleEvent::SyncAnswered("w0".into(), finished("blue/load#0@1")));
    shard.send_event(ScheduleEvent::SyncAnswered("w1".into(), finished("blue/load#0@2")));
    let early = acknowledged(&shard.effects);
    let recorded = shard.send_event(ScheduleEvent::JobEnded("blue/load".into()));

    // Assert
    expect_that!(early, is_empty());
    expect_that!(acknowledged(&recorded), unordered_elements_are![eq("blue/load#0@1"), eq("blue/load#0@2")]);
}

/// Returns the names of the attempts whose ends the effects acknowledge.
fn acknowledged(effects: &[ScheduleEffect]) -> Vec<String> {
    let task = |effect: &ScheduleEffect| match effect {
        ScheduleEffect::Command(_, WorkerCommand::Acknowledge { task }) => Some(task.to_string()),
        _ => None,
    };
    effects.iter().filter_map(task).collect()
}
