//! Front end for callers over HTTP/1.1: submits, inspects and cancels jobs, and calls services.

use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::sync::{mpsc, oneshot};

use crate::kernel::connections::{ConnectionClass, RequestFault};
use crate::kernel::{
    ExecutionStatus, FrontReply, FrontRequest, JobKind, JobOutcome, PriorityClass, RefusalReason,
    RequestRefusal,
};
use crate::plugins::http::{BufferedRequest, HttpServer, fault_status};
use crate::prelude::*;
use crate::tasks::adapter::{AdapterEntry, FrontContext, FrontEnd};
use crate::tasks::admission::AdmissionMessage;

inventory::submit!(AdapterEntry::Front(FrontEnd { name: "front_http", serve }));

/// Time after which a request that found no room may be repeated.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum time that a request waits for the outcome of a job; longer waits are shortened to it.
const MAX_OUTCOME_WAIT: Duration = Duration::from_secs(60);

/// Body of `POST /v1/jobs`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody {
    name: String,
    team: TeamId,
    queue: QueueId,
    kind: JobKind,
    #[serde(default)]
    priority: PriorityClass,
    #[serde(default = "default_tasks")]
    tasks: u32,
    need: ResourceVector,
    #[serde(default)]
    run_ms: Option<u64>,
    #[serde(default)]
    retries: u32,
}

const fn default_tasks() -> u32 {
    1
}

/// Response to a job that was accepted; `repeated` if the same job was accepted before.
#[derive(Serialize)]
struct AcceptedBody<'a> {
    job: &'a str,
    repeated: bool,
}

/// Response to `GET` and `DELETE` of a job.
#[derive(Serialize)]
struct StateBody<'a> {
    job: &'a str,
    shard: &'a str,
    cancelled: bool,
    outcome: Option<&'a JobOutcome>,
}

/// Response to every refused request.
#[derive(Serialize)]
struct RefusalBody<'a> {
    code: RefusalReason,
    message: &'a str,
    run: ExecutionStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

fn serve(context: FrontContext) -> LocalBoxFuture<'static, ()> {
    let admission = context.admission;
    let server = HttpServer {
        listener: context.listener,
        class: ConnectionClass::Caller,
        access: context.access,
        refuse,
        token: context.stopping,
    };
    server.serve(move |request| handle(admission.clone(), request)).boxed_local()
}

async fn handle(admission: mpsc::Sender<AdmissionMessage>, request: BufferedRequest) -> Response<Bytes> {
    let request = match decode(&request) {
        Ok(request) => request,
        Err(refusal) => return encode(FrontReply::Refused(refusal)),
    };
    let (sender, reply) = oneshot::channel();
    let _ = admission.send(AdmissionMessage::Request(request, sender)).await;
    let reply = reply.await.unwrap_or_else(|_| {
        // The admission task drops a request without a reply only when it ends.
        FrontReply::Refused(RequestRefusal::may_have_run(RefusalReason::Stopping, "the process is stopping"))
    });
    encode(reply)
}

/// Returns the refusal of a request that was not read to its end.
fn refuse(fault: RequestFault) -> Response<Bytes> {
    let refusal = match fault {
        RequestFault::Malformed => bad_request("the request is malformed"),
        RequestFault::HeadTooLarge => too_large("the request line and headers are longer than the limit"),
        RequestFault::BodyTooLarge => too_large("the body is longer than the limit"),
        RequestFault::HeadTimeout | RequestFault::BodyTimeout => {
            RequestRefusal::not_run(RefusalReason::Timeout, "the request was not complete in time")
        }
        RequestFault::Overloaded => {
            let text = "the process has no room for the request";
            let mut refusal = RequestRefusal::not_run(RefusalReason::QueueFull, text);
            refusal.retry_after = Some(OVERLOAD_RETRY_AFTER);
            refusal
        }
    };
    let mut response = refusal_response(&refusal);
    if fault != RequestFault::Overloaded {
        *response.status_mut() = fault_status(fault);
    }
    response
}

fn too_large(text: &str) -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::TooLarge, text)
}

fn decode(request: &BufferedRequest) -> Result<FrontRequest, RequestRefusal> {
    let path = request.path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method().clone(), parts.as_slice()) {
        (Method::POST, ["v1", "jobs"]) => decode_submit(request),
        (Method::GET, ["v1", "jobs", team, name]) => {
            let wait = query_ms(request, "wait_ms")?;
            let job = format!("{team}/{name}").into();
            Ok(FrontRequest::Inspect { key: team_key_digest(request), job, wait: wait.min(MAX_OUTCOME_WAIT) })
        }
        (Method::DELETE, ["v1", "jobs", team, name]) => {
            Ok(FrontRequest::Cancel { key: team_key_digest(request), job: format!("{team}/{name}").into() })
        }
        (Method::POST, ["v1", "services", service, "requests"]) => decode_call(request, (*service).into()),
        (method, _) => {
            let text = format!("no such resource: {method} {path}");
            Err(RequestRefusal::not_run(RefusalReason::NotFound, text))
        }
    }
}

