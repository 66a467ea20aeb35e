//! Calls between entry processes over gRPC: queries to the owner of the cell, relayed records, permit requests of
//! the owner to the placement advisor, and its notices of long waits.

use std::pin::Pin;

use futures_util::Stream;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Code, Request, Response, Status, Streaming};

use crate::kernel::cell::{CellOwner, GraphSpec, JobForecast, JobStatus, Millicores, StepKey};
use crate::prelude::*;
use crate::proto::cell::cell_client::CellClient;
use crate::proto::cell::cell_server::{Cell, CellServer};
use crate::proto::cell::{
    AdmissionUpdate, AdvisorAnswer, AdvisorGrant, AdvisorQuestion, CountReply, CountRequest,
    FollowAdmissionRequest, InspectReply, InspectRequest, JobState, LocateReply, LocateRequest, RelayOutcome,
    RelayReply, RelayRequest,
};
use crate::tasks::cell::admission::{AdmissionMessage, NOTICE_CAPACITY, encode_notice};
use crate::tasks::cell::advisor::AdvisorMessage;
use crate::tasks::cell::claim::{ClaimMessage, OwnerLiveness};
use crate::tasks::cell::intake::{CellRefusal, CellReply, IntakeMessage, JobRecord};
use crate::tasks::cell::owner::{JobAnswer, OwnerMessage};
use crate::tasks::cell::ports::AdvisorClient;
use crate::tasks::client_access::ClientAccess;
use crate::tasks::leased_stream::LeasedStream;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between HTTP/2 keepalive pings, also on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a keepalive ping.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a broken stream to the owner is opened again.
const ASSIST_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of permit requests or answers that may be queued in a stream.
const ASSIST_CAPACITY: usize = 4;
/// Delay before a failed query to the owner is retried.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Longest wait for the answer to one attempt of a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Part of a caller's deadline that is kept for the answer of the owner's process, as only an answer shows
/// that the record was refused.
const RELAY_MARGIN: Duration = Duration::from_millis(200);

/// How the owner of the cell is reached.
#[derive(Clone, Debug)]
pub enum OwnerRoute {
    /// The owner is not known.
    Unknown,
    /// The owner is a task of this process.
    Local(CellOwner, mpsc::Sender<OwnerMessage>),
    /// The owner is in another process.
    Remote(CellOwner, CellClient<Channel>),
}

/// Returns a client of the process at an address, which connects on its first call.
///
/// # Errors
///
/// Returns an error if the address is not valid in a URI.
pub fn connect(address: &str) -> Result<CellClient<Channel>, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .keep_alive_while_idle(true);
    Ok(CellClient::new(endpoint.connect_lazy()))
}

impl OwnerRoute {
    /// Queries the owner for the state of a job; failed calls to another process are retried until the
    /// deadline.
    ///
    /// # Errors
    ///
    /// Returns the reason why the owner gave no answer.
    pub async fn inspect(&self, job: &JobId, deadline: Instant) -> Result<JobAnswer, String> {
        match self {
            Self::Unknown => Err("cell has no owner".to_owned()),
            Self::Local(_, owner) => {
                query_owner(owner, |reply| OwnerMessage::Inspect(job.clone(), reply), deadline).await
            }
            Self::Remote(_, client) => {
                let request = InspectRequest { job: job.to_string() };
                let call = || {
                    let (mut client, request) = (client.clone(), request.clone());
                    async move { client.inspect(request).await }
                };
                let reply = call_with_retry(call, deadline).await?;
                Ok(decode_job_state(reply.state()))
            }
        }
    }

    /// Asks an owner in this process what it would do now with a job.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no forecast, such as the name of another process that owns the cell.
    pub async fn forecast(&self, spec: GraphSpec, deadline: Instant) -> Result<JobForecast, String> {
        match self {
            Self::Unknown => Err("cell has no owner".to_owned()),
            Self::Local(_, owner) => {
                query_owner(owner, |reply| OwnerMessage::Forecast(spec.into(), reply), deadline).await?
            }
            Self::Remote(owner, _) => Err(format!("{} owns the cell; ask that process", owner.process)),
        }
    }

