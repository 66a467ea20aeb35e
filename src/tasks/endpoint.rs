//! Owns the connections to one endpoint.

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::prelude::*;
use crate::tasks::adapter::EndpointClient;
use crate::tasks::router::RouterMessage;

/// A request to send to the endpoint.
pub struct EndpointMessage {
    /// The service partition whose router sent it.
    pub shard: ShardId,
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// The request.
    pub request: RequestId,
    /// Its body.
    pub body: Bytes,
    /// Longest time to the answer.
    pub timeout: Duration,
}

/// State of the task of one endpoint.
pub struct EndpointTask {
    /// Sends requests over the endpoint's connections.
    pub client: EndpointClient,
    /// Where results go.
    pub router: mpsc::Sender<RouterMessage>,
}

impl EndpointTask {
    /// Runs until the token is cancelled or the router drops its sender.
    pub async fn run(self, mut inbox: mpsc::Receiver<EndpointMessage>, token: CancellationToken) {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                received = inbox.recv() => match received {
                    Some(message) => self.send(message),
                    None => return,
                },
            }
        }
    }

    fn send(&self, message: EndpointMessage) {
        let call = (self.client)(message.request, message.body, message.timeout);
        let router = self.router.clone();
        actix_rt::spawn(async move {
            let result = call.await;
            let _ = router.send(RouterMessage::Attempted(message.shard, message.attempt, result)).await;
        });
    }
}
