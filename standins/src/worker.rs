//! Workers with leases, fencing tokens and usage reports; one server simulates many workers.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::invariant::{TaskEvent, TaskRecord};
use crate::server;

/// Interval of the checks for finished tasks and expired leases.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Faults that a test injects into one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "the faults are independent of each other")]
pub struct WorkerFaults {
    /// Syncs are not answered and have no effect.
    pub silent: bool,
    /// Syncs take effect but are answered with status 500.
    pub lose_replies: bool,
    /// Every task fails as soon as it is started.
    pub fail_tasks: bool,
    /// Syncs are buffered until the pause ends, as in the socket of a paused process; leases still expire.
    pub paused: bool,
}

#[derive(Deserialize)]
struct SyncBody {
    /// Fencing token of the owner.
    token: u64,
    lease_ms: u64,
    /// Time of this worker that an earlier reply reported; the lease is counted from it.
    stamp: Option<String>,
    #[serde(default)]
    commands: Vec<CommandBody>,
    /// Ended tasks whose end is recorded, so that the worker can forget them.
    #[serde(default)]
    acknowledge: Vec<String>,
    /// Revision of the newest report that the caller has.
    known: Option<u64>,
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

/// Messages to the task that owns the workers; the `String` is the VM name of the worker.
enum WorkerMessage {
    Sync(String, SyncBody, SyncReply),
    SetFaults(String, WorkerFaults),
    Restart(String),
    /// Returns the events of all workers.
    Records(oneshot::Sender<Vec<TaskRecord>>),
    /// Returns worker and id of each running task.
    Running(oneshot::Sender<Vec<(String, String)>>),
}

struct RunningTask {
    team: String,
    cores_milli: u64,
    memory_mib: u64,
    accelerators: u64,
    /// When the task finishes by itself; `None` if it runs until it is stopped.
    ends_at: Option<Instant>,
    checkpointed: bool,
    /// Percent of its declared cores that the task uses.
    throttle_percent: u32,
}

struct SimulatedWorker {
    /// Number of the worker's starts, counted from 1; part of its stamps.
    incarnation: u64,
    /// Zero of the worker's monotonic clock.
    clock_origin: Instant,
    /// Highest fencing token seen.
    highest_token: u64,
    /// When the lease expires; `None` before the first sync with a valid stamp.
    lease_end: Option<Instant>,
    running: FxHashMap<String, RunningTask>,
    /// Cause and result of each end that is not yet acknowledged.
    ended: FxHashMap<String, (&'static str, String)>,
    /// All tasks that this incarnation was told to start or stop.
    started: FxHashSet<String>,
    faults: WorkerFaults,
    /// Syncs that arrived while the worker was paused, oldest first.
    buffered: Vec<(SyncBody, SyncReply)>,
    /// Version of the report, raised by each command and each end of a task; 0 before the first sync.
    revision: u64,
}

/// A running server that simulates workers. A worker is created by its first sync or by [`Self::set_faults`].
#[derive(Clone)]
pub struct WorkerStandin {
    /// Address of the HTTP server, which serves each worker at `/workers/NAME/sync`.
    pub address: SocketAddr,
    inbox: mpsc::Sender<WorkerMessage>,
}

impl WorkerStandin {
    /// Starts the server without workers; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn start(address: &str, token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind(address).await?;
        let (inbox, messages) = mpsc::channel(4_096);
        actix_rt::spawn(run_workers(messages, token.clone()));
        let sender = inbox.clone();
        actix_rt::spawn(server::serve(listener, token, move |request| answer(sender.clone(), request)));
        Ok(Self { address, inbox })
    }

    /// Sets the faults of one worker; the default has none.
    pub async fn set_faults(&self, vm: &str, faults: WorkerFaults) {
        let _ = self.inbox.send(WorkerMessage::SetFaults(vm.into(), faults)).await;
    }

    /// Restarts one worker, which ends its tasks and loses its whole state, faults included, but not the
    /// highest fencing token.
    pub async fn restart(&self, vm: &str) {
        let _ = self.inbox.send(WorkerMessage::Restart(vm.into())).await;
    }

    /// Returns the starts and ends of tasks on all workers, oldest first.
    pub async fn records(&self) -> Vec<TaskRecord> {
        let (reply, records) = oneshot::channel();
        let _ = self.inbox.send(WorkerMessage::Records(reply)).await;
        records.await.unwrap_or_default()
    }

