//! Parsing of worker registrations, and the calls to workers.

use std::net::SocketAddr;
use std::rc::Rc;

use awc::http::StatusCode;
use futures_util::FutureExt;
use serde::{Deserialize, Serialize};

use crate::kernel::cell::{
    CommandOutcome, EndCause, EndedRun, PollReport, PollRequest, RunningRun, StartCommand, StopCommand,
    TaskKey, WorkerListing,
};
use crate::platform::calls::{self, CallFault, CallResponse};
use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::cell::ports::{CommandAnswer, PollOutcome, WorkerClient};

/// Largest number of connections to one worker: one for the long poll, the others for commands.
const MAX_CONNECTIONS: usize = 8;
/// Longest wait for the answer to a command.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a poll beyond the time for which the worker may hold it open.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(900);
/// Largest number of ended runs that a worker lists in one answer to a poll.
const MAX_LISTED_ENDS: usize = 500;
/// Header with the name of the worker that a call is meant for. A process at the same address that is not
/// that worker rejects the call with status 421.
const EXPECT_INSTANCE_HEADER: &str = "Expect-Instance";

/// Amounts of resources as the platform writes them.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ResourceBody {
    /// Thousandths of a core.
    cpu: u64,
    /// MiB of memory.
    mem_mb: u64,
    /// Number of accelerators.
    gpu: u64,
}

impl From<ResourceBody> for ResourceVector {
    fn from(body: ResourceBody) -> Self {
        Self::new(body.cpu, body.mem_mb, body.gpu)
    }
}

#[derive(Deserialize)]
struct RegistrationBody {
    service: ServiceId,
    address: SocketAddr,
    zone: ZoneId,
    /// Start of the incarnation that wrote the entry, in Unix milliseconds.
    #[serde(default)]
    born: Option<u64>,
    /// The worker's clock when it wrote the entry.
    #[serde(default)]
    clock_ms: Option<u64>,
    state: ServerState,
    capacity: ResourceBody,
    /// The kind of the worker, then its rack.
    #[serde(default)]
    labels: Vec<LabelId>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum ServerState {
    Ready,
    Draining,
}

#[derive(Serialize)]
struct StartBody<'a> {
    task: String,
    run: RunNumber,
    /// Text of the job, passed to the task.
    spec: &'a str,
    until_ms: u64,
    fencing_token: FencingToken,
    #[serde(skip_serializing_if = "Option::is_none")]
    checkpoint: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'a str>,
}

#[derive(Serialize)]
struct StopBody {
    task: String,
    run: RunNumber,
    fencing_token: FencingToken,
}

/// Body of the platform's `hold` call, which polls a worker and renews its lease.
#[derive(Serialize)]
struct PollBody {
    fencing_token: FencingToken,
    /// Number of the last ended run that is recorded; the worker reports only later ones.
    last_seen: TaskEndNumber,
    #[serde(skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct CommandReply {
    clock_ms: Option<u64>,
    /// Reason of a refusal: `fence`, `old`, `late`, `room` or `ticket`; empty in other replies. `old` refuses
    /// the start of a run that has ended or is older than another run of the task.
    reason: String,
}

/// Reply to the platform's `hold` call: the report of the worker.
#[derive(Deserialize)]
struct PollReply {
    clock_ms: u64,
    /// Start of this incarnation of the worker, in Unix milliseconds.
    #[serde(default)]
    born: u64,
    #[serde(default)]
    running: Vec<RunningRow>,
    #[serde(default)]
    finished: Vec<FinishedRow>,
}

