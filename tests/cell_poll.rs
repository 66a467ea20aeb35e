//! Tests of what the report of a worker proves about the runs that it does not name.

mod fixture_cell;

use std::time::{Duration, Instant};

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use fixture_cell::{CellDriver, INCARNATION, cell, job, report, running, step, submit, worker};
use godwithaven::kernel::cell::{
    CellEffect, CellEvent, CellRecord, CommandOutcome, EndCause, EndedRun, PollReport, PollRequest,
    RunningRun, TaskKey, WorkerListing,
};
use godwithaven::tasks::cell::ports::{CellAdapter, PollOutcome};
use godwithaven_standins::server;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

/// Number of ended runs that a worker of the platform lists at a time.
const LISTED_ENDS: usize = 500;

fn ended(number: u64, task: &str) -> EndedRun {
    let task = TaskKey::parse(task).expect("the name is valid");
    EndedRun { number, task, run: 1, cause: EndCause::Done, checkpoint: None }
}

/// Returns the report of a worker that lists only a part of its ended runs.
fn partial_report(poll_sent_at: Instant, ended: Vec<EndedRun>) -> PollReport {
    PollReport { ends_complete: false, ..report(poll_sent_at, Vec::new(), ended) }
}

fn lost_runs(driver: &CellDriver) -> usize {
    driver.records.iter().filter(|record| matches!(record, CellRecord::Lost(..))).count()
}

/// Polls a worker that reports `count` ended runs; returns whether the report counts as complete.
async fn poll_with_ends(count: usize) -> Result<bool> {
    let rows: Vec<String> =
        (1..=count).map(|number| format!(r#"[{number},"j.0.0.{number}",1,"done",""]"#)).collect();
    let body = format!(r#"{{"clock_ms":1,"born":1,"running":[],"finished":[{}]}}"#, rows.join(","));
    let body = Bytes::from(body);
    let token = CancellationToken::new();
    let (listener, address) = server::bind("127.0.0.1:0").await.or_fail()?;
    actix_rt::spawn(server::serve(listener, token.clone(), move |_| {
        std::future::ready(Response::with_body(StatusCode::OK, body.clone()))
    }));
    let mut listing = worker("w0");
    listing.address = address.to_string().into();
    // Every variable counts as set, so the only linked adapter is found.
    let (adapter, _) = CellAdapter::find(|_| Some(String::new())).or_fail()?;
    let request = PollRequest { token: 1, acknowledged: 0, lease: None, wait: Duration::ZERO };

    let outcome = ((adapter.worker)(&listing).poll)(request).await;
    token.cancel();

    let report = if let PollOutcome::Answered(report, _) = outcome { Some(report) } else { None };
    let report = report.or_fail()?;
    verify_that!(report.ended.len(), eq(count))?;
    Ok(report.ends_complete)
}

/// Guards against tasks that run again after they were done: runs whose ends a worker had not listed yet, as
/// it lists a bounded number at a time, counted as lost.
#[gtest]
fn a_run_that_a_partial_report_lacks_is_not_lost() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("j", "urgent", vec![step(3)]));
    driver.advance(100);

    let first = partial_report(driver.now, vec![ended(1, "j.0.0.0")]);
    driver.handle(CellEvent::WorkerPolled("w0".into(), first));
    let lost_at_first = lost_runs(&driver);
    let second = report(driver.now, vec![running("j.0.0.2", 1, 50)], vec![ended(2, "j.0.0.1")]);
    driver.handle(CellEvent::WorkerPolled("w0".into(), second));

    verify_that!(lost_at_first, eq(0))?;
    verify_that!(lost_runs(&driver), eq(0))?;
    verify_that!(driver.starts.len(), eq(3))
}

/// Guards against a job that waits forever for a run that was lost while the list of ends was partial.
#[gtest]
fn a_run_is_lost_once_a_complete_report_lacks_it() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("j", "urgent", vec![step(2)]));
    driver.advance(100);

    let first = partial_report(driver.now, vec![ended(1, "j.0.0.0")]);
    driver.handle(CellEvent::WorkerPolled("w0".into(), first));
    let second = report(driver.now, Vec::new(), Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), second));

    verify_that!(lost_runs(&driver), eq(1))?;
    verify_that!(driver.started("j.0.0.1").map(|command| command.run), some(eq(2)))
}

/// Guards against the same fault in the adapter: a list as long as the longest one that a worker returns may
/// go on.
#[gtest]
#[actix_rt::test]
async fn a_list_of_ends_of_full_length_is_not_complete() -> Result<()> {
    let shorter = poll_with_ends(LISTED_ENDS - 1).await?;
    let full = poll_with_ends(LISTED_ENDS).await?;

    verify_that!((shorter, full), eq((true, false)))
}

/// Returns a report of the worker's second incarnation.
fn restarted_report(poll_sent_at: Instant, running: Vec<RunningRun>) -> PollReport {
    let incarnation = INCARNATION + Duration::from_secs(1);
    PollReport { incarnation, ..report(poll_sent_at, running, Vec::new()) }
}

