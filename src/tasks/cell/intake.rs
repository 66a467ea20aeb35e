//! Admits the calls of callers: submissions go to the store, questions to the owner of the cell.

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::kernel::cell::{CellConfig, GraphSpec, JobStatus, QueueRule, RepeatSchedule, StepSpec};
use crate::prelude::*;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::owner::JobAnswer;
use crate::tasks::cell::peer::OwnerRoute;
use crate::tasks::cell::submit_queue::SubmitQueue;

/// Topic of submissions and cancellations.
pub const JOB_TOPIC: &str = "jobs";
/// Partitions of the topic, so that many processes can append at once while the store is slow.
pub const JOB_PARTITIONS: PartitionNumber = 8;
/// Part of the caller's time that is left for the answer.
const ANSWER_TIME: Duration = Duration::from_millis(250);
/// Time of a call that names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// When a refused caller may come back; outages of the store that last longer are rare.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Digits of a job's name.
const ID_DIGITS: usize = 16;

/// A record of the topic of submissions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobRecord {
    /// A job was submitted.
    Submit(GraphSpec),
    /// A job was cancelled.
    Cancel(JobId),
}

/// What a caller submits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSubmission {
    /// Text that each task gets.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When they run.
    pub schedule: Option<RepeatSchedule>,
}

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Submit a job, or learn what cannot be read of it.
    Submit(Result<JobSubmission, String>),
    /// Read the state of a job, or the number of waiting jobs of a queue.
    Read,
    /// Cancel a job.
    Cancel,
}

/// A call of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellCall {
    /// The host that was called.
    pub host: Arc<str>,
    /// The path that was called.
    pub path: Arc<str>,
    /// The key that the caller showed.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// What it wants.
    pub action: CallAction,
}

/// Why a call is refused.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CellRefusal {
    /// Nothing was done: there is no configuration yet.
    #[display("no configuration")]
    NoConfiguration,
    /// No queue is reached by the host and path.
    #[display("no such queue")]
    UnknownQueue,
    /// The key belongs to no team.
    #[display("unknown key")]
    UnknownKey,
    /// The call cannot be understood.
    #[display("{_0}")]
    BadRequest(String),
    /// Nothing was done: the store refuses records, or the owner cannot be asked.
    #[display("{_0}")]
    Unavailable(String),
    /// It is not known whether the store took the record.
    #[display("{_0}")]
    MayBeStored(String),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellReply {
    /// The job or its cancellation is stored.
    Stored,
    /// The state of a job.
    Status(JobStatus),
    /// There is no such job.
    Missing,
    /// The number of jobs of a queue of which nothing has started.
    Pending(u64),
    /// The call is refused; the time after which the caller may come back.
    Refused(CellRefusal, Option<Duration>),
}

/// What the task is told.
#[derive(Debug)]
pub enum IntakeMessage {
    /// A call, and where its answer goes.
    Call(CellCall, oneshot::Sender<CellReply>),
    /// A configuration came into force.
    Configured(Arc<CellConfig>),
    /// A record that another process could not store, and how long its caller waits.
    Relayed(JobRecord, Instant, oneshot::Sender<CellReply>),
    /// Whether calls can be answered.
    Ready(oneshot::Sender<bool>),
}

