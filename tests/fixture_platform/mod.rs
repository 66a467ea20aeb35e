//! A stand-in for the platform on which a cell runs, and a tally of the runs on its workers.

#![allow(dead_code, unused_imports, reason = "each test program uses a part of the fixture")]

mod entry;
mod run_tally;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};

use godwithaven_standins::platform::{AdvisorStandin, PlatformWorker, StoreStandin, WorkerEvent};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

pub use entry::{Entry, await_starts, start_entry, submit_task};
pub use run_tally::RunTally;

/// First of the ports that tests may use.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that tests may use.
const PORT_RANGE: u16 = 12_000;

/// A running stand-in platform and the events of its workers.
pub struct Platform {
    pub store: StoreStandin,
    pub workers: Vec<PlatformWorker>,
    pub advisor: AdvisorStandin,
    pub events: mpsc::UnboundedReceiver<WorkerEvent>,
    pub directory: PathBuf,
    pub token: CancellationToken,
}

/// Starts a stand-in platform with a number of workers and publishes [`configuration`].
pub async fn start_platform(name: &str, workers: usize) -> Platform {
    let token = CancellationToken::new();
    let store = StoreStandin::start(token.clone()).await.expect("a port is free");
    let advisor = AdvisorStandin::start(token.clone()).await.expect("a port is free");
    let (sender, events) = mpsc::unbounded_channel();
    let mut started = Vec::new();
    for number in 0..workers {
        let name = format!("w{number}");
        let worker = PlatformWorker::start(&name, &store, sender.clone(), token.clone()).await;
        started.push(worker.expect("a port is free"));
    }
    store.publish("keyed.op", "config", &configuration().to_string()).await;
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("the directory can be made");
    Platform { store, workers: started, advisor, events, directory, token }
}

/// Returns a configuration with one queue and one team.
pub fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "q", "host": "host.example", "path_prefix": "/jobs/", "priority": 0, "service": "planner",
            "max_attempts": 2, "stretch": 2.0, "target_latency_ms": 500, "public": false,
            "advice": {"decision_ms": 1.0, "each_ms": 0.1, "validity_ms": 2_000},
        }],
        "services": [{"name": "planner"}],
        "limits": {"max_body_bytes": 262_144},
        "tenants": [{"name": "blue", "api_keys": ["secret"], "weight": 10, "maximum": {"cpu": 0}}],
    })
}

/// Returns the first of `count` consecutive free ports, below the range from which the system assigns ports
/// to connections.
///
/// Fixed ports are needed because processes restart at the same ports. The process id selects one of 400
/// blocks of 24 ports at which the search starts, so that test programs that run side by side seldom meet.
pub fn free_ports(count: u16) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let process_offset = u16::try_from(std::process::id() % 400).unwrap_or_default() * 24;
    loop {
        let first = FIRST_PORT + (process_offset + NEXT.fetch_add(count, Ordering::Relaxed)) % PORT_RANGE;
        let free = |port| std::net::TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (first..first + count).all(free) {
            return first;
        }
    }
}

/// Writes the settings file of an entry process on four ports from `first` on; returns its path. The file has
/// a setting that the program does not know and must ignore.
pub fn write_settings(platform: &Platform, name: &str, first: u16) -> PathBuf {
    write_settings_with_store(platform, name, first, platform.store.address)
}

/// Writes a settings file like [`write_settings`] for a process that reaches the store at another address.
pub fn write_settings_with_store(platform: &Platform, name: &str, first: u16, store: SocketAddr) -> PathBuf {
    let advisor = platform.advisor.address;
    let (ready, control, internal) = (first + 1, first + 2, first + 3);
    let settings = format!(
        "node={name}\nzone=a\nip=127.0.0.1\nlisten.front=127.0.0.1:{first}\nlisten.ready=127.0.0.1:{ready}\n\
         listen.control=127.0.0.1:{control}\ninternal_ports={internal},{internal}\nplatform.address={store}\n\
         advice={advisor}\nlimits.cpu_share=0.25\nplatform.keep_s=300\nbounds.max_hold_ms=10000\nbounds.grace_s=6\nunknown.field=1\n"
    );
    let path = platform.directory.join(format!("{name}.conf"));
    std::fs::write(&path, settings).expect("the file can be written");
    path
}

/// Returns a job with two steps and five tasks; `text`, such as `ms=50`, tells the stand-in worker how long
/// each task runs.
pub fn job(text: &str) -> Value {
    json!({"spec": text, "steps": [
        {"count": 3, "cpu": 1_000, "mem_mb": 100, "estimated_ms": 100},
        {"count": 2, "cpu": 1_000, "mem_mb": 100, "estimated_ms": 100, "after": [0]},
    ]})
}
