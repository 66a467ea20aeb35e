//! Tests of the polls and starts that the link to a worker sends.

mod fixture_cell;
mod fixture_link;
mod fixture_log;

use std::time::{Duration, Instant};

use fixture_cell::{INCARNATION, start_command as start};
use fixture_link::{
    EARLIER_END, FakeWorker, LONGEST_LEASE, NEWEST_TOKEN, RunningLink, WAIT_TIMEOUT, ownership_for_the_test,
};
use fixture_log::{keep_lines, lines_with};
use godwithaven::clock;
use godwithaven::kernel::cell::{CellEvent, CommandOutcome, StartCommand};
use godwithaven::tasks::cell::link::LinkMessage;
use godwithaven::tasks::cell::ownership_lease::OwnershipLease;
use googletest::prelude::*;

/// Guards against a task that runs twice: a start that was decided for an earlier incarnation of a worker was
/// sent to the next one, after the owner had given up all runs of the earlier one.
#[gtest]
#[actix_rt::test]
async fn a_start_for_an_earlier_incarnation_is_not_sent() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(10));
    let ownership = ownership_for_the_test();
    ownership.note_claim_log(NEWEST_TOKEN);
    let mut link = RunningLink::start_with_ownership(&worker, ownership);
    link.commands.try_send(LinkMessage::RenewLease(Instant::now())).or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;
    let next = INCARNATION + Duration::from_secs(1);
    worker.answer_as(next, Duration::ZERO);
    // The second report shows that the worker refuses calls for its former incarnation.
    link.await_report(next).await.or_fail()?;
    link.await_report(next).await.or_fail()?;

    let earlier = link.send(start("j.0.0.0", INCARNATION)).await;
    let present = link.send(start("j.0.0.1", next)).await;
    link.token.cancel();

    verify_that!(earlier, some(eq(CommandOutcome::NotSent)))?;
    verify_that!(present, some(eq(CommandOutcome::Accepted)))?;
    verify_that!(worker.started.borrow().len(), eq(1))
}

/// Guards against a start that takes effect long after its decision: one that has waited beyond its expiry,
/// as in a process that was paused, and one for a worker that does not answer polls.
#[gtest]
#[actix_rt::test]
async fn an_expired_start_and_one_for_a_silent_worker_are_not_sent() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(10));
    let mut link = RunningLink::start(&worker);
    link.await_report(INCARNATION).await.or_fail()?;

    let expires_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(5)).await;
    let expired = link.send(StartCommand { expires_at, ..start("j.0.0.0", INCARNATION) }).await;
    worker.answer.set(None);
    let is_silent = |event| matches!(event, CellEvent::WorkerUnresponsive(..)).then_some(());
    link.await_event(is_silent).await.or_fail()?;
    let silent = link.send(start("j.0.0.1", INCARNATION)).await;
    link.token.cancel();

    verify_that!(expired, some(eq(CommandOutcome::NotSent)))?;
    verify_that!(silent, some(eq(CommandOutcome::NotSent)))?;
    verify_that!(*worker.started.borrow(), is_empty())
}

/// Guards against tasks that start again only after minutes: the lease of a worker that has restarted, with a
/// clock that began anew, was counted by the clock of the earlier incarnation.
#[gtest]
#[actix_rt::test]
async fn the_lease_of_a_restarted_worker_is_counted_by_its_new_clock() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(480));
    let mut link = RunningLink::start(&worker);
    link.await_report(INCARNATION).await.or_fail()?;
    let next = INCARNATION + Duration::from_secs(1);
    worker.answer_as(next, Duration::ZERO);
    link.await_report(next).await.or_fail()?;
    link.await_report(next).await.or_fail()?;

    worker.answer.set(None);
    let expires_at = link.await_lease_bound().await.or_fail()?;
    link.token.cancel();

    let left = expires_at.saturating_duration_since(Instant::now());
    // The longest lease that the worker accepts, on a clock that runs 2 percent slow, and its last stops.
    verify_that!(left, le(Duration::from_millis(10_600)))?;
    verify_that!(left, ge(Duration::from_secs(5)))
}

