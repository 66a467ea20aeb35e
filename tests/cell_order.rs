//! Tests of the order of starts when not all waiting tasks can start.

mod fixture_cell;

use std::time::Duration;

use fixture_cell::{CellDriver, START_UNIX_TIME, cell, cell_with, config, job, step, submit, worker};
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::{
    EndCause, GraphSpec, MAX_ESTIMATE, PermitRule, StepClass, StepSpec, TeamRule,
};
use googletest::prelude::*;

/// Age at which the jobs of [`step`] have long expired: their objective is 3 s.
const EXPIRED_AGE: Duration = Duration::from_secs(20);

/// Returns a job that was submitted `age` ago.
fn submitted(driver: &CellDriver, age: Duration, id: &str, queue: &str, steps: Vec<StepSpec>) -> GraphSpec {
    let submitted = (START_UNIX_TIME + driver.now.duration_since(driver.start)).saturating_sub(age);
    GraphSpec { submitted, ..job(id, queue, steps) }
}

/// Returns a job that is submitted now.
fn fresh(driver: &CellDriver, id: &str, queue: &str, steps: Vec<StepSpec>) -> GraphSpec {
    submitted(driver, Duration::ZERO, id, queue, steps)
}

/// Submits `count` jobs of one task each that expired long ago.
fn submit_expired(driver: &mut CellDriver, prefix: &str, queue: &str, count: usize) {
    for number in 0..count {
        let spec = submitted(driver, EXPIRED_AGE, &format!("{prefix}{number}"), queue, vec![step(1)]);
        submit(driver, spec);
    }
    driver.advance(100);
}

/// Returns a cell of one worker whose 8 cores are in use by the job `f`, which saves nothing.
fn full_cell() -> CellDriver {
    let mut driver = cell(1);
    submit(&mut driver, job("f", "urgent", vec![step(8)]));
    driver.advance(1_000);
    driver
}

/// Returns the tasks that were started after the first 8, in order.
fn started_later(driver: &CellDriver) -> Vec<String> {
    driver.started_tasks().split_off(8)
}

/// Guards against a long-running task that stays down because thousands of urgent steps, which are too late to be
/// of use, are asked for and started before it.
#[gtest]
fn a_failed_long_running_task_is_asked_for_and_started_first() -> Result<()> {
    let rule = PermitRule {
        decision_time: Duration::from_millis(20),
        time_per_worker: Duration::ZERO,
        validity: Duration::from_secs(2),
    };
    let mut driver = cell_with(config(Some(rule)), vec![worker("w0"), worker("w1")]);
    let service = StepSpec { long_running: true, ..step(1) };
    let spec = fresh(&driver, "s", "middle", vec![service]);
    submit(&mut driver, spec);
    driver.advance(30_000);
    driver.advisor_answers = false;
    submit_expired(&mut driver, "u", "urgent", 2_000);
    let asked_before = driver.permit_requests.len();

    driver.end("s.0.0.0", EndCause::Failed);
    driver.advance(100);

    let asked_later: Vec<&String> =
        driver.permit_requests[asked_before..].iter().map(|(step, _)| step).collect();
    let first = driver.scheduler.state().ready.first().map(|(rank, key)| (rank.class, key.to_string()));
    verify_that!(asked_later.first(), some(eq(&&"s.0.0".to_owned())))?;
    verify_that!(first, some(eq(&(StepClass::Restart, "s.0.0".to_owned()))))
}

/// Guards against a cell that serves urgent jobs which are of no use any more while a job of a lower priority
/// that could be in time becomes late.
#[gtest]
fn expired_urgent_jobs_do_not_keep_out_a_job_in_time() -> Result<()> {
    let mut driver = full_cell();
    submit_expired(&mut driver, "u", "urgent", 500);
    let batch = fresh(&driver, "b", "batch", vec![step(2)]);
    submit(&mut driver, batch);

    for index in 0..3 {
        driver.end(&format!("f.0.0.{index}"), EndCause::Done);
    }

    verify_that!(started_later(&driver), elements_are![eq("b.0.0.0"), eq("b.0.0.1"), starts_with("u")])
}

/// Guards against the backlog of a burst that makes callers late who come after it.
#[gtest]
fn the_backlog_of_a_burst_does_not_delay_later_callers() -> Result<()> {
    let mut driver = full_cell();
    for number in 0..100 {
        let spec = fresh(&driver, &format!("burst{number}"), "urgent", vec![step(1)]);
        submit(&mut driver, spec);
    }
    driver.advance(20_000);
    let later = fresh(&driver, "later", "batch", vec![step(1)]);

    submit(&mut driver, later);
    driver.end("f.0.0.0", EndCause::Done);

    verify_that!(started_later(&driver), elements_are![eq("later.0.0.0")])
}

/// Guards against expired jobs that stop the tasks of others or keep room free for themselves.
#[gtest]
fn expired_jobs_neither_preempt_nor_reserve() -> Result<()> {
    let mut driver = cell(1);
    let batch = StepSpec { checkpoints: true, ..step(6) };
    submit(&mut driver, job("b", "batch", vec![batch]));
    driver.advance(2_000);
    let wide = StepSpec { gang: true, ..step(4) };
    let (expired, small) = (
        submitted(&driver, EXPIRED_AGE, "u", "urgent", vec![wide]),
        submitted(&driver, EXPIRED_AGE, "v", "batch", vec![step(2)]),
    );

    submit(&mut driver, expired);
    submit(&mut driver, small);
    driver.advance(1_000);

    verify_that!(driver.stops.len(), eq(0))?;
    verify_that!(driver.started("v.0.0.1"), some(anything()))
}

