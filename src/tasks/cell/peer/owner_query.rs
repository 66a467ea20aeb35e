use tokio::sync::{mpsc, oneshot};
use tonic::{Response, Status};

use super::call_fault::describe;
use crate::prelude::*;
use crate::tasks::cell::owner::OwnerMessage;

/// Delay before a failed query to the owner is retried.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Longest wait for the answer to one attempt of a query.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(800);

pub(super) async fn query_owner<T>(
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

pub(super) async fn call_with_retry<T, F>(mut call: impl FnMut() -> F, deadline: Instant) -> Result<T, String>
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