/// Lets the list of workers show the incarnation in [`restarted_report`], so that tasks may start on it.
fn list_restarted(driver: &mut CellDriver, listing: WorkerListing) {
    let incarnation = Some(restarted_report(driver.now, Vec::new()).incarnation);
    driver.handle(CellEvent::WorkersListed(vec![WorkerListing { incarnation, ..listing }]));
}

/// Guards against a task that runs twice: a start that reached a worker just after its restart was given up
/// with the runs of the earlier incarnation, and the task was started elsewhere.
#[gtest]
fn a_run_that_a_restarted_worker_reports_is_kept() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("j", "urgent", vec![step(2)]));
    driver.advance(100);

    let report = restarted_report(driver.now, vec![running("j.0.0.1", 1, 10)]);
    driver.handle(CellEvent::WorkerPolled("w0".into(), report));
    list_restarted(&mut driver, worker("w0"));

    let runs = ["j.0.0.0", "j.0.0.1"].map(|task| driver.started(task).map(|command| command.run));
    verify_that!(runs, eq([Some(2), Some(1)]))?;
    verify_that!(driver.stops, is_empty())
}

/// Guards against the same fault if the answer to the start was lost: the restarted worker may still carry it
/// out, until it has confirmed a stop, and knows of no stop that the earlier incarnation has confirmed.
#[gtest]
fn an_unanswered_start_is_stopped_on_a_restarted_worker_too() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("j", "urgent", vec![step(1)]));
    let task = driver.started("j.0.0.0").or_fail()?.task;
    driver.handle(CellEvent::StartAnswered(task.clone(), 1, "w0".into(), CommandOutcome::Unknown));
    driver.advance(100);
    let before = report(driver.now, Vec::new(), Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), before));
    driver.handle(CellEvent::StopAnswered(task.clone(), 1, "w0".into(), CommandOutcome::Accepted));
    driver.advance(100);

    let after = restarted_report(driver.now, Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), after));
    let (stops, starts) = (driver.stops.len(), driver.starts.len());
    driver.handle(CellEvent::StopAnswered(task, 1, "w0".into(), CommandOutcome::Accepted));
    driver.advance(100);
    let confirmed = restarted_report(driver.now, Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), confirmed));
    list_restarted(&mut driver, worker("w0"));

    verify_that!((stops, starts), eq((2, 1)))?;
    verify_that!(driver.started("j.0.0.0").map(|command| command.run), some(eq(2)))
}

/// Guards against a task that waits forever: the answer to a start was lost with the link to the address of the
/// worker, which then restarted at another address.
#[gtest]
fn a_start_without_an_answer_is_settled_after_a_change_of_the_address() -> Result<()> {
    let mut driver = cell(1);
    driver.answers_first_poll = false;
    driver.scheduler.handle(CellEvent::Submitted(job("j", "urgent", vec![step(1)]).into()), driver.now);
    let unanswered = driver.scheduler.decide(true, driver.now + Duration::from_millis(50));
    driver.advance(100);

    let moved = WorkerListing { address: "127.0.0.1:2".into(), ..worker("w0") };
    driver.handle(CellEvent::WorkersListed(vec![moved.clone()]));
    driver.advance(100);
    let report = restarted_report(driver.now, Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), report));
    let stops = driver.stops.len();
    let task = TaskKey::parse("j.0.0.0").or_fail()?;
    driver.handle(CellEvent::StopAnswered(task, 1, "w0".into(), CommandOutcome::Accepted));
    driver.advance(100);
    let report = restarted_report(driver.now, Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), report));
    list_restarted(&mut driver, moved);

    verify_that!(unanswered.iter().any(|effect| matches!(effect, CellEffect::Start(_))), eq(true))?;
    verify_that!(stops, eq(1))?;
    verify_that!(driver.started("j.0.0.0").map(|command| command.run), some(eq(2)))
}

/// Guards against a start that is sent although its run was given up, or stopped, while its record was stored:
/// the task may run elsewhere by then.
#[gtest]
fn a_start_that_was_given_up_or_stopped_may_not_be_sent() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("lost", "urgent", vec![step(1)]));
    submit(&mut driver, job("stopped", "urgent", vec![step(1)]));
    let lost = driver.started("lost.0.0.0").or_fail()?.task;
    let stopped = driver.started("stopped.0.0.0").or_fail()?.task;
    let before = [driver.scheduler.may_start(&lost, 1), driver.scheduler.may_start(&stopped, 1)];

    driver.handle(CellEvent::Cancelled("stopped".into()));
    let report = report(driver.now, vec![running("stopped.0.0.0", 1, 10)], Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), report));

    verify_that!(before, eq([true, true]))?;
    verify_that!(driver.scheduler.may_start(&lost, 1), eq(false))?;
    verify_that!(driver.scheduler.may_start(&stopped, 1), eq(false))
}