fn decode_submit(request: &BufferedRequest) -> Result<FrontRequest, RequestRefusal> {
    let key = team_key_digest(request);
    let job: JobBody =
        serde_json::from_slice(&request.body).map_err(|error| bad_request(error.to_string()))?;
    let spec = JobSpec {
        id: format!("{}/{}", job.team, job.name).into(),
        team: job.team,
        queue: job.queue,
        kind: job.kind,
        priority: job.priority,
        tasks: job.tasks,
        need: job.need,
        run_time: job.run_ms.map(Duration::from_millis),
        retries: job.retries,
    };
    Ok(FrontRequest::Submit { key, spec })
}

fn decode_call(request: &BufferedRequest, service: ServiceId) -> Result<FrontRequest, RequestRefusal> {
    let key = team_key_digest(request);
    let Some(team) = header(request, "x-team") else {
        return Err(bad_request("the header x-team is missing"));
    };
    let Some(id) = header(request, "x-request-id") else {
        return Err(bad_request("the header x-request-id is missing"));
    };
    let idempotent = header(request, "x-idempotent").is_some_and(|value| value == "true");
    let deadline =
        match header(request, "x-deadline-ms").map(|value| value.parse().map(Duration::from_millis)) {
            Some(Err(_)) => return Err(bad_request("the header x-deadline-ms is not a whole number")),
            Some(Ok(deadline)) => Some(deadline),
            None => None,
        };
    if id.is_empty() {
        return Err(bad_request("the header x-request-id is empty"));
    }
    let (request_id, team) = (format!("{team}/{id}").into(), TeamId::from(team));
    let body = request.body.clone();
    Ok(FrontRequest::Call { key, team, service, request: request_id, idempotent, deadline, body })
}

fn bad_request(text: impl Into<String>) -> RequestRefusal {
    RequestRefusal::not_run(RefusalReason::BadRequest, text)
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.headers().get(name)?.to_str().ok().map(str::to_owned)
}

/// Returns the digest of the team key, so that no other code sees the key itself; `None` if there is none.
fn team_key_digest(request: &Request) -> Option<Sha256Digest> {
    header(request, "x-team-key").map(|key| Sha256::digest(key.as_bytes()).into())
}

/// Returns a time in milliseconds from the query, zero if the query does not have it.
fn query_ms(request: &Request, name: &str) -> Result<Duration, RequestRefusal> {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    let Some((_, value)) = pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name) else {
        return Ok(Duration::ZERO);
    };
    let number = value.parse().map_err(|_| bad_request(format!("{name} is not a whole number")))?;
    Ok(Duration::from_millis(number))
}

fn encode(reply: FrontReply) -> Response<Bytes> {
    match reply {
        FrontReply::Accepted { job, repeated } => {
            json_response(StatusCode::ACCEPTED, &AcceptedBody { job: &job, repeated })
        }
        FrontReply::State { spec, shard, cancelled, outcome } => {
            let body = StateBody { job: &spec.id, shard: &shard, cancelled, outcome: outcome.as_ref() };
            json_response(StatusCode::OK, &body)
        }
        FrontReply::Answer { status, body } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            Response::build(status)
                .insert_header(("x-run", "ran"))
                .message_body(body)
                .unwrap_or_else(|_| internal_error())
        }
        FrontReply::Refused(refusal) => refusal_response(&refusal),
    }
}

fn refusal_response(refusal: &RequestRefusal) -> Response<Bytes> {
    let retry_after_ms = refusal.retry_after.map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    let body =
        RefusalBody { code: refusal.code, message: &refusal.message, run: refusal.run, retry_after_ms };
    let mut response = json_response(status_code(refusal.code), &body);
    if let Some(wait) = retry_after_ms {
        // The header has whole seconds, rounded up; the body has milliseconds.
        let seconds = HeaderValue::from(wait.div_ceil(1_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

const fn status_code(code: RefusalReason) -> StatusCode {
    match code {
        RefusalReason::BadRequest | RefusalReason::FitsNowhere => StatusCode::BAD_REQUEST,
        RefusalReason::KeyMissing | RefusalReason::KeyUnknown => StatusCode::UNAUTHORIZED,
        RefusalReason::KeyOfOtherTeam => StatusCode::FORBIDDEN,
        RefusalReason::NotFound => StatusCode::NOT_FOUND,
        RefusalReason::IdReused => StatusCode::CONFLICT,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Deadline | RefusalReason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::ConnectionLost | RefusalReason::AnswerUnknown => StatusCode::BAD_GATEWAY,
        RefusalReason::NoConfiguration
        | RefusalReason::LogUnavailable
        | RefusalReason::NoEndpoint
        | RefusalReason::NoOwner
        | RefusalReason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Bytes> {
    let Ok(text) = serde_json::to_vec(body) else { return internal_error() };
    let response = Response::build(status)
        .insert_header(("content-type", "application/json"))
        .message_body(Bytes::from(text));
    response.unwrap_or_else(|_| internal_error())
}

fn internal_error() -> Response<Bytes> {
    Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
}