/// Guards against tasks that run twice: a worker restarted between two polls and accepted a start. The next poll
/// acknowledged ends by a number of the earlier incarnation, so the worker forgot the end of the new run, and the
/// owner gave up the run as absent.
#[gtest]
#[actix_rt::test]
async fn a_restart_that_a_start_shows_acknowledges_nothing() -> Result<()> {
    keep_lines();
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(100));
    worker.ended.set(Some(EARLIER_END));
    let mut link = RunningLink::start(&worker);
    link.await_report(INCARNATION).await.or_fail()?;

    let next = INCARNATION + Duration::from_secs(1);
    worker.restart_as(next);
    let outcome = link.send(start("j.0.0.0", INCARNATION)).await;
    link.commands.send(LinkMessage::Acknowledge(INCARNATION, EARLIER_END)).await.or_fail()?;
    link.await_report(next).await.or_fail()?;
    link.await_report(next).await.or_fail()?;
    link.token.cancel();

    // Each other outcome lets the scheduler start the task again at once.
    verify_that!(outcome, some(eq(CommandOutcome::Accepted)))?;
    verify_that!(worker.acknowledged_to(next), each(eq(&0)))?;
    verify_that!(
        lines_with(&["command is answered by another incarnation", "last_clock_ms=\"100000\""]),
        not(is_empty())
    )
}

/// Guards against the same fault if a poll is on its way: its answer, whichever incarnation sends it, must not
/// count.
#[gtest]
#[actix_rt::test]
async fn a_restart_that_a_start_shows_drops_the_open_poll() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(200));
    worker.ended.set(Some(EARLIER_END));
    let mut link = RunningLink::start(&worker);
    link.await_report(INCARNATION).await.or_fail()?;
    worker.longest_hold.set(Some(WAIT_TIMEOUT));
    link.commands.send(LinkMessage::Acknowledge(INCARNATION, EARLIER_END)).await.or_fail()?;

    let next = INCARNATION + Duration::from_secs(1);
    worker.restart_as(next);
    let outcome = link.send(start("j.0.0.0", INCARNATION)).await;
    link.await_report(next).await.or_fail()?;
    link.token.cancel();

    verify_that!(outcome, some(eq(CommandOutcome::Accepted)))?;
    verify_that!(worker.acknowledged_to(next), each(eq(&0)))
}

/// Guards against tasks that run twice: a start that a restarted worker accepted carried a lease by the clock of
/// the earlier incarnation, which lasts for the longest lease that the worker accepts.
#[gtest]
#[actix_rt::test]
async fn a_restart_that_a_start_shows_extends_the_lease() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(300));
    let mut link = RunningLink::start(&worker);
    link.await_report(INCARNATION).await.or_fail()?;

    worker.restart_as(INCARNATION + Duration::from_secs(1));
    worker.answer.set(None);
    let sent_at = Instant::now();
    link.send(start("j.0.0.0", INCARNATION)).await.or_fail()?;
    let expires_at = link.await_lease_bound().await.or_fail()?;
    link.token.cancel();

    verify_that!(expires_at.saturating_duration_since(sent_at), ge(LONGEST_LEASE))
}

/// Guards against the same fault if the start is answered only after the first report of the new incarnation.
#[gtest]
#[actix_rt::test]
async fn a_late_answer_of_a_restarted_worker_extends_the_lease() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(400));
    let mut link = RunningLink::start(&worker);
    link.await_report(INCARNATION).await.or_fail()?;

    let next = INCARNATION + Duration::from_secs(1);
    worker.restart_as(next);
    worker.start_delay.set(Duration::from_millis(300));
    let sent_at = Instant::now();
    link.send(start("j.0.0.0", INCARNATION)).await.or_fail()?;
    worker.answer.set(None);
    let expires_at = link.await_lease_bound().await.or_fail()?;
    link.token.cancel();

    let longest = Duration::from_millis(300) + LONGEST_LEASE * 100 / 98;
    verify_that!(worker.acknowledged_to(next), not(is_empty()))?;
    verify_that!(expires_at.saturating_duration_since(sent_at), ge(longest + Duration::from_millis(300)))
}

/// Guards against polls that are repeated for nothing: an answer to a command that a later answer to a poll
/// overtakes carries an older clock, but comes from the same incarnation.
#[gtest]
#[actix_rt::test]
async fn an_answer_that_a_poll_overtakes_shows_no_restart() -> Result<()> {
    keep_lines();
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(500));
    worker.command_clock.set(Some(Duration::from_secs(500)));
    worker.start_delay.set(Duration::from_millis(300));
    let mut link = RunningLink::start(&worker);
    link.await_report(INCARNATION).await.or_fail()?;

    let pending = start("j.0.0.0", INCARNATION);
    link.commands.send(LinkMessage::Start(pending)).await.or_fail()?;
    worker.answer_as(INCARNATION, Duration::from_secs(501));
    link.await_report(INCARNATION).await.or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;
    let outcome = link.await_start_outcome().await;
    link.token.cancel();

    verify_that!(outcome, some(eq(CommandOutcome::Accepted)))?;
    let restarted = ["command is answered by another incarnation", "last_clock_ms=\"50"];
    verify_that!(lines_with(&restarted), is_empty())
}

