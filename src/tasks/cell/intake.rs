//! Admits the calls of callers: submissions go to the store, questions to the owner of the cell.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::kernel::cell::{CellConfig, GraphSpec, JobStatus, QueueRule, RepeatSchedule, StepSpec};
use crate::prelude::*;
use crate::tasks::cell::owner::JobAnswer;
use crate::tasks::cell::peer::OwnerRoute;
use crate::tasks::cell::ports::{AppendCall, AppendOutcome, StorePort};

/// Topic of submissions and cancellations.
pub const JOB_TOPIC: &str = "jobs";
/// Longest wait for one append; a repeated one does no harm, as jobs are known by their ids.
const APPEND_TIMEOUT: Duration = Duration::from_millis(900);
/// Wait before an append is repeated.
const APPEND_RETRY: Duration = Duration::from_millis(80);
/// Time for which an append that the store refuses is repeated before the call is refused.
const REFUSED_FOR: Duration = Duration::from_millis(700);
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
pub struct JobDraft {
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
    Submit(Result<JobDraft, String>),
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
    /// Whether calls can be answered.
    Ready(oneshot::Sender<bool>),
}

/// The task that admits calls.
pub struct IntakeTask {
    /// The store.
    pub store: StorePort,
    /// Where the owner is reached.
    pub route: watch::Receiver<OwnerRoute>,
    /// The configuration.
    pub config: Option<Arc<CellConfig>>,
}

impl IntakeTask {
    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<IntakeMessage>, token: CancellationToken) {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                message = inbox.recv() => match message {
                    None => return,
                    Some(IntakeMessage::Configured(config)) => self.config = Some(config),
                    Some(IntakeMessage::Ready(reply)) => respond(reply, self.config.is_some()),
                    Some(IntakeMessage::Call(call, reply)) => self.admit(call, reply),
                },
            }
        }
    }

    fn admit(&self, call: CellCall, reply: oneshot::Sender<CellReply>) {
        match self.plan(&call) {
            Ok(plan) => {
                let (store, route) = (self.store.clone(), self.route.borrow().clone());
                let deadline = call.deadline.unwrap_or(DEFAULT_DEADLINE);
                let until = Instant::now() + deadline.saturating_sub(ANSWER_TIME);
                actix_rt::spawn(async move { respond(reply, plan.run(store, route, until).await) });
            }
            Err(refusal) => {
                log::info!(path = &*call.path, reason:% = refusal; "call is refused");
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
            CallAction::Submit(Ok(draft)) => {
                let spec = GraphSpec {
                    id: id.into(),
                    queue: queue.clone(),
                    team,
                    payload: draft.payload.clone(),
                    steps: draft.steps.clone(),
                    schedule: draft.schedule,
                    submitted: clock::since_1970(),
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

impl CallPlan {
    async fn run(self, store: StorePort, route: OwnerRoute, until: Instant) -> CellReply {
        match self {
            Self::Store(record) => store_record(&record, &store, until).await,
            Self::Inspect(job) => match route.inspect(&job, until).await {
                Ok(JobAnswer::Known(status)) => CellReply::Status(status),
                Ok(JobAnswer::Missing) => CellReply::Missing,
                Ok(JobAnswer::Unready) => unavailable(&job, "owner is recovering"),
                Err(reason) => unavailable(&job, &reason),
            },
            Self::Count(queue) => match route.count(&queue, until).await {
                Ok(Some(jobs)) => CellReply::Pending(jobs),
                Ok(None) => unavailable(&queue, "owner is recovering"),
                Err(reason) => unavailable(&queue, &reason),
            },
        }
    }
}

fn unavailable(id: &str, reason: &str) -> CellReply {
    log::info!(id = id, reason = reason; "question is not answered");
    CellReply::Refused(CellRefusal::Unavailable(reason.to_owned()), Some(RETRY_AFTER))
}

/// Appends a record until the store takes it, surely refuses it or the time is over.
async fn store_record(record: &JobRecord, store: &StorePort, until: Instant) -> CellReply {
    let (id, kind) = match record {
        JobRecord::Submit(spec) => (&spec.id, "submit"),
        JobRecord::Cancel(job) => (job, "cancel"),
    };
    let value = match serde_json::to_vec(record) {
        Ok(value) => Bytes::from(value),
        Err(error) => return unavailable(id, &error.to_string()),
    };
    let started = Instant::now();
    let mut unsure = false;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let call = AppendCall {
            topic: JOB_TOPIC,
            records: vec![value.clone()],
            at: None,
            stamp: None,
            timeout: APPEND_TIMEOUT.min(left.max(APPEND_RETRY)),
        };
        let reason = match (store.append)(call).await {
            AppendOutcome::Stored(offset) => {
                let took = started.elapsed().as_millis();
                log::info!(job = &**id, kind = kind, offset = offset, took_ms:? = took; "call is stored");
                return CellReply::Stored;
            }
            AppendOutcome::Refused(reason) => reason,
            outcome => {
                unsure = true;
                outcome.to_string()
            }
        };
        let now = Instant::now();
        if !unsure && now.saturating_duration_since(started) >= REFUSED_FOR {
            return unavailable(id, &reason);
        }
        if now + APPEND_RETRY >= until {
            log::info!(job = &**id, kind = kind, reason = &*reason; "call may be stored");
            return CellReply::Refused(CellRefusal::MayBeStored(reason), None);
        }
        tokio::time::sleep(APPEND_RETRY).await;
    }
}

fn respond<T>(reply: oneshot::Sender<T>, value: T) {
    if reply.send(value).is_err() {
        log::debug!("caller has gone away");
    }
}
