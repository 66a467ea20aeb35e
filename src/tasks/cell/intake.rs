//! Admits calls: submissions and cancellations go to the store, queries go to the owner of the cell.

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::kernel::cell::admission::{AdmissionGate, AdmissionNotice, MemoryGate, RefusalTally};
use crate::kernel::cell::{
    CellConfig, GraphSpec, JobForecast, JobStatus, QueueRule, RepeatSchedule, StepSpec,
};
use crate::prelude::*;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner::JobAnswer;
use crate::tasks::cell::peer::OwnerRoute;
use crate::tasks::cell::pending_refusal::{PendingRefusal, SubmitRefusal};
use crate::tasks::cell::submit_queue::SubmitQueue;

/// Topic of submissions and cancellations.
pub const JOB_TOPIC: &str = "jobs";
/// Number of partitions of [`JOB_TOPIC`]; several, so that many processes can append at once while the store
/// is slow.
pub const JOB_PARTITIONS: PartitionNumber = 8;
/// Part of the caller's deadline that is kept for sending the answer.
const RESPONSE_MARGIN: Duration = Duration::from_millis(250);
/// Deadline of a call that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// Delay after which a refused caller may retry; outages of the store that last longer are rare.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Number of hexadecimal digits in the id of a job.
const JOB_ID_DIGITS: usize = 16;

/// A record of [`JOB_TOPIC`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobRecord {
    /// Submission of a job.
    Submit(GraphSpec),
    /// Cancellation of a job.
    Cancel(JobId),
}

impl JobRecord {
    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// Returns the reason why the record is no record of this topic, or its job is one that no owner can hold.
    pub fn decode(value: &[u8]) -> Result<Self, String> {
        let record: Self = serde_json::from_slice(value).map_err(|error| error.to_string())?;
        match &record {
            Self::Submit(spec) => spec.validation_error().map_or(Ok(record), Err),
            Self::Cancel(_) => Ok(record),
        }
    }
}

/// A job as a caller submits it, without its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSubmission {
    /// Text that is passed to each task.
    pub payload: Arc<str>,
    /// Steps of the job, which refer to each other by index.
    pub steps: Vec<StepSpec>,
    /// Schedule of a repeated job; `None` for a job that runs once.
    pub schedule: Option<RepeatSchedule>,
}

/// The operation that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Submit a job; an error says why the body is invalid.
    Submit(Result<JobSubmission, String>),
    /// Query the state of a job or, if the path names none, the number of pending jobs of a queue.
    Query,
    /// Cancel a job.
    Cancel,
}

/// A call as the front end received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellCall {
    /// Host name in the request, without the port.
    pub host: Arc<str>,
    /// Path of the request: the prefix of a queue, then the id of a job.
    pub path: Arc<str>,
    /// API key in the request.
    pub key: Option<Arc<str>>,
    /// How long the caller waits for the answer; `None` if it names no deadline.
    pub deadline: Option<Duration>,
    /// The requested operation.
    pub action: CallAction,
}

/// Why a call is refused.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CellRefusal {
    /// No configuration has been received yet; nothing was done.
    #[display("no configuration")]
    NoConfiguration,
    /// No queue matches the host and path.
    #[display("no such queue")]
    UnknownQueue,
    /// The key belongs to no team.
    #[display("unknown key")]
    UnknownKey,
    /// The request is invalid, for this reason.
    #[display("{_0}")]
    BadRequest(String),
    /// The job could not be of use to its caller any more, as its queue waits for this long; nothing was done.
    #[display("expected wait of {} ms", _0.as_millis())]
    Overloaded(Duration),
    /// The owner has no memory for the job now; nothing was done.
    #[display("no memory for the job")]
    NoMemory,
    /// The store refuses records or the owner cannot be queried, for this reason; nothing was done.
    #[display("{_0}")]
    Unavailable(String),
    /// It is not known whether the record is stored, for this reason.
    #[display("{_0}")]
    MayBeStored(String),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellReply {
    /// The submission or cancellation is stored.
    Stored,
    /// The state of a job.
    Status(JobStatus),
    /// The job does not exist.
    Missing,
    /// The number of pending jobs of a queue, that is, of those of which no task has started.
    Pending(u64),
    /// The call is refused; the caller may retry after this delay, if there is one.
    Refused(CellRefusal, Option<Duration>),
}

