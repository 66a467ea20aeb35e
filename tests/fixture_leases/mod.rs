//! Owners of a cell whose workers fall silent or restart, on a simulated clock.

#![allow(dead_code, reason = "each test program uses a part of the fixture")]

use std::time::{Duration, Instant};

use godwithaven::kernel::cell::{
    CellEvent, CellRecord, CellScheduler, FormerRelease, GraphSpec, InheritedLeases, RestartRule,
    StartCommand, StepSpec, WorkerFence, WorkerListing,
};

use crate::fixture_cell::{self, CellDriver, START_UNIX_TIME, cell, job, report, step, submit, worker};

/// Time after which all leases of earlier owners have expired if nothing else is known.
pub const INHERITED_LEASE: Duration = Duration::from_secs(9);
/// Lease that a worker holds when it falls silent.
pub const LEASE: Duration = Duration::from_secs(7);
/// Lease that owners grant.
pub const GRANTED_LEASE: Duration = Duration::from_millis(6_500);
/// For how long a deposed owner goes on granting leases.
pub const OWNERSHIP_LEASE: Duration = Duration::from_secs(2);
/// Longest lease that workers accept.
pub const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// Duration of a term in a series of restarts.
pub const TERM_MS: u64 = 4_000;

/// Returns a job with one task that has no end of its own.
pub fn service() -> GraphSpec {
    job("j", "urgent", vec![StepSpec { long_running: true, ..step(1) }])
}

/// Returns an owner whose only started task runs on `w0`, which has just fallen silent.
pub fn owner_with_a_silent_worker() -> CellDriver {
    let mut driver = cell(1);
    submit(&mut driver, service());
    driver.scheduler.record_lease_bounds(driver.now);
    driver.advance(0);
    let lease_expires_at = driver.now + LEASE;
    driver.handle(CellEvent::WorkerUnresponsive("w0".into(), lease_expires_at));
    driver
}

/// Lets time pass in steps of a second, in each of which the bounds of leases are recorded.
pub fn pass(driver: &mut CellDriver, millis: u64) {
    let end = driver.now + Duration::from_millis(millis);
    while driver.now < end {
        driver.advance(1_000 - 35);
        driver.scheduler.record_lease_bounds(driver.now);
    }
    driver.advance(0);
}

/// Returns the owner that follows, with all records so far and without the list of workers.
pub fn recovered_owner(records: &[CellRecord], inherited: impl Into<InheritedLeases>) -> CellDriver {
    let mut driver = cell(0);
    driver.answers_first_poll = false;
    let rule = RestartRule::new(GRANTED_LEASE, LONGEST_LEASE);
    driver.scheduler = CellScheduler::new(inherited).with_restart_rule(rule);
    driver.advance(0);
    driver.handle(CellEvent::Configured(fixture_cell::config(None).into()));
    submit(&mut driver, service());
    for record in records {
        driver.scheduler.replay(record.clone(), driver.now);
    }
    driver.scheduler.end_replay();
    driver.records = records.to_vec();
    driver
}

/// Lists both workers, of which only `w1` answers.
pub fn list_workers(driver: &mut CellDriver, silent: WorkerListing) {
    driver.handle(CellEvent::WorkersListed(vec![silent, worker("w1")]));
    let polled = report(driver.now, Vec::new(), Vec::new());
    driver.handle(CellEvent::WorkerPolled("w1".into(), polled));
}

/// Returns the owner that follows, with all records so far. Only `w1` answers it.
pub fn next_owner(records: &[CellRecord]) -> CellDriver {
    let mut driver = recovered_owner(records, Instant::now() + INHERITED_LEASE);
    list_workers(&mut driver, worker("w0"));
    driver
}

/// Returns the owner that follows 3 s after it has read the release of the former one, without the list of workers.
pub fn owner_after_release(records: &[CellRecord]) -> CellDriver {
    let now = Instant::now();
    let read_at = now.checked_sub(Duration::from_secs(3)).expect("the machine has run for longer");
    let release = FormerRelease { read_at, fenced_for: INHERITED_LEASE };
    recovered_owner(records, InheritedLeases::new(LEASE, OWNERSHIP_LEASE, Some(release), now))
}

/// Returns the worker `w0` as the list of workers shows it after it has started this long ago, with a clock that began
/// at zero.
pub fn worker_started(age: Duration) -> WorkerListing {
    let incarnation = Some(START_UNIX_TIME.saturating_sub(age));
    WorkerListing { incarnation, clock: Some(age), ..worker("w0") }
}

pub fn restarted_on(driver: &CellDriver) -> Option<String> {
    driver.started("j.0.0.0").map(|StartCommand { worker, .. }| worker.to_string())
}

/// Returns an owner that follows one with a running task on `w0`, does not reach that worker, and reads that it
/// restarted this long before. The former owner knew that the worker refused calls for its former incarnation from
/// this age on.
pub fn next_owner_of_a_worker_started(age: Duration, fence_age: Option<Duration>) -> CellDriver {
    let mut first = cell(1);
    submit(&mut first, service());
    if let Some(fence_age) = fence_age {
        let fence = WorkerFence { incarnation: START_UNIX_TIME.saturating_sub(age), clock: fence_age };
        first.handle(CellEvent::WorkerFenced("w0".into(), fence));
        first.scheduler.record_lease_bounds(first.now);
        first.advance(0);
    }
    let mut driver = recovered_owner(&first.records, Instant::now() + INHERITED_LEASE);
    list_workers(&mut driver, worker_started(age));
    driver
}
