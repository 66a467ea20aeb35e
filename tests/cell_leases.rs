//! Tests of how long a new owner waits for the leases of workers that do not answer.

mod fixture_cell;
mod fixture_leases;

use std::time::{Duration, Instant};

use fixture_cell::{cell, report, running, submit, worker};
use fixture_leases::{
    LEASE, OWNERSHIP_LEASE, TERM_MS, list_workers, next_owner, owner_after_release,
    owner_with_a_silent_worker, pass, restarted_on, service,
};
use godwithaven::kernel::cell::{CellEvent, CellRecord, FormerRelease, InheritedLeases, WorkerListing};
use googletest::prelude::*;

/// Guards against a service that waits without a bound: each owner of a series counted the leases of silent
/// workers from the start of its own term, and was restarted before they had expired.
#[gtest]
fn restarts_of_the_owner_do_not_put_off_the_end_of_a_lease() -> Result<()> {
    let mut first = owner_with_a_silent_worker();
    pass(&mut first, TERM_MS);
    let mut second = next_owner(&first.records);
    pass(&mut second, TERM_MS);

    verify_that!(restarted_on(&second), some(eq("w1")))
}

/// Guards against a service that starts late after a restart of the owner just before the end of a lease: the time
/// left in the records was up to half a second old.
#[gtest]
fn a_bound_is_recorded_more_often_towards_its_end() -> Result<()> {
    let mut driver = owner_with_a_silent_worker();
    let expires_at = driver.now + LEASE;
    pass(&mut driver, 6_000);
    let mut oldest = Duration::ZERO;
    while driver.now + Duration::from_millis(200) < expires_at {
        driver.advance(65);
        driver.scheduler.record_lease_bounds(driver.now);
        driver.advance(0);
        let bounds = driver.records.iter().rev().find_map(|record| match record {
            CellRecord::LeaseBounds(bounds) => bounds.first()?.1,
            _ => None,
        });
        let left = expires_at.saturating_duration_since(driver.now);
        oldest = oldest.max(bounds.or_fail()?.saturating_sub(left));
    }

    verify_that!(oldest, lt(Duration::from_millis(350)))
}

/// Guards against the opposite mistake: the bound of a lease is not reached earlier for a new owner, and one
/// that finds no bound waits for the longest lease that an earlier owner may have granted.
#[gtest]
fn a_recorded_bound_is_not_shortened_by_a_change_of_the_owner() -> Result<()> {
    let mut first = owner_with_a_silent_worker();
    pass(&mut first, 2_000);
    let mut with_bound = next_owner(&first.records);
    pass(&mut with_bound, TERM_MS);
    let is_bound = |record: &CellRecord| matches!(record, CellRecord::LeaseBounds(_));
    let others: Vec<CellRecord> = first.records.iter().filter(|record| !is_bound(record)).cloned().collect();
    let mut without_bound = next_owner(&others);
    pass(&mut without_bound, TERM_MS);

    verify_that!(restarted_on(&with_bound), none())?;
    verify_that!(restarted_on(&without_bound), none())
}

/// Guards against work that waits longer than needed: a new owner counted the wait for leases, and the time left in
/// the records, from its own start, although the former one had granted none since its release.
#[gtest]
fn the_time_since_a_release_counts_towards_the_end_of_a_lease() -> Result<()> {
    let mut first = owner_with_a_silent_worker();
    let unbounded = first.records.clone();
    pass(&mut first, 2_000);
    let [mut second, mut with_bound] = [unbounded, first.records].map(|records| {
        let mut driver = owner_after_release(&records);
        list_workers(&mut driver, worker("w0"));
        driver
    });

    // The lease of 7 s ends 4 s after the recovery, and one that had 5 s left 2 s after it.
    pass(&mut with_bound, 1_000);
    let early_with_bound = restarted_on(&with_bound);
    pass(&mut with_bound, 2_000);
    pass(&mut second, 3_000);
    let early = restarted_on(&second);
    pass(&mut second, 2_000);

    verify_that!((early, early_with_bound), eq(&(None, None)))?;
    verify_that!(restarted_on(&with_bound), some(eq("w1")))?;
    verify_that!(restarted_on(&second), some(eq("w1")))
}

/// Guards against tasks that run twice: once a worker answers again its lease is renewed, so that the bound
/// must be taken back in the records first, and a later owner must not go by it.
#[gtest]
fn the_bound_of_a_worker_that_answers_again_is_taken_back() -> Result<()> {
    let mut first = owner_with_a_silent_worker();
    pass(&mut first, TERM_MS);
    first.renewals.clear();
    let kept = report(first.now, vec![running("j.0.0.0", 1, 100)], Vec::new());
    first.handle(CellEvent::WorkerPolled("w0".into(), kept));
    let mut second = next_owner(&first.records);
    pass(&mut second, TERM_MS);

    verify_that!(first.renewals, eq(&vec![("w0".to_owned(), true)]))?;
    verify_that!(restarted_on(&second), none())
}

/// Guards against a worker whose tasks are given up, or whose lease lapses, because it is listed at another
/// address: it runs on, and the new link has to be told that it may renew the lease.
#[gtest]
fn a_worker_at_another_address_keeps_its_tasks_and_its_lease() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, service());
    driver.advance(20_000);
    let kept = report(driver.now, vec![running("j.0.0.0", 1, 100)], Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), kept));
    driver.renewals.clear();
    driver.answers_first_poll = false;

    let moved = WorkerListing { address: "127.0.0.1:2".into(), ..worker("w0") };
    driver.handle(CellEvent::WorkersListed(vec![moved]));
    driver.advance(200);
    let kept = report(driver.now, vec![running("j.0.0.0", 1, 100)], Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), kept));

    verify_that!(driver.starts.len(), eq(1))?;
    verify_that!(driver.renewals, eq(&vec![("w0".to_owned(), false)]))
}

/// Guards against leases that lapse while the store is slow: a worker that was silent for a moment only is
/// renewed without a record.
#[gtest]
fn a_short_silence_is_not_recorded() -> Result<()> {
    let mut driver = owner_with_a_silent_worker();
    driver.advance(200);
    driver.scheduler.record_lease_bounds(driver.now);
    driver.renewals.clear();
    let kept = report(driver.now, vec![running("j.0.0.0", 1, 100)], Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), kept));

    let bounds = driver.records.iter().filter(|record| matches!(record, CellRecord::LeaseBounds(_))).count();
    verify_that!(bounds, eq(0))?;
    verify_that!(driver.renewals, eq(&vec![("w0".to_owned(), false)]))
}

/// Guards against tasks that run twice: a deposed owner goes on sending calls for a while, and so long after that a worker
/// may carry one out. After a release, the owners before the released one may still send them for what is left of it.
#[gtest]
fn the_last_call_of_a_deposed_owner_is_counted() -> Result<()> {
    let now = Instant::now();
    let release = |fenced_for| Some(FormerRelease { read_at: now, fenced_for });
    let after_a_loss = InheritedLeases::new(LEASE, OWNERSHIP_LEASE, None, now);
    let after_a_short_term = InheritedLeases::new(LEASE, OWNERSHIP_LEASE, release(OWNERSHIP_LEASE / 4), now);

    verify_that!(after_a_loss.calls_end_by, ge(now + OWNERSHIP_LEASE))?;
    verify_that!(after_a_short_term.calls_end_by, ge(now + OWNERSHIP_LEASE * 3 / 4))
}