/// Messages to the [`IntakeTask`].
#[derive(Debug)]
pub enum IntakeMessage {
    /// A call and the channel for its answer.
    Call(CellCall, oneshot::Sender<CellReply>),
    /// A configuration came into force.
    Configured(Arc<CellConfig>),
    /// A record that another process could not store, the deadline of its caller and the channel for the
    /// result.
    Relayed(JobRecord, Instant, oneshot::Sender<CellReply>),
    /// The owner of the cell expects these waits.
    LongWaits(AdmissionNotice),
    /// The owner's answer on a job that is to be refused for load; an error says why there is none.
    Inspected(Box<PendingRefusal>, Result<JobAnswer, String>),
    /// Asks what the owner would do now with the job of a submission, without submitting it.
    Forecast(CellCall, oneshot::Sender<Result<JobForecast, String>>),
    /// Asks whether this process can serve calls, that is, has a configuration.
    Ready(oneshot::Sender<bool>),
}

/// The async task that admits calls.
pub struct IntakeTask {
    /// Queue of submissions and cancellations to be stored.
    pub queue: SubmitQueue,
    /// Route to the current owner.
    pub route: watch::Receiver<OwnerRoute>,
    /// Configuration in force; `None` until the first one arrives.
    pub config: Option<Arc<CellConfig>>,
    /// Decides which submissions are refused for load.
    pub gate: AdmissionGate,
    /// Decides which submissions are refused for lack of memory.
    pub memory_gate: MemoryGate,
    /// Bounds the log lines about these refusals.
    pub tally: RefusalTally,
    /// Sends messages to this task; cloned for queries to the owner.
    pub own_sender: mpsc::Sender<IntakeMessage>,
    /// Metrics of the process.
    pub metrics: CellMetrics,
}

