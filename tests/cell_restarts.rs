//! Tests of entry processes whose workers restart under their ids.

mod fixture_platform;

use std::time::Duration;

use fixture_platform::{Entry, Platform, RunTally, await_starts, start_entry, start_platform, submit_task};
use godwithaven_standins::relay::RelayMode;
use googletest::prelude::*;

/// Run time of the task that is started again while it runs, if leases are bounded wrongly.
const LONG_RUN_TIME: Duration = Duration::from_secs(60);
/// Run time of a task before the restart.
const SHORT_RUN_TIME: Duration = Duration::from_millis(100);
/// Time after which a held call is carried out, in which later calls are answered; workers may take longer.
const CALL_DELAY: Duration = Duration::from_secs(4);
/// Run time of a task that ends while its worker is cut off for less than a lease.
const MEDIUM_RUN_TIME: Duration = Duration::from_secs(1);
/// Time for which the workers are watched after the last start.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// Lets the first worker, the only one that the entry process reaches, restart while it holds a call that renews the
/// lease of the former incarnation and acknowledges its first end. Returns once a task, the second start, runs on the
/// present one.
async fn restart_with_a_held_call(
    platform: &mut Platform,
    tally: &mut RunTally,
    entry: &Entry,
    run_time: Duration,
) {
    platform.workers[1].set_reachable_by(0..=0);
    submit_task(entry, 1, SHORT_RUN_TIME).await;
    await_starts(platform, tally, 1).await;
    platform.workers[0].hold_calls().await;
    platform.workers[0].await_held_lease().await;
    platform.workers[0].restart(Duration::ZERO, true).await;
    submit_task(entry, 2, run_time).await;
    await_starts(platform, tally, 2).await;
}

/// Guards against tasks that run twice: a worker that had restarted carried out a call for its former incarnation,
/// which granted it the longest lease that it accepts. A new owner did not know of that lease, and started the task
/// elsewhere while it ran.
#[gtest]
#[actix_rt::test]
async fn a_new_owner_waits_for_a_lease_by_the_clock_of_a_former_incarnation() -> Result<()> {
    let mut platform = start_platform("restarts", 2).await;
    let mut tally = RunTally::default();
    let first = start_entry(&platform, "e1").await;
    restart_with_a_held_call(&mut platform, &mut tally, &first, LONG_RUN_TIME).await;
    let [restarted, other] = [platform.workers[0].clone(), platform.workers[1].clone()];
    let first_token = restarted.highest_token();
    let second = start_entry(&platform, "e2").await;

    restarted.set_reachable_by(0..=0);
    first.store_relay.set_mode(RelayMode::Cut);
    // The call to the other worker shows that the second process owns the cell.
    other.set_reachable_by(first_token + 1..=u64::MAX);
    other.await_token_above(first_token).await;
    restarted.release_calls(false).await;
    restarted.set_reachable_by(first_token + 1..=u64::MAX);
    restarted.await_token_above(first_token).await;
    restarted.set_reachable_by(0..=0);
    await_starts(&mut platform, &mut tally, 3).await;
    tokio::time::sleep(WATCH_TIME).await;
    tally.add_events(&mut platform.events);
    platform.token.cancel();
    tokio::join!(first.process.stop(), second.process.stop());

    verify_that!(tally.starts, eq(3))?;
    verify_that!(tally.duplicated, is_empty())
}

/// Guards against tasks that run twice: a worker that had restarted and answered carried out a call for its former
/// incarnation seconds later, which granted it the longest lease that it accepts. The owner that had sent the call
/// counted that lease from the first answer only.
#[gtest]
#[actix_rt::test]
async fn an_owner_waits_for_a_lease_by_a_call_that_is_carried_out_after_later_ones() -> Result<()> {
    let mut platform = start_platform("late_calls", 2).await;
    let mut tally = RunTally::default();
    let entry = start_entry(&platform, "e1").await;
    restart_with_a_held_call(&mut platform, &mut tally, &entry, LONG_RUN_TIME).await;

    tokio::time::sleep(CALL_DELAY).await;
    platform.workers[0].release_calls(false).await;
    platform.workers[0].set_reachable_by(0..=0);
    platform.workers[1].set_reachable_by(0..=u64::MAX);
    await_starts(&mut platform, &mut tally, 3).await;
    tokio::time::sleep(WATCH_TIME).await;
    tally.add_events(&mut platform.events);
    platform.token.cancel();
    entry.process.stop().await;

    verify_that!(tally.starts, eq(3))?;
    verify_that!(tally.duplicated, is_empty())
}

/// Guards against tasks that run twice: a call for the former incarnation of a worker acknowledged an end of the
/// present one, which has the same number. The worker forgot the end before an owner had learned of it.
#[gtest]
#[actix_rt::test]
async fn a_late_call_acknowledges_no_end_of_the_present_incarnation() -> Result<()> {
    let mut platform = start_platform("late_acknowledgement", 2).await;
    let mut tally = RunTally::default();
    let entry = start_entry(&platform, "e1").await;
    restart_with_a_held_call(&mut platform, &mut tally, &entry, MEDIUM_RUN_TIME).await;

    platform.workers[0].set_cut(true);
    tokio::time::sleep(MEDIUM_RUN_TIME * 2).await;
    platform.workers[0].release_calls(false).await;
    platform.workers[0].set_cut(false);
    // The start of another task shows that the owner has a report of the worker.
    submit_task(&entry, 3, SHORT_RUN_TIME).await;
    await_starts(&mut platform, &mut tally, 3).await;
    tokio::time::sleep(WATCH_TIME).await;
    tally.add_events(&mut platform.events);
    platform.token.cancel();
    entry.process.stop().await;

    verify_that!(tally.duplicated, is_empty())?;
    verify_that!(tally.starts, eq(3))
}