    /// Queries the owner for the number of jobs of a queue that have not started; `None` if an owner in this
    /// process has not read the submissions recently. An owner in another process returns an error instead.
    ///
    /// # Errors
    ///
    /// Returns the reason why the owner gave no answer.
    pub async fn count(&self, queue: &QueueId, deadline: Instant) -> Result<Option<u64>, String> {
        match self {
            Self::Unknown => Err("cell has no owner".to_owned()),
            Self::Local(_, owner) => {
                query_owner(owner, |reply| OwnerMessage::Count(queue.clone(), reply), deadline).await
            }
            Self::Remote(_, client) => {
                let request = CountRequest { queue: queue.to_string() };
                let call = || {
                    let (mut client, request) = (client.clone(), request.clone());
                    async move { client.count(request).await }
                };
                Ok(Some(call_with_retry(call, deadline).await?.jobs))
            }
        }
    }
}

/// Relays a record to the owner's process, which stores it.
///
/// The record is sent only once: an unanswered call may still take effect later, so the refusal of a second
/// one would not show that the record is not stored.
///
/// # Errors
///
/// Returns the reason why the outcome is unknown; the record may be stored.
pub async fn relay(
    client: &CellClient<Channel>,
    record: &[u8],
    deadline: Instant,
) -> Result<RelayOutcome, String> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let time = time_left.saturating_sub(RELAY_MARGIN);
    let time_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let mut client = client.clone();
    let call = client.relay(RelayRequest { record: record.to_vec(), time_ms });
    match tokio::time::timeout(time_left, call).await {
        Ok(Ok(reply)) => Ok(reply.into_inner().outcome()),
        Ok(Err(status)) => Err(describe(&status)),
        Err(_) => Err("owner is too slow".to_owned()),
    }
}

/// Queries the processes at the addresses for the owner of the cell; returns the newest one that they know.
pub async fn locate(addresses: Vec<Arc<str>>) -> Option<CellOwner> {
    let queries = addresses.into_iter().map(|address| async move {
        let answer = locate_at(&address).await;
        // Some of the addresses belong to processes that have stopped.
        answer.inspect_err(
            |reason| log::debug!(address = &*address, reason = &**reason; "process does not answer"),
        )
    });
    let known = futures_util::future::join_all(queries).await;
    known.into_iter().filter_map(Result::ok).flatten().max_by_key(|owner| owner.token)
}

async fn locate_at(address: &str) -> Result<Option<CellOwner>, String> {
    let mut client = connect(address).map_err(|error| error.to_string())?;
    let answer = tokio::time::timeout(QUERY_TIMEOUT, client.locate(LocateRequest {})).await;
    let reply = answer.map_err(|error| error.to_string())?.map_err(|status| describe(&status))?;
    let LocateReply { token, process, address } = reply.into_inner();
    Ok((token > 0).then(|| CellOwner { process: process.into(), address: address.into(), token }))
}

async fn query_owner<T>(
    owner: &mpsc::Sender<OwnerMessage>,
    message: impl FnOnce(oneshot::Sender<T>) -> OwnerMessage,
    deadline: Instant,
) -> Result<T, String> {
    let (reply, answer) = oneshot::channel();
    let query = async {
        owner.send(message(reply)).await.map_err(|_| "term of the owner is over".to_owned())?;
        answer.await.map_err(|_| "term of the owner is over".to_owned())
    };
    tokio::time::timeout_at(deadline.into(), query)
        .await
        .unwrap_or_else(|_| Err("owner is too slow".to_owned()))
}

/// Returns the message of a failed call with the errors that caused it, which tell a refused connection from one
/// that timed out.
fn describe(status: &Status) -> String {
    let mut text = status.message().to_owned();
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        let cause = error.to_string();
        // The message of a status often repeats one of its causes.
        if !text.contains(&cause) {
            text = format!("{text}: {cause}");
        }
        source = error.source();
    }
    text
}

async fn call_with_retry<T, F>(mut call: impl FnMut() -> F, deadline: Instant) -> Result<T, String>
where
    F: Future<Output = Result<Response<T>, Status>>,
{
    loop {
        let fault = match tokio::time::timeout(QUERY_TIMEOUT, call()).await {
            Ok(Ok(response)) => return Ok(response.into_inner()),
            Ok(Err(status)) => describe(&status),
            Err(_) => "owner is too slow".to_owned(),
        };
        if Instant::now() + QUERY_RETRY_DELAY >= deadline {
            return Err(fault);
        }
        tokio::time::sleep(QUERY_RETRY_DELAY).await;
    }
}

