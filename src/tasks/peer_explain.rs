//! Asks the owner of a shard why a job is where it is.

use tokio::sync::{mpsc, oneshot};
use tonic::transport::Channel;
use tonic::{Response, Status};

use crate::prelude::*;
use crate::proto::peer::peer_client::PeerClient;
use crate::proto::peer::{ExplainReply, ExplainRequest};
use crate::tasks::scheduler::SchedulerMessage;

/// Longest wait for the owner.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A question of an operator about a job, for the owner of its shard.
pub struct ForwardedExplain {
    /// The owner.
    pub owner: ProcessId,
    /// The job.
    pub job: JobId,
    /// Where the explanation goes, as JSON; dropped if the owner does not answer.
    pub reply: oneshot::Sender<String>,
}

/// Asks the owner and hands its answer on; without a client the question is dropped.
pub fn forward(client: Option<PeerClient<Channel>>, explain: ForwardedExplain) {
    let Some(mut client) = client else { return };
    actix_rt::spawn(async move {
        let request = ExplainRequest { job: explain.job.to_string() };
        if let Ok(Ok(reply)) = tokio::time::timeout(TIMEOUT, client.explain(request)).await {
            // The operator may have gone away.
            let _ = explain.reply.send(reply.into_inner().explanation);
        }
    });
}

/// Answers a question of another entry process.
///
/// # Errors
///
/// Returns a status if the process is stopping.
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
