//! Tests of what calls for a former incarnation of a worker may still grant.

mod fixture_cell;
mod fixture_link;

use std::time::{Duration, Instant};

use fixture_cell::{INCARNATION, start_command as start};
use fixture_link::{
    FakeWorker, LEASE, LONGEST_LEASE, NEWEST_TOKEN, RunningLink, USUAL_HOLD, ownership_for_the_test,
};
use godwithaven::clock;
use godwithaven::kernel::cell::{CallFence, CellEvent, CommandOutcome, WorkerFence, WorkerLease};
use godwithaven::tasks::cell::link::LinkMessage;
use googletest::prelude::*;

/// Guards against tasks that run twice: a call that was meant for a former incarnation of a worker and is carried out
/// late renews the lease, or starts a run, after the owner has counted both as over. The worker can refuse it only by
/// its token.
#[gtest]
#[actix_rt::test]
async fn calls_after_a_restart_fence_those_for_the_former_incarnation() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(700));
    let ownership = ownership_for_the_test();
    let mut link = RunningLink::start_with_ownership(&worker, ownership.clone());
    link.commands.try_send(LinkMessage::RenewLease(Instant::now())).or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;
    ownership.note_claim_log(NEWEST_TOKEN);
    link.send(start("j.0.0.0", INCARNATION)).await.or_fail()?;

    let next = INCARNATION + Duration::from_secs(1);
    worker.restart_as(next);
    link.await_report(next).await.or_fail()?;
    link.await_report(next).await.or_fail()?;
    link.send(start("j.0.0.1", next)).await.or_fail()?;
    link.token.cancel();

    verify_that!(worker.highest_token.get(), eq(NEWEST_TOKEN))?;
    verify_that!(*worker.start_tokens.borrow(), eq(&vec![1, NEWEST_TOKEN]))
}

/// Guards against tasks that run twice: early in a term the token cannot rise, and a late call for the former incarnation
/// acknowledged the end of a run that was started meanwhile, before an owner had learned of it.
#[gtest]
#[actix_rt::test]
async fn no_start_is_sent_before_a_restarted_worker_is_fenced() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(700));
    let ownership = ownership_for_the_test();
    let mut link = RunningLink::start_with_ownership(&worker, ownership.clone());
    link.commands.try_send(LinkMessage::RenewLease(Instant::now())).or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;
    let next = INCARNATION + Duration::from_secs(1);
    worker.restart_as(next);
    link.await_report(next).await.or_fail()?;

    let early = link.send(start("j.0.0.0", next)).await;
    ownership.note_claim_log(NEWEST_TOKEN);
    let is_fenced = |event| matches!(event, CellEvent::WorkerFenced(..)).then_some(());
    link.await_event(is_fenced).await.or_fail()?;
    let late = link.send(start("j.0.0.1", next)).await;
    link.token.cancel();

    verify_that!((early, late), eq((Some(CommandOutcome::NotSent), Some(CommandOutcome::Accepted))))
}

/// Guards against an owner that ends its term for nothing: a start that was on its way when the worker restarted is
/// refused for its token, which is not that of a successor.
#[gtest]
#[actix_rt::test]
async fn a_start_that_a_restart_fences_is_refused() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(800));
    let ownership = ownership_for_the_test();
    let mut link = RunningLink::start_with_ownership(&worker, ownership.clone());
    link.commands.try_send(LinkMessage::RenewLease(Instant::now())).or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;
    ownership.note_claim_log(NEWEST_TOKEN);
    worker.start_answered_after.set(NEWEST_TOKEN);
    link.commands.send(LinkMessage::Start(start("j.0.0.0", INCARNATION))).await.or_fail()?;
    while worker.started.borrow().is_empty() {
        tokio::time::sleep(USUAL_HOLD).await;
    }

    let next = INCARNATION + Duration::from_secs(1);
    worker.restart_as(next);
    let outcome = link.await_start_outcome().await;
    let later = link.send(start("j.0.0.1", next)).await;
    link.token.cancel();

    verify_that!(outcome, some(eq(CommandOutcome::Refused)))?;
    verify_that!(later, some(eq(CommandOutcome::Accepted)))
}