/// The task that admits calls.
pub struct IntakeTask {
    /// Submissions on their way to the store.
    pub queue: SubmitQueue,
    /// Where the owner is reached.
    pub route: watch::Receiver<OwnerRoute>,
    /// The configuration.
    pub config: Option<Arc<CellConfig>>,
    /// Counters.
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
                    Some(IntakeMessage::Relayed(record, until, reply)) => {
                        self.queue.add(&record, until, None, reply);
                    }
                    Some(IntakeMessage::Ready(reply)) => respond(reply, self.config.is_some()),
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
                let until = Instant::now() + deadline.saturating_sub(ANSWER_TIME);
                match plan {
                    CallPlan::Store(record) => {
                        let client = match &*self.route.borrow() {
                            OwnerRoute::Remote(_, client) => Some(client.clone()),
                            _ => None,
                        };
                        self.queue.add(&record, until, client, reply);
                    }
                    CallPlan::Inspect(job) => {
                        let route = self.route.borrow().clone();
                        actix_rt::spawn(async move { respond(reply, inspect(&route, &job, until).await) });
                    }
                    CallPlan::Count(queue) => {
                        let route = self.route.borrow().clone();
                        actix_rt::spawn(async move { respond(reply, count(&route, &queue, until).await) });
                    }
                }
            }
            Err(refusal) => {
                self.metrics.calls.with_label_values(&["refused"]).inc();
                let config = self.config.as_ref().map_or(0, |config| config.version);
                log::info!(path = &*call.path, config = config, reason:% = refusal; "call is refused");
                let wait = matches!(refusal, CellRefusal::NoConfiguration).then_some(RETRY_AFTER);
                respond(reply, CellReply::Refused(refusal, wait));
            }
        }
    }

    /// Says what a call comes to, or why it is refused.
    fn plan(&self, call: &CellCall) -> Result<CallPlan, CellRefusal> {
        let config = self.config.as_ref().ok_or(CellRefusal::NoConfiguration)?;
        let (queue, rule) = config.queue(&call.host, &call.path).ok_or(CellRefusal::UnknownQueue)?;
        let team = team_of(config, rule, call.key.as_deref())?;
        let id = &call.path[rule.prefix.len()..];
        if id.is_empty() && call.action == CallAction::Read {
            return Ok(CallPlan::Count(queue.clone()));
        }
        if id.len() != ID_DIGITS || !id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(CellRefusal::BadRequest(format!("{id:?} is no job id of {ID_DIGITS} digits")));
        }
        match &call.action {
            CallAction::Read => Ok(CallPlan::Inspect(id.into())),
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
                match spec.fault() {
                    Some(fault) => Err(CellRefusal::BadRequest(fault)),
                    None => Ok(CallPlan::Store(JobRecord::Submit(spec))),
                }
            }
        }
    }
}

fn team_of(config: &CellConfig, rule: &QueueRule, key: Option<&str>) -> Result<TeamId, CellRefusal> {
    match key.and_then(|key| config.keys.get(key)) {
        Some(team) => Ok(team.clone()),
        None if rule.open => Ok("".into()),
        None => Err(CellRefusal::UnknownKey),
    }
}

/// What an admitted call comes to.
enum CallPlan {
    Store(JobRecord),
    Inspect(JobId),
    Count(QueueId),
}

async fn inspect(route: &OwnerRoute, job: &JobId, until: Instant) -> CellReply {
    match route.inspect(job, until).await {
        Ok(JobAnswer::Known(status)) => CellReply::Status(status),
        Ok(JobAnswer::Missing) => CellReply::Missing,
        Ok(JobAnswer::Unready) => unavailable(job, "owner is recovering"),
        Err(reason) => unavailable(job, &reason),
    }
}

async fn count(route: &OwnerRoute, queue: &QueueId, until: Instant) -> CellReply {
    match route.count(queue, until).await {
        Ok(Some(jobs)) => CellReply::Pending(jobs),
        Ok(None) => unavailable(queue, "owner is recovering"),
        Err(reason) => unavailable(queue, &reason),
    }
}

/// Returns the refusal of a call of which nothing was done.
#[must_use]
pub fn unavailable(id: &str, reason: &str) -> CellReply {
    unavailable_for(id, reason, RETRY_AFTER)
}

/// Returns the refusal of a call of which nothing was done, and when its caller may come back.
#[must_use]
pub fn unavailable_for(id: &str, reason: &str, wait: Duration) -> CellReply {
    log::info!(id = id, reason = reason; "call is not answered");
    CellReply::Refused(CellRefusal::Unavailable(reason.to_owned()), Some(wait))
}

/// Answers a caller, who may have gone away.
pub fn respond<T>(reply: oneshot::Sender<T>, value: T) {
    if reply.send(value).is_err() {
        log::debug!("caller has gone away");
    }
}
