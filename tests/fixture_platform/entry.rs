//! An entry process in the test program, and the tasks of a test.

use std::time::{Duration, Instant};

use godwithaven::tasks::cell::ports::CellAdapter;
use godwithaven::tasks::cell::process::CellProcess;
use godwithaven_standins::relay::RelayStandin;
use serde_json::json;

use crate::fixture_platform::{Platform, RunTally, free_ports, write_settings_with_store};

/// Longest wait for a start; a new owner waits about 9 s for leases that it cannot see.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of the checks for starts and ends.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An entry process and the relay through which it reaches the store.
pub struct Entry {
    pub process: CellProcess,
    pub store_relay: RelayStandin,
    url: String,
}

/// Starts an entry process of this name.
pub async fn start_entry(platform: &Platform, name: &str) -> Entry {
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

/// Submits a job of this number with one task that runs for this time; returns once it is accepted.
pub async fn submit_task(entry: &Entry, number: u64, run_time: Duration) {
    let job = json!({"spec": format!("ms={}", run_time.as_millis()), "steps": [
        {"count": 1, "cpu": 1_000, "mem_mb": 100, "estimated_ms": 60_000},
    ]});
    let started = Instant::now();
    loop {
        let request = awc::Client::default().post(format!("{}/jobs/{number:016x}", entry.url));
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
pub async fn await_starts(platform: &mut Platform, tally: &mut RunTally, count: usize) {
    let started = Instant::now();
    while tally.starts < count && started.elapsed() < WAIT_TIMEOUT {
        tokio::time::sleep(CHECK_INTERVAL).await;
        tally.add_events(&mut platform.events);
    }
}
