//! Tests of a pool that batch work fills while more urgent steps arrive.

mod fixture_cell;

use std::time::Duration;

use fixture_cell::{CellDriver, START_UNIX_TIME, cell, job, step, submit};
use godwithaven::kernel::cell::{EndCause, GraphSpec, StepSpec};
use googletest::prelude::*;

/// Returns a cell of 16 cores that tasks with checkpoints have filled for some seconds.
fn full_cell() -> CellDriver {
    let mut driver = cell(2);
    let batch = StepSpec { checkpoints: true, estimate: Duration::from_secs(30), ..step(16) };
    submit(&mut driver, job("b", "batch", vec![batch]));
    driver.advance(2_000);
    driver
}

/// Returns a job that is submitted now; its latency objective is 1 s and twice the estimate.
fn submitted_now(driver: &CellDriver, queue: &str, step: StepSpec) -> GraphSpec {
    let submitted = START_UNIX_TIME + driver.now.duration_since(driver.start);
    GraphSpec { submitted, ..job("j", queue, vec![step]) }
}

fn gang() -> StepSpec {
    StepSpec { gang: true, estimate: Duration::from_secs(3), ..step(8) }
}

/// Returns for how long the cell runs until it stops a task, in steps of 100 ms up to 10 s.
fn time_to_first_stop(driver: &mut CellDriver) -> Option<Duration> {
    let from = driver.now;
    while driver.stops.is_empty() && driver.now < from + Duration::from_secs(10) {
        driver.advance(100);
    }
    (!driver.stops.is_empty()).then(|| driver.now - from)
}

/// Guards against batch tasks that are stopped for each gang as soon as it arrives, although tasks that end
/// by themselves would free the room in time.
#[gtest]
fn a_gang_with_time_left_waits_for_room() -> Result<()> {
    let mut driver = full_cell();
    let gang = submitted_now(&driver, "middle", gang());

    submit(&mut driver, gang);
    let at_once = driver.stops.len();
    for index in 0..8 {
        driver.end(&format!("b.0.0.{index}"), EndCause::Done);
    }

    verify_that!((at_once, driver.stops.len()), eq((0, 0)))?;
    verify_that!(driver.started("j.0.0.7"), some(anything()))
}

/// Guards against batch work that gets nothing for as long as many gangs of a higher priority wait, although
/// there is room that is too small for any of them.
#[gtest]
fn gangs_that_do_not_fit_hide_no_smaller_step_of_a_lower_priority() -> Result<()> {
    let mut driver = cell(2);
    let wide = StepSpec { gang: true, ..step(17) };
    for number in 0..60 {
        let gang =
            GraphSpec { id: format!("g{number}").into(), ..submitted_now(&driver, "middle", wide.clone()) };
        submit(&mut driver, gang);
    }
    let batch = submitted_now(&driver, "batch", step(4));

    submit(&mut driver, batch);

    verify_that!(driver.started_tasks(), len(eq(4)))
}

/// Guards against a gang that misses its objective because it waits for tasks that do not end.
#[gtest]
fn a_gang_near_its_latest_start_preempts() -> Result<()> {
    let mut driver = full_cell();
    let gang = submitted_now(&driver, "middle", gang());

    submit(&mut driver, gang);
    let waited = time_to_first_stop(&mut driver);

    // With an objective of 7 s and a run time of 3 s, its latest start is after 4 s.
    verify_that!(waited, some(all![ge(Duration::from_secs(1)), le(Duration::from_secs(4))]))
}

/// Guards against urgent and long-running tasks that wait for batch tasks to end.
#[gtest]
fn urgent_and_long_running_steps_preempt_at_once() -> Result<()> {
    let long_running = StepSpec { long_running: true, estimate: Duration::from_secs(3), ..step(2) };
    let (mut first, mut second) = (full_cell(), full_cell());
    let urgent = submitted_now(&first, "urgent", StepSpec { estimate: Duration::from_secs(3), ..step(2) });
    let service = submitted_now(&second, "middle", long_running);

    submit(&mut first, urgent);
    submit(&mut second, service);

    verify_that!((first.stops.len(), second.stops.len()), eq((2, 2)))
}

/// Urgent tasks are late if they have to wait until batch tasks end on their own.
#[gtest]
fn tasks_with_checkpoints_are_preempted_by_urgent_ones() -> Result<()> {
    let mut driver = cell(1);
    let batch = StepSpec { checkpoints: true, ..step(8) };
    submit(&mut driver, job("b", "batch", vec![batch]));
    driver.advance(2_000);

    submit(&mut driver, job("u", "urgent", vec![step(2)]));

    verify_that!(driver.stops.len(), eq(2))?;
    verify_that!(driver.stops.iter().all(|command| command.reason == "yields_to_urgent"), eq(true))
}

/// Preempting a task without checkpoints discards all of its work.
#[gtest]
fn tasks_without_checkpoints_are_not_preempted() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("b", "batch", vec![step(8)]));
    driver.advance(2_000);

    submit(&mut driver, job("u", "urgent", vec![step(2)]));

    verify_that!(driver.stops.len(), eq(0))
}

/// The urgent tasks of a team must not wait because its own batch tasks use up the limit of the team.
#[gtest]
fn tasks_of_a_team_at_its_limit_are_preempted_by_its_urgent_ones() -> Result<()> {
    let mut driver = cell(4);
    let mut batch = job("b", "batch", vec![StepSpec { checkpoints: true, ..step(24) }]);
    batch.team = "blue".into();
    let mut urgent = job("u", "urgent", vec![step(3)]);
    urgent.team = "blue".into();
    submit(&mut driver, batch);
    driver.advance(2_000);

    submit(&mut driver, urgent);

    verify_that!(driver.stops.len(), eq(3))?;
    verify_that!(driver.stops.iter().all(|command| command.reason == "yields_in_team"), eq(true))
}
