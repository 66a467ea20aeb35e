use std::pin::Pin;

use futures_util::Stream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Request, Response, Status, Streaming};

use super::advisor_codec::decode_grants;
use super::claim_notice::notify_claim_task;
use super::job_state_codec::encode_job_state;
use super::owner_query::{QUERY_TIMEOUT, query_owner};
use super::{ASSIST_CAPACITY, OwnerRoute};
use crate::prelude::*;
use crate::proto::cell::cell_server::Cell;
use crate::proto::cell::{
    AdmissionUpdate, AdvisorAnswer, AdvisorQuestion, CountReply, CountRequest, FollowAdmissionRequest,
    InspectReply, InspectRequest, LocateReply, LocateRequest, RelayOutcome, RelayReply, RelayRequest,
};
use crate::tasks::cell::admission::{AdmissionMessage, NOTICE_CAPACITY, encode_notice};
use crate::tasks::cell::advisor::AdvisorMessage;
use crate::tasks::cell::claim::ClaimMessage;
use crate::tasks::cell::intake::{CellRefusal, CellReply, IntakeMessage, JobRecord};
use crate::tasks::cell::owner::OwnerMessage;

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
