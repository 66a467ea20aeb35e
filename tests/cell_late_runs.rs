//! Tests of runs that are at work, or may be, although their task waits to be placed again.

mod fixture_cell;

use std::time::Duration;

use fixture_cell::{CellDriver, INCARNATION, cell, job, report, running, step, submit, worker};
use godwithaven::kernel::cell::{
    CellEvent, CommandOutcome, EndCause, EndedRun, PollReport, RunningRun, StartCommand, StepSpec, TaskKey,
    WorkerListing,
};
use googletest::prelude::*;

/// The only task of the job that the tests submit.
const TASK: &str = "j.0.0.0";

fn key() -> TaskKey {
    TaskKey::parse(TASK).expect("the name is valid")
}

/// Reports what a worker runs after `restarts` restarts.
fn poll(driver: &mut CellDriver, worker: &str, restarts: u32, running: Vec<RunningRun>) {
    driver.advance(100);
    let incarnation = INCARNATION + Duration::from_secs(u64::from(restarts));
    let report = PollReport { incarnation, ..report(driver.now, running, Vec::new()) };
    driver.handle(CellEvent::WorkerPolled(worker.into(), report));
}

/// Returns a cell in which run 1 of the task was not answered, and is stopped on the worker that is returned.
fn cell_with_a_late_start(spec: StepSpec) -> (CellDriver, String) {
    let mut driver = cell(2);
    driver.workers_answer = false;
    submit(&mut driver, job("j", "urgent", vec![spec]));
    let worker = driver.started(TASK).expect("the task was started").worker.to_string();
    poll(&mut driver, &worker, 0, Vec::new());
    driver.handle(CellEvent::StopAnswered(key(), 1, (&*worker).into(), CommandOutcome::Accepted));
    driver.workers_answer = true;
    (driver, worker)
}

/// Returns a cell in which run 2 of the task was started after run 1 was proved absent, the worker of run 1, and the
/// start of run 2. The latter is on the other worker if `elsewhere`.
fn cell_with_a_second_run(spec: StepSpec, elsewhere: bool) -> (CellDriver, String, StartCommand) {
    let (mut driver, first) = cell_with_a_late_start(spec);
    if elsewhere {
        let listing = |name: &str| WorkerListing { draining: name == first, ..worker(name) };
        driver.handle(CellEvent::WorkersListed(vec![listing("w0"), listing("w1")]));
    }
    poll(&mut driver, &first, 0, Vec::new());
    let second = driver.started(TASK).expect("the task was started");
    assert_eq!((second.run, *second.worker != *first), (2, elsewhere));
    (driver, first, second)
}

/// Guards against two runs at once: a report shows that run 2 is gone with its worker, and that the present incarnation
/// has carried out the delayed start of run 1.
#[gtest]
fn a_task_waits_for_the_end_of_a_run_that_is_reported_unexpectedly() -> Result<()> {
    let (mut driver, _, second) = cell_with_a_second_run(step(1), false);

    poll(&mut driver, &second.worker, 1, vec![running(TASK, 1, 10)]);
    poll(&mut driver, &second.worker, 1, vec![running(TASK, 1, 20)]);
    let while_reported = driver.starts.len();
    poll(&mut driver, &second.worker, 1, Vec::new());

    verify_that!(while_reported, eq(2))?;
    verify_that!(driver.starts.len(), eq(3))?;
    verify_that!(driver.stops.iter().any(|stop| stop.run == 1 && stop.reason == "not_expected"), eq(true))
}

/// Guards against a start that is sent although another run of the task was reported after the decision.
#[gtest]
fn a_decided_start_is_not_sent_while_another_run_is_reported() -> Result<()> {
    let (mut driver, first, second) = cell_with_a_second_run(step(1), true);
    let before = driver.scheduler.may_start(&key(), 2);

    poll(&mut driver, &first, 0, vec![running(TASK, 1, 10)]);

    verify_that!(before, eq(true))?;
    verify_that!(second.run, eq(2))?;
    verify_that!(driver.scheduler.may_start(&key(), 2), eq(false))
}

/// Guards against two runs at once: the worker of an unanswered start falls silent, and its next incarnation, which has
/// forgotten the stop of run 1, may carry the start out.
#[gtest]
fn a_task_waits_while_the_worker_of_an_unanswered_start_is_silent() -> Result<()> {
    let (mut driver, first, _) = cell_with_a_second_run(step(1), true);
    let lease_expires_at = driver.now + Duration::from_secs(60);
    driver.handle(CellEvent::WorkerUnresponsive((&*first).into(), lease_expires_at));

    end_failed(&mut driver);
    driver.advance(1_000);
    let while_silent = driver.starts.len();
    poll(&mut driver, &first, 1, Vec::new());

    verify_that!(while_silent, eq(2))?;
    verify_that!(driver.starts.len(), eq(3))
}

/// Guards against a task that waits for good because the worker of a watched run has gone.
#[gtest]
fn a_task_waits_no_longer_than_the_lease_of_a_silent_worker() -> Result<()> {
    let (mut driver, first, _) = cell_with_a_second_run(step(1), true);
    let lease_expires_at = driver.now + Duration::from_secs(3);
    driver.handle(CellEvent::WorkerUnresponsive((&*first).into(), lease_expires_at));

    end_failed(&mut driver);
    driver.advance(4_000);

    verify_that!(driver.starts.len(), eq(3))
}

/// Guards against steps whose tasks may run more than once that wait for the end of another run.
#[gtest]
fn tasks_that_may_run_twice_do_not_wait() -> Result<()> {
    let (mut driver, _, second) = cell_with_a_second_run(StepSpec { copies: true, ..step(1) }, false);

    poll(&mut driver, &second.worker, 1, vec![running(TASK, 1, 10)]);

    verify_that!(driver.starts.len(), eq(3))
}

/// Lets the newest run of the task fail on a worker that goes on to answer.
fn end_failed(driver: &mut CellDriver) {
    let command = driver.started(TASK).expect("the task was started");
    let ended =
        EndedRun { number: 1, task: key(), run: command.run, cause: EndCause::Failed, checkpoint: None };
    let report = report(driver.now, Vec::new(), vec![ended]);
    driver.handle(CellEvent::WorkerPolled(command.worker, report));
}