/// Serves the calls of other entry processes; `Inspect`, `Count`, `Assist` and `FollowAdmission` are rejected unless this
/// process owns the cell.
pub struct CellService {
    /// Name of this process and its incarnation.
    pub process: ProcessId,
    /// Route to the current owner.
    pub route: watch::Receiver<OwnerRoute>,
    /// Sends messages to the task that distributes permit requests to the placement advisor.
    pub advisor_sender: mpsc::Sender<AdvisorMessage>,
    /// Sends messages to the task that distributes notices of long waits.
    pub admission_sender: mpsc::Sender<AdmissionMessage>,
    /// Sends messages to the task that follows the ownership of the cell.
    pub claim_sender: mpsc::Sender<ClaimMessage>,
    /// Sends messages to the task that admits calls.
    pub intake_sender: mpsc::Sender<IntakeMessage>,
}

impl CellService {
    fn owner(&self) -> Result<mpsc::Sender<OwnerMessage>, Status> {
        if let OwnerRoute::Local(_, owner) = &*self.route.borrow() {
            return Ok(owner.clone());
        }
        // From the name, the caller recognises another incarnation of the process.
        let details = self.process.as_bytes().to_vec().into();
        Err(Status::with_details(Code::FailedPrecondition, "this process does not own the cell", details))
    }
}

#[tonic::async_trait]
impl Cell for CellService {
    async fn inspect(&self, request: Request<InspectRequest>) -> Result<Response<InspectReply>, Status> {
        let job: JobId = request.into_inner().job.into();
        let deadline = Instant::now() + QUERY_TIMEOUT;
        let answer = query_owner(&self.owner()?, |reply| OwnerMessage::Inspect(job, reply), deadline).await;
        let state = encode_job_state(answer.map_err(Status::unavailable)?)?;
        Ok(Response::new(InspectReply { state: state.into() }))
    }

    async fn count(&self, request: Request<CountRequest>) -> Result<Response<CountReply>, Status> {
        let queue: QueueId = request.into_inner().queue.into();
        let deadline = Instant::now() + QUERY_TIMEOUT;
        let answer = query_owner(&self.owner()?, |reply| OwnerMessage::Count(queue, reply), deadline).await;
        let jobs = answer.map_err(Status::unavailable)?;
        let jobs = jobs.ok_or_else(|| Status::unavailable("owner is recovering"))?;
        Ok(Response::new(CountReply { jobs }))
    }

    async fn relay(&self, request: Request<RelayRequest>) -> Result<Response<RelayReply>, Status> {
        let request = request.into_inner();
        let record = JobRecord::decode(&request.record).map_err(Status::invalid_argument)?;
        let deadline = Instant::now() + Duration::from_millis(request.time_ms);
        let (reply, answer) = oneshot::channel();
        let stopping = || Status::unavailable("the process is stopping");
        self.intake_sender
            .send(IntakeMessage::Relayed(record, deadline, reply))
            .await
            .map_err(|_| stopping())?;
        let outcome = match answer.await.map_err(|_| stopping())? {
            CellReply::Stored => RelayOutcome::Stored,
            CellReply::Refused(CellRefusal::Unavailable(_), _) => RelayOutcome::Refused,
            _ => RelayOutcome::Unsure,
        };
        Ok(Response::new(RelayReply { outcome: outcome.into() }))
    }

    async fn locate(&self, _: Request<LocateRequest>) -> Result<Response<LocateReply>, Status> {
        let reply = match &*self.route.borrow() {
            OwnerRoute::Unknown => LocateReply::default(),
            OwnerRoute::Local(owner, _) | OwnerRoute::Remote(owner, _) => LocateReply {
                token: owner.token,
                process: owner.process.to_string(),
                address: owner.address.to_string(),
            },
        };
        Ok(Response::new(reply))
    }

    type AssistStream = Pin<Box<dyn Stream<Item = Result<AdvisorQuestion, Status>> + Send>>;

