//! Tests of runs whose start or end is not known, as their worker does not answer or has restarted.

mod fixture_cell;

use std::time::Duration;

use fixture_cell::{INCARNATION, cell, job, report, step, submit, worker};
use godwithaven::kernel::cell::{CellEvent, CommandOutcome, PollReport, WorkerListing};
use googletest::prelude::*;

/// A start that was not answered may still take effect later. The task must not start elsewhere before the
/// worker has confirmed a stop, which makes it refuse the first run.
#[gtest]
fn an_unanswered_start_is_stopped_before_the_task_starts_again() -> Result<()> {
    let mut driver = cell(2);
    submit(&mut driver, job("j", "urgent", vec![step(1)]));
    let command = driver.started("j.0.0.0").or_fail()?;
    let (task, worker) = (command.task.clone(), command.worker.clone());
    driver.handle(CellEvent::StartAnswered(task.clone(), 1, worker.clone(), CommandOutcome::Unknown));
    driver.now += Duration::from_millis(10);

    driver.handle(CellEvent::WorkerPolled(worker.clone(), report(driver.now, vec![], vec![])));
    let (stops, starts) = (driver.stops.len(), driver.starts.len());
    driver.handle(CellEvent::StopAnswered(task, 1, worker.clone(), CommandOutcome::Accepted));
    driver.now += Duration::from_millis(10);
    driver.handle(CellEvent::WorkerPolled(worker, report(driver.now, vec![], vec![])));

    verify_that!((stops, starts), eq((1, 1)))?;
    verify_that!(driver.started("j.0.0.0").map(|command| command.run), some(eq(2)))
}

/// A restarted worker runs none of its earlier tasks and never reports their ends, so waiting for these would
/// take forever.
#[gtest]
fn tasks_of_a_restarted_worker_start_again() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("j", "urgent", vec![step(1)]));

    let restarted = PollReport {
        incarnation: INCARNATION + Duration::from_secs(1),
        ..report(driver.now, vec![], vec![])
    };
    let listing = WorkerListing { incarnation: Some(restarted.incarnation), ..worker("w0") };
    driver.handle(CellEvent::WorkerPolled("w0".into(), restarted));
    driver.handle(CellEvent::WorkersListed(vec![listing]));

    verify_that!(driver.started("j.0.0.0").map(|command| command.run), some(eq(2)))
}

/// A worker that is only cut off from the owner keeps running its tasks until its lease expires. Starting
/// them elsewhere earlier would run them twice.
#[gtest]
fn tasks_of_an_unresponsive_worker_start_again_once_its_lease_has_expired() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("j", "urgent", vec![step(1)]));
    let mut listings = vec![worker("w0"), worker("w1")];
    listings[1].zone = "b".into();
    driver.handle(CellEvent::WorkersListed(listings));
    let over = driver.now + Duration::from_secs(5);

    driver.handle(CellEvent::WorkerUnresponsive("w0".into(), over));
    driver.advance(3_000);
    let early = driver.starts.len();
    driver.advance(3_000);

    verify_that!(early, eq(1))?;
    verify_that!(
        driver.started("j.0.0.0").map(|command| (&*command.worker == "w1", command.run)),
        some(eq((true, 2)))
    )
}
