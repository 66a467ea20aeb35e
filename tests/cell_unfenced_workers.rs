//! Tests of what a worker may hold that has restarted and falls silent before it refuses calls for its former
//! incarnation.

mod fixture_cell;
mod fixture_link;

use std::time::{Duration, Instant};

use fixture_cell::{CellDriver, INCARNATION, START_UNIX_TIME, cell, job, report, step, submit, worker};
use fixture_link::{FakeWorker, LEASE, LONGEST_LEASE, RunningLink, WAIT_TIMEOUT};
use godwithaven::kernel::cell::{
    CellEvent, CommandOutcome, PollReport, RestartRule, StepSpec, WorkerFence, WorkerListing,
};
use godwithaven::tasks::cell::owner::OwnerMessage;
use googletest::prelude::*;

/// Guards against tasks that run twice: a start for the former incarnation is carried out seconds after the only answer
/// of the present one, which has not been fenced and does not answer any more. Its lease is the longest one, counted
/// from when the start is carried out. The scheduler gets what a link to such a worker tells.
#[gtest]
#[actix_rt::test]
async fn a_worker_that_falls_silent_unfenced_may_carry_out_a_late_start() -> Result<()> {
    let mut driver = owner_with_a_start(CommandOutcome::Unknown)?;
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(700));
    let mut link = RunningLink::start(&worker);
    link.await_report(INCARNATION).await.or_fail()?;
    let next = INCARNATION + Duration::from_secs(1);
    worker.restart_as(next);
    let mut is_silent = false;
    while !is_silent {
        let message =
            tokio::time::timeout(WAIT_TIMEOUT, link.events.recv()).await.ok().flatten().or_fail()?;
        let OwnerMessage::Event(event) = message else { continue };
        if matches!(&event, CellEvent::WorkerPolled(_, report) if report.incarnation == next) {
            worker.answer.set(None);
        }
        is_silent = matches!(event, CellEvent::WorkerUnresponsive(..));
        driver.handle(event);
    }
    link.token.cancel();

    verify_that!(task_runs_on_after(&mut driver, 20), some(eq("w0")))
}

/// Returns an owner that has sent `w0` a start with this outcome. `w1` is free.
fn owner_with_a_start(outcome: CommandOutcome) -> Result<CellDriver> {
    let mut driver = cell(1);
    let rule = RestartRule::new(LEASE, LONGEST_LEASE);
    driver.scheduler = std::mem::take(&mut driver.scheduler).with_restart_rule(rule);
    submit(&mut driver, job("j", "urgent", vec![StepSpec { long_running: true, ..step(1) }]));
    let start = driver.started("j.0.0.0").or_fail()?;
    driver.handle(CellEvent::StartAnswered(start.task, start.run, start.worker, outcome));
    driver.handle(CellEvent::WorkersListed(vec![worker("w0"), worker("w1")]));
    Ok(driver)
}

/// Returns an owner that has sent `w0` a start which is not answered. The list shows that the worker has restarted, as
/// the returned incarnation.
fn owner_with_an_unanswered_start() -> Result<(CellDriver, Duration)> {
    let mut driver = owner_with_a_start(CommandOutcome::Unknown)?;
    let restarted_at = START_UNIX_TIME + driver.now.duration_since(driver.start);
    let restarted = WorkerListing { incarnation: Some(restarted_at), ..worker("w0") };
    driver.handle(CellEvent::WorkersListed(vec![restarted, worker("w1")]));
    Ok((driver, restarted_at))
}

/// Lets `w0` fall silent with the bound of the link.
fn fall_silent(driver: &mut CellDriver, lease: Duration) {
    let lease_expires_at = driver.now + lease;
    driver.handle(CellEvent::WorkerUnresponsive("w0".into(), lease_expires_at));
}

/// Lets the time pass; returns where the task runs then.
fn task_runs_on_after(driver: &mut CellDriver, seconds: u64) -> Option<String> {
    for _ in 0..seconds {
        driver.advance(1_000 - 35);
    }
    driver.started("j.0.0.0").map(|start| start.worker.to_string())
}

/// The reference of the tests below: without a report, the run of the unanswered start is awaited.
#[gtest]
fn an_unanswered_start_is_awaited_on_a_worker_that_is_listed_as_restarted() -> Result<()> {
    let (mut driver, _) = owner_with_an_unanswered_start()?;

    fall_silent(&mut driver, LEASE);

    verify_that!(task_runs_on_after(&mut driver, 20), some(eq("w0")))
}

/// Guards against tasks that run twice: the last report of the former incarnation arrives after the list has shown the
/// present one, and says nothing of what that one may carry out.
#[gtest]
fn a_report_of_the_former_incarnation_ends_no_bound_of_the_listed_one() -> Result<()> {
    let (mut driver, _) = owner_with_an_unanswered_start()?;
    let late = report(driver.start, Vec::new(), Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), late));

    fall_silent(&mut driver, LEASE);

    verify_that!(task_runs_on_after(&mut driver, 20), some(eq("w0")))
}

