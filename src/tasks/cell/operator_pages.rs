//! Operators' interface of an entry process that serves a cell: metrics and forecasts.

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::StepSpec;
use crate::kernel::connections::ConnectionClass;
use crate::plugins::http::{BufferedRequest, HttpServer, refuse_without_body};
use crate::prelude::*;
use crate::tasks::cell::intake::{CallAction, CellCall, IntakeMessage, JobSubmission};
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::client_access::ClientAccess;

/// Path at which a job is described and its forecast is returned.
pub const FORECAST_PATH: &str = "/v1/forecast";

/// The pages of the operators' interface.
#[derive(Clone)]
pub struct OperatorPages {
    /// Metrics of the process.
    pub metrics: CellMetrics,
    /// Sends messages to the task that admits calls, which knows the configuration and the owner.
    pub intake_sender: mpsc::Sender<IntakeMessage>,
    /// Parses a job in the form in which callers submit it.
    pub parse_job: fn(&[u8]) -> Result<JobSubmission, String>,
}

/// A job whose forecast is asked for: either `job`, as callers would submit it, or `tasks`.
#[derive(Deserialize)]
struct ForecastQuestion {
    host: Arc<str>,
    path: Arc<str>,
    key: Option<Arc<str>>,
    job: Option<String>,
    tasks: Option<TaskGroup>,
}

/// A job of one step without dependencies.
#[derive(Deserialize)]
struct TaskGroup {
    count: u32,
    need: ResourceVector,
    #[serde(default)]
    run_ms: u64,
}

impl OperatorPages {
    /// Serves the pages until the token is cancelled.
    pub async fn serve(self, listener: TcpListener, access: ClientAccess, token: CancellationToken) {
        let class = ConnectionClass::Operator;
        let server = HttpServer { listener, class, access, refuse: refuse_without_body, token };
        let handler = move |request: BufferedRequest| {
            let pages = self.clone();
            async move { pages.answer(request).await }
        };
        server.serve(handler).await;
    }

    async fn answer(&self, request: BufferedRequest) -> Response<Bytes> {
        if request.path() != FORECAST_PATH {
            return self.metrics.respond(request.path());
        }
        if *request.method() != Method::POST {
            return json_response(StatusCode::METHOD_NOT_ALLOWED, &json!({ "error": "not a POST" }));
        }
        match self.forecast(&request.body).await {
            Ok(forecast) => json_response(StatusCode::OK, &forecast),
            // The error names neither the key nor the job, as both are the caller's.
            Err((status, reason)) => json_response(status, &json!({ "error": reason })),
        }
    }

    async fn forecast(&self, body: &[u8]) -> Result<Value, (StatusCode, String)> {
        let malformed = |reason: String| (StatusCode::BAD_REQUEST, reason);
        let question: ForecastQuestion = serde_json::from_slice(body)
            .map_err(|error| malformed(format!("malformed question: {error}")))?;
        let submission = match (question.job, question.tasks) {
            (Some(job), _) => (self.parse_job)(job.as_bytes())
                .map_err(|fault| malformed(format!("malformed job: {fault}")))?,
            (None, Some(tasks)) => tasks.into(),
            (None, None) => return Err(malformed("neither a job nor tasks are given".to_owned())),
        };
        let call = CellCall {
            host: question.host,
            path: question.path,
            key: question.key,
            deadline: None,
            action: CallAction::Submit(Ok(submission)),
        };
        let (reply, answer) = oneshot::channel();
        let stopping = || (StatusCode::SERVICE_UNAVAILABLE, "process is stopping".to_owned());
        self.intake_sender.send(IntakeMessage::Forecast(call, reply)).await.map_err(|_| stopping())?;
        let forecast = answer.await.map_err(|_| stopping())?;
        let forecast = forecast.map_err(|reason| (StatusCode::CONFLICT, reason))?;
        serde_json::to_value(forecast).map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
    }
}

impl From<TaskGroup> for JobSubmission {
    fn from(group: TaskGroup) -> Self {
        let step = StepSpec {
            tasks: group.count,
            need: group.need,
            estimate: Duration::from_millis(group.run_ms),
            ..StepSpec::default()
        };
        Self { payload: "".into(), steps: vec![step], schedule: None }
    }
}

fn json_response(status: StatusCode, page: &Value) -> Response<Bytes> {
    let mut response = Response::with_body(status, Bytes::from(page.to_string()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