impl IntakeTask {
    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<IntakeMessage>, token: CancellationToken) {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                () = self.queue.progress() => {}
                message = inbox.recv() => match message {
                    None => return,
                    Some(IntakeMessage::Configured(config)) => self.config = Some(config),
                    Some(IntakeMessage::Relayed(record, deadline, reply)) => {
                        self.queue.add(&record, deadline, None, reply);
                    }
                    Some(IntakeMessage::LongWaits(notice)) => {
                        self.memory_gate.apply(&notice);
                        self.gate.apply(notice, Instant::now());
                    }
                    Some(IntakeMessage::Inspected(pending, answer)) => self.conclude(*pending, &answer),
                    Some(IntakeMessage::Ready(reply)) => respond(reply, self.config.is_some()),
                    Some(IntakeMessage::Forecast(call, reply)) => self.forecast(&call, reply),
                    Some(IntakeMessage::Call(call, reply)) => self.admit(&call, reply),
                },
            }
        }
    }

    fn admit(&mut self, call: &CellCall, reply: oneshot::Sender<CellReply>) {
        match self.plan(call) {
            Ok(plan) => {
                self.metrics.calls.with_label_values(&["admitted"]).inc();
                let deadline = call.deadline.unwrap_or(DEFAULT_DEADLINE);
                let deadline = Instant::now() + deadline.saturating_sub(RESPONSE_MARGIN);
                match plan {
                    CallPlan::Store(JobRecord::Submit(spec)) => self.submit(spec, deadline, reply),
                    CallPlan::Store(record) => self.store(&record, deadline, reply),
                    CallPlan::Inspect(job) => {
                        let route = self.route.borrow().clone();
                        actix_rt::spawn(async move { respond(reply, inspect(&route, &job, deadline).await) });
                    }
                    CallPlan::Count(queue) => {
                        let route = self.route.borrow().clone();
                        actix_rt::spawn(async move { respond(reply, count(&route, &queue, deadline).await) });
                    }
                }
            }
            Err(refusal) => {
                self.metrics.calls.with_label_values(&["refused"]).inc();
                let config = self.config.as_ref().map_or(0, |config| config.version);
                log::info!(path = &*call.path, config = config, reason:% = refusal; "call is refused");
                let retry_after =
                    matches!(refusal, CellRefusal::NoConfiguration).then_some(DEFAULT_RETRY_AFTER);
                respond(reply, CellReply::Refused(refusal, retry_after));
            }
        }
    }

    fn store(&mut self, record: &JobRecord, deadline: Instant, reply: oneshot::Sender<CellReply>) {
        let client = match &*self.route.borrow() {
            OwnerRoute::Remote(_, client) => Some(client.clone()),
            _ => None,
        };
        self.queue.add(record, deadline, client, reply);
    }

    /// Stores a submission, unless its job could not be of use any more or there is no memory for it. The owner is asked before a refusal, as
    /// the call may repeat one that was stored without an answer to its caller.
    fn submit(&mut self, spec: GraphSpec, deadline: Instant, reply: oneshot::Sender<CellReply>) {
        let refusal = self
            .config
            .as_ref()
            .and_then(|config| self.gate.refusal(&spec, config, Instant::now()))
            .map(SubmitRefusal::Load)
            .or_else(|| self.memory_gate.admit(&spec).err().map(SubmitRefusal::Memory))
            .filter(|_| !self.queue.holds(&spec.id));
        match refusal {
            Some(refusal) => {
                let pending = PendingRefusal { spec, refusal, deadline, reply };
                let (route, own_sender) = (self.route.borrow().clone(), self.own_sender.clone());
                actix_rt::spawn(pending.inspect(route, own_sender));
            }
            None => self.store(&JobRecord::Submit(spec), deadline, reply),
        }
    }

    /// Refuses a job of which the owner knows nothing. If the owner does not answer, the job is stored, unless there is no
    /// memory for it: whether it was stored by an earlier call is not known then.
    fn conclude(&mut self, pending: PendingRefusal, answer: &Result<JobAnswer, String>) {
        let checks = &self.metrics.load_checks;
        match answer {
            Ok(JobAnswer::Known(_)) => {
                checks.with_label_values(&["already_accepted"]).inc();
                respond(pending.reply, CellReply::Stored);
            }
            Ok(JobAnswer::Missing) if !self.queue.holds(&pending.spec.id) => {
                checks.with_label_values(&["refused"]).inc();
                let refusals = self.tally.count(&pending.spec.queue, &pending.spec.team, Instant::now());
                pending.refuse(refusals);
            }
            Err(_) if matches!(pending.refusal, SubmitRefusal::Memory(_)) => {
                checks.with_label_values(&["unconfirmed"]).inc();
                let refusal = CellRefusal::MayBeStored("owner does not answer".to_owned());
                respond(pending.reply, CellReply::Refused(refusal, None));
            }
            _ => {
                checks.with_label_values(&["unconfirmed"]).inc();
                self.store(&JobRecord::Submit(pending.spec), pending.deadline, pending.reply);
            }
        }
    }

    /// Asks the owner for a forecast of the job of a submission, and adds whether it would be refused for load now.
    fn forecast(&self, call: &CellCall, reply: oneshot::Sender<Result<JobForecast, String>>) {
        let spec = match self.plan(call) {
            Ok(CallPlan::Store(JobRecord::Submit(spec))) => spec,
            Ok(_) => return respond(reply, Err("not a submission".to_owned())),
            Err(refusal) => return respond(reply, Err(format!("refused: {refusal}"))),
        };
        let now = Instant::now();
        let config = self.config.as_ref();
        // A copy of the gate, as its answer changes what it refuses next.
        let refusal = config.and_then(|config| self.gate.clone().refusal(&spec, config, now));
        let load_refusal = refusal.map(|refusal| refusal.to_string());
        let route = self.route.borrow().clone();
        actix_rt::spawn(async move {
            let forecast = route.forecast(spec, now + DEFAULT_DEADLINE).await;
            respond(reply, forecast.map(|forecast| JobForecast { load_refusal, ..forecast }));
        });
    }

    /// Validates a call against the configuration; returns how to handle it or why it is refused.
    fn plan(&self, call: &CellCall) -> Result<CallPlan, CellRefusal> {
        let config = self.config.as_ref().ok_or(CellRefusal::NoConfiguration)?;
        let (queue, rule) = config.queue(&call.host, &call.path).ok_or(CellRefusal::UnknownQueue)?;
        let team = team_of(config, rule, call.key.as_deref())?;
        let id = &call.path[rule.prefix.len()..];
        if id.is_empty() && call.action == CallAction::Query {
            return Ok(CallPlan::Count(queue.clone()));
        }
        if id.len() != JOB_ID_DIGITS || !id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(CellRefusal::BadRequest(format!("{id:?} is no job id of {JOB_ID_DIGITS} digits")));
        }
        match &call.action {
            CallAction::Query => Ok(CallPlan::Inspect(id.into())),
            CallAction::Cancel => Ok(CallPlan::Store(JobRecord::Cancel(id.into()))),
            CallAction::Submit(Err(fault)) => Err(CellRefusal::BadRequest(fault.clone())),
            CallAction::Submit(Ok(submission)) => {
                let spec = GraphSpec {
                    id: id.into(),
                    queue: queue.clone(),
                    team,
                    payload: submission.payload.clone(),
                    steps: submission.steps.clone(),
                    schedule: submission.schedule,
                    submitted: clock::unix_time(),
                };
                match spec.validation_error() {
                    Some(error) => Err(CellRefusal::BadRequest(error)),
                    None => Ok(CallPlan::Store(JobRecord::Submit(spec))),
                }
            }
        }
    }
}