    /// Returns VM name and task id of all running tasks.
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
        return server::json_response(StatusCode::BAD_REQUEST, &json!({ "error": "not a sync" }));
    };
    let (reply, result) = oneshot::channel();
    let _ = inbox.send(WorkerMessage::Sync(vm.into(), sync, reply)).await;
    match result.await {
        Ok((status, body)) => server::json_response(status, &body),
        // A silent or restarted worker drops the reply channel; its caller waits until it times out.
        Err(_) => std::future::pending().await,
    }
}

async fn run_workers(mut messages: mpsc::Receiver<WorkerMessage>, token: CancellationToken) {
    let mut workers: FxHashMap<String, SimulatedWorker> = FxHashMap::default();
    let mut records = Vec::new();
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = tick.tick() => {
                for (vm, worker) in &mut workers {
                    worker.end_due_tasks(vm, &mut records);
                }
            }
            Some(message) = messages.recv() => match message {
                WorkerMessage::Sync(vm, sync, reply) => {
                    let worker = workers.entry(vm.clone()).or_insert_with(|| SimulatedWorker::new(1));
                    worker.buffered.push((sync, reply));
                    worker.handle_buffered_syncs(&vm, &mut records);
                }
                WorkerMessage::SetFaults(vm, faults) => {
                    let worker = workers.entry(vm.clone()).or_insert_with(|| SimulatedWorker::new(1));
                    worker.faults = faults;
                    worker.handle_buffered_syncs(&vm, &mut records);
                }
                WorkerMessage::Restart(vm) => {
                    if let Some(worker) = workers.get_mut(&vm) {
                        for task in worker.running.keys() {
                            records.push(TaskRecord::new(&vm, task, TaskEvent::Ended("restarted".into())));
                        }
                        let highest_token = worker.highest_token;
                        *worker = SimulatedWorker {
                            highest_token,
                            ..SimulatedWorker::new(worker.incarnation + 1)
                        };
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

impl SimulatedWorker {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            clock_origin: Instant::now(),
            highest_token: 0,
            lease_end: None,
            running: FxHashMap::default(),
            ended: FxHashMap::default(),
            started: FxHashSet::default(),
            faults: WorkerFaults::default(),
            buffered: Vec::new(),
            revision: 0,
        }
    }

    /// Returns the present time of the worker's clock, together with its incarnation.
    fn stamp(&self) -> String {
        format!("{}-{}", self.incarnation, self.clock_origin.elapsed().as_micros())
    }

    /// Returns the time of a stamp; `None` for a malformed stamp or one of another incarnation.
    fn stamped_at(&self, stamp: &str) -> Option<Instant> {
        let (incarnation, micros) = stamp.split_once('-')?;
        let same_incarnation = incarnation.parse() == Ok(self.incarnation);
        Some(self.clock_origin + Duration::from_micros(micros.parse().ok()?)).filter(|_| same_incarnation)
    }

    /// Ends all tasks if the lease has expired, and otherwise those whose run time is over.
    fn end_due_tasks(&mut self, vm: &str, records: &mut Vec<TaskRecord>) {
        let now = Instant::now();
        if self.lease_end.is_some_and(|end| end <= now) {
            let expired: Vec<String> = self.running.keys().cloned().collect();
            for task in expired {
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
        records: &mut Vec<TaskRecord>,
    ) {
        if self.running.remove(task).is_some() {
            self.revision += 1;
            records.push(TaskRecord::new(vm, task, TaskEvent::Ended(end.into())));
            self.ended.insert(task.into(), (end, result));
        }
    }

    /// Handles the buffered syncs, unless the worker is paused.
    fn handle_buffered_syncs(&mut self, vm: &str, records: &mut Vec<TaskRecord>) {
        if self.faults.paused {
            return;
        }
        for (sync, reply) in std::mem::take(&mut self.buffered) {
            if self.faults.silent {
                continue;
            }
            let result = self.sync(vm, sync, records);
            let lost = (StatusCode::INTERNAL_SERVER_ERROR, json!({ "error": "reply lost" }));
            // The caller of the sync may have disconnected.
            let _ = reply.send(if self.faults.lose_replies { lost } else { result });
        }
    }

    /// Returns status and body of the reply to a sync.
    fn sync(&mut self, vm: &str, sync: SyncBody, records: &mut Vec<TaskRecord>) -> (StatusCode, Value) {
        if sync.token < self.highest_token {
            return (StatusCode::CONFLICT, json!({ "token": self.highest_token }));
        }
        self.end_due_tasks(vm, records);
        self.highest_token = sync.token;
        // The request may have waited in the socket, so the lease is counted from the stamped time.
        let stamped = sync.stamp.as_deref().and_then(|stamp| self.stamped_at(stamp));
        let granted_end = stamped.map(|at| at + Duration::from_millis(sync.lease_ms));
        let lease_valid = granted_end.is_some_and(|end| end > Instant::now());
        self.lease_end = self.lease_end.max(granted_end);
        let mut rejected = Vec::new();
        if self.revision == 0 {
            // Starts at the Unix time, so that no revision of an earlier incarnation is used again.
            let age = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
            self.revision = u64::try_from(age.as_millis()).unwrap_or(1);
        }
        for task in &sync.acknowledge {
            self.ended.remove(task);
        }
        for command in sync.commands {
            match command {
                CommandBody::Start { task, .. } if !lease_valid && !self.started.contains(&task) => {
                    rejected.push(task);
                }
                command => self.execute(vm, command, records),
            }
        }
        (StatusCode::OK, self.report(sync.known, &rejected))
    }

    fn execute(&mut self, vm: &str, command: CommandBody, records: &mut Vec<TaskRecord>) {
        self.revision += 1;
        match command {
            CommandBody::Start { task, team, cores_milli, memory_mib, accelerators, run_ms } => {
                // A start command can be repeated, but must not run the task again.
                if !self.started.insert(task.clone()) {
                    return;
                }
                let need = [cores_milli, memory_mib, accelerators];
                records.push(TaskRecord::new(vm, &task, TaskEvent::Started { team: team.clone(), need }));
                let ends_at = run_ms.map(|run_ms| Instant::now() + Duration::from_millis(run_ms));
                let running = RunningTask {
                    team,
                    cores_milli,
                    memory_mib,
                    accelerators,
                    ends_at,
                    checkpointed: false,
                    throttle_percent: 100,
                };
                self.running.insert(task.clone(), running);
                if self.faults.fail_tasks {
                    self.end(vm, &task, "failed", "the worker is broken".into(), records);
                }
            }
            CommandBody::Stop { task } => {
                // A start that waited in a silent connection may arrive after the stop.
                self.started.insert(task.clone());
                self.end(vm, &task, "stopped", String::new(), records);
            }
            CommandBody::Checkpoint { task } => {
                if let Some(running) = self.running.get_mut(&task) {
                    running.checkpointed = true;
                }
            }
            CommandBody::Throttle { task, percent } => {
                if let Some(running) = self.running.get_mut(&task) {
                    running.throttle_percent = percent;
                }
            }
        }
    }

    /// Returns the body of a successful reply, which omits the tasks if the caller has the present revision.
    fn report(&self, known: Option<u64>, rejected: &[String]) -> Value {
        let running = self.running.iter().map(|(task, running)| {
            json!({
                "task": task,
                "team": running.team,
                "cores_milli": running.cores_milli,
                "memory_mib": running.memory_mib,
                "accelerators": running.accelerators,
                "used_cores_milli": running.cores_milli * u64::from(running.throttle_percent) / 100,
                "used_memory_mib": running.memory_mib,
                "checkpointed": running.checkpointed,
            })
        });
        let ended = self
            .ended
            .iter()
            .map(|(task, (end, result))| json!({ "task": task, "end": end, "result": result }));
        if known == Some(self.revision) && self.ended.is_empty() {
            let unchanged = self.revision;
            let mut reply =
                json!({ "token": self.highest_token, "stamp": self.stamp(), "unchanged": unchanged });
            if !rejected.is_empty() {
                reply["rejected"] = json!(rejected);
            }
            return reply;
        }
        json!({
            "token": self.highest_token,
            "stamp": self.stamp(),
            "rejected": rejected,
            "revision": self.revision,
            "running": running.collect::<Vec<Value>>(),
            "ended": ended.collect::<Vec<Value>>(),
        })
    }
}
