//! Workers with leases, fencing tokens and lagging usage reports; one server stands for many.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::invariant::{WorkEvent, WorkRecord};
use crate::server;

/// Time between checks for finished tasks and ended leases.
const TICK: Duration = Duration::from_millis(20);

/// Faults of one worker that a test switches on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "the faults are independent of each other")]
pub struct WorkerFaults {
    /// Syncs are not answered and have no effect.
    pub silent: bool,
    /// Syncs take effect but are answered with status 500.
    pub lose_replies: bool,
    /// Every task fails at its start.
    pub fail_tasks: bool,
    /// Syncs wait in the buffer of the worker's socket; leases still end.
    pub paused: bool,
}

#[derive(Deserialize)]
struct SyncBody {
    token: u64,
    lease_ms: u64,
    stamp: Option<String>,
    #[serde(default)]
    commands: Vec<CommandBody>,
    #[serde(default)]
    acknowledge: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum CommandBody {
    Start {
        task: String,
        team: String,
        cores_milli: u64,
        memory_mib: u64,
        accelerators: u64,
        run_ms: Option<u64>,
    },
    Stop {
        task: String,
    },
    Checkpoint {
        task: String,
    },
    Throttle {
        task: String,
        percent: u32,
    },
}

type SyncReply = oneshot::Sender<(StatusCode, Value)>;

enum WorkerMessage {
    Sync(String, SyncBody, SyncReply),
    Faults(String, WorkerFaults),
    Restart(String),
    Records(oneshot::Sender<Vec<WorkRecord>>),
    Running(oneshot::Sender<Vec<(String, String)>>),
}

struct RunningTask {
    team: String,
    cores_milli: u64,
    memory_mib: u64,
    accelerators: u64,
    ends_at: Option<Instant>,
    checkpointed: bool,
    throttle: u32,
}

struct FakeWorker {
    /// Names this life of the worker in stamps.
    incarnation: u64,
    /// Zero of the worker's monotonic clock.
    origin: Instant,
    token: u64,
    lease_end: Option<Instant>,
    running: FxHashMap<String, RunningTask>,
    ended: FxHashMap<String, (&'static str, String)>,
    known: FxHashSet<String>,
    faults: WorkerFaults,
    /// Syncs that arrived while the worker was paused, oldest first.
    buffered: Vec<(SyncBody, SyncReply)>,
}

/// A running server of workers.
#[derive(Clone)]
pub struct WorkerStandin {
    /// Its address; every worker name is served below it.
    pub address: SocketAddr,
    inbox: mpsc::Sender<WorkerMessage>,
}

impl WorkerStandin {
    /// Starts the server on the address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn start(address: &str, token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind(address).await?;
        let (inbox, messages) = mpsc::channel(4_096);
        actix_rt::spawn(keep_workers(messages, token.clone()));
        let sender = inbox.clone();
        actix_rt::spawn(server::serve(listener, token, move |request| answer(sender.clone(), request)));
        Ok(Self { address, inbox })
    }

    /// Switches faults of one worker on and off.
    pub async fn set_faults(&self, vm: &str, faults: WorkerFaults) {
        let _ = self.inbox.send(WorkerMessage::Faults(vm.into(), faults)).await;
    }

    /// Restarts one worker: it forgets everything, and its tasks end.
    pub async fn restart(&self, vm: &str) {
        let _ = self.inbox.send(WorkerMessage::Restart(vm.into())).await;
    }

    /// Returns what the workers saw, in order.
    pub async fn records(&self) -> Vec<WorkRecord> {
        let (reply, records) = oneshot::channel();
        let _ = self.inbox.send(WorkerMessage::Records(reply)).await;
        records.await.unwrap_or_default()
    }