/// Task, run, checkpoint, progress in percent, and the tail latency in milliseconds or the used millicores,
/// as [`RunningRun::latency_ms_or_millicores`] says.
#[derive(Deserialize)]
struct RunningRow(String, RunNumber, String, f64, #[serde(default)] f64);

/// Number of the end, task, run, cause, checkpoint.
#[derive(Deserialize)]
struct FinishedRow(TaskEndNumber, String, RunNumber, EndCause, #[serde(default)] String);

/// Parses the registration of a worker, whose name is the key.
pub fn parse_worker_registration(key: &str, value: &[u8]) -> Result<WorkerListing, String> {
    let body: RegistrationBody = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    if body.address.port() == 0 {
        return Err(format!("{} has no port", body.address));
    }
    let capacity = ResourceVector::from(body.capacity);
    if let Some(dimension) = capacity.lacking(ResourceVector::MAX_CAPACITY) {
        return Err(format!("capacity of {dimension} is out of range: {capacity}"));
    }
    Ok(WorkerListing {
        worker: key.into(),
        address: body.address.to_string().into(),
        service: body.service,
        zone: body.zone,
        incarnation: body.born.map(Duration::from_millis),
        clock: body.clock_ms.map(Duration::from_millis),
        capacity,
        rack: body.labels.get(1).cloned(),
        labels: body.labels,
        draining: body.state == ServerState::Draining,
    })
}

/// Returns a client of a registered worker.
pub fn connect(listing: &WorkerListing) -> WorkerClient {
    let worker = HttpWorker {
        client: http::persistent_client(MAX_CONNECTIONS),
        worker: listing.worker.clone(),
        base: format!("http://{}/api", listing.address).into(),
    };
    let (starter, stopper, poller) = (worker.clone(), worker.clone(), worker);
    WorkerClient {
        start: Rc::new(move |command, token, until| {
            starter.clone().start(command, token, until).boxed_local()
        }),
        stop: Rc::new(move |command, token| stopper.clone().stop(command, token).boxed_local()),
        poll: Rc::new(move |request| poller.clone().poll(request).boxed_local()),
    }
}

/// HTTP client of one worker; the closures of a `WorkerClient` call clones of it.
#[derive(Clone)]
struct HttpWorker {
    client: awc::Client,
    worker: WorkerId,
    base: Rc<str>,
}

/// A command, as log lines name it.
struct CommandName<'a> {
    kind: &'static str,
    task: &'a TaskKey,
    run: RunNumber,
    token: FencingToken,
}

impl HttpWorker {
    fn request(&self, call: &str) -> awc::ClientRequest {
        self.client
            .post(format!("{}/{call}", self.base))
            .insert_header((EXPECT_INSTANCE_HEADER, &*self.worker))
    }

    async fn start(self, command: StartCommand, token: FencingToken, until: WorkerTime) -> CommandAnswer {
        let body = StartBody {
            task: command.task.to_string(),
            run: command.run,
            spec: &command.payload,
            until_ms: saturating_ms(until),
            fencing_token: token,
            checkpoint: command.checkpoint.as_deref(),
            ticket: command.ticket.as_deref(),
        };
        let response = calls::post(self.request("run-start"), &body, COMMAND_TIMEOUT).await;
        let name = CommandName { kind: "start", task: &command.task, run: command.run, token };
        self.command_answer(&name, response)
    }

    async fn stop(self, command: StopCommand, token: FencingToken) -> CommandAnswer {
        let body = StopBody { task: command.task.to_string(), run: command.run, fencing_token: token };
        let response = calls::post(self.request("run-stop"), &body, COMMAND_TIMEOUT).await;
        let name = CommandName { kind: "stop", task: &command.task, run: command.run, token };
        self.command_answer(&name, response)
    }

    fn command_answer(
        &self,
        name: &CommandName<'_>,
        response: Result<CallResponse, CallFault>,
    ) -> CommandAnswer {
        let response = match response {
            Ok(response) => response,
            Err(fault) => {
                let outcome = if fault.unsent { CommandOutcome::NotSent } else { CommandOutcome::Unknown };
                log::info!(kind = name.kind, task:% = name.task, run = name.run, token = name.token,
                    worker = &*self.worker, reason:% = fault, outcome:%; "order is not answered");
                return CommandAnswer { outcome, clock: None };
            }
        };
        let reply = response.json::<CommandReply>().unwrap_or_default();
        let clock = reply.clock_ms.map(Duration::from_millis);
        let outcome = match (response.status, reply.reason.as_str()) {
            (StatusCode::OK, _) => CommandOutcome::Accepted,
            (StatusCode::CONFLICT, "fence") => CommandOutcome::Fenced,
            (StatusCode::CONFLICT, "room") => CommandOutcome::NoRoom,
            (StatusCode::CONFLICT, "ticket") => CommandOutcome::NoPermit,
            (StatusCode::MISDIRECTED_REQUEST, _) => CommandOutcome::Replaced,
            (
                StatusCode::CONFLICT
                | StatusCode::BAD_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE,
                _,
            ) => CommandOutcome::Refused,
            _ => CommandOutcome::Unknown,
        };
        if outcome != CommandOutcome::Accepted {
            log::info!(kind = name.kind, task:% = name.task, run = name.run, token = name.token,
                worker = &*self.worker, status = response.status.as_u16(), reason = &*reply.reason, outcome:%;
                "order is refused");
        }
        CommandAnswer { outcome, clock }
    }

    async fn poll(self, request: PollRequest) -> PollOutcome {
        let body = PollBody {
            fencing_token: request.token,
            last_seen: request.acknowledged,
            until_ms: request.lease.map(saturating_ms),
            wait_ms: (!request.wait.is_zero()).then(|| saturating_ms(request.wait)),
        };
        let poll_sent_at = Instant::now();
        let response =
            match calls::post(self.request("hold"), &body, request.wait + POLL_TIMEOUT_MARGIN).await {
                Ok(response) => response,
                Err(fault) => return PollOutcome::Failed(fault.reason),
            };
        match response.status {
            StatusCode::OK => {
                match response.json::<PollReply>().and_then(|reply| decode_report(reply, poll_sent_at)) {
                    Ok((report, clock)) => PollOutcome::Answered(report, clock),
                    Err(reason) => PollOutcome::Failed(reason),
                }
            }
            StatusCode::CONFLICT => PollOutcome::Fenced,
            StatusCode::MISDIRECTED_REQUEST => PollOutcome::Replaced,
            status => PollOutcome::Failed(status.to_string()),
        }
    }
}

fn decode_report(reply: PollReply, poll_sent_at: Instant) -> Result<(PollReport, WorkerTime), String> {
    let key = |name: &str| TaskKey::parse(name).ok_or_else(|| format!("{name:?} is not a task key"));
    let running = reply.running.into_iter().map(
        |RunningRow(task, run, checkpoint, percent, latency_ms_or_millicores)| {
            let (percent, latency_ms_or_millicores) =
                (saturating_u32(percent), u64::from(saturating_u32(latency_ms_or_millicores)));
            Ok(RunningRun {
                task: key(&task)?,
                run,
                checkpoint: non_empty(checkpoint),
                percent,
                latency_ms_or_millicores,
            })
        },
    );
    let running = running.collect::<Result<Vec<_>, String>>()?;
    let ended = reply.finished.into_iter().map(|FinishedRow(number, task, run, cause, checkpoint)| {
        Ok(EndedRun { number, task: key(&task)?, run, cause, checkpoint: non_empty(checkpoint) })
    });
    let ended = ended.collect::<Result<Vec<_>, String>>()?;
    let report = PollReport {
        poll_sent_at,
        incarnation: Duration::from_millis(reply.born),
        running,
        ends_complete: ended.len() < MAX_LISTED_ENDS,
        ended,
    };
    Ok((report, Duration::from_millis(reply.clock_ms)))
}

fn non_empty(text: String) -> Option<CheckpointId> {
    (!text.is_empty()).then(|| text.into())
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before the cast")]
fn saturating_u32(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}

fn saturating_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
