//! Endpoint adapter: sends requests and health probes to endpoints over HTTP/1.1.
//!
//! Requests use the codec of actix-http on sockets of this module. A pooled client does not tell whether a
//! byte of the request was sent, and it accepts an answer that is cut off between two chunks as complete.

use std::rc::Rc;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message};
use actix_http::header::{CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, Uri};
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

use crate::kernel::{AttemptFailure, EndpointHealth};
use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::adapter::{
    AdapterEntry, EndpointAdapter, EndpointAnswer, EndpointCall, EndpointClient, EndpointConnection,
    EndpointExchange,
};

inventory::submit!(AdapterEntry::Endpoint(EndpointAdapter { name: "endpoint_http", connect }));

/// Maximum size of an answer's body.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Time limit of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of each wait for more of an answer's body once the head has arrived.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of each part of a health probe, the response head and the body.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Header with the request id, in requests and answers.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Header of a 503 answer that states that the endpoint did not start the request.
const NOT_STARTED_HEADER: &str = "x-not-started";

#[derive(Deserialize)]
struct HealthBody {
    busy: u32,
    #[serde(default)]
    leaving: bool,
}

/// An open connection that carries no call.
struct EndpointSocket {
    stream: TcpStream,
    address: Arc<str>,
    config: ServiceConfig,
    /// Whether the connection has carried an earlier call.
    used: bool,
}

/// Why an exchange gave no answer: what that means for the request, and why received bytes were dropped, if
/// any. The reason `silent` stands for a call that was abandoned before a complete response head arrived, so
/// that there may be no such bytes.
type ExchangeFault = (AttemptFailure, Option<&'static str>);

/// No byte of the request was sent.
const UNREACHABLE: ExchangeFault = (AttemptFailure::Unreachable, None);
/// The request may have been sent, and the connection failed or timed out.
const UNKNOWN_OUTCOME: ExchangeFault = (AttemptFailure::Unknown, None);

/// Returns the fault of a request that was sent and whose answer was dropped or not awaited for `reason`.
const fn dropped_answer(reason: &'static str) -> ExchangeFault {
    (AttemptFailure::Unknown, Some(reason))
}

fn connect(address: &str) -> EndpointClient {
    let address: Arc<str> = address.into();
    let config = ServiceConfig::default();
    let url = format!("http://{address}/healthz");
    let open = move || {
        let (address, config) = (address.clone(), config.clone());
        async move {
            let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(&*address)).await.ok()?.ok()?;
            let _ = stream.set_nodelay(true);
            Some(into_connection(EndpointSocket { stream, address, config, used: false }))
        }
        .boxed_local()
    };
    EndpointClient { open: Rc::new(open), probe: Rc::new(move || probe(url.clone()).boxed_local()) }
}

/// Reads the health of an endpoint over a new connection, because open connections can hang while new ones
/// work.
async fn probe(url: String) -> Option<EndpointHealth> {
    let client = http::client(1, PROBE_TIMEOUT);
    let mut response = client.get(url).force_close().send().await.ok()?;
    // The time limit of the client ends with the response head, so the body gets its own.
    // The content type is not checked, because endpoints differ in what they send.
    let body = timeout(PROBE_TIMEOUT, response.body()).await.ok()?.ok()?;
    let health: HealthBody = serde_json::from_slice(&body).ok()?;
    Some(EndpointHealth { busy: health.busy, leaving: health.leaving })
}

fn into_connection(socket: EndpointSocket) -> EndpointConnection {
    EndpointConnection { exchange: Box::new(move |call| exchange(socket, call).boxed_local()) }
}

async fn exchange(mut socket: EndpointSocket, call: EndpointCall) -> EndpointExchange {
    let result = match timeout(call.timeout, send_and_receive(&mut socket, &call)).await {
        Ok(result) => result,
        Err(_) => Err(UNKNOWN_OUTCOME),
    };
    match result {
        Ok((answer, reusable, surplus)) => {
            socket.used = true;
            let connection = reusable.then(|| into_connection(socket));
            EndpointExchange { result: answer, connection, dropped: surplus }
        }
        Err((failure, dropped)) => EndpointExchange { result: Err(failure), connection: None, dropped },
    }
}

/// The answer, whether the connection can be used again, and why bytes after the answer were dropped, if any.
type ReceivedAnswer = (Result<EndpointAnswer, AttemptFailure>, bool, Option<&'static str>);

/// Sends the call and reads the whole answer.
async fn send_and_receive(
    socket: &mut EndpointSocket,
    call: &EndpointCall,
) -> Result<ReceivedAnswer, ExchangeFault> {
    check_idle(&socket.stream)?;
    let mut codec = ClientCodec::new(socket.config.clone());
    let bytes = encode_request(&mut codec, &socket.address, call).ok_or(UNREACHABLE)?;
    write_all(&socket.stream, &bytes).await?;
    let mut buffer = BytesMut::new();
    let head = tokio::select! {
        biased;
        head = read_head(&socket.stream, &mut codec, &mut buffer) => head?,
        () = call.abandon.cancelled() => return Err(dropped_answer("silent")),
    };
    let not_started = is_not_started(&head);
    check_request_id(&head, &call.request_id, not_started && !socket.used)?;
    let has_length =
        head.headers().contains_key(CONTENT_LENGTH) || head.headers().contains_key(TRANSFER_ENCODING);
    let bodiless = matches!(head.status.as_u16(), 204 | 304);
    if !has_length && !bodiless && !not_started {
        // Without a length, a truncated answer cannot be told from a complete one.
        return Err(dropped_answer("no length"));
    }
    if content_length(&head).is_some_and(|length| length > MAX_ANSWER_BYTES) {
        return Err(dropped_answer("too long"));
    }
    let (body, keep_alive) = read_body(&socket.stream, codec, &mut buffer).await?;
    let surplus = (!buffer.is_empty()).then_some("surplus");
    let reusable = keep_alive && has_length && surplus.is_none();
    let answer = EndpointAnswer { status: head.status.as_u16(), body };
    Ok((if not_started { Err(AttemptFailure::NotStarted) } else { Ok(answer) }, reusable, surplus))
}

/// Returns a fault if the idle connection was closed or has received bytes, such as a late answer to an
/// earlier call.
fn check_idle(stream: &TcpStream) -> Result<(), ExchangeFault> {
    match stream.try_read(&mut [0; 16]) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ok(()),
        Ok(0) | Err(_) => Err(UNREACHABLE),
        Ok(_) => Err((AttemptFailure::Unreachable, Some("surplus"))),
    }
}

