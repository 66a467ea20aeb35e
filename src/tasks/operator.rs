//! The operators' HTTP interface.

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use prometheus::TextEncoder;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::journal::JournalMessage;
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::router::RouterMessage;
use crate::tasks::scheduler::SchedulerMessage;

/// What the operators' interface reads from.
#[derive(Clone)]
pub struct OperatorService {
    /// This process.
    pub process: ProcessId,
    /// Metrics of the process.
    pub metrics: EntryMetrics,
    /// The journal task.
    pub journal: mpsc::Sender<JournalMessage>,
    /// The scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
    /// The router task.
    pub router: mpsc::Sender<RouterMessage>,
    /// Cancelled as soon as the process stops taking requests.
    pub stopping: CancellationToken,
}

impl OperatorService {
    /// Serves until the token is cancelled.
    pub async fn serve(self, listener: TcpListener, token: CancellationToken) {
        http::serve(listener, token, move |request| self.clone().answer(request)).await;
    }

    async fn answer(self, request: Request) -> Response<Bytes> {
        match request.path() {
            "/healthz" => text(StatusCode::OK, "ok\n".into()),
            "/readyz" => self.ready().await,
            "/metrics" => self.metrics(),
            "/v1/status" => self.status().await,
            _ => text(StatusCode::NOT_FOUND, "no such page\n".into()),
        }
    }

    async fn ready(&self) -> Response<Bytes> {
        if self.stopping.is_cancelled() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n".into());
        }
        match self.bundle_version().await {
            Some(_) => text(StatusCode::OK, "ready\n".into()),
            None => text(StatusCode::SERVICE_UNAVAILABLE, "no configuration\n".into()),
        }
    }

    async fn status(&self) -> Response<Bytes> {
        let version = self.bundle_version().await;
        let body = serde_json::json!({ "process": &*self.process, "bundle_version": version });
        text(StatusCode::OK, format!("{body}\n"))
    }

    async fn bundle_version(&self) -> Option<BundleVersion> {
        let (sender, version) = oneshot::channel();
        let query = JournalMessage::Query(Box::new(move |ledger| {
            let _ = sender.send(ledger.bundle.as_ref().map(|bundle| bundle.version));
        }));
        let _ = self.journal.send(query).await;
        version.await.ok().flatten()
    }

    fn metrics(&self) -> Response<Bytes> {
        match TextEncoder::new().encode_to_string(&self.metrics.registry.gather()) {
            Ok(body) => text(StatusCode::OK, body),
            Err(fault) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{fault}\n")),
        }
    }
}

fn text(status: StatusCode, body: String) -> Response<Bytes> {
    Response::with_body(status, Bytes::from(body))
}