/// Returns by when the lease of a worker ends at the latest that has answered a new owner once, as the incarnation
/// that started this long ago by the wall clock; counted from just before that answer. By the records, the worker has
/// refused calls for its former incarnation for the time `fenced_for` on its own clock.
async fn first_bound_of_a_worker_started(age: Duration, fenced_for: Option<Duration>) -> Result<Duration> {
    let worker = FakeWorker::default();
    let (incarnation, clock) = (clock::unix_time().saturating_sub(age), Duration::from_secs(600));
    worker.answer_as(incarnation, clock);
    let polled_at = Instant::now();
    let fence = fenced_for.map(|time| WorkerFence { incarnation, clock: clock.saturating_sub(time) });
    let mut link = RunningLink::start_with_inherited(&worker, LONGEST_LEASE, fence);
    link.await_report(incarnation).await.or_fail()?;
    worker.answer.set(None);
    let expires_at = link.await_lease_bound().await.or_fail()?;
    link.token.cancel();
    Ok(expires_at.saturating_duration_since(polled_at))
}

/// Guards against tasks that run twice: a new owner bounded the lease of a worker that had restarted just before by
/// what owners grant, although a call of the former owner, by the clock of the former incarnation, had granted it
/// the longest lease that it accepts.
#[gtest]
#[actix_rt::test]
async fn a_new_owner_counts_a_lease_by_the_clock_of_a_former_incarnation() -> Result<()> {
    let bound = first_bound_of_a_worker_started(Duration::from_secs(2), None).await?;

    verify_that!(bound, ge(LONGEST_LEASE * 100 / 98))
}

/// Guards against tasks that run twice: a new owner whose wall clock was ahead took a worker that had restarted seconds
/// before for one that had run for long, and bounded its lease by what owners grant.
#[gtest]
#[actix_rt::test]
async fn a_new_owner_asks_no_wall_clock_for_the_age_of_a_worker() -> Result<()> {
    let bound = first_bound_of_a_worker_started(Duration::from_secs(60), None).await?;

    verify_that!(bound, ge(LONGEST_LEASE * 100 / 98))
}

/// Guards against work that waits for nothing: by the records, the worker refused calls for its former incarnation long
/// enough ago that no lease of such a call is left. A fence of a short time ago does not tell that.
#[gtest]
#[actix_rt::test]
async fn a_new_owner_goes_by_the_recorded_fence_of_a_worker() -> Result<()> {
    let age = Duration::from_secs(14);
    let early = first_bound_of_a_worker_started(age, Some(Duration::from_secs(13))).await?;
    let late = first_bound_of_a_worker_started(age, Some(Duration::ZERO)).await?;

    verify_that!(early, ge(LEASE))?;
    verify_that!(early, lt(LONGEST_LEASE))?;
    verify_that!(late, ge(LONGEST_LEASE * 100 / 98))
}

/// Guards against work that waits for nothing: a worker that has refused calls for its former incarnation for long holds
/// no lease by an earlier clock, although a wall clock that is behind makes it look new.
#[gtest]
#[actix_rt::test]
async fn a_new_owner_counts_the_usual_lease_of_a_worker_that_has_run_for_long() -> Result<()> {
    let bound = first_bound_of_a_worker_started(Duration::ZERO, Some(Duration::from_secs(60))).await?;

    verify_that!(bound, ge(LEASE))?;
    verify_that!(bound, lt(LONGEST_LEASE))
}

/// Guards against tasks that run twice: the token rises with a poll that grants a lease, or a start, and the worker
/// restarts again before it answers. The next incarnation would not refuse these calls, whose token is not lower.
#[gtest]
#[actix_rt::test]
async fn a_raised_token_grants_no_lease_before_it_is_answered() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(700));
    let ownership = ownership_for_the_test();
    let mut link = RunningLink::start_with_ownership(&worker, ownership.clone());
    link.commands.try_send(LinkMessage::RenewLease(Instant::now())).or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;
    let second = INCARNATION + Duration::from_secs(1);
    worker.answer_as(second, Duration::from_secs(500));
    worker.ended.set(Some(1));
    link.await_report(second).await.or_fail()?;
    ownership.note_claim_log(NEWEST_TOKEN);
    worker.answer.set(None);
    let renewals = worker.renewals.get();
    link.commands.send(LinkMessage::Acknowledge(second, 1)).await.or_fail()?;
    let outcome = link.send(start("j.0.0.1", second)).await;
    link.await_lease_bound().await.or_fail()?;
    link.token.cancel();

    verify_that!(outcome, some(eq(CommandOutcome::NotSent)))?;
    verify_that!(worker.renewals.get(), eq(renewals))?;
    verify_that!(*worker.start_tokens.borrow(), is_empty())
}

