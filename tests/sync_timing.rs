//! Guards against syncs that waste bandwidth on workers without news, and against ends of tasks and failures
//! of workers that are noticed too late.

use std::time::{Duration, Instant};

use godwithaven::kernel::{
    ResourceVector, SyncTiming, TaskReport, TrackedTask, TrackedTasks, WorkerCommand, WorkerReport,
};
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const TIMING: SyncTiming = SyncTiming {
    interval: Duration::from_secs(2),
    lease: Duration::from_secs(60),
    answer_timeout: Duration::from_secs(2),
};

/// Returns the number of syncs while a task runs, and the delay after which its end is noticed.
fn sync_run(declared: Option<Duration>, run_time: Duration) -> (u32, Duration) {
    let start = Instant::now();
    let task = TrackedTask { since: start, run_time: declared };
    let (mut syncs, mut now) = (0, start);
    while now < start + run_time {
        now += TIMING.next(std::iter::once(task), now);
        syncs += 1;
    }
    (syncs, now.duration_since(start + run_time))
}

/// Guards against a long task that is polled at the minimum interval, and against a declared end that is
/// noticed late because the interval has grown.
#[gtest]
fn a_long_task_costs_few_syncs_and_its_declared_end_is_heard_at_once() -> Result<()> {
    // Act
    let (syncs, delay) = sync_run(Some(3_600 * SECOND), 3_600 * SECOND);

    // Assert: at the minimum interval of 2 s there would be 1,800 syncs.
    expect_that!(syncs, le(210));
    verify_that!(delay, le(TIMING.interval))
}

/// Guards against an end that is noticed late because the run time is not declared or is wrong.
#[gtest]
fn an_undeclared_end_is_heard_within_a_part_of_the_run_time() {
    for declared in [None, Some(3_600 * SECOND), Some(SECOND)] {
        for seconds in [1, 20, 100, 1_000, 5_000] {
            let (_, delay) = sync_run(declared, seconds * SECOND);
            let bound = (seconds * SECOND / 8).clamp(2 * SECOND, 20 * SECOND) + SECOND;
            expect_that!(delay, le(bound), "{declared:?} after {seconds} s");
        }
    }
}

/// Guards against idle workers that are synced more often than their lease requires.
#[gtest]
fn an_idle_worker_is_synced_three_times_a_lease() -> Result<()> {
    verify_that!(TIMING.next(std::iter::empty(), Instant::now()), eq(20 * SECOND))
}

/// Guards against a lease that expires although the worker answers: a sync extends it counted from the
/// previous answer, and one sync may fail.
#[gtest]
fn a_lease_outlasts_two_waits_and_a_failed_sync() -> Result<()> {
    let failed = TIMING.answer_timeout + TIMING.interval;
    verify_that!(TIMING.max_interval() * 2 + failed, lt(TIMING.lease))
}

/// Guards against a young task that is checked late because older tasks on its worker are checked rarely.
#[gtest]
fn the_youngest_task_decides() -> Result<()> {
    let start = Instant::now();
    let now = start + 9_000 * SECOND;
    let old = TrackedTask { since: start, run_time: None };
    let young = TrackedTask { since: start + 8_960 * SECOND, run_time: None };

    verify_that!(TIMING.next([old, young].into_iter(), now), eq(5 * SECOND))
}

/// Returns a report that lists one running task.
fn running(task: &str) -> WorkerReport {
    let need = ResourceVector::new(1_000, 1_024, 0);
    let (task, team) = (task.into(), "blue".into());
    let running = vec![TaskReport { task, team, need, used: need, checkpointed: false }];
    WorkerReport { running, ended: Vec::new() }
}

/// Guards against resources that stay allocated because no sync checks whether a task has stopped, and
/// against a lost start that is noticed late because a lagging report does not list it.
#[gtest]
fn a_command_is_followed_up_although_reports_lag() {
    // Arrange
    let (start, task) = (Instant::now(), "blue/j#0@1");
    let (mut stopping, mut starting) = (TrackedTasks::default(), TrackedTasks::default());
    stopping.note(&[], &running(task), start);
    let now = start + 9_000 * SECOND;
    let need = ResourceVector::new(1_000, 1_024, 0);
    let start_command = WorkerCommand::Start { task: task.into(), team: "blue".into(), need, run_time: None };

    // Act
    let before = TIMING.next(stopping.iter(), now);
    stopping.note(&[WorkerCommand::Stop { task: task.into() }], &running(task), now);
    starting.note(&[start_command], &WorkerReport::default(), now);
    let waits = [2, 4, 10].map(|seconds| {
        let later = now + seconds * SECOND;
        stopping.note(&[], &running(task), later);
        starting.note(&[], &WorkerReport::default(), later);
        [TIMING.next(stopping.iter(), later), TIMING.next(starting.iter(), later)]
    });

    // Assert: a task that no report lists for 5 s is taken as not started.
    expect_that!(before, eq(TIMING.max_interval()));
    expect_that!(waits, eq([[2 * SECOND; 2], [2 * SECOND; 2], [2 * SECOND, TIMING.max_interval()]]));
}
