//! The front end (the interface for callers) and the readiness check, over HTTP/1.1.

use actix_http::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::JobStatus;
use crate::kernel::connections::{ConnectionClass, RequestFault};
use crate::platform::jobs;
use crate::plugins::http::{BufferedRequest, HttpServer, fault_status};
use crate::prelude::*;
use crate::tasks::cell::intake::{CallAction, CellCall, CellRefusal, CellReply, IntakeMessage};
use crate::tasks::cell::ports::FrontEndContext;

/// Path of the readiness check.
const READY_PATH: &str = "/api/ready";
/// Header with the API key of a team.
const API_KEY_HEADER: &str = "Api-Key";
/// Header with the time for which the caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "Deadline-Ms";

#[derive(Serialize)]
struct StateBody {
    state: JobStatus,
}

#[derive(Serialize)]
struct PendingBody {
    pending: u64,
}

#[derive(Serialize)]
struct EmptyBody {}

#[derive(Serialize)]
struct RefusalBody {
    error: String,
}

/// Serves callers and readiness checks until the token is cancelled.
pub fn serve(context: FrontEndContext) -> LocalBoxFuture<'static, ()> {
    let FrontEndContext { listener, readiness_listener, access, intake_sender, draining, token } = context;
    let (check_sender, check_draining) = (intake_sender.clone(), draining.clone());
    let check_server = HttpServer {
        listener: readiness_listener,
        class: ConnectionClass::Operator,
        access: access.clone(),
        refuse,
        token: token.clone(),
    };
    let check_server = check_server
        .serve(move |request| answer_readiness(check_sender.clone(), check_draining.is_cancelled(), request));
    let call_server = HttpServer { listener, class: ConnectionClass::Caller, access, refuse, token };
    let call_server =
        call_server.serve(move |request| answer(intake_sender.clone(), draining.clone(), request));
    async move {
        tokio::join!(call_server, check_server);
    }
    .boxed_local()
}

async fn answer_readiness(
    intake_sender: mpsc::Sender<IntakeMessage>,
    draining: bool,
    request: BufferedRequest,
) -> Response<Bytes> {
    if request.path() != READY_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let (reply, ready) = oneshot::channel();
    let sent = intake_sender.send(IntakeMessage::Ready(reply)).await.is_ok();
    let ready = sent && ready.await.unwrap_or(false) && !draining;
    empty(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

async fn answer(
    intake_sender: mpsc::Sender<IntakeMessage>,
    draining: CancellationToken,
    request: BufferedRequest,
) -> Response<Bytes> {
    let reply = match decode(&request) {
        Ok(call) => forward(&intake_sender, call).await,
        Err(status) => return empty(status),
    };
    let mut response = encode(reply);
    if draining.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn forward(intake_sender: &mpsc::Sender<IntakeMessage>, call: CellCall) -> CellReply {
    let (reply, answer) = oneshot::channel();
    let changes_state = matches!(call.action, CallAction::Submit(_) | CallAction::Cancel);
    if intake_sender.send(IntakeMessage::Call(call, reply)).await.is_err() {
        return CellReply::Refused(CellRefusal::Unavailable("process is stopping".to_owned()), None);
    }
    answer.await.unwrap_or_else(|_| {
        let reason = "process is stopping".to_owned();
        let refusal =
            if changes_state { CellRefusal::MayBeStored(reason) } else { CellRefusal::Unavailable(reason) };
        CellReply::Refused(refusal, None)
    })
}

fn decode(request: &BufferedRequest) -> Result<CellCall, StatusCode> {
    let action = match *request.method() {
        Method::GET => CallAction::Query,
        Method::DELETE => CallAction::Cancel,
        Method::POST => CallAction::Submit(jobs::decode(&request.body)),
        _ => return Err(StatusCode::METHOD_NOT_ALLOWED),
    };
    let host = header(request, HOST.as_str()).unwrap_or_default();
    // The port is not part of the host name.
    let host = host.split_once(':').map_or(host, |(host, _)| host);
    Ok(CellCall {
        host: host.into(),
        path: request.path().into(),
        key: header(request, API_KEY_HEADER).map(Into::into),
        deadline: header(request, DEADLINE_HEADER).and_then(parse_deadline),
        action,
    })
}

/// Refuses a request that was not read to its end, so that nothing was accepted.
fn refuse(fault: RequestFault) -> Response<Bytes> {
    json(fault_status(fault), &RefusalBody { error: fault.to_string() })
}

/// Returns the value of a header; one that is not text is logged and counts as missing.
fn header<'r>(request: &'r Request, name: &str) -> Option<&'r str> {
    match request.headers().get(name)?.to_str() {
        Ok(text) => Some(text),
        Err(error) => {
            log::info!(path = request.path(), header = name, error:%; "header is invalid");
            None
        }
    }
}

/// Parses the time for which a caller waits, in milliseconds; an invalid one is logged and counts as missing.
fn parse_deadline(text: &str) -> Option<Duration> {
    match text.parse() {
        Ok(millis) => Some(Duration::from_millis(millis)),
        Err(error) => {
            log::info!(header = DEADLINE_HEADER, value = text, error:%; "header is invalid");
            None
        }
    }
}

fn encode(reply: CellReply) -> Response<Bytes> {
    match reply {
        CellReply::Stored => json(StatusCode::OK, &EmptyBody {}),
        CellReply::Status(state) => json(StatusCode::OK, &StateBody { state }),
        CellReply::Pending(pending) => json(StatusCode::OK, &PendingBody { pending }),
        // Unknown jobs get 410; 404 means an unknown queue.
        CellReply::Missing => empty(StatusCode::GONE),
        CellReply::Refused(refusal, retry_after) => {
            let mut response = json(status(&refusal), &RefusalBody { error: refusal.to_string() });
            if let Some(retry_after) = retry_after {
                let seconds =
                    HeaderValue::from(retry_after.as_secs() + u64::from(retry_after.subsec_nanos() > 0));
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
    }
}

const fn status(refusal: &CellRefusal) -> StatusCode {
    match refusal {
        CellRefusal::Overloaded(_) | CellRefusal::NoMemory => StatusCode::TOO_MANY_REQUESTS,
        CellRefusal::NoConfiguration | CellRefusal::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        CellRefusal::UnknownQueue => StatusCode::NOT_FOUND,
        CellRefusal::UnknownKey => StatusCode::UNAUTHORIZED,
        CellRefusal::BadRequest(_) => StatusCode::BAD_REQUEST,
        CellRefusal::MayBeStored(_) => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn json(status: StatusCode, body: &impl Serialize) -> Response<Bytes> {
    match serde_json::to_vec(body) {
        Ok(body) => {
            let mut response = Response::with_body(status, Bytes::from(body));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(actix_http::header::CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            log::error!(error:%; "answer cannot be serialized");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Response<Bytes> {
    Response::with_body(status, Bytes::new())
}