    async fn assist(
        &self,
        request: Request<Streaming<AdvisorAnswer>>,
    ) -> Result<Response<Self::AssistStream>, Status> {
        self.owner()?;
        let proxy = getrandom::u64().map_err(|error| Status::internal(error.to_string()))?;
        let (output, permit_requests) = mpsc::channel(ASSIST_CAPACITY);
        let stopping = || Status::unavailable("the process is stopping");
        self.advisor_sender.send(AdvisorMessage::ProxyJoined(proxy, output)).await.map_err(|_| stopping())?;
        let (advisor_sender, claim_sender, mut answers) =
            (self.advisor_sender.clone(), self.claim_sender.clone(), request.into_inner());
        tokio::spawn(async move {
            while let Some(Ok(answer)) = answers.next().await {
                if let Some(millicores) = answer.millicores {
                    notify_claim_task(&claim_sender, ClaimMessage::ProxyJoined(proxy, millicores)).await;
                }
                // The number 0 belongs to no permit request: the message only carries the CPU limit.
                if answer.number == 0 {
                    continue;
                }
                let message = AdvisorMessage::Answered(answer.number, decode_grants(answer));
                if advisor_sender.send(message).await.is_err() {
                    return;
                }
            }
            notify_claim_task(&claim_sender, ClaimMessage::ProxyLeft(proxy)).await;
            if advisor_sender.send(AdvisorMessage::ProxyLeft(proxy)).await.is_err() {
                log::debug!("message dropped: this process is stopping");
            }
        });
        let permit_requests = ReceiverStream::new(permit_requests).map(|(number, step, workers)| {
            let workers = workers.iter().map(ToString::to_string).collect();
            Ok(AdvisorQuestion { number, step: step.to_string(), workers })
        });
        Ok(Response::new(Box::pin(permit_requests)))
    }

    type FollowAdmissionStream = Pin<Box<dyn Stream<Item = Result<AdmissionUpdate, Status>> + Send>>;

    async fn follow_admission(
        &self,
        _: Request<FollowAdmissionRequest>,
    ) -> Result<Response<Self::FollowAdmissionStream>, Status> {
        self.owner()?;
        let (follower, notices) = mpsc::channel(NOTICE_CAPACITY);
        self.admission_sender
            .send(AdmissionMessage::Followed(follower))
            .await
            .map_err(|_| Status::unavailable("the process is stopping"))?;
        let updates = ReceiverStream::new(notices).map(|notice| Ok(encode_notice(notice)));
        Ok(Response::new(Box::pin(updates)))
    }
}

/// Serves the calls of other entry processes until the token is cancelled.
pub async fn serve(
    listener: TcpListener,
    service: CellService,
    access: ClientAccess,
    token: CancellationToken,
) {
    let incoming = LeasedStream::accept(listener, access);
    let server = Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
        .add_service(CellServer::new(service))
        .serve_with_incoming_shutdown(incoming, token.cancelled_owned());
    if let Err(error) = server.await {
        log::error!(error:%; "server for other entry processes has failed");
    }
}

/// A session with the owner in another process: this process is a proxy that passes the owner's permit
/// requests on to the placement advisor and reports whether the owner can be reached.
pub struct AssistSession {
    /// Client of the owner's process.
    pub client: CellClient<Channel>,
    /// The owner at the start of the session.
    pub owner: CellOwner,
    /// The placement advisor; `None` if the platform has none.
    pub advisor: Option<AdvisorClient>,
    /// Sends messages to the task that follows the ownership of the cell.
    pub claim_sender: mpsc::Sender<ClaimMessage>,
    /// CPU limit of this process, sent to the owner for handover decisions.
    pub cpu_limit: Millicores,
}

impl AssistSession {
    /// Runs until the token is cancelled.
    pub async fn run(self, token: CancellationToken) {
        loop {
            let ended = tokio::select! {
                () = token.cancelled() => return,
                ended = self.answer_permit_requests() => ended,
            };
            let liveness = match &ended {
                Err(status) if self.is_replaced(status) => OwnerLiveness::Replaced,
                _ => OwnerLiveness::Unreachable,
            };
            if let Err(status) = ended {
                log::info!(owner = &*self.owner.process, reason = &*describe(&status); "stream to the owner is broken");
            }
            self.report_liveness(liveness).await;
            tokio::time::sleep(ASSIST_RETRY_DELAY).await;
        }
    }

