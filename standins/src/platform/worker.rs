//! A worker of the users' platform, which runs tasks under a fencing token and sends an event for each start
//! and end, for the acknowledgement of an end and for the expiry of its lease.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::platform::StoreStandin;
use crate::server;

/// Run time of a task whose job does not set one.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);
/// Longest lease; longer ones are shortened.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// Interval of the checks for runs that are due to end, and of the retries of a call that waits for an end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Start or end of a run, the acknowledgement of an end or the expiry of the lease, as the worker observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A run started: worker, task and run number.
    Started(String, String, u64),
    /// A run ended: worker, task, run number and whether it completed its work.
    Ended(String, String, u64, bool),
    /// An owner has recorded the end of a run: worker, task and run number.
    Acknowledged(String, String, u64),
    /// The lease of a worker expired.
    Lapsed(String),
}

/// Body of all calls; a call uses only some of the fields.
#[derive(Default, Deserialize)]
#[serde(default)]
struct CallBody {
    task: String,
    run: u64,
    /// Payload of the job; if it ends with `ms=N` and has no other `ms=`, that sets the run time in
    /// milliseconds.
    spec: String,
    fencing_token: u64,
    /// End of the lease on the worker's clock; `None` does not renew it.
    until_ms: Option<u64>,
    /// Number of the last end that the caller has recorded.
    last_seen: u64,
    /// How long the call waits for an end.
    wait_ms: u64,
}

struct RunState {
    run: u64,
    ends_at: Instant,
}

struct WorkerState {
    name: String,
    /// Identifies this incarnation of the worker: its start in Unix milliseconds, here a fixed value.
    born: u64,
    /// Zero of the worker's clock.
    clock_origin: Instant,
    /// Highest fencing token seen.
    highest_token: watch::Sender<u64>,
    /// End of the lease on the worker's clock, in milliseconds; all runs are killed then.
    leased_until: u64,
    /// Whether the expiry of the lease was noticed and the lease was not renewed since.
    lapsed: bool,
    running: FxHashMap<String, RunState>,
    /// Highest run number of each task that was started or stopped; a start with this number or a lower one
    /// is refused, unless that run is running.
    highest_run: FxHashMap<String, u64>,
    /// Number, task, run number and cause of each end that is not yet acknowledged.
    finished: Vec<(u64, String, u64, &'static str)>,
    /// Number of the last end, counted from 1.
    last_end: u64,
    events: mpsc::UnboundedSender<WorkerEvent>,
}

/// Path and body of a call; the reply is status and body of the response.
struct WorkerMessage(String, CallBody, oneshot::Sender<(StatusCode, Value)>);

/// A running worker.
#[derive(Clone, Debug)]
pub struct PlatformWorker {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    highest_token: watch::Receiver<u64>,
    reachable_by: watch::Sender<RangeInclusive<u64>>,
}

impl PlatformWorker {
    /// Starts a worker with 8 cores and 8 GiB of memory on a free loopback port, and registers it in the
    /// store.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the port cannot be bound.
    pub async fn start(
        name: &str,
        store: &StoreStandin,
        events: mpsc::UnboundedSender<WorkerEvent>,
        token: CancellationToken,
    ) -> std::io::Result<Self> {
        let (listener, address) = server::bind("127.0.0.1:0").await?;
        let (inbox, messages) = mpsc::channel(256);
        let (highest_token, seen_token) = watch::channel(0);
        let (reachable_by, reachability) = watch::channel(0..=u64::MAX);
        let state = WorkerState {
            name: name.to_owned(),
            born: 1_000,
            clock_origin: Instant::now(),
            highest_token,
            leased_until: 0,
            lapsed: true,
            running: FxHashMap::default(),
            highest_run: FxHashMap::default(),
            finished: Vec::new(),
            last_end: 0,
            events,
        };
        actix_rt::spawn(state.run(messages));
        actix_rt::spawn(server::serve(listener, token, move |request| {
            answer(inbox.clone(), reachability.clone(), request)
        }));
        let entry = json!({
            "service": "planner", "address": address.to_string(), "zone": "a", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "labels": ["kind", "r1"], "seq": 1,
            "capacity": {"cpu": 8_000, "mem_mb": 8_192, "gpu": 0},
        });
        store.publish("keyed.servers", name, &entry.to_string()).await;
        Ok(Self { address, highest_token: seen_token, reachable_by })
    }

    /// Returns the highest fencing token that the worker has seen.
    #[must_use]
    pub fn highest_token(&self) -> u64 {
        *self.highest_token.borrow()
    }

