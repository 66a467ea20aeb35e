//! Tests of how long owners wait for the leases of workers that have restarted, and when they start tasks there.

mod fixture_cell;
mod fixture_leases;

use std::time::{Duration, Instant};

use fixture_cell::{CellDriver, INCARNATION, START_UNIX_TIME, cell, job, report, step, submit, worker};
use fixture_leases::{
    GRANTED_LEASE, INHERITED_LEASE, LEASE, LONGEST_LEASE, list_workers, next_owner_of_a_worker_started,
    owner_after_release, owner_with_a_silent_worker, pass, recovered_owner, restarted_on, service,
    worker_started,
};
use godwithaven::kernel::cell::{
    CellEvent, CellRecord, CommandOutcome, PollReport, RestartRule, StepSpec, WorkerFence, WorkerListing,
};
use googletest::prelude::*;

/// Guards against tasks that run twice: workers carry out calls for a former incarnation late, which the release of
/// the former owner does not bound, and only the list of workers shows which ones have restarted.
#[gtest]
fn the_time_since_a_release_does_not_count_for_a_restarted_worker() -> Result<()> {
    let mut first = cell(1);
    submit(&mut first, service());
    let mut listed = owner_after_release(&first.records);
    list_workers(&mut listed, worker_started(Duration::from_secs(1)));
    let mut listed_late = owner_after_release(&first.records);
    // Without a record of a fence, the time since its start tells nothing.
    let mut older = owner_after_release(&first.records);
    list_workers(&mut older, worker_started(Duration::from_secs(24)));

    pass(&mut listed, 10_000);
    let early = restarted_on(&listed);
    pass(&mut listed, 16_000);
    pass(&mut listed_late, 5_000);
    list_workers(&mut listed_late, worker_started(Duration::from_secs(1)));
    pass(&mut listed_late, 4_000);
    pass(&mut older, 5_000);

    verify_that!((early, restarted_on(&listed_late), restarted_on(&older)), eq(&(None, None, None)))?;
    verify_that!(restarted_on(&listed), some(eq("w1")))
}

/// Guards against tasks that run twice: a call of the former owner for an earlier incarnation of a worker may have
/// granted the present one the longest lease, and the worker does not answer the new owner.
#[gtest]
fn a_new_owner_waits_longer_for_a_worker_that_is_listed_as_restarted() -> Result<()> {
    let age = Duration::from_secs(1);
    let mut restarted = next_owner_of_a_worker_started(age, Some(age));
    let mut long_lived = next_owner_of_a_worker_started(Duration::from_secs(60), Some(age));
    pass(&mut restarted, 10_000);
    pass(&mut long_lived, 10_000);
    let early = restarted_on(&restarted);
    pass(&mut restarted, 4_000);

    verify_that!(early, none())?;
    verify_that!(restarted_on(&long_lived), some(eq("w1")))?;
    verify_that!(restarted_on(&restarted), some(eq("w1")))
}

/// Guards against work that waits for nothing: the records of the former owner say that the worker has refused calls
/// for its former incarnation for so long that no lease of such a call is left.
#[gtest]
fn a_recorded_fence_ends_the_longer_wait_for_a_restarted_worker() -> Result<()> {
    let age = Duration::from_secs(12);
    let mut fenced = next_owner_of_a_worker_started(age, Some(Duration::from_secs(1)));
    let mut unfenced = next_owner_of_a_worker_started(age, None);
    pass(&mut fenced, 10_000);
    pass(&mut unfenced, 10_000);

    verify_that!(restarted_on(&fenced), some(eq("w1")))?;
    verify_that!(restarted_on(&unfenced), none())
}

/// Guards against tasks that run twice: an owner whose start was not answered sees in the list of workers that the
/// worker has restarted. The new incarnation may have accepted the start and, with it, the longest lease.
#[gtest]
fn an_unanswered_start_on_a_worker_that_is_listed_as_restarted_is_awaited() -> Result<()> {
    let mut driver = cell(1);
    let rule = RestartRule::new(GRANTED_LEASE, LONGEST_LEASE);
    driver.scheduler = std::mem::take(&mut driver.scheduler).with_restart_rule(rule);
    submit(&mut driver, service());
    let start = driver.started("j.0.0.0").or_fail()?;
    let unanswered = CellEvent::StartAnswered(start.task, start.run, start.worker, CommandOutcome::Unknown);
    driver.handle(unanswered);
    driver.handle(CellEvent::WorkersListed(vec![worker("w0"), worker("w1")]));
    let lease_expires_at = driver.now + LEASE;
    driver.handle(CellEvent::WorkerUnresponsive("w0".into(), lease_expires_at));
    let restarted_at = START_UNIX_TIME + driver.now.duration_since(driver.start);
    let restarted = WorkerListing { incarnation: Some(restarted_at), ..worker("w0") };
    driver.handle(CellEvent::WorkersListed(vec![restarted, worker("w1")]));

    pass(&mut driver, 24_000);
    let early = restarted_on(&driver);
    pass(&mut driver, 2_000);

    verify_that!(early, some(eq("w0")))?;
    verify_that!(restarted_on(&driver), some(eq("w1")))
}

