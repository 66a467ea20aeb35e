//! Endpoints with slots, and answers that can be late, crossed or lost.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use rustc_hash::FxHashMap;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::server;

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointFaults {
    /// Time of an answer.
    pub work_time: Duration,
    /// Slots; further requests are refused as not started.
    pub slots: u32,
    /// Requests run but are never answered.
    pub silent: bool,
    /// Answers carry another request's id.
    pub crossed: bool,
    /// Requests are answered with status 500 at once.
    pub failing: bool,
}

impl Default for EndpointFaults {
    fn default() -> Self {
        Self { work_time: Duration::from_millis(5), slots: 8, silent: false, crossed: false, failing: false }
    }
}

enum EndpointMessage {
    Begin(String, oneshot::Sender<Option<EndpointFaults>>),
    End,
    Change(EndpointFaults),
    Busy(oneshot::Sender<u32>),
    Runs(oneshot::Sender<FxHashMap<String, u32>>),
}

/// A running endpoint.
#[derive(Clone)]
pub struct EndpointStandin {
    /// Its address.
    pub address: SocketAddr,
    inbox: mpsc::Sender<EndpointMessage>,
}

impl EndpointStandin {
    /// Starts an endpoint on the address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn start(address: &str, token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind(address).await?;
        let (inbox, messages) = mpsc::channel(1_024);
        actix_rt::spawn(keep_endpoint(messages, token.clone()));
        let sender = inbox.clone();
        actix_rt::spawn(server::serve(listener, token, move |request| answer(sender.clone(), request)));
        Ok(Self { address, inbox })
    }

    /// Changes how the endpoint behaves.
    pub async fn set_faults(&self, faults: EndpointFaults) {
        let _ = self.inbox.send(EndpointMessage::Change(faults)).await;
    }

    /// Returns how often each request id ran.
    pub async fn runs(&self) -> FxHashMap<String, u32> {
        let (reply, runs) = oneshot::channel();
        let _ = self.inbox.send(EndpointMessage::Runs(reply)).await;
        runs.await.unwrap_or_default()
    }
}

async fn keep_endpoint(mut messages: mpsc::Receiver<EndpointMessage>, token: CancellationToken) {
    let mut faults = EndpointFaults::default();
    let mut busy = 0;
    let mut runs: FxHashMap<String, u32> = FxHashMap::default();
    loop {
        let message = tokio::select! {
            () = token.cancelled() => return,
            Some(message) = messages.recv() => message,
        };
        match message {
            EndpointMessage::Begin(_, reply) if busy >= faults.slots => {
                let _ = reply.send(None);
            }
            EndpointMessage::Begin(id, reply) => {
                busy += 1;
                *runs.entry(id).or_default() += 1;
                let _ = reply.send(Some(faults));
            }
            EndpointMessage::End => busy -= 1,
            EndpointMessage::Change(changed) => faults = changed,
            EndpointMessage::Busy(reply) => {
                let _ = reply.send(busy);
            }
            EndpointMessage::Runs(reply) => {
                let _ = reply.send(runs.clone());
            }
        }
    }
}

async fn answer(inbox: mpsc::Sender<EndpointMessage>, mut request: Request) -> Response<Bytes> {
    if request.path() == "/healthz" {
        let (reply, busy) = oneshot::channel();
        let _ = inbox.send(EndpointMessage::Busy(reply)).await;
        return server::json(StatusCode::OK, &json!({ "busy": busy.await.unwrap_or(0), "leaving": false }));
    }
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let body = server::read_body(&mut request).await.unwrap_or_default();
    let (reply, begun) = oneshot::channel();
    let _ = inbox.send(EndpointMessage::Begin(id.clone(), reply)).await;
    let Ok(Some(faults)) = begun.await else {
        let response =
            Response::build(StatusCode::SERVICE_UNAVAILABLE).insert_header(("x-not-started", "1")).finish();
        return response.set_body(Bytes::new());
    };
    // Runs apart, so that a caller that goes away does not free the slot early.
    let worked = actix_rt::spawn(async move {
        tokio::time::sleep(if faults.failing { Duration::ZERO } else { faults.work_time }).await;
        let _ = inbox.send(EndpointMessage::End).await;
    });
    let _ = worked.await;
    if faults.silent {
        std::future::pending::<()>().await;
    }
    let named = if faults.crossed { format!("{id}-other") } else { id.clone() };
    let status = if faults.failing { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    let text = format!("answer to {id}: {}", String::from_utf8_lossy(&body));
    Response::build(status).insert_header(("x-request-id", named)).finish().set_body(Bytes::from(text))
}