fn encode_request(codec: &mut ClientCodec, address: &str, call: &EndpointCall) -> Option<BytesMut> {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = Uri::from_static("/run");
    head.headers.insert(HOST, HeaderValue::from_str(address).ok()?);
    head.headers.insert(REQUEST_ID_HEADER, HeaderValue::from_str(&call.request_id).ok()?);
    let size = BodySize::Sized(call.body.len() as u64);
    let mut bytes = BytesMut::with_capacity(call.body.len() + 256);
    codec.encode(Message::Item((RequestHeadType::Owned(head), size)), &mut bytes).ok()?;
    if !call.body.is_empty() {
        codec.encode(Message::Chunk(Some(call.body.clone())), &mut bytes).ok()?;
    }
    Some(bytes)
}

/// Writes all bytes; a failure before the first byte means that the request was not sent.
async fn write_all(stream: &TcpStream, bytes: &[u8]) -> Result<(), ExchangeFault> {
    let mut sent = 0;
    while sent < bytes.len() {
        let fault = if sent == 0 { UNREACHABLE } else { UNKNOWN_OUTCOME };
        stream.writable().await.map_err(|_| fault)?;
        match stream.try_write(&bytes[sent..]) {
            Ok(count) => sent += count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return Err(fault),
        }
    }
    Ok(())
}

/// Reads at least one byte into the buffer; the end of the stream is a fault.
async fn read_more(stream: &TcpStream, buffer: &mut BytesMut) -> Result<(), ExchangeFault> {
    loop {
        stream.readable().await.map_err(|_| UNKNOWN_OUTCOME)?;
        match stream.try_read_buf(buffer) {
            Ok(0) => {
                return Err(if buffer.is_empty() { UNKNOWN_OUTCOME } else { dropped_answer("truncated") });
            }
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return Err(UNKNOWN_OUTCOME),
        }
    }
}

async fn read_head(
    stream: &TcpStream,
    codec: &mut ClientCodec,
    buffer: &mut BytesMut,
) -> Result<ResponseHead, ExchangeFault> {
    loop {
        match codec.decode(buffer).map_err(|_| dropped_answer("malformed"))? {
            Some(head) if !head.status.is_informational() => return Ok(head),
            Some(_) => {}
            None => read_more(stream, buffer).await?,
        }
    }
}

fn content_length(head: &ResponseHead) -> Option<usize> {
    head.headers().get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn is_not_started(head: &ResponseHead) -> bool {
    head.status.as_u16() == 503 && head.headers().contains_key(NOT_STARTED_HEADER)
}

/// Returns a fault unless the answer carries the id of the request.
///
/// An answer without an id passes if `allow_missing` is set. The caller sets it for a refusal to start the
/// request that is the first answer on its connection, as such an answer cannot belong to an earlier request.
fn check_request_id(
    head: &ResponseHead,
    request: &RequestId,
    allow_missing: bool,
) -> Result<(), ExchangeFault> {
    match head.headers().get(REQUEST_ID_HEADER) {
        Some(id) if id.as_bytes() == request.as_bytes() => Ok(()),
        None if allow_missing => Ok(()),
        _ => Err(dropped_answer("crossed")),
    }
}

/// Returns the body, and whether the endpoint keeps the connection open.
async fn read_body(
    stream: &TcpStream,
    codec: ClientCodec,
    buffer: &mut BytesMut,
) -> Result<(Bytes, bool), ExchangeFault> {
    if matches!(codec.message_type(), actix_http::h1::MessageType::None) {
        return Ok((Bytes::new(), codec.keep_alive()));
    }
    let mut codec: ClientPayloadCodec = codec.into_payload_codec();
    let mut body = BytesMut::new();
    loop {
        match codec.decode(buffer).map_err(|_| dropped_answer("malformed"))? {
            Some(Some(chunk)) if body.len() + chunk.len() > MAX_ANSWER_BYTES => {
                return Err(dropped_answer("too long"));
            }
            Some(Some(chunk)) => body.extend_from_slice(&chunk),
            Some(None) => return Ok((body.freeze(), codec.keep_alive())),
            None => match timeout(PROGRESS_TIMEOUT, read_more(stream, buffer)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return Err(dropped_answer("truncated")),
            },
        }
    }
}