    /// Sets which owners reach the worker, by their fencing tokens. Calls of the others are not answered, as if
    /// the network between them were cut.
    pub fn set_reachable_by(&self, tokens: RangeInclusive<u64>) {
        self.reachable_by.send_replace(tokens);
    }
}

async fn answer(
    inbox: mpsc::Sender<WorkerMessage>,
    mut reachability: watch::Receiver<RangeInclusive<u64>>,
    mut request: Request,
) -> Response<Bytes> {
    let path = request.path().to_owned();
    let body = server::read_body(&mut request).await.unwrap_or_default();
    let Ok(call) = serde_json::from_slice::<CallBody>(&body) else {
        return Response::with_body(StatusCode::BAD_REQUEST, Bytes::new());
    };
    if reachability.wait_for(|tokens| tokens.contains(&call.fencing_token)).await.is_err() {
        return Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let deadline = Instant::now() + Duration::from_millis(call.wait_ms);
    let (last_seen, fencing_token) = (call.last_seen, call.fencing_token);
    let mut call = call;
    loop {
        let (reply, answer) = oneshot::channel();
        let _ = inbox.send(WorkerMessage(path.clone(), call, reply)).await;
        let Ok((status, body)) = answer.await else {
            return Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        };
        let must_wait = body["finished"].as_array().is_some_and(Vec::is_empty) && Instant::now() < deadline;
        if !must_wait {
            return server::json_response(status, &body);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        call = CallBody { fencing_token, last_seen, ..CallBody::default() };
    }
}

impl WorkerState {
    async fn run(mut self, mut messages: mpsc::Receiver<WorkerMessage>) {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let Some(WorkerMessage(path, call, reply)) = message else { return };
                    self.end_due_runs();
                    let _ = reply.send(self.handle(&path, &call));
                }
                _ = interval.tick() => self.end_due_runs(),
            }
        }
    }

    /// Returns status and body of the response to a call.
    fn handle(&mut self, path: &str, call: &CallBody) -> (StatusCode, Value) {
        if call.fencing_token < *self.highest_token.borrow() {
            return (StatusCode::CONFLICT, json!({"clock_ms": self.clock(), "reason": "fence"}));
        }
        self.highest_token.send_replace(call.fencing_token);
        self.renew_lease(call.until_ms);
        match path {
            "/api/run-start" => self.start(call),
            "/api/run-stop" => {
                let highest = self.highest_run.entry(call.task.clone()).or_default();
                *highest = (*highest).max(call.run);
                if self.running.get(&call.task).is_some_and(|state| state.run == call.run) {
                    self.end(&call.task, "stopped");
                }
                (StatusCode::OK, json!({"clock_ms": self.clock()}))
            }
            // The call `hold`, as any other path, reports the runs: of a running one task, run number,
            // checkpoint, percent done and latency or millicores; of an ended one its number, task, run
            // number, cause and checkpoint.
            _ => {
                self.acknowledge(call.last_seen);
                let running: Vec<Value> =
                    self.running.iter().map(|(task, state)| json!([task, state.run, "", 50, 0])).collect();
                let body = json!({
                    "clock_ms": self.clock(), "born": self.born, "running": running,
                    "finished": self.finished.iter().map(|(number, task, run, cause)| {
                        json!([number, task, run, cause, ""])
                    }).collect::<Vec<Value>>(),
                });
                (StatusCode::OK, body)
            }
        }
    }

    fn renew_lease(&mut self, until: Option<u64>) {
        let longest = self.clock() + u64::try_from(MAX_LEASE.as_millis()).unwrap_or(u64::MAX);
        self.leased_until = self.leased_until.max(until.unwrap_or_default().min(longest));
        self.lapsed &= self.clock() > self.leased_until;
    }

    /// Forgets the ends up to this number.
    fn acknowledge(&mut self, last_seen: u64) {
        for (_, task, run, _) in self.finished.extract_if(.., |(number, ..)| *number <= last_seen) {
            let _ = self.events.send(WorkerEvent::Acknowledged(self.name.clone(), task, run));
        }
    }

    fn start(&mut self, call: &CallBody) -> (StatusCode, Value) {
        if call.until_ms.is_some_and(|until| until < self.clock()) {
            return (StatusCode::CONFLICT, json!({"clock_ms": self.clock(), "reason": "late"}));
        }
        let known = self.running.get(&call.task).is_some_and(|state| state.run == call.run);
        if !known && self.highest_run.get(&call.task).is_some_and(|highest| *highest >= call.run) {
            return (StatusCode::CONFLICT, json!({"clock_ms": self.clock(), "reason": "old"}));
        }
        if !known {
            let time = call.spec.split("ms=").nth(1).and_then(|text| text.parse().ok());
            let ends_at = Instant::now() + time.map_or(DEFAULT_RUN_TIME, Duration::from_millis);
            self.running.insert(call.task.clone(), RunState { run: call.run, ends_at });
            self.highest_run.insert(call.task.clone(), call.run);
            let _ = self.events.send(WorkerEvent::Started(self.name.clone(), call.task.clone(), call.run));
        }
        (StatusCode::OK, json!({"clock_ms": self.clock()}))
    }

    /// Ends the runs whose run time is over, or all runs if the lease has expired.
    fn end_due_runs(&mut self) {
        let now = Instant::now();
        if self.clock() > self.leased_until {
            let tasks: Vec<String> = self.running.keys().cloned().collect();
            for task in tasks {
                self.end(&task, "lapsed");
            }
            if !std::mem::replace(&mut self.lapsed, true) {
                let _ = self.events.send(WorkerEvent::Lapsed(self.name.clone()));
            }
        }
        let due = self.running.iter().filter(|(_, state)| state.ends_at <= now);
        let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            self.end(&task, "done");
        }
    }

    fn end(&mut self, task: &str, cause: &'static str) {
        let Some(state) = self.running.remove(task) else { return };
        self.last_end += 1;
        self.finished.push((self.last_end, task.to_owned(), state.run, cause));
        log::debug!(worker = &*self.name, task = task, how = cause; "run ended");
        let _ = self.events.send(WorkerEvent::Ended(
            self.name.clone(),
            task.to_owned(),
            state.run,
            cause == "done",
        ));
    }

    /// Returns the milliseconds since the start of the worker.
    fn clock(&self) -> u64 {
        u64::try_from(self.clock_origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