    /// Returns whether the answer comes from another incarnation of the owner's process.
    fn is_replaced(&self, status: &Status) -> bool {
        status.code() == Code::FailedPrecondition && status.details() != self.owner.process.as_bytes()
    }

    async fn report_liveness(&self, liveness: OwnerLiveness) {
        notify_claim_task(&self.claim_sender, ClaimMessage::LivenessReported(self.owner.token, liveness))
            .await;
    }

    async fn answer_permit_requests(&self) -> Result<(), Status> {
        let (answers, stream) = mpsc::channel(ASSIST_CAPACITY);
        // The first message answers no permit request and only carries the CPU limit.
        let first =
            AdvisorAnswer { number: 0, failed: false, granted: Vec::new(), millicores: Some(self.cpu_limit) };
        answers.send(first).await.map_err(|_| Status::internal("stream is closed"))?;
        let mut client = self.client.clone();
        let mut permit_requests = client.assist(ReceiverStream::new(stream)).await?.into_inner();
        self.report_liveness(OwnerLiveness::Reachable).await;
        while let Some(permit_request) = permit_requests.message().await? {
            let workers = permit_request.workers.iter().map(|worker| worker.as_str().into()).collect();
            let result = match (StepKey::parse(&permit_request.step), &self.advisor) {
                (Some(step), Some(advisor)) => advisor(step, workers).await,
                (Some(_), None) => Err("this process has no advisor".to_owned()),
                (None, _) => Err(format!("{:?} is not a step key", permit_request.step)),
            };
            let answer = encode_grants(permit_request.number, result);
            answers.send(answer).await.map_err(|_| Status::unavailable("stream is closed"))?;
        }
        Ok(())
    }
}

async fn notify_claim_task(claim_sender: &mpsc::Sender<ClaimMessage>, message: ClaimMessage) {
    if claim_sender.send(message).await.is_err() {
        log::debug!("message dropped: this process is stopping");
    }
}

fn encode_grants(number: u64, result: Result<Vec<(WorkerId, PermitTicket)>, String>) -> AdvisorAnswer {
    match result {
        Ok(granted) => {
            let grant = |(worker, ticket): (WorkerId, PermitTicket)| AdvisorGrant {
                worker: worker.to_string(),
                ticket: ticket.to_string(),
            };
            AdvisorAnswer {
                number,
                failed: false,
                granted: granted.into_iter().map(grant).collect(),
                millicores: None,
            }
        }
        Err(reason) => {
            log::info!(question = number, reason = &*reason; "advisor question failed");
            AdvisorAnswer { number, failed: true, granted: Vec::new(), millicores: None }
        }
    }
}

fn decode_grants(answer: AdvisorAnswer) -> Result<Vec<(WorkerId, PermitTicket)>, String> {
    if answer.failed {
        return Err("proxy got no permits from the advisor".to_owned());
    }
    Ok(answer.granted.into_iter().map(|grant| (grant.worker.into(), grant.ticket.into())).collect())
}

fn encode_job_state(answer: JobAnswer) -> Result<JobState, Status> {
    match answer {
        JobAnswer::Known(JobStatus::Queued) => Ok(JobState::Queued),
        JobAnswer::Known(JobStatus::Running) => Ok(JobState::Running),
        JobAnswer::Known(JobStatus::Completed) => Ok(JobState::Completed),
        JobAnswer::Known(JobStatus::Failed) => Ok(JobState::Failed),
        JobAnswer::Known(JobStatus::Cancelled) => Ok(JobState::Cancelled),
        JobAnswer::Missing => Ok(JobState::Missing),
        JobAnswer::SubmissionsStale => Err(Status::unavailable("owner is recovering")),
    }
}

const fn decode_job_state(state: JobState) -> JobAnswer {
    match state {
        JobState::Queued => JobAnswer::Known(JobStatus::Queued),
        JobState::Running => JobAnswer::Known(JobStatus::Running),
        JobState::Completed => JobAnswer::Known(JobStatus::Completed),
        JobState::Failed => JobAnswer::Known(JobStatus::Failed),
        JobState::Cancelled => JobAnswer::Known(JobStatus::Cancelled),
        JobState::Missing => JobAnswer::Missing,
        JobState::Unspecified => JobAnswer::SubmissionsStale,
    }
}
