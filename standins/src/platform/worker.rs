//! A worker that runs tasks under a lease and tells what it saw.

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

/// How long a task runs whose job names no time.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Time between looks at what has ended.
const STEP: Duration = Duration::from_millis(10);

/// What a worker saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A run began: the worker, the task and the run.
    Started(String, String, u64),
    /// A run ended: the worker, the task, the run and whether its work is done.
    Ended(String, String, u64, bool),
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct CommandBody {
    task: String,
    run: u64,
    /// Text of the job; `ms=N` sets the run time.
    spec: String,
    fencing_token: u64,
    last_seen: u64,
    wait_ms: u64,
}

struct RunState {
    run: u64,
    ends: Instant,
}

struct WorkerState {
    name: String,
    born: u64,
    begun: Instant,
    token: u64,
    running: FxHashMap<String, RunState>,
    barred: FxHashMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last: u64,
    events: mpsc::UnboundedSender<WorkerEvent>,
}

struct WorkerMessage(String, CommandBody, oneshot::Sender<(StatusCode, Value)>);

/// A running worker.
#[derive(Clone, Debug)]
pub struct PlatformWorker {
    /// Its address.
    pub address: SocketAddr,
}

impl PlatformWorker {
    /// Starts a worker of 8 cores on a free loopback port and registers it.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
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
            begun: Instant::now(),
            token: 0,
            running: FxHashMap::default(),
            barred: FxHashMap::default(),
            finished: Vec::new(),
            last: 0,
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
    let Ok(command) = serde_json::from_slice::<CommandBody>(&body) else {
        return Response::with_body(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let deadline = Instant::now() + Duration::from_millis(command.wait_ms);
    let (last_seen, fencing_token) = (command.last_seen, command.fencing_token);
    let mut command = command;
    loop {
        let (reply, answer) = oneshot::channel();
        let _ = inbox.send(WorkerMessage(path.clone(), command, reply)).await;
        let Ok((status, body)) = answer.await else {
            return Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        };
        let waits = body["finished"].as_array().is_some_and(Vec::is_empty) && Instant::now() < deadline;
        if !waits {
            return server::json(status, &body);
        }
        tokio::time::sleep(STEP).await;
        command = CommandBody { fencing_token, last_seen, ..CommandBody::default() };
    }
}

impl WorkerState {
    async fn run(mut self, mut messages: mpsc::Receiver<WorkerMessage>) {
        let mut step = tokio::time::interval(STEP);
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let Some(WorkerMessage(path, command, reply)) = message else { return };
                    self.end_due();
                    let _ = reply.send(self.obey(&path, &command));
                }
                _ = step.tick() => self.end_due(),
            }
        }
    }

    fn obey(&mut self, path: &str, command: &CommandBody) -> (StatusCode, Value) {
        if command.fencing_token < self.token {
            return (StatusCode::CONFLICT, json!({"clock_ms": self.clock(), "reason": "fence"}));
        }
        self.token = command.fencing_token;
        match path {
            "/api/run-start" => self.start(command),
            "/api/run-stop" => {
                let barred = self.barred.entry(command.task.clone()).or_default();
                *barred = (*barred).max(command.run);
                if self.running.get(&command.task).is_some_and(|state| state.run == command.run) {
                    self.end(&command.task, "stopped");
                }
                (StatusCode::OK, json!({"clock_ms": self.clock()}))
            }
            _ => {
                self.finished.retain(|(number, ..)| *number > command.last_seen);
                let running: Vec<Value> =
                    self.running.iter().map(|(task, state)| json!([task, state.run, "", 50, 0])).collect();
                let body = json!({
                    "clock_ms": self.clock(), "born": self.born, "running": running,
                    "finished": self.finished.iter().map(|(number, task, run, how)| {
                        json!([number, task, run, how, ""])
                    }).collect::<Vec<Value>>(),
                });
                (StatusCode::OK, body)
            }
        }
    }

    fn start(&mut self, command: &CommandBody) -> (StatusCode, Value) {
        let known = self.running.get(&command.task).is_some_and(|state| state.run == command.run);
        if !known && self.barred.get(&command.task).is_some_and(|barred| *barred >= command.run) {
            return (StatusCode::CONFLICT, json!({"clock_ms": self.clock(), "reason": "old"}));
        }
        if !known {
            let time = command.spec.split("ms=").nth(1).and_then(|text| text.parse().ok());
            let ends = Instant::now() + time.map_or(RUN_TIME, Duration::from_millis);
            self.running.insert(command.task.clone(), RunState { run: command.run, ends });
            self.barred.insert(command.task.clone(), command.run);
            let _ =
                self.events.send(WorkerEvent::Started(self.name.clone(), command.task.clone(), command.run));
        }
        (StatusCode::OK, json!({"clock_ms": self.clock()}))
    }

    fn end_due(&mut self) {
        let now = Instant::now();
        let due = self.running.iter().filter(|(_, state)| state.ends <= now);
        let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            self.end(&task, "done");
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(state) = self.running.remove(task) else { return };
        self.last += 1;
        self.finished.push((self.last, task.to_owned(), state.run, how));
        log::debug!(worker = &*self.name, task = task, how = how; "run ended");
        let _ = self.events.send(WorkerEvent::Ended(
            self.name.clone(),
            task.to_owned(),
            state.run,
            how == "done",
        ));
    }

    fn clock(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