/// Guards against tasks that run twice: the list of workers shows a restart before the link sees it, and a start that
/// is sent after that carries an expiry by the former clock.
#[gtest]
fn no_start_goes_to_a_worker_that_is_listed_as_restarted() -> Result<()> {
    let mut driver = cell(1);
    let rule = RestartRule::new(GRANTED_LEASE, LONGEST_LEASE);
    driver.scheduler = std::mem::take(&mut driver.scheduler).with_restart_rule(rule);
    let restarted_at = START_UNIX_TIME + driver.now.duration_since(driver.start);
    let restarted = WorkerListing { incarnation: Some(restarted_at), ..worker("w0") };
    driver.handle(CellEvent::WorkersListed(vec![restarted, worker("w1")]));
    submit(&mut driver, service());

    verify_that!(restarted_on(&driver), some(eq("w1")))
}

/// Guards against tasks that run twice: a call of the former owner for an earlier incarnation is carried out up to 12 s
/// after it was sent, by a worker that no call of the new owner has reached.
#[gtest]
fn a_worker_that_never_answers_may_carry_out_a_late_call() -> Result<()> {
    let mut restarted = next_owner_of_a_worker_started(Duration::from_secs(1), None);

    pass(&mut restarted, 18_000);

    verify_that!(restarted_on(&restarted), none())
}

/// Guards against work that waits for nothing: a run that the former incarnation has confirmed cannot be on the listed
/// one, whatever lease that one holds by an unanswered start of another task.
#[gtest]
fn a_confirmed_run_waits_no_longer_for_an_unanswered_start_beside_it() -> Result<()> {
    let mut driver = cell(1);
    let rule = RestartRule::new(GRANTED_LEASE, LONGEST_LEASE);
    driver.scheduler = std::mem::take(&mut driver.scheduler).with_restart_rule(rule);
    submit(&mut driver, job("j", "urgent", vec![StepSpec { long_running: true, ..step(2) }]));
    let start = driver.started("j.0.0.1").or_fail()?;
    driver.handle(CellEvent::StartAnswered(start.task, start.run, start.worker, CommandOutcome::Unknown));
    driver.handle(CellEvent::WorkersListed(vec![worker("w0"), worker("w1")]));
    let lease_expires_at = driver.now + LEASE;
    driver.handle(CellEvent::WorkerUnresponsive("w0".into(), lease_expires_at));
    let restarted_at = START_UNIX_TIME + driver.now.duration_since(driver.start);
    let restarted = WorkerListing { incarnation: Some(restarted_at), ..worker("w0") };
    driver.handle(CellEvent::WorkersListed(vec![restarted, worker("w1")]));

    pass(&mut driver, 9_000);

    verify_that!(restarted_on(&driver), some(eq("w1")))
}

/// Guards against work that waits for nothing: the store drops old records, and a new owner that finds no fence of a
/// worker counts the longest wait.
#[gtest]
fn a_fence_is_recorded_again_before_the_store_drops_it() -> Result<()> {
    let mut driver = cell(1);
    let scheduler = std::mem::take(&mut driver.scheduler);
    driver.scheduler = scheduler.with_log_retention(Duration::from_secs(30));

    pass(&mut driver, 29_000);

    let has_fences = |record: &&CellRecord| matches!(record, CellRecord::Fences(_));
    verify_that!(driver.records.iter().filter(has_fences).count(), ge(2))
}

/// Guards against start passes for nothing: each worker writes its entry every few seconds, with a newer clock and no
/// other change.
#[gtest]
fn an_entry_with_a_newer_clock_is_no_change() -> Result<()> {
    let newer = WorkerListing { clock: Some(LONGEST_LEASE), ..worker("w0") };
    let moved = WorkerListing { address: "127.0.0.1:2".into(), ..newer.clone() };

    verify_that!((newer.repeats(&worker("w0")), moved.repeats(&worker("w0"))), eq((true, false)))
}