/// Guards against tasks that run twice: one answer of an incarnation that is not fenced says as little; the unanswered
/// start may still be carried out after it.
#[gtest]
fn a_report_of_an_unfenced_incarnation_does_not_shorten_the_wait() -> Result<()> {
    let (mut driver, incarnation) = owner_with_an_unanswered_start()?;
    driver.handle(CellEvent::WorkerUnfenced("w0".into()));
    let first = PollReport { incarnation, ..report(driver.now, Vec::new(), Vec::new()) };
    driver.handle(CellEvent::WorkerPolled("w0".into(), first));

    // The link counts the longest lease from the answer.
    fall_silent(&mut driver, Duration::from_millis(10_504));

    verify_that!(task_runs_on_after(&mut driver, 20), some(eq("w0")))
}

/// Guards against tasks that run twice: the present incarnation accepted the start, so that its run is not gone with the
/// former one, and late polls for that one may renew the lease.
#[gtest]
fn a_start_that_the_listed_incarnation_accepted_is_not_gone_with_the_former_one() -> Result<()> {
    let (mut driver, _) = owner_with_an_unanswered_start()?;
    let start = driver.started("j.0.0.0").or_fail()?;
    driver.handle(CellEvent::StartAnswered(start.task, start.run, start.worker, CommandOutcome::Accepted));

    // The link counts the longest lease from the answer.
    fall_silent(&mut driver, Duration::from_millis(10_504));

    verify_that!(task_runs_on_after(&mut driver, 20), some(eq("w0")))
}

/// Guards against starts on a worker without the required label: another incarnation answers, which may be of another
/// kind, while the list still describes the former one.
#[gtest]
fn no_start_goes_by_the_labels_of_a_former_incarnation() -> Result<()> {
    let mut driver = cell(1);
    let later = INCARNATION + Duration::from_secs(1);
    let restarted = PollReport { incarnation: later, ..report(driver.now, Vec::new(), Vec::new()) };
    driver.handle(CellEvent::WorkerPolled("w0".into(), restarted));
    submit(&mut driver, job("j", "urgent", vec![StepSpec { label: Some("kind".into()), ..step(1) }]));
    let early = driver.starts.len();

    let labels = vec!["other".into(), "r1".into()];
    let listed = WorkerListing { incarnation: Some(later), labels, ..worker("w0") };
    driver.handle(CellEvent::WorkersListed(vec![listed]));

    verify_that!((early, driver.starts.len()), eq((0, 0)))
}

/// Guards against a bound between the usual lease and the longest one that is worked out wrongly: by the records, the
/// worker has refused calls for its former incarnation for 1.5 s.
#[gtest]
#[actix_rt::test]
async fn a_fence_of_a_short_time_ago_leaves_the_rest_of_the_longest_lease() -> Result<()> {
    let (worker, clock) = (FakeWorker::default(), Duration::from_secs(600));
    worker.answer_as(INCARNATION, clock);
    let fenced_for = Duration::from_millis(1_500);
    let fence = WorkerFence { incarnation: INCARNATION, clock: clock.saturating_sub(fenced_for) };
    let polled_at = Instant::now();
    let mut link = RunningLink::start_with_inherited(&worker, LONGEST_LEASE, Some(fence));
    link.await_report(INCARNATION).await.or_fail()?;
    worker.answer.set(None);
    let expires_at = link.await_lease_bound().await.or_fail()?;
    link.token.cancel();

    let bound = expires_at.saturating_duration_since(polled_at);
    verify_that!(bound, ge(LONGEST_LEASE.saturating_sub(fenced_for) * 100 / 98))?;
    verify_that!(bound, lt(LONGEST_LEASE))
}

/// Guards against starts that are recorded and dropped: the scheduler learns that a restarted worker is not fenced before
/// it gets the report, by which it would place tasks there.
#[gtest]
#[actix_rt::test]
async fn the_link_tells_that_a_worker_is_unfenced_before_it_passes_the_report_on() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(700));
    let mut link = RunningLink::start(&worker);
    link.await_report(INCARNATION).await.or_fail()?;
    let next = INCARNATION + Duration::from_secs(1);
    worker.restart_as(next);

    let is_unfenced = |event| match event {
        CellEvent::WorkerUnfenced(_) => Some(true),
        CellEvent::WorkerPolled(_, report) if report.incarnation == next => Some(false),
        _ => None,
    };
    let first = link.await_event(is_unfenced).await;
    link.token.cancel();

    verify_that!(first, some(eq(true)))
}
