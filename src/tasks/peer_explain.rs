//! Asks another entry process, the owner of a job's shard, why the tasks of the job run or wait where they
//! do.

use tokio::sync::{mpsc, oneshot};
use tonic::transport::Channel;
use tonic::{Response, Status};

use crate::prelude::*;
use crate::proto::peer::peer_client::PeerClient;
use crate::proto::peer::{ExplainReply, ExplainRequest};
use crate::tasks::scheduler::SchedulerMessage;

/// Maximum wait for the owner's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// An operator's request to explain a job, for the owner of its shard.
pub struct ForwardedExplain {
    /// Process that owns the shard of the job.
    pub owner: ProcessId,
    /// Job to explain.
    pub job: JobId,
    /// Gets the explanation as JSON; dropped without a reply if the owner does not answer.
    pub reply: oneshot::Sender<String>,
}

/// Asks the owner and passes its answer on; without a client the request is dropped.
pub fn forward(client: Option<PeerClient<Channel>>, explain: ForwardedExplain) {
    let Some(mut client) = client else { return };
    actix_rt::spawn(async move {
        let request = ExplainRequest { job: explain.job.to_string() };
        if let Ok(Ok(reply)) = tokio::time::timeout(ANSWER_TIMEOUT, client.explain(request)).await {
            // The operator may have disconnected.
            let _ = explain.reply.send(reply.into_inner().explanation);
        }
    });
}

/// Answers the request of another entry process from the schedulers of this one.
///
/// # Errors
///
/// Returns a status if the process is stopping or the explanation cannot be encoded.
pub async fn answer(
    scheduler: &mpsc::Sender<SchedulerMessage>,
    request: ExplainRequest,
) -> Result<Response<ExplainReply>, Status> {
    let (reply, explanation) = oneshot::channel();
    let _ = scheduler.send(SchedulerMessage::Explain(request.job.into(), reply)).await;
    let explanation = explanation.await.map_err(|_| Status::unavailable("the process is stopping"))?;
    let explanation =
        serde_json::to_string(&explanation).map_err(|error| Status::internal(error.to_string()))?;
    Ok(Response::new(ExplainReply { explanation }))
}
