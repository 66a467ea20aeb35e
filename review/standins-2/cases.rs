//! The scenarios, each with the check of the rule that its claim names.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::entry::{self, Entry};
use crate::http;
use crate::json::Json;
use crate::record::{note, now_ms};
use crate::runner::{Event, Events, Kind, Runner, Starts};
use crate::store::Store;

mod dense;
mod late;
mod route;
mod starve;
mod wide;
mod window;

/// Lines that say how the rule was broken; none if it held.
pub type Verdict = Result<Vec<String>, String>;

/// Host of all routes.
const HOST: &str = "jobs.example";
/// Runners of a kind of their own, the first ones.
const OWN_KINDS: usize = 40;
/// Time that clients wait for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// `bounds.finish_s`.
const FINISH: Duration = Duration::from_secs(14);

pub fn run(scenario: &str, trouble: bool) -> Verdict {
    match scenario {
        "dense" => dense::run(trouble),
        "late" => late::run(trouble),
        "route" => route::run(trouble),
        "starve" => starve::run(trouble),
        "wide" => wide::run(trouble),
        "window" => window::run(trouble),
        _ => Err(format!("no scenario {scenario}")),
    }
}

/// A small deployment: the store, runners and three entry processes.
struct Bed {
    store: Store,
    runners: Vec<Runner>,
    events: Events,
    entries: Vec<Entry>,
    rotation: Arc<Mutex<Vec<SocketAddr>>>,
    folder: String,
    stopped: Arc<AtomicBool>,
}

/// A route of a configuration.
fn route(name: &str, prefix: &str, service: &str, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"service\":\"{service}\",\
         \"target_latency_ms\":3000,\"timeout_ms\":3000,\"priority\":1,\"max_attempts\":{attempts},\"stretch\":4}}"
    )
}

/// A tenant of a configuration; its key is `key-NAME`.
fn tenant(name: &str, weight: u32, most_cpu: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"api_keys\":[\"key-{name}\"],\"weight\":{weight},\
         \"maximum\":{{\"cpu\":{most_cpu},\"mem_mb\":0,\"gpu\":0}}}}"
    )
}

impl Bed {
    /// Starts a deployment with a first configuration and this many runners of the service `svc`, each with 64 cores.
    fn start(routes: &[String], tenants: &[String], runners: usize) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("bed-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let folder = folder.to_string_lossy().into_owned();
        let (store, events) = (Store::start(), Events::default());
        let stopped = Arc::new(AtomicBool::new(false));
        let mut bed = Self {
            store,
            runners: Vec::new(),
            events,
            entries: Vec::new(),
            rotation: Arc::default(),
            folder: folder.clone(),
            stopped,
        };
        bed.add_runners(runners);
        bed.configure(1, routes, tenants);
        bed.entries = entry::start_three(bed.store.address, &folder)?;
        for entry in &bed.entries {
            entry.await_ready(Duration::from_secs(10))?;
        }
        bed.balance();
        std::thread::sleep(Duration::from_secs(5));
        Ok(bed)
    }

    /// Starts further runners. Some are of a kind of their own, and the others of one kind.
    fn add_runners(&mut self, count: usize) {
        for index in self.runners.len()..self.runners.len() + count {
            let kind = if index < OWN_KINDS { format!("kind-{index}") } else { "plain".to_owned() };
            let labels = [kind, format!("rack-{}", index / 4)];
            let zone = ["a", "b", "c"][index % 3];
            let kind = Kind { service: "svc", zone, cpu: 64_000, mem_mb: 262_144, labels };
            // The ids of runners have no order.
            let id = format!("i-{:08x}", (index as u32 + 1).wrapping_mul(0x9e37_79b1));
            self.runners.push(Runner::start(&self.store, &id, kind, &self.events));
        }
    }