/// Guards against starts that are recorded and dropped: the link sends none to a worker that may still carry out calls
/// for a former incarnation.
#[gtest]
fn no_start_goes_to_an_unfenced_worker() -> Result<()> {
    let mut driver = cell(1);
    driver.handle(CellEvent::WorkerUnfenced("w0".into()));
    submit(&mut driver, service());
    let early = restarted_on(&driver);

    let fence = WorkerFence { incarnation: START_UNIX_TIME, clock: LONGEST_LEASE };
    driver.handle(CellEvent::WorkerFenced("w0".into(), fence));

    verify_that!((early, restarted_on(&driver)), eq(&(None, Some("w0".to_owned()))))
}

/// Guards against tasks that run twice: the wall clock of a worker went back between two of its lives, so that the list
/// showed the present one as the older. The bound of its lease goes by that too, but not if the list lags behind.
#[gtest]
fn a_worker_whose_wall_clock_went_back_is_listed_as_restarted() -> Result<()> {
    let listed_at = |incarnation| vec![WorkerListing { incarnation: Some(incarnation), ..worker("w0") }];
    let earlier = INCARNATION.saturating_sub(Duration::from_secs(1));
    let later = INCARNATION + Duration::from_secs(1);
    let [mut back, mut lagging] = [cell(1), cell(1)];
    back.handle(CellEvent::WorkersListed(listed_at(earlier)));
    submit(&mut back, service());
    let restarted = PollReport { incarnation: later, ..report(lagging.now, Vec::new(), Vec::new()) };
    lagging.handle(CellEvent::WorkerPolled("w0".into(), restarted));
    lagging.handle(CellEvent::WorkersListed(listed_at(INCARNATION)));
    let is_new = |driver: &CellDriver| driver.scheduler.state().workers[0].newly_listed().is_some();

    verify_that!(restarted_on(&back), none())?;
    verify_that!((is_new(&back), is_new(&lagging)), eq((true, false)))
}

/// Guards against a service that waits without a bound: each owner of a series counted the longest wait for a worker
/// that has restarted and answers none of them from the start of its own term. The bound that the owner before recorded
/// held for the same incarnation.
#[gtest]
fn restarts_of_the_owner_do_not_put_off_the_bound_of_a_restarted_worker() -> Result<()> {
    let mut first = owner_with_a_silent_worker();
    pass(&mut first, 1_000);
    let (mut records, mut restarted) = (first.records, None);
    for term in 0..3 {
        let mut next = recovered_owner(&records, Instant::now() + INHERITED_LEASE);
        let clock = Some(Duration::from_secs(1 + 20 * term));
        list_workers(&mut next, WorkerListing { clock, ..worker_started(Duration::from_secs(1)) });
        pass(&mut next, 20_000);
        restarted = restarted.or(restarted_on(&next));
        records = next.records;
    }

    verify_that!(restarted, some(eq("w1")))
}

/// Guards against a log and a state that grow with each worker that there ever was: ids are new after each move and each
/// replacement, and every owner took over the fences of all workers that have left and recorded them again.
#[gtest]
fn the_fence_of_a_worker_that_has_left_is_not_recorded_again() -> Result<()> {
    let mut first = cell(1);
    first.scheduler.record_lease_bounds(first.now);
    first.advance(0);
    let mut next = recovered_owner(&first.records, Instant::now() + INHERITED_LEASE);
    list_workers(&mut next, worker("w2"));
    next.records.clear();

    pass(&mut next, 12_000);

    let names_it = |record: &CellRecord| match record {
        CellRecord::Fences(fences) => fences.iter().any(|(worker, _)| &**worker == "w0"),
        _ => false,
    };
    verify_that!(first.records.iter().any(names_it), eq(true))?;
    verify_that!(next.records.iter().any(names_it), eq(false))
}

/// Guards against tasks that run twice: what a fenced worker may hold counts from its entry in the list, which tells
/// nothing of the time since the release of the former owner.
#[gtest]
fn the_time_since_a_release_does_not_count_for_a_worker_that_was_just_fenced() -> Result<()> {
    let age = Duration::from_secs(1);
    let mut first = cell(1);
    submit(&mut first, service());
    let fence = WorkerFence { incarnation: START_UNIX_TIME.saturating_sub(age), clock: age };
    first.handle(CellEvent::WorkerFenced("w0".into(), fence));
    first.scheduler.record_lease_bounds(first.now);
    first.advance(0);
    let mut next = owner_after_release(&first.records);
    list_workers(&mut next, worker_started(age));

    pass(&mut next, 9_000);
    let early = restarted_on(&next);
    pass(&mut next, 3_000);

    verify_that!((early, restarted_on(&next)), eq(&(None, Some("w1".to_owned()))))
}