    /// Returns worker and name of all running tasks.
    pub async fn running(&self) -> Vec<(String, String)> {
        let (reply, running) = oneshot::channel();
        let _ = self.inbox.send(WorkerMessage::Running(reply)).await;
        running.await.unwrap_or_default()
    }
}

async fn answer(inbox: mpsc::Sender<WorkerMessage>, mut request: Request) -> Response<Bytes> {
    let path = request.path().to_owned();
    let body = server::read_body(&mut request).await.unwrap_or_default();
    let vm = path.strip_prefix("/workers/").and_then(|rest| rest.strip_suffix("/sync"));
    let (Some(vm), Ok(sync)) = (vm, serde_json::from_slice::<SyncBody>(&body)) else {
        return server::json(StatusCode::BAD_REQUEST, &json!({ "error": "not a sync" }));
    };
    let (reply, result) = oneshot::channel();
    let _ = inbox.send(WorkerMessage::Sync(vm.into(), sync, reply)).await;
    match result.await {
        Ok((status, body)) => server::json(status, &body),
        // A silent worker leaves its caller waiting.
        Err(_) => std::future::pending().await,
    }
}

async fn keep_workers(mut messages: mpsc::Receiver<WorkerMessage>, token: CancellationToken) {
    let mut workers: FxHashMap<String, FakeWorker> = FxHashMap::default();
    let mut records = Vec::new();
    let mut tick = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = tick.tick() => {
                for (vm, worker) in &mut workers {
                    worker.advance(vm, &mut records);
                }
            }
            Some(message) = messages.recv() => match message {
                WorkerMessage::Sync(vm, sync, reply) => {
                    let worker = workers.entry(vm.clone()).or_insert_with(|| FakeWorker::new(1));
                    worker.buffered.push((sync, reply));
                    worker.read_syncs(&vm, &mut records);
                }
                WorkerMessage::Faults(vm, faults) => {
                    let worker = workers.entry(vm.clone()).or_insert_with(|| FakeWorker::new(1));
                    worker.faults = faults;
                    worker.read_syncs(&vm, &mut records);
                }
                WorkerMessage::Restart(vm) => {
                    if let Some(worker) = workers.get_mut(&vm) {
                        for task in worker.running.keys() {
                            records.push(WorkRecord::new(&vm, task, WorkEvent::Ended("restarted".into())));
                        }
                        *worker = FakeWorker::new(worker.incarnation + 1);
                    }
                }
                WorkerMessage::Records(reply) => {
                    let _ = reply.send(records.clone());
                }
                WorkerMessage::Running(reply) => {
                    let running = workers.iter().flat_map(|(vm, worker)| {
                        worker.running.keys().map(move |task| (vm.clone(), task.clone()))
                    });
                    let _ = reply.send(running.collect());
                }
            },
        }
    }
}