/// Guards against tasks that run twice: as long as the token cannot rise, a call for the former incarnation may be
/// carried out after any answer of the present one.
#[gtest]
#[actix_rt::test]
async fn an_open_fence_bounds_the_lease_from_the_last_answer() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(700));
    let mut link = RunningLink::start(&worker);
    link.await_report(INCARNATION).await.or_fail()?;
    let next = INCARNATION + Duration::from_secs(1);
    worker.restart_as(next);
    link.await_report(next).await.or_fail()?;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let last = Instant::now();
    worker.answer.set(None);
    let expires_at = link.await_lease_bound().await.or_fail()?;
    link.token.cancel();

    verify_that!(expires_at.saturating_duration_since(last), ge(LONGEST_LEASE))
}

/// Guards against tasks that run twice: another worker answers at the address for a while (status 421), and the
/// worker is then back as another incarnation, while a call for the former one is on its way.
#[gtest]
fn grants_from_before_another_worker_answered_are_kept() -> Result<()> {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut lease = lease_of_a_long_term(start);
    lease.end(at(21));
    lease.restart(Duration::from_secs(100), at(22));

    verify_that!(lease.expires_by().saturating_duration_since(at(22)), ge(LONGEST_LEASE))
}

/// Guards against tasks that run twice: the list shows a worker that has restarted at another address, and the connection
/// that was opened there counted less than the one before knew.
#[gtest]
fn a_connection_that_is_opened_again_counts_the_longest_lease() -> Result<()> {
    let now = Instant::now();

    let lease = WorkerLease::reopened(LEASE, LONGEST_LEASE, now);

    verify_that!(lease.expires_by().saturating_duration_since(now), ge(LONGEST_LEASE * 100 / 98))
}

/// Returns a lease of an owner to whom the worker first answered at `start`, which granted it a lease until 3006.5 s on
/// the worker's clock at 20 s.
fn lease_of_a_long_term(start: Instant) -> WorkerLease {
    let granted_at = start + Duration::from_secs(20);
    let mut lease = WorkerLease::new(LEASE, LONGEST_LEASE, start);
    lease.note_fenced(Duration::ZERO, start);
    lease.note_clock(Duration::from_secs(3_000), granted_at);
    lease.grant(granted_at);
    lease
}

/// Guards against work that waits for nothing: the clock of the new incarnation is past all expiries by the former one,
/// so that no call can grant it a lease.
#[gtest]
fn a_clock_past_the_former_expiries_adds_no_wait() -> Result<()> {
    let start = Instant::now();
    let restarted_at = start + Duration::from_secs(21);
    let mut lease = lease_of_a_long_term(start);

    lease.restart(Duration::from_secs(9_000), restarted_at);

    verify_that!(lease.expires_by().saturating_duration_since(restarted_at), lt(Duration::from_secs(1)))
}

/// Guards against tasks that run twice: soon after the first answer, calls of earlier owners may be carried out, whose
/// expiries this owner does not know.
#[gtest]
fn early_in_a_term_a_restart_counts_the_longest_lease() -> Result<()> {
    let start = Instant::now();
    let restarted_at = start + Duration::from_secs(5);
    let mut lease = WorkerLease::new(LEASE, LONGEST_LEASE, start);
    lease.note_fenced(Duration::ZERO, start);

    lease.restart(Duration::from_secs(9_000), restarted_at);

    verify_that!(lease.expires_by().saturating_duration_since(restarted_at), ge(LONGEST_LEASE))
}

/// Guards against tasks that run twice: the connection to a worker is opened again within a term, and its first answer
/// was taken to fence the calls of the connection before, which carry the same token.
#[gtest]
fn a_reopened_fence_closes_only_after_its_token_has_risen() -> Result<()> {
    let mut fence = CallFence::reopened(5);

    let first = fence.note_answer();
    let is_open = fence.is_open();
    fence.raise(6);
    let second = fence.note_answer();

    verify_that!((first, is_open, second, fence.token()), eq((false, true, true, 6)))
}
