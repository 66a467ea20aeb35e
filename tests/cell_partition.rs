//! Tests of entry processes on the two sides of a network partition.

mod fixture_platform;

use std::time::{Duration, Instant};

use fixture_platform::{Platform, RunTally, free_ports, start_platform, write_settings_with_store};
use godwithaven::tasks::cell::ports::CellAdapter;
use godwithaven::tasks::cell::process::CellProcess;
use godwithaven_standins::relay::{RelayMode, RelayStandin};
use googletest::prelude::*;
use serde_json::json;

/// Longest wait for a start; a new owner waits about 9 s for leases that it cannot see.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
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
/// Interval of the checks for starts and ends.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An entry process and the relay through which it reaches the store.
struct Entry {
    process: CellProcess,
    store_relay: RelayStandin,
    url: String,
}

async fn start_entry(platform: &Platform, name: &str) -> Entry {
    let store_relay = RelayStandin::start(platform.store.address, platform.token.clone()).await;
    let store_relay = store_relay.expect("a port is free");
    let first = free_ports(4);
    let path = write_settings_with_store(platform, name, first, store_relay.address);
    // Every variable counts as set, so the only linked adapter is found.
    let (adapter, _) = CellAdapter::find(|_| Some(String::new())).expect("the adapter is linked");
    let settings = (adapter.load)(&path.to_string_lossy()).expect("the settings are valid");
    let process = CellProcess::start(adapter, settings).await.expect("the ports are free");
    Entry { process, store_relay, url: format!("http://127.0.0.1:{first}") }
}

/// Submits a job with one task that runs for this time; returns once it is accepted.
async fn submit_task(entry: &Entry, run_time: Duration) {
    let job = json!({"spec": format!("ms={}", run_time.as_millis()), "steps": [
        {"count": 1, "cpu": 1_000, "mem_mb": 100, "estimated_ms": 60_000},
    ]});
    let started = Instant::now();
    loop {
        let request = awc::Client::default().post(format!("{}/jobs/00000000000000aa", entry.url));
        let request = request.insert_header(("Host", "host.example")).insert_header(("Api-Key", "secret"));
        let response = request.timeout(Duration::from_secs(3)).send_json(&job).await;
        if response.is_ok_and(|response| response.status().is_success()) {
            return;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "the job is not accepted");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Collects events until `count` runs have started or time runs out.
async fn await_starts(platform: &mut Platform, tally: &mut RunTally, count: usize) {
    let started = Instant::now();
    while tally.starts < count && started.elapsed() < WAIT_TIMEOUT {
        tokio::time::sleep(CHECK_INTERVAL).await;
        tally.add_events(&mut platform.events);
    }
}

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
    submit_task(&first, Duration::from_secs(60)).await;
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
    submit_task(&entry, LONG_RUN_TIME).await;
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
    submit_task(&first, SLOW_RUN_TIME).await;
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