/// Returns the team of a caller. In a queue that is open to all, callers without a known key belong to no
/// team, which is written as an empty name.
fn team_of(config: &CellConfig, rule: &QueueRule, key: Option<&str>) -> Result<TeamId, CellRefusal> {
    match key.and_then(|key| config.keys.get(key)) {
        Some(team) => Ok(team.clone()),
        None if rule.open_to_all => Ok("".into()),
        None => Err(CellRefusal::UnknownKey),
    }
}

/// How an admitted call is handled.
enum CallPlan {
    Store(JobRecord),
    Inspect(JobId),
    Count(QueueId),
}

async fn inspect(route: &OwnerRoute, job: &JobId, deadline: Instant) -> CellReply {
    match route.inspect(job, deadline).await {
        Ok(JobAnswer::Known(status)) => CellReply::Status(status),
        Ok(JobAnswer::Missing) => CellReply::Missing,
        Ok(JobAnswer::SubmissionsStale) => refuse_unavailable(job, "owner is recovering"),
        Err(reason) => refuse_unavailable(job, &reason),
    }
}

async fn count(route: &OwnerRoute, queue: &QueueId, deadline: Instant) -> CellReply {
    match route.count(queue, deadline).await {
        Ok(Some(jobs)) => CellReply::Pending(jobs),
        Ok(None) => refuse_unavailable(queue, "owner is recovering"),
        Err(reason) => refuse_unavailable(queue, &reason),
    }
}

/// Logs and returns the refusal of a call that had no effect; its caller may retry after the default delay.
#[must_use]
pub fn refuse_unavailable(id: &str, reason: &str) -> CellReply {
    refuse_unavailable_with_retry(id, reason, DEFAULT_RETRY_AFTER)
}

/// Logs and returns the refusal of a call that had no effect; its caller may retry after `retry_after`.
#[must_use]
pub fn refuse_unavailable_with_retry(id: &str, reason: &str, retry_after: Duration) -> CellReply {
    log::info!(id = id, reason = reason; "call is not answered");
    CellReply::Refused(CellRefusal::Unavailable(reason.to_owned()), Some(retry_after))
}

/// Sends an answer to a caller, which may have disconnected.
pub fn respond<T>(reply: oneshot::Sender<T>, value: T) {
    if reply.send(value).is_err() {
        log::debug!("answer dropped: the caller has disconnected");
    }
}