/// Guards against an expired job that is starved for good by a steady stream of useful ones, and against one that
/// is served before them while they can use all room.
#[gtest]
fn an_expired_job_still_ends_under_steady_load() -> Result<()> {
    let mut driver = full_cell();
    let expired = submitted(&driver, EXPIRED_AGE, "x", "batch", vec![step(1)]);
    submit(&mut driver, expired);

    let mut waited = None;
    let mut running: Vec<String> = (0..8).map(|index| format!("f.0.0.{index}")).collect();
    for second in 0..100 {
        for number in 0..9 {
            let spec = fresh(&driver, &format!("n{second}-{number}"), "urgent", vec![step(1)]);
            submit(&mut driver, spec);
        }
        for task in running.drain(..) {
            driver.end(&task, EndCause::Done);
        }
        driver.advance(100);
        let placements = &driver.scheduler.state().placements;
        running = placements.keys().map(ToString::to_string).collect();
        if driver.started("x.0.0.0").is_some() {
            waited = Some(driver.now.duration_since(driver.start) + EXPIRED_AGE);
            break;
        }
        driver.advance(900);
    }

    verify_that!(waited, some(all![ge(Duration::from_secs(60)), le(Duration::from_secs(100))]))
}

/// Returns a full cell in which the team `red` uses `red` cores and the team `green` the other ones of 8, and both
/// have a job of the same queue that waits, `red` the older one.
fn two_teams(red: u32) -> CellDriver {
    let mut config = config(None);
    config.teams.insert("green".into(), TeamRule { weight: 10, limit: ResourceVector::default() });
    let mut driver = cell_with(config, vec![worker("w0")]);
    for (id, team, tasks) in [("r", "red", red), ("g", "green", 8 - red)] {
        let spec = GraphSpec { team: team.into(), ..fresh(&driver, id, "urgent", vec![step(tasks.max(1))]) };
        if tasks > 0 {
            submit(&mut driver, spec);
        }
    }
    driver.advance(500);
    for (id, team) in [("red", "red"), ("green", "green")] {
        let spec = GraphSpec { team: team.into(), ..fresh(&driver, id, "urgent", vec![step(1)]) };
        submit(&mut driver, spec);
        driver.advance(100);
    }
    driver.advance(100);
    driver
}

/// Guards against a team that floods the cell and so makes the jobs of small teams late.
#[gtest]
fn a_team_far_above_its_share_comes_after_others() -> Result<()> {
    let mut driver = two_teams(7);

    driver.end("r.0.0.0", EndCause::Done);

    verify_that!(started_later(&driver), elements_are![eq("green.0.0.0")])
}

/// Guards against shares that change the order of teams which use as much as each other.
#[gtest]
fn equal_teams_keep_their_order() -> Result<()> {
    let mut driver = two_teams(4);

    driver.end("r.0.0.0", EndCause::Done);

    verify_that!(started_later(&driver), elements_are![eq("red.0.0.0")])
}

/// Guards against a process that ends because the objective of a job is out of the range of time.
#[gtest]
fn an_objective_out_of_range_ends_no_process() -> Result<()> {
    for stretch in [3e11, 1e12, f64::INFINITY, f64::NAN] {
        let mut config = config(None);
        config.queues.values_mut().for_each(|rule| rule.stretch = stretch);
        let mut driver = cell_with(config, vec![worker("w0")]);
        let long = StepSpec { estimate: MAX_ESTIMATE, ..step(1) };
        let spec = fresh(&driver, "j", "urgent", vec![long]);

        submit(&mut driver, spec);
        driver.advance(100);

        verify_that!(driver.started("j.0.0.0"), some(anything()))?;
    }
    Ok(())
}

/// Guards against jobs that are taken for expired because their estimate is missing or cannot be right; they keep
/// the order by priority.
#[gtest]
fn jobs_without_a_usable_estimate_keep_the_order_by_priority() -> Result<()> {
    let mut config = config(None);
    config.queues.values_mut().for_each(|rule| rule.stretch = 0.1);
    let mut driver = cell_with(config, vec![worker("w0")]);
    submit(&mut driver, job("f", "urgent", vec![step(8)]));
    let estimates = [("missing", Duration::ZERO), ("wrong", Duration::from_secs(3_600))];
    for (id, estimate) in estimates {
        let spec = submitted(&driver, EXPIRED_AGE, id, "urgent", vec![StepSpec { estimate, ..step(1) }]);
        submit(&mut driver, spec);
    }
    let batch = fresh(&driver, "b", "batch", vec![step(1)]);
    submit(&mut driver, batch);
    driver.advance(100);

    for index in 0..3 {
        driver.end(&format!("f.0.0.{index}"), EndCause::Done);
    }

    verify_that!(
        started_later(&driver),
        unordered_elements_are![eq("missing.0.0.0"), eq("wrong.0.0.0"), eq("b.0.0.0")]
    )?;
    verify_that!(started_later(&driver).last(), some(eq("b.0.0.0")))
}
