//! Tests of how long a new owner waits for the leases of workers that do not answer.

mod fixture_cell;

use std::time::{Duration, Instant};

use fixture_cell::{
    CellDriver, INCARNATION, START_UNIX_TIME, cell, job, report, running, step, submit, worker,
};
use godwithaven::kernel::cell::{
    CellEvent, CellRecord, CellScheduler, CommandOutcome, FormerRelease, GraphSpec, InheritedLeases,
    PollReport, RestartRule, StartCommand, StepSpec, WorkerFence, WorkerListing,
};
use googletest::prelude::*;

/// Time after which all leases of earlier owners have expired if nothing else is known.
const INHERITED_LEASE: Duration = Duration::from_secs(9);
/// Lease that a worker holds when it falls silent.
const LEASE: Duration = Duration::from_secs(7);
/// Lease that owners grant.
const GRANTED_LEASE: Duration = Duration::from_millis(6_500);
/// For how long a deposed owner goes on granting leases.
const OWNERSHIP_LEASE: Duration = Duration::from_secs(2);
/// Longest lease that workers accept.
const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// Duration of a term in a series of restarts.
const TERM_MS: u64 = 4_000;

/// Returns a job with one task that has no end of its own.
fn service() -> GraphSpec {
    job("j", "urgent", vec![StepSpec { long_running: true, ..step(1) }])
}

/// Returns an owner whose only started task runs on `w0`, which has just fallen silent.
fn owner_with_a_silent_worker() -> CellDriver {
    let mut driver = cell(1);
    submit(&mut driver, service());
    driver.scheduler.record_lease_bounds(driver.now);
    driver.advance(0);
    let lease_expires_at = driver.now + LEASE;
    driver.handle(CellEvent::WorkerUnresponsive("w0".into(), lease_expires_at));
    driver
}

/// Lets time pass in steps of a second, in each of which the bounds of leases are recorded.
fn pass(driver: &mut CellDriver, millis: u64) {
    let end = driver.now + Duration::from_millis(millis);
    while driver.now < end {
        driver.advance(1_000 - 35);
        driver.scheduler.record_lease_bounds(driver.now);
    }
    driver.advance(0);
}

/// Returns the owner that follows, with all records so far and without the list of workers.
fn recovered_owner(records: &[CellRecord], inherited: impl Into<InheritedLeases>) -> CellDriver {
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
fn list_workers(driver: &mut CellDriver, silent: WorkerListing) {
    driver.handle(CellEvent::WorkersListed(vec![silent, worker("w1")]));
    let polled = report(driver.now, Vec::new(), Vec::new());
    driver.handle(CellEvent::WorkerPolled("w1".into(), polled));
}

/// Returns the owner that follows, with all records so far. Only `w1` answers it.
fn next_owner(records: &[CellRecord]) -> CellDriver {
    let mut driver = recovered_owner(records, Instant::now() + INHERITED_LEASE);
    list_workers(&mut driver, worker("w0"));
    driver
}

/// Returns the owner that follows 3 s after it has read the release of the former one, without the list of workers.
fn owner_after_release(records: &[CellRecord]) -> CellDriver {
    let now = Instant::now();
    let read_at = now.checked_sub(Duration::from_secs(3)).expect("the machine has run for longer");
    let release = FormerRelease { read_at, fenced_for: INHERITED_LEASE };
    recovered_owner(records, InheritedLeases::new(LEASE, OWNERSHIP_LEASE, Some(release), now))
}

/// Returns the worker `w0` as the list of workers shows it after it has started this long ago, with a clock that began
/// at zero.
fn worker_started(age: Duration) -> WorkerListing {
    let incarnation = Some(START_UNIX_TIME.saturating_sub(age));
    WorkerListing { incarnation, clock: Some(age), ..worker("w0") }
}

fn restarted_on(driver: &CellDriver) -> Option<String> {
    driver.started("j.0.0.0").map(|StartCommand { worker, .. }| worker.to_string())
}

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

/// Returns an owner that follows one with a running task on `w0`, does not reach that worker, and reads that it
/// restarted this long before. The former owner knew that the worker refused calls for its former incarnation from
/// this age on.
fn next_owner_of_a_worker_started(age: Duration, fence_age: Option<Duration>) -> CellDriver {
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

/// Guards against tasks that run twice: workers carry out calls for a former incarnation late, which the release of
/// the former owner does not bound, and only the list of workers shows which ones have restarted.
#[gtest]
fn the_time_since_a_release_does_not_count_for_a_restarted_worker() -> Result<()> {
    let mut first = cell(1);
    submit(&mut first, service());
    let mut listed = owner_after_release(&first.records);
    list_workers(&mut listed, worker_started(Duration::from_secs(1)));
    let mut listed_late = owner_after_release(&first.records);
    // At the release, the worker was still young enough to carry out such calls.
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
