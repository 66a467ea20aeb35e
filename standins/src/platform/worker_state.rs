//! The task that runs the model of a worker of the users' platform.

use std::time::{Duration, Instant, SystemTime};

use actix_http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot, watch};

use crate::platform::{
    WorkerAction, WorkerAnswer, WorkerClock, WorkerEvent, WorkerModel, WorkerOutcome, WorkerRequest,
};

/// Run time of a task whose job does not set one.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);
/// Interval of the checks for runs that are due to end, and of the retries of a call that waits for an end.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Start of the first incarnation in Unix milliseconds, long ago.
pub(super) const FIRST_BORN: u64 = 1_000;
/// Milliseconds on the clock of the first incarnation at its start; the clocks of later ones are behind it.
const FIRST_CLOCK_MS: u64 = 3_000_000;
/// Rate of the workers' clocks in thousandths of the true rate.
const CLOCK_RATE: u32 = 1_000;

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

pub(super) struct WorkerState {
    model: WorkerModel,
    /// The time that the model counts from.
    origin: Instant,
    /// Present incarnation of the worker.
    born: watch::Sender<u64>,
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
        let clock = WorkerClock { started_at: Duration::ZERO, first_ms: FIRST_CLOCK_MS, rate: CLOCK_RATE };
        let model = WorkerModel::new(name, *born.borrow(), clock);
        Self {
            model,
            origin: Instant::now(),
            born,
            is_down: false,
            holds_calls: false,
            held: Vec::new(),
            held_leases,
            unanswered: Vec::new(),
            highest_token,
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
                    self.model.advance(self.origin.elapsed());
                    self.handle_message(message);
                }
                _ = interval.tick() => self.model.advance(self.origin.elapsed()),
            }
            self.publish();
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
            WorkerMessage::Stop => {
                self.model.stop();
                self.is_down = true;
            }
            WorkerMessage::Start(reply) => {
                let unix_time = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
                let unix_time_ms = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
                let born = unix_time_ms.max(*self.born.borrow() + 1);
                self.born.send_replace(born);
                let started_at = self.origin.elapsed();
                self.model.start(born, WorkerClock { started_at, first_ms: 0, rate: CLOCK_RATE });
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

    /// Sends the events of the model, and its highest token.
    fn publish(&mut self) {
        self.highest_token.send_if_modified(|token| {
            let highest = self.model.highest_token();
            std::mem::replace(token, highest) != highest
        });
        for event in self.model.take_events() {
            let _ = self.events.send(event);
        }
    }

    /// Returns status and body of the response to a call.
    fn handle(&mut self, path: &str, call: &CallBody) -> CallAnswer {
        let action = match path {
            "/api/run-start" => {
                let time = call.spec.split("ms=").nth(1).and_then(|text| text.parse().ok());
                let run_time = time.map_or(DEFAULT_RUN_TIME, Duration::from_millis);
                WorkerAction::Start(call.task.clone(), call.run, run_time)
            }
            "/api/run-stop" => WorkerAction::Stop(call.task.clone(), call.run),
            // The call `hold`, as any other path, reports the runs.
            _ => WorkerAction::Report(call.last_seen),
        };
        let request = WorkerRequest { token: call.fencing_token, until_ms: call.until_ms, action };
        let answer = self.model.carry_out(&request, self.origin.elapsed());
        self.publish();
        encode(&answer)
    }
}

/// Returns status and body of a response. A report tells of a running task its name, run number, checkpoint, percent
/// done and latency or millicores; of an ended one its number, name, run number, cause and checkpoint.
fn encode(answer: &WorkerAnswer) -> CallAnswer {
    let clock_ms = answer.clock_ms;
    match &answer.outcome {
        WorkerOutcome::Accepted => (StatusCode::OK, json!({"clock_ms": clock_ms})),
        WorkerOutcome::Refused(reason) => {
            (StatusCode::CONFLICT, json!({"clock_ms": clock_ms, "reason": reason}))
        }
        WorkerOutcome::Reported(report) => {
            let running = report.running.iter().map(|(task, run)| json!([task, run, "", 50, 0]));
            let finished = report.finished.iter();
            let finished = finished.map(|(number, task, run, cause)| json!([number, task, run, cause, ""]));
            let body = json!({
                "clock_ms": clock_ms, "born": report.born, "running": running.collect::<Vec<Value>>(),
                "finished": finished.collect::<Vec<Value>>(),
            });
            (StatusCode::OK, body)
        }
    }
}
