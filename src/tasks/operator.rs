//! The operators' HTTP interface. It only reads; every change goes through a bundle.

use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use prometheus::TextEncoder;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::operator_view::OperatorView;

/// What the operators' interface reads from.
#[derive(Clone)]
pub struct OperatorService {
    /// This process.
    pub process: ProcessId,
    /// Metrics of the process.
    pub metrics: EntryMetrics,
    /// What the other tasks know.
    pub view: OperatorView,
    /// Cancelled as soon as the process stops taking requests.
    pub stopping: CancellationToken,
}

impl OperatorService {
    /// Serves until the token is cancelled.
    pub async fn serve(self, listener: TcpListener, token: CancellationToken) {
        http::serve(listener, token, move |request| self.clone().answer(request)).await;
    }

    async fn answer(self, request: Request) -> Response<Bytes> {
        if *request.method() != Method::GET {
            return error(StatusCode::METHOD_NOT_ALLOWED, "the operators' interface only reads: use GET");
        }
        let path = request.path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match parts.as_slice() {
            ["healthz"] => text(StatusCode::OK, "ok\n".into()),
            ["readyz"] => self.ready().await,
            ["metrics"] => self.metrics().await,
            ["v1", "status"] => page(self.status().await),
            ["v1", "bundle"] => page(self.view.bundle().await),
            ["v1", "fleet"] => page(self.view.fleet().await),
            ["v1", "teams"] => page(self.view.teams().await),
            ["v1", "zones"] => page(self.view.zones().await),
            ["v1", "endpoints"] => page(self.view.endpoints().await),
            ["v1", "explain", "job", team, name] => {
                page(self.view.explain_job(format!("{team}/{name}").into()).await)
            }
            ["v1", "explain", "request", team, id] => {
                page(self.view.explain_request(format!("{team}/{id}").into()).await)
            }
            _ => error(StatusCode::NOT_FOUND, &format!("no such page: {path}")),
        }
    }

    /// Says whether callers should be sent here: unlike `/healthz` it fails while the process cannot admit.
    async fn ready(&self) -> Response<Bytes> {
        match self.obstacle().await {
            None => text(StatusCode::OK, "ready\n".into()),
            Some(obstacle) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{obstacle}\n")),
        }
    }

    /// Returns why the process takes no requests.
    async fn obstacle(&self) -> Option<String> {
        if self.stopping.is_cancelled() {
            return Some("stopping".to_owned());
        }
        // A process that has only the bundle of its peers cannot accept jobs until it has folded the log.
        let applied = self.view.ledger(|ledger| ledger.bundle.is_some()).await;
        if applied != Some(true) {
            return Some("no configuration".to_owned());
        }
        self.view.obstacle().await.unwrap_or_else(|| Some("stopping".to_owned()))
    }

    async fn status(&self) -> Option<Value> {
        let obstacle = self.obstacle().await;
        let in_force = self.view.in_force().await?;
        let (version, since) = in_force.unzip();
        let process = self.process.clone();
        let status = move |ledger: &crate::kernel::LedgerState| {
            let owned = ledger.claims.values().filter(|claim| claim.process == process).count();
            let open = ledger.jobs.values().filter(|job| job.outcome.is_none()).count();
            json!({
                "process": &*process,
                "ready": obstacle.is_none(),
                "obstacle": obstacle,
                "bundle_version": version,
                "bundle_age_s": since.map(|since: Instant| since.elapsed().as_secs()),
                "log_next": ledger.next,
                "shards_owned": owned,
                "shards_claimed": ledger.claims.len(),
                "open_jobs": open,
            })
        };
        self.view.ledger(status).await
    }

    async fn metrics(&self) -> Response<Bytes> {
        let waits = self.view.waits().await.unwrap_or_default();
        self.metrics.set_state(self.obstacle().await.is_none(), &waits);
        match TextEncoder::new().encode_to_string(&self.metrics.registry.gather()) {
            Ok(body) => text(StatusCode::OK, body),
            Err(fault) => error(StatusCode::INTERNAL_SERVER_ERROR, &fault.to_string()),
        }
    }
}

fn page(value: Option<Value>) -> Response<Bytes> {
    match value {
        Some(Value::Null) => error(StatusCode::NOT_FOUND, "not known to this process"),
        Some(value) => json_body(StatusCode::OK, &value),
        None => error(StatusCode::SERVICE_UNAVAILABLE, "the process is stopping"),
    }
}

fn error(status: StatusCode, message: &str) -> Response<Bytes> {
    json_body(status, &json!({ "error": message }))
}

fn json_body(status: StatusCode, value: &Value) -> Response<Bytes> {
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .finish()
        .set_body(Bytes::from(format!("{value}\n")))
}

fn text(status: StatusCode, body: String) -> Response<Bytes> {
    Response::build(status)
        .insert_header(("content-type", "text/plain; charset=utf-8"))
        .finish()
        .set_body(Bytes::from(body))
}