impl FakeWorker {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            origin: Instant::now(),
            token: 0,
            lease_end: None,
            running: FxHashMap::default(),
            ended: FxHashMap::default(),
            known: FxHashSet::default(),
            faults: WorkerFaults::default(),
            buffered: Vec::new(),
        }
    }

    fn stamp(&self) -> String {
        format!("{}-{}", self.incarnation, self.origin.elapsed().as_micros())
    }

    /// Returns the time of a stamp of this incarnation.
    fn stamped_at(&self, stamp: &str) -> Option<Instant> {
        let (incarnation, micros) = stamp.split_once('-')?;
        let own = incarnation.parse() == Ok(self.incarnation);
        Some(self.origin + Duration::from_micros(micros.parse().ok()?)).filter(|_| own)
    }

    fn advance(&mut self, vm: &str, records: &mut Vec<WorkRecord>) {
        let now = Instant::now();
        if self.lease_end.is_some_and(|end| end <= now) {
            let lapsed: Vec<String> = self.running.keys().cloned().collect();
            for task in lapsed {
                self.end(vm, &task, "lapsed", String::new(), records);
            }
        }
        let due = |task: &RunningTask| task.ends_at.is_some_and(|end| end <= now);
        let finished: Vec<String> =
            self.running.iter().filter(|(_, task)| due(task)).map(|(name, _)| name.clone()).collect();
        for task in finished {
            let result = format!("result of {task}");
            self.end(vm, &task, "finished", result, records);
        }
    }

    fn end(
        &mut self,
        vm: &str,
        task: &str,
        end: &'static str,
        result: String,
        records: &mut Vec<WorkRecord>,
    ) {
        if self.running.remove(task).is_some() {
            records.push(WorkRecord::new(vm, task, WorkEvent::Ended(end.into())));
            self.ended.insert(task.into(), (end, result));
        }
    }

    fn read_syncs(&mut self, vm: &str, records: &mut Vec<WorkRecord>) {
        if self.faults.paused {
            return;
        }
        for (sync, reply) in std::mem::take(&mut self.buffered) {
            if self.faults.silent {
                continue;
            }
            let result = self.sync(vm, sync, records);
            let lost = (StatusCode::INTERNAL_SERVER_ERROR, json!({ "error": "reply lost" }));
            // The sender may have stopped waiting.
            let _ = reply.send(if self.faults.lose_replies { lost } else { result });
        }
    }

    fn sync(&mut self, vm: &str, sync: SyncBody, records: &mut Vec<WorkRecord>) -> (StatusCode, Value) {
        if sync.token < self.token {
            return (StatusCode::CONFLICT, json!({ "token": self.token }));
        }
        self.advance(vm, records);
        self.token = sync.token;
        // The request may have waited in the socket, so the lease counts from the stamped time.
        let stamped = sync.stamp.as_deref().and_then(|stamp| self.stamped_at(stamp));
        let granted = stamped.map(|at| at + Duration::from_millis(sync.lease_ms));
        let holds = granted.is_some_and(|end| end > Instant::now());
        self.lease_end = self.lease_end.max(granted);
        let mut rejected = Vec::new();
        for task in &sync.acknowledge {
            self.ended.remove(task);
        }
        for command in sync.commands {
            match command {
                CommandBody::Start { task, .. } if !holds && !self.known.contains(&task) => {
                    rejected.push(task);
                }
                command => self.carry_out(vm, command, records),
            }
        }
        (StatusCode::OK, self.report(&rejected))
    }

    fn carry_out(&mut self, vm: &str, command: CommandBody, records: &mut Vec<WorkRecord>) {
        match command {
            CommandBody::Start { task, team, cores_milli, memory_mib, accelerators, run_ms } => {
                // A repeated start must not run the task again.
                if !self.known.insert(task.clone()) {
                    return;
                }
                let need = [cores_milli, memory_mib, accelerators];
                records.push(WorkRecord::new(vm, &task, WorkEvent::Started { team: team.clone(), need }));
                let ends_at = run_ms.map(|run_ms| Instant::now() + Duration::from_millis(run_ms));
                let running = RunningTask {
                    team,
                    cores_milli,
                    memory_mib,
                    accelerators,
                    ends_at,
                    checkpointed: false,
                    throttle: 100,
                };
                self.running.insert(task.clone(), running);
                if self.faults.fail_tasks {
                    self.end(vm, &task, "failed", "the worker is broken".into(), records);
                }
            }
            CommandBody::Stop { task } => self.end(vm, &task, "stopped", String::new(), records),
            CommandBody::Checkpoint { task } => {
                if let Some(running) = self.running.get_mut(&task) {
                    running.checkpointed = true;
                }
            }
            CommandBody::Throttle { task, percent } => {
                if let Some(running) = self.running.get_mut(&task) {
                    running.throttle = percent;
                }
            }
        }
    }

    fn report(&self, rejected: &[String]) -> Value {
        let running = self.running.iter().map(|(task, running)| {
            json!({
                "task": task,
                "team": running.team,
                "cores_milli": running.cores_milli,
                "memory_mib": running.memory_mib,
                "accelerators": running.accelerators,
                "used_cores_milli": running.cores_milli * u64::from(running.throttle) / 100,
                "used_memory_mib": running.memory_mib,
                "checkpointed": running.checkpointed,
            })
        });
        let ended = self
            .ended
            .iter()
            .map(|(task, (end, result))| json!({ "task": task, "end": end, "result": result }));
        json!({
            "token": self.token,
            "stamp": self.stamp(),
            "rejected": rejected,
            "running": running.collect::<Vec<Value>>(),
            "ended": ended.collect::<Vec<Value>>(),
        })
    }
}
