use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::transport::Channel;
use tonic::{Code, Status};

use super::ASSIST_CAPACITY;
use super::advisor_codec::encode_grants;
use super::call_fault::describe;
use super::claim_notice::notify_claim_task;
use crate::kernel::cell::{CellOwner, Millicores, StepKey};
use crate::prelude::*;
use crate::proto::cell::AdvisorAnswer;
use crate::proto::cell::cell_client::CellClient;
use crate::tasks::cell::claim::{ClaimMessage, OwnerLiveness};
use crate::tasks::cell::ports::AdvisorClient;

/// Delay before a broken stream to the owner is opened again.
const ASSIST_RETRY_DELAY: Duration = Duration::from_millis(300);

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
