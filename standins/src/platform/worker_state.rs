//! The state of a worker of the users' platform.

use std::time::{Duration, Instant, SystemTime};

use actix_http::StatusCode;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot, watch};

/// Run time of a task whose job does not set one.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);
/// Longest lease; longer ones are shortened.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// Interval of the checks for runs that are due to end, and of the retries of a call that waits for an end.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Start of the first incarnation in Unix milliseconds, long ago.
pub(super) const FIRST_BORN: u64 = 1_000;
/// Milliseconds on the clock of the first incarnation at its start; the clocks of later ones are behind it.
const FIRST_CLOCK_MS: u64 = 3_000_000;

/// Start or end of a run, the acknowledgement of an end, the expiry of the lease or a restart, as the worker
/// observed it.
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
    /// A worker restarted, after its runs ended.
    Restarted(String),
}

/// Body of all calls; a call uses only some of the fields.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct CallBody {
    pub task: String,
    pub run: u64,
    /// Payload of the job; if it ends with `ms=N` and has no other `ms=`, that sets the run time in
    /// milliseconds.
    pub spec: String,
    pub fencing_token: u64,
    /// End of the lease on the worker's clock; `None` does not renew it.
    pub until_ms: Option<u64>,
    /// Number of the last end that the caller has recorded.
    pub last_seen: u64,
    /// How long the call waits for an end.
    pub wait_ms: u64,
}

struct RunState {
    run: u64,
    ends_at: Instant,
}

pub(super) struct WorkerState {
    name: String,
    /// Identifies this incarnation of the worker: its start in Unix milliseconds.
    born: watch::Sender<u64>,
    /// When this incarnation started.
    started_at: Instant,
    /// Milliseconds on the worker's clock at that time.
    first_clock: u64,
    /// Whether the worker has ended and not started again yet. It answers no calls then.
    is_down: bool,
    /// Whether calls are held that arrive now.
    holds_calls: bool,
    held: Vec<WorkerCall>,
    /// Number of held calls with a lease.
    held_leases: watch::Sender<usize>,
    /// Replies of calls that are never answered; their callers wait until they give up.
    unanswered: Vec<oneshot::Sender<CallAnswer>>,
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

/// Status and body of a response.
pub(super) type CallAnswer = (StatusCode, Value);

pub(super) struct WorkerCall {
    pub path: String,
    pub body: CallBody,
    /// Incarnation at which the call arrived.
    pub born: u64,
    /// Whether the call has been carried out and waits for an end.
    pub waits: bool,
    pub reply: oneshot::Sender<CallAnswer>,
}

/// Messages to the task that owns the state of a worker.
pub(super) enum WorkerMessage {
    Call(WorkerCall),
    /// Holds the calls that arrive from now on, until the next start.
    Hold,
    /// Carries out the held calls, and answers them if this is set.
    Release(bool),
    /// Ends the worker.
    Stop,
    /// Starts the worker again; the reply is its incarnation.
    Start(oneshot::Sender<u64>),
}

impl WorkerState {
    /// Returns the state of the first incarnation, which starts now.
    pub(super) fn new(
        name: &str,
        born: watch::Sender<u64>,
        highest_token: watch::Sender<u64>,
        held_leases: watch::Sender<usize>,
        events: mpsc::UnboundedSender<WorkerEvent>,
    ) -> Self {
        Self {
            name: name.to_owned(),
            born,
            started_at: Instant::now(),
            first_clock: FIRST_CLOCK_MS,
            is_down: false,
            holds_calls: false,
            held: Vec::new(),
            held_leases,
            unanswered: Vec::new(),
            highest_token,
            leased_until: 0,
            lapsed: true,
            running: FxHashMap::default(),
            highest_run: FxHashMap::default(),
            finished: Vec::new(),
            last_end: 0,
            events,
        }
    }

    /// Carries out messages and ends runs that are due until all senders are dropped.
    pub(super) async fn run(mut self, mut messages: mpsc::Receiver<WorkerMessage>) {
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let Some(message) = message else { return };
                    self.end_due_runs();
                    self.handle_message(message);
                }
                _ = interval.tick() => self.end_due_runs(),
            }
        }
    }

    fn handle_message(&mut self, message: WorkerMessage) {
        match message {
            WorkerMessage::Call(call) if self.holds_calls && !call.waits => {
                let has_lease = call.body.until_ms.is_some();
                self.held_leases.send_modify(|count| *count += usize::from(has_lease));
                self.held.push(call);
            }
            // The connection of a call for the former incarnation does not outlast it.
            WorkerMessage::Call(call) if self.is_down || call.born != *self.born.borrow() => {
                self.unanswered.push(call.reply);
            }
            WorkerMessage::Call(call) => {
                let _ = call.reply.send(self.handle(&call.path, &call.body));
            }
            WorkerMessage::Hold => self.holds_calls = true,
            WorkerMessage::Release(answers) => self.release(answers),
            WorkerMessage::Stop => self.stop(),
            WorkerMessage::Start(reply) => {
                let unix_time = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
                let unix_time_ms = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
                let born = unix_time_ms.max(*self.born.borrow() + 1);
                self.born.send_replace(born);
                (self.started_at, self.first_clock) = (Instant::now(), 0);
                (self.is_down, self.holds_calls) = (false, false);
                let _ = reply.send(born);
            }
        }
    }

    fn release(&mut self, answers: bool) {
        self.held_leases.send_replace(0);
        self.unanswered.retain(|reply| !reply.is_closed());
        for call in std::mem::take(&mut self.held) {
            let answer = self.handle(&call.path, &call.body);
            if answers {
                let _ = call.reply.send(answer);
            } else {
                self.unanswered.push(call.reply);
            }
        }
    }

    /// Ends all runs and forgets everything.
    fn stop(&mut self) {
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            self.end(&task, "stopped");
        }
        self.highest_token.send_replace(0);
        (self.leased_until, self.lapsed, self.last_end) = (0, true, 0);
        self.highest_run.clear();
        self.finished.clear();
        self.is_down = true;
        let _ = self.events.send(WorkerEvent::Restarted(self.name.clone()));
    }

    /// Returns status and body of the response to a call.
    fn handle(&mut self, path: &str, call: &CallBody) -> CallAnswer {
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
                    "clock_ms": self.clock(), "born": *self.born.borrow(), "running": running,
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

    fn start(&mut self, call: &CallBody) -> CallAnswer {
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

    /// Returns the milliseconds on the worker's clock.
    fn clock(&self) -> u64 {
        self.first_clock + u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
