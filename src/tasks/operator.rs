//! The operators' HTTP interface. It is read-only; operators make changes by publishing a bundle.

use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use prometheus::TextEncoder;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::kernel::connections::ConnectionClass;
use crate::plugins::http::{BufferedRequest, HttpServer, refuse_without_body};
use crate::prelude::*;
use crate::tasks::client_access::ClientAccess;
use crate::tasks::metrics::EntryMetrics;
use crate::tasks::operator_view::OperatorView;

/// Handler of the operators' HTTP interface.
#[derive(Clone)]
pub struct OperatorService {
    /// Id of this process.
    pub process: ProcessId,
    /// Metrics of the process.
    pub metrics: EntryMetrics,
    /// Queries to the other tasks.
    pub view: OperatorView,
    /// Cancelled as soon as the process stops taking requests.
    pub stopping: CancellationToken,
}

impl OperatorService {
    /// Serves HTTP connections until the token is cancelled.
    pub async fn serve(self, listener: TcpListener, access: ClientAccess, token: CancellationToken) {
        let class = ConnectionClass::Operator;
        let server = HttpServer { listener, class, access, refuse: refuse_without_body, token };
        server.serve(move |request| self.clone().answer(request)).await;
    }

    async fn answer(self, request: BufferedRequest) -> Response<Bytes> {
        if *request.method() != Method::GET {
            return error_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "the operators' interface only reads: use GET",
            );
        }
        let path = request.path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match parts.as_slice() {
            ["healthz"] => text_response(StatusCode::OK, "ok\n".into()),
            ["readyz"] => self.readiness().await,
            ["metrics"] => self.metrics().await,
            ["v1", "status"] => json_page(self.status().await),
            ["v1", "bundle"] => json_page(self.view.bundle().await),
            ["v1", "fleet"] => json_page(self.view.fleet().await),
            ["v1", "teams"] => json_page(self.view.teams().await),
            ["v1", "zones"] => json_page(self.view.zones().await),
            ["v1", "endpoints"] => json_page(self.view.endpoints().await),
            ["v1", "explain", "job", team, name] => {
                json_page(self.view.explain_job(format!("{team}/{name}").into()).await)
            }
            ["v1", "explain", "request", team, id] => {
                json_page(self.view.explain_request(format!("{team}/{id}").into()).await)
            }
            _ => error_response(StatusCode::NOT_FOUND, &format!("no such page: {path}")),
        }
    }

    /// Answers whether a load balancer should send callers to this process. Unlike `/healthz`, `/readyz`
    /// fails while the process cannot admit requests.
    async fn readiness(&self) -> Response<Bytes> {
        match self.unready_reason().await {
            None => text_response(StatusCode::OK, "ready\n".into()),
            Some(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        }
    }

    /// Returns why the process cannot admit requests; `None` if it can.
    async fn unready_reason(&self) -> Option<String> {
        if self.stopping.is_cancelled() {
            return Some("stopping".to_owned());
        }
        // A process whose only bundle comes from a peer cannot accept jobs before it has applied the log.
        let has_bundle = self.view.ledger(|ledger| ledger.bundle.is_some()).await;
        if has_bundle != Some(true) {
            return Some("no configuration".to_owned());
        }
        self.view.unready_reason().await.unwrap_or_else(|| Some("stopping".to_owned()))
    }

    async fn status(&self) -> Option<Value> {
        let unready_reason = self.unready_reason().await;
        let in_force = self.view.bundle_in_force().await?;
        let (version, since) = in_force.unzip();
        let process = self.process.clone();
        let status = move |ledger: &crate::kernel::LedgerState| {
            let owned_shards = ledger.claims.values().filter(|claim| claim.process == process).count();
            let open_jobs = ledger.jobs.values().filter(|job| job.outcome.is_none()).count();
            json!({
                "process": &*process,
                "ready": unready_reason.is_none(),
                "obstacle": unready_reason,
                "bundle_version": version,
                "bundle_age_s": since.map(|since: Instant| since.elapsed().as_secs()),
                "log_next": ledger.next,
                "shards_owned": owned_shards,
                "shards_claimed": ledger.claims.len(),
                "open_jobs": open_jobs,
            })
        };
        self.view.ledger(status).await
    }

    async fn metrics(&self) -> Response<Bytes> {
        let waiting = self.view.waiting_tasks().await.unwrap_or_default();
        self.metrics.set_state(self.unready_reason().await.is_none(), &waiting);
        match TextEncoder::new().encode_to_string(&self.metrics.registry.gather()) {
            Ok(body) => text_response(StatusCode::OK, body),
            Err(fault) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &fault.to_string()),
        }
    }
}

/// Returns a JSON page: 404 for null, 503 if the tasks have ended.
fn json_page(value: Option<Value>) -> Response<Bytes> {
    match value {
        Some(Value::Null) => error_response(StatusCode::NOT_FOUND, "not known to this process"),
        Some(value) => json_response(StatusCode::OK, &value),
        None => error_response(StatusCode::SERVICE_UNAVAILABLE, "the process is stopping"),
    }
}

fn error_response(status: StatusCode, message: &str) -> Response<Bytes> {
    json_response(status, &json!({ "error": message }))
}

fn json_response(status: StatusCode, value: &Value) -> Response<Bytes> {
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .finish()
        .set_body(Bytes::from(format!("{value}\n")))
}

fn text_response(status: StatusCode, body: String) -> Response<Bytes> {
    Response::build(status)
        .insert_header(("content-type", "text/plain; charset=utf-8"))
        .finish()
        .set_body(Bytes::from(body))
}