    /// The operator writes a configuration.
    fn configure(&self, version: u32, routes: &[String], tenants: &[String]) {
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}],\"tenants\":[{}],\"services\":[{{\"name\":\"svc\",\
             \"rejects_overload\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            routes.join(","),
            tenants.join(",")
        );
        self.store.publish("keyed.op", "config", &config);
        note(&format!("operator: configuration {version} is acknowledged: {config}"));
    }

    /// Keeps the processes in rotation that answer the readiness check of the platform: out after two misses, and all
    /// of them if fewer than half are in rotation.
    fn balance(&self) {
        let (rotation, entries, stopped) = (self.rotation.clone(), self.entries.clone(), self.stopped.clone());
        *rotation.lock().expect("the rotation") = entries.iter().map(|entry| entry.front).collect();
        std::thread::spawn(move || {
            let mut misses = vec![0; entries.len()];
            while !stopped.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_secs(1));
                let checks = entries.iter().cloned().map(|entry| std::thread::spawn(move || entry.is_ready()));
                let checks: Vec<_> = checks.collect();
                for (miss, check) in misses.iter_mut().zip(checks) {
                    *miss = if check.join().unwrap_or(false) { 0 } else { *miss + 1 };
                }
                let all = entries.iter().zip(&misses);
                let ready: Vec<SocketAddr> =
                    all.filter(|(_, miss)| **miss < 2).map(|(entry, _)| entry.front).collect();
                let ready = if ready.len() * 2 < entries.len() {
                    entries.iter().map(|entry| entry.front).collect()
                } else {
                    ready
                };
                let mut rotation = rotation.lock().expect("the rotation");
                if *rotation != ready {
                    note(&format!("platform: {} processes are in rotation; misses {misses:?}", ready.len()));
                }
                *rotation = ready;
            }
        });
    }

    fn client(&self, tenant: &str) -> Client {
        Client { rotation: self.rotation.clone(), key: format!("key-{tenant}"), turn: Arc::default() }
    }

    fn events(&self) -> Vec<Event> {
        self.events.lock().expect("the events").clone()
    }

    /// Whether a task of the job has begun.
    fn has_begun(&self, job: &str) -> bool {
        let prefix = format!("{job}.");
        self.events().iter().any(|event| event.what == "start" && event.task.starts_with(&prefix))
    }

    /// Number of runs on all runners.
    fn running(&self) -> usize {
        self.runners.iter().map(Runner::running).sum()
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        entry::end_all();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A client of one tenant. Retries reach other processes.
#[derive(Clone)]
struct Client {
    rotation: Arc<Mutex<Vec<SocketAddr>>>,
    key: String,
    turn: Arc<AtomicUsize>,
}

impl Client {
    fn call(&self, method: &str, path: &str, body: &str) -> Result<(u16, String), String> {
        let rotation = self.rotation.lock().expect("the rotation").clone();
        let address = rotation[self.turn.fetch_add(1, Ordering::Relaxed) % rotation.len()];
        let headers = [
            ("Host", HOST),
            ("Api-Key", self.key.as_str()),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", "3000"),
        ];
        let answer = http::call(address, method, path, &headers, body.as_bytes(), DEADLINE);
        let told = match &answer {
            Ok((status, body)) => format!("{status} {body}"),
            Err(reason) => format!("no answer: {reason}"),
        };
        note(&format!("client {} {method} {path} ({} bytes) at {address}: {told}", self.key, body.len()));
        answer
    }

    /// Hands a job in, with up to four retries; returns whether it was accepted.
    fn submit(&self, path: &str, body: &str) -> bool {
        for attempt in 0..5 {
            match self.call("POST", path, body) {
                Ok((200..=299, _)) => return true,
                Ok((400 | 401 | 404 | 413, _)) => return false,
                _ if attempt < 4 => std::thread::sleep(Duration::from_millis(500)),
                _ => {}
            }
        }
        false
    }

    /// Asks for the state of a job, with up to four retries; `None` if there is no answer.
    fn state(&self, path: &str) -> Option<String> {
        for _ in 0..5 {
            match self.call("GET", path, "") {
                Ok((200, body)) => {
                    return Json::parse(&body).and_then(|body| body.text_of("state").map(str::to_owned));
                }
                Ok((status @ (404 | 410), _)) => return Some(status.to_string()),
                _ => std::thread::sleep(Duration::from_millis(300)),
            }
        }
        None
    }
}

/// A job of two short tasks.
const SMALL_JOB: &str = "{\"spec\":\"ms=300\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":300}]}";

/// Hands a small job in each `interval` until `ends`; returns the ids of those that were accepted, with the time.
fn small_jobs(
    client: Client,
    prefix: &'static str,
    body: &'static str,
    interval: Duration,
    ends: Instant,
) -> Vec<(String, u64)> {
    let accepted: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0u64.. {
        if Instant::now() >= ends {
            break;
        }
        let (client, accepted) = (client.clone(), accepted.clone());
        threads.push(std::thread::spawn(move || {
            let id = format!("{:016x}", 0x0a00_0000_0000_0000u64 + number);
            if client.submit(&format!("{prefix}{id}"), body) {
                accepted.lock().expect("the jobs").push((id, now_ms()));
            }
        }));
        std::thread::sleep(interval);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let mut accepted = accepted.lock().expect("the jobs").clone();
    accepted.sort();
    accepted
}

/// Asks for the state of jobs at once; returns them with the answers.
fn states(client: &Client, prefix: &'static str, jobs: &[String]) -> Vec<(String, Option<String>)> {
    let asked = jobs.iter().cloned().map(|job| {
        let client = client.clone();
        std::thread::spawn(move || {
            let state = client.state(&format!("{prefix}{job}"));
            (job, state)
        })
    });
    let asked: Vec<_> = asked.collect();
    asked.into_iter().filter_map(|thread| thread.join().ok()).collect()
}