/// Guards against tasks that run twice: a new owner goes by the recorded bound of a lease, which must not be
/// renewed before a further record takes the bound back. A start renews the lease too.
#[gtest]
#[actix_rt::test]
async fn a_lease_is_renewed_only_once_the_owner_allows_it() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(10));
    let mut link = RunningLink::start_without_renewal(&worker);
    link.await_report(INCARNATION).await.or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;
    let early = link.send(start("j.0.0.0", INCARNATION)).await;
    let renewals_before = worker.renewals.get();

    link.commands.send(LinkMessage::RenewLease(Instant::now())).await.or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;
    let allowed = link.send(start("j.0.0.1", INCARNATION)).await;
    link.token.cancel();

    verify_that!(early, some(eq(CommandOutcome::NotSent)))?;
    verify_that!(renewals_before, eq(0))?;
    verify_that!(allowed, some(eq(CommandOutcome::Accepted)))?;
    verify_that!(worker.renewals.get(), ge(1))
}

/// Guards against the same fault if the permission is late: the worker has been silent since it was given, so
/// that its lease may be bounded again.
#[gtest]
#[actix_rt::test]
async fn a_permission_from_before_a_silence_renews_no_lease() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(10));
    let mut link = RunningLink::start_without_renewal(&worker);
    let polled_at = Instant::now();
    link.await_report(INCARNATION).await.or_fail()?;
    worker.answer.set(None);
    let is_silent = |event| matches!(event, CellEvent::WorkerUnresponsive(..)).then_some(());
    link.await_event(is_silent).await.or_fail()?;

    link.commands.send(LinkMessage::RenewLease(polled_at)).await.or_fail()?;
    worker.answer_as(INCARNATION, Duration::from_secs(10));
    link.await_report(INCARNATION).await.or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;
    link.token.cancel();

    verify_that!(worker.renewals.get(), eq(0))
}

/// Guards against tasks that run twice: an owner that did not hear from the store went on granting leases, while
/// its successor counted them as expired.
#[gtest]
#[actix_rt::test]
async fn an_owner_that_is_not_confirmed_grants_no_lease() -> Result<()> {
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(1));
    let ownership = OwnershipLease::new();
    let mut link = RunningLink::start_with_ownership(&worker, ownership.clone());
    link.commands.try_send(LinkMessage::RenewLease(Instant::now())).or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;

    let unconfirmed = link.send(start("00000000000000aa.0.0.0", INCARNATION)).await;
    let unconfirmed_renewals = worker.renewals.get();
    ownership.confirm(clock::reading());
    let confirmed = link.send(start("00000000000000aa.0.0.1", INCARNATION)).await;
    link.await_report(INCARNATION).await.or_fail()?;
    link.await_report(INCARNATION).await.or_fail()?;
    link.token.cancel();

    verify_that!(unconfirmed, some(eq(CommandOutcome::NotSent)))?;
    verify_that!(unconfirmed_renewals, eq(0))?;
    verify_that!(confirmed, some(eq(CommandOutcome::Accepted)))?;
    verify_that!(worker.renewals.get(), gt(0))
}

/// Guards against logs that do not tell why a recorded start was not sent.
#[gtest]
#[actix_rt::test]
async fn a_start_that_is_not_sent_leaves_its_reason() -> Result<()> {
    keep_lines();
    let worker = FakeWorker::default();
    worker.answer_as(INCARNATION, Duration::from_secs(10));
    let mut link = RunningLink::start_without_renewal(&worker);
    link.await_report(INCARNATION).await.or_fail()?;
    let early = link.send(start("reason.0.0.0", INCARNATION)).await;
    link.commands.send(LinkMessage::RenewLease(Instant::now())).await.or_fail()?;
    let other = link.send(start("reason.0.0.1", INCARNATION + Duration::from_secs(1))).await;
    let sent = link.send(start("reason.0.0.2", INCARNATION)).await;
    link.token.cancel();

    let not_sent = |task: &str, reason: &str| {
        let (task, reason) = (format!("task=\"{task}\""), format!("reason=\"{reason}\""));
        lines_with(&["start is not sent", &task, "token=\"1\"", &reason]).len()
    };
    verify_that!(early, some(eq(CommandOutcome::NotSent)))?;
    verify_that!(other, some(eq(CommandOutcome::NotSent)))?;
    verify_that!(sent, some(eq(CommandOutcome::Accepted)))?;
    verify_that!(not_sent("reason.0.0.0", "worker_not_renewable"), eq(1))?;
    verify_that!(not_sent("reason.0.0.1", "other_incarnation"), eq(1))?;
    verify_that!(lines_with(&["start is not sent", "reason.0.0.2"]), is_empty())
}
