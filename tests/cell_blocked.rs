//! Tests of a cell in which many ready steps cannot start: the others must have their turn.

mod fixture_cell;

use std::time::Duration;

use fixture_cell::{CellDriver, START_UNIX_TIME, cell_with, job, step, submit, worker};
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::{
    CellConfig, CellEffect, CellEvent, EndCause, GraphSpec, PermitRule, StepSpec, WorkerListing,
};
use googletest::prelude::*;

/// Returns a configuration in which no team exceeds its rate of submissions.
fn config(permits: Option<PermitRule>) -> CellConfig {
    let mut config = fixture_cell::config(permits);
    config.teams.values_mut().for_each(|team| team.weight = u32::MAX);
    config
}

/// Returns a cell without permits.
fn cell(workers: usize) -> CellDriver {
    cell_with(config(None), (0..workers).map(|number| worker(&format!("w{number}"))).collect())
}

/// Returns the rule of an advisor that answers at once.
const fn permit_rule() -> PermitRule {
    PermitRule {
        decision_time: Duration::from_millis(20),
        time_per_worker: Duration::ZERO,
        validity: Duration::from_secs(2),
    }
}

/// Returns a job of the queue `middle` that is submitted now.
fn fresh(driver: &CellDriver, id: &str, steps: Vec<StepSpec>) -> GraphSpec {
    GraphSpec {
        submitted: START_UNIX_TIME + driver.now.duration_since(driver.start),
        ..job(id, "middle", steps)
    }
}

/// Submits a job of two small tasks a second later.
fn submit_small(driver: &mut CellDriver) {
    driver.advance(1_000);
    let spec = fresh(driver, "small", vec![step(2)]);
    submit(driver, spec);
}

/// Returns a long-running step.
fn lasting(tasks: u32, cores_milli: u64) -> StepSpec {
    StepSpec { need: ResourceVector::new(cores_milli, 100, 0), long_running: true, ..step(tasks) }
}

/// Submits `count` jobs of one step without handling their effects in between.
fn submit_all(driver: &mut CellDriver, prefix: &str, count: usize, steps: &[StepSpec]) {
    for number in 0..count {
        let spec = fresh(driver, &format!("{prefix}{number}"), steps.to_vec());
        driver.scheduler.handle(CellEvent::Submitted(spec.into()), driver.now);
    }
    driver.advance(100);
}

/// Returns whether a task of a job was started.
fn has_started(driver: &CellDriver, job: &str) -> bool {
    driver.starts.iter().any(|command| &*command.task.step.job == job)
}

/// Returns a job of the team `blue`, which may use 24 cores.
fn limited(driver: &CellDriver, id: &str, steps: Vec<StepSpec>) -> GraphSpec {
    GraphSpec { team: "blue".into(), ..fresh(driver, id, steps) }
}

/// Guards against jobs that never start because steps which no worker can ever run come before them and use up the
/// blocked steps of each pass.
#[gtest]
fn hopeless_steps_keep_no_other_step_from_starting() {
    let far_label = StepSpec { label: Some("none".into()), ..lasting(1, 1_000) };
    let gang = StepSpec { gang: true, long_running: false, ..lasting(5, 8_000) };
    for hopeless in [lasting(1, 96_000), far_label, gang] {
        for permits in [None, Some(permit_rule())] {
            let mut driver = cell_with(config(permits), vec![worker("w0"), worker("w1")]);
            submit_all(&mut driver, "hopeless", 50, std::slice::from_ref(&hopeless));

            submit_small(&mut driver);

            expect_that!(has_started(&driver, "small"), eq(true), "{hopeless:?}");
            expect_that!(driver.scheduler.state().ready.aside_len(), eq(50));
        }
    }
}

/// Guards against jobs that never start because all workers are denied to the steps before them.
#[gtest]
fn steps_whose_workers_are_all_denied_keep_no_other_step_from_starting() -> Result<()> {
    let large = WorkerListing { capacity: ResourceVector::new(64_000, 8_192, 0), ..worker("denied0") };
    let mut driver = cell_with(config(Some(permit_rule())), vec![large, worker("w0")]);
    submit_all(&mut driver, "denied", 50, &[lasting(1, 32_000)]);

    submit_small(&mut driver);

    verify_that!(has_started(&driver, "small"), eq(true))
}

/// Guards against steps that stand aside for good although a worker that can run them has come.
#[gtest]
fn a_step_that_stands_aside_starts_once_a_worker_for_it_is_listed() -> Result<()> {
    let mut driver = cell(1);
    submit_all(&mut driver, "large", 50, &[lasting(1, 32_000)]);
    let large = WorkerListing { capacity: ResourceVector::new(64_000, 8_192, 0), ..worker("large") };

    driver.handle(CellEvent::WorkersListed(vec![worker("w0"), large]));

    verify_that!(driver.starts.len(), eq(2))
}

/// Guards against a step with a limit per worker that stands aside although its own task has ended there.
#[gtest]
fn a_step_that_stands_aside_starts_once_its_run_has_ended() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("spread", "middle", vec![StepSpec { most_per_worker: Some(1), ..step(2) }]));
    assert_that!(driver.scheduler.state().ready.aside_len(), eq(1));

    driver.end("spread.0.0.0", EndCause::Done);

    verify_that!(driver.started("spread.0.0.1"), some(anything()))
}

/// Guards against small steps that are left out by each pass because large ones before them find no room: each of
/// them has its turn within `(blocked - 40) / 15 + 2` passes.
#[gtest]
fn each_blocked_step_has_its_turn() -> Result<()> {
    let mut driver = cell(2);
    submit(&mut driver, job("filler", "urgent", vec![lasting(14, 1_000)]));
    submit_all(&mut driver, "large", 400, &[lasting(1, 8_000)]);
    driver.advance(1_000);
    let spec = fresh(&driver, "small", vec![step(1)]);
    driver.scheduler.handle(CellEvent::Submitted(spec.into()), driver.now);

    let mut passes = 0;
    let mut started = false;
    while !started && driver.scheduler.next_pass(driver.now).is_some() {
        driver.now += Duration::from_millis(35);
        let effects = driver.scheduler.decide(true, driver.now);
        started = effects.iter().any(|effect| matches!(effect, CellEffect::Start(_)));
        passes += 1;
    }

    verify_that!(started, eq(true))?;
    verify_that!(passes, le(26))
}

/// Guards against thousands of steps of a team at its limit that keep the steps of other teams from being looked at.
#[gtest]
fn steps_of_a_team_at_its_limit_keep_no_other_step_from_starting() -> Result<()> {
    let mut driver = cell(4);
    for number in 0..15 {
        let steps = vec![lasting(1, 1_000); 400];
        let spec = limited(&driver, &format!("wide{number}"), steps);
        driver.scheduler.handle(CellEvent::Submitted(spec.into()), driver.now);
    }
    driver.advance(100);

    submit_small(&mut driver);

    verify_that!(has_started(&driver, "small"), eq(true))
}

/// Guards against passes without an end while nothing changes and steps are blocked.
#[gtest]
fn passes_end_once_each_blocked_step_had_its_turn() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("filler", "urgent", vec![lasting(8, 1_000)]));

    submit_all(&mut driver, "large", 400, &[lasting(1, 8_000)]);
    let mut passes = 0;
    while driver.scheduler.next_pass(driver.now).is_some() && passes < 1_000 {
        driver.now += Duration::from_millis(35);
        driver.scheduler.decide(true, driver.now);
        passes += 1;
    }

    verify_that!(passes, le(29))
}
