//! Tests of entry processes on the two sides of a network partition.

mod fixture_platform;

use std::time::Duration;

use fixture_platform::{RunTally, await_starts, start_entry, start_platform, submit_task};
use godwithaven_standins::relay::RelayMode;
use googletest::prelude::*;

/// Time for which the workers are watched after the second start.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Run time of a task that needs its lease renewed.
const LONG_RUN_TIME: Duration = Duration::from_secs(11);
/// Length of the outages of the store that running tasks have to survive.
const STORE_OUTAGE: Duration = Duration::from_millis(4_500);
/// Time that each call to a slow store takes; the owner expects up to a second.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(1_500);
/// Run time of a task through several leases.
const SLOW_RUN_TIME: Duration = Duration::from_secs(22);

/// Guards against tasks that run twice: an owner that had lost the store and its successor went on renewing the
/// lease of a worker that only it reached, after the successor had counted that lease as expired.
#[gtest]
#[actix_rt::test]
async fn an_owner_without_the_store_lets_leases_expire() -> Result<()> {
    let mut platform = start_platform("partition", 2).await;
    let mut tally = RunTally::default();
    // Nobody reaches the second worker, so that the task starts on the first.
    platform.workers[1].set_reachable_by(0..=0);
    let first = start_entry(&platform, "e1").await;
    submit_task(&first, 1, Duration::from_secs(60)).await;
    await_starts(&mut platform, &mut tally, 1).await;
    let first_token = platform.workers[0].highest_token();
    let second = start_entry(&platform, "e2").await;

    first.store_relay.set_mode(RelayMode::Cut);
    platform.workers[0].set_reachable_by(0..=first_token);
    platform.workers[1].set_reachable_by(first_token + 1..=u64::MAX);
    await_starts(&mut platform, &mut tally, 2).await;
    tokio::time::sleep(WATCH_TIME).await;
    tally.add_events(&mut platform.events);
    platform.token.cancel();
    tokio::join!(first.process.stop(), second.process.stop());

    verify_that!(tally.starts, eq(2))?;
    verify_that!(tally.duplicated, is_empty())
}

/// Runs a task for longer than a lease while only the given time of the task is without the store; returns the
/// tally.
async fn run_through_outage(name: &str, outage: Duration) -> RunTally {
    let mut platform = start_platform(name, 1).await;
    let mut tally = RunTally::default();
    let entry = start_entry(&platform, "e1").await;
    submit_task(&entry, 1, LONG_RUN_TIME).await;
    await_starts(&mut platform, &mut tally, 1).await;

    platform.store.set_down(!outage.is_zero());
    tokio::time::sleep(outage).await;
    platform.store.set_down(false);
    tokio::time::sleep((LONG_RUN_TIME + WATCH_TIME).saturating_sub(outage)).await;
    tally.add_events(&mut platform.events);
    platform.token.cancel();
    entry.process.stop().await;
    tally
}

/// Guards against an idle owner whose leases expire: nothing but heartbeats and reads of the claims confirm its
/// ownership.
#[gtest]
#[actix_rt::test]
async fn an_owner_without_records_renews_leases() -> Result<()> {
    let tally = run_through_outage("idle_owner", Duration::ZERO).await;

    verify_that!(tally.starts, eq(1))?;
    verify_that!(tally.done.len(), eq(1))
}

/// Guards against work that is thrown away in an outage of the store for everyone.
#[gtest]
#[actix_rt::test]
async fn leases_outlast_a_short_outage_of_the_store() -> Result<()> {
    let tally = run_through_outage("short_outage", STORE_OUTAGE).await;

    verify_that!(tally.starts, eq(1))?;
    verify_that!(tally.done.len(), eq(1))
}

/// Guards against leases that a healthy owner lets expire as the store answers its heartbeats too late.
#[gtest]
#[actix_rt::test]
async fn a_slow_store_lets_no_lease_expire() -> Result<()> {
    let mut platform = start_platform("slow_store", 1).await;
    let mut tally = RunTally::default();
    let first = start_entry(&platform, "e1").await;
    submit_task(&first, 1, SLOW_RUN_TIME).await;
    await_starts(&mut platform, &mut tally, 1).await;
    let second = start_entry(&platform, "e2").await;

    platform.store.set_delay(SLOW_STORE_DELAY);
    tokio::time::sleep(SLOW_RUN_TIME + WATCH_TIME).await;
    tally.add_events(&mut platform.events);
    platform.store.set_delay(Duration::ZERO);
    platform.token.cancel();
    tokio::join!(first.process.stop(), second.process.stop());

    verify_that!(tally.starts, eq(1))?;
    verify_that!(tally.done.len(), eq(1))
}
