//! A worker of the users' platform, which runs tasks under a fencing token and sends an event for each start
//! and end.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::platform::StoreStandin;
use crate::server;

/// Run time of a task whose job does not set one.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);
/// Interval of the checks for runs that are due to end, and of the retries of a call that waits for an end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Start or end of a run, as the worker observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A run started: worker, task and run number.
    Started(String, String, u64),
    /// A run ended: worker, task, run number and whether it completed its work.
    Ended(String, String, u64, bool),
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
    highest_token: u64,
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
        let state = WorkerState {
            name: name.to_owned(),
            born: 1_000,
            clock_origin: Instant::now(),
            highest_token: 0,
            running: FxHashMap::default(),
            highest_run: FxHashMap::default(),
            finished: Vec::new(),
            last_end: 0,
            events,
        };
        actix_rt::spawn(state.run(messages));
        actix_rt::spawn(server::serve(listener, token, move |request| answer(inbox.clone(), request)));
        let entry = json!({
            "service": "planner", "address": address.to_string(), "zone": "a", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "labels": ["kind", "r1"], "seq": 1,
            "capacity": {"cpu": 8_000, "mem_mb": 8_192, "gpu": 0},
        });
        store.publish("keyed.servers", name, &entry.to_string()).await;
        Ok(Self { address })
    }
}

async fn answer(inbox: mpsc::Sender<WorkerMessage>, mut request: Request) -> Response<Bytes> {
    let path = request.path().to_owned();
    let body = server::read_body(&mut request).await.unwrap_or_default();
    let Ok(call) = serde_json::from_slice::<CallBody>(&body) else {
        return Response::with_body(StatusCode::BAD_REQUEST, Bytes::new());
    };
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
        if call.fencing_token < self.highest_token {
            return (StatusCode::CONFLICT, json!({"clock_ms": self.clock(), "reason": "fence"}));
        }
        self.highest_token = call.fencing_token;
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
                self.finished.retain(|(number, ..)| *number > call.last_seen);
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

    fn start(&mut self, call: &CallBody) -> (StatusCode, Value) {
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

    /// Ends the runs whose run time is over.
    fn end_due_runs(&mut self) {
        let now = Instant::now();
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
