//! Speaks to endpoints over HTTP/1.1.
//!
//! It uses the codec of actix-http on its own sockets: a pooled client does not tell whether a byte of the
//! request was sent, and takes an answer that is cut off between two chunks for a whole one.

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

/// Largest answer in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for more bytes of an answer once it has begun.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the answer to a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Header that names the request in both directions.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header of an answer that states that the request was not started.
const NOT_STARTED: &str = "x-not-started";

#[derive(Deserialize)]
struct HealthBody {
    busy: u32,
    #[serde(default)]
    leaving: bool,
}

/// A connection between two calls.
struct IdleLine {
    stream: TcpStream,
    address: Arc<str>,
    config: ServiceConfig,
    used: bool,
}

/// Why an exchange gave no answer: what it means for the request, and why bytes were dropped.
type ExchangeFault = (AttemptFailure, Option<&'static str>);

const UNREACHABLE: ExchangeFault = (AttemptFailure::Unreachable, None);
const LOST: ExchangeFault = (AttemptFailure::Unknown, None);

const fn dropped(reason: &'static str) -> ExchangeFault {
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
            Some(connection(IdleLine { stream, address, config, used: false }))
        }
        .boxed_local()
    };
    EndpointClient { open: Rc::new(open), probe: Rc::new(move || probe(url.clone()).boxed_local()) }
}

/// Asks over a new connection, because old ones can be silent while new ones work.
async fn probe(url: String) -> Option<EndpointHealth> {
    let client = http::client(1, PROBE_TIMEOUT);
    let mut response = client.get(url).force_close().send().await.ok()?;
    // The content type is not looked at: endpoints differ in what they send.
    let body = timeout(PROBE_TIMEOUT, response.body()).await.ok()?.ok()?;
    let health: HealthBody = serde_json::from_slice(&body).ok()?;
    Some(EndpointHealth { busy: health.busy, leaving: health.leaving })
}

fn connection(line: IdleLine) -> EndpointConnection {
    EndpointConnection { exchange: Box::new(move |call| exchange(line, call).boxed_local()) }
}

async fn exchange(mut line: IdleLine, call: EndpointCall) -> EndpointExchange {
    let result = match timeout(call.timeout, converse(&mut line, &call)).await {
        Ok(result) => result,
        Err(_) => Err(LOST),
    };
    match result {
        Ok((answer, reusable, surplus)) => {
            line.used = true;
            let connection = reusable.then(|| connection(line));
            EndpointExchange { result: answer, connection, dropped: surplus }
        }
        Err((failure, dropped)) => EndpointExchange { result: Err(failure), connection: None, dropped },
    }
}

/// Returns the answer, whether the connection can be used again, and why bytes after it were dropped.
type Conversation = (Result<EndpointAnswer, AttemptFailure>, bool, Option<&'static str>);

async fn converse(line: &mut IdleLine, call: &EndpointCall) -> Result<Conversation, ExchangeFault> {
    check_idle(&line.stream)?;
    let mut codec = ClientCodec::new(line.config.clone());
    let bytes = encode(&mut codec, &line.address, call).ok_or(UNREACHABLE)?;
    write_all(&line.stream, &bytes).await?;
    let mut buffer = BytesMut::new();
    let head = tokio::select! {
        biased;
        head = read_head(&line.stream, &mut codec, &mut buffer) => head?,
        () = call.abandon.cancelled() => return Err(dropped("silent")),
    };
    let refused = not_started(&head);
    check_id(&head, &call.request_id, refused && !line.used)?;
    let framed =
        head.headers().contains_key(CONTENT_LENGTH) || head.headers().contains_key(TRANSFER_ENCODING);
    let bodiless = matches!(head.status.as_u16(), 204 | 304);
    if !framed && !bodiless && !refused {
        // Without a length, a cut-off answer cannot be told from a whole one.
        return Err(dropped("no length"));
    }
    if announced_length(&head).is_some_and(|length| length > ANSWER_LIMIT) {
        return Err(dropped("too long"));
    }
    let (body, keep_alive) = read_body(&line.stream, codec, &mut buffer).await?;
    let surplus = (!buffer.is_empty()).then_some("surplus");
    let reusable = keep_alive && framed && surplus.is_none();
    let answer = EndpointAnswer { status: head.status.as_u16(), body };
    Ok((if refused { Err(AttemptFailure::NotStarted) } else { Ok(answer) }, reusable, surplus))
}

/// Nothing may have arrived on an idle connection: neither its end nor an answer to an earlier request.
fn check_idle(stream: &TcpStream) -> Result<(), ExchangeFault> {
    match stream.try_read(&mut [0; 16]) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ok(()),
        Ok(0) | Err(_) => Err(UNREACHABLE),
        Ok(_) => Err((AttemptFailure::Unreachable, Some("surplus"))),
    }
}

fn encode(codec: &mut ClientCodec, address: &str, call: &EndpointCall) -> Option<BytesMut> {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = Uri::from_static("/run");
    head.headers.insert(HOST, HeaderValue::from_str(address).ok()?);
    head.headers.insert(REQUEST_ID, HeaderValue::from_str(&call.request_id).ok()?);
    let size = BodySize::Sized(call.body.len() as u64);
    let mut bytes = BytesMut::with_capacity(call.body.len() + 256);
    codec.encode(Message::Item((RequestHeadType::Owned(head), size)), &mut bytes).ok()?;
    if !call.body.is_empty() {
        codec.encode(Message::Chunk(Some(call.body.clone())), &mut bytes).ok()?;
    }
    Some(bytes)
}

async fn write_all(stream: &TcpStream, bytes: &[u8]) -> Result<(), ExchangeFault> {
    let mut sent = 0;
    while sent < bytes.len() {
        let fault = if sent == 0 { UNREACHABLE } else { LOST };
        stream.writable().await.map_err(|_| fault)?;
        match stream.try_write(&bytes[sent..]) {
            Ok(count) => sent += count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return Err(fault),
        }
    }
    Ok(())
}

/// Reads more bytes; an end of the stream is a fault.
async fn read_more(stream: &TcpStream, buffer: &mut BytesMut) -> Result<(), ExchangeFault> {
    loop {
        stream.readable().await.map_err(|_| LOST)?;
        match stream.try_read_buf(buffer) {
            Ok(0) => return Err(if buffer.is_empty() { LOST } else { dropped("truncated") }),
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return Err(LOST),
        }
    }
}

async fn read_head(
    stream: &TcpStream,
    codec: &mut ClientCodec,
    buffer: &mut BytesMut,
) -> Result<ResponseHead, ExchangeFault> {
    loop {
        match codec.decode(buffer).map_err(|_| dropped("malformed"))? {
            Some(head) if !head.status.is_informational() => return Ok(head),
            Some(_) => {}
            None => read_more(stream, buffer).await?,
        }
    }
}

fn announced_length(head: &ResponseHead) -> Option<usize> {
    head.headers().get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn not_started(head: &ResponseHead) -> bool {
    head.status.as_u16() == 503 && head.headers().contains_key(NOT_STARTED)
}

/// The answer must name the request. One without a name is accepted only where `unnamed` allows it: as the
/// first answer on a connection it cannot belong to an earlier request.
fn check_id(head: &ResponseHead, request: &RequestId, unnamed: bool) -> Result<(), ExchangeFault> {
    match head.headers().get(REQUEST_ID) {
        Some(id) if id.as_bytes() == request.as_bytes() => Ok(()),
        None if unnamed => Ok(()),
        _ => Err(dropped("crossed")),
    }
}

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
        match codec.decode(buffer).map_err(|_| dropped("malformed"))? {
            Some(Some(chunk)) if body.len() + chunk.len() > ANSWER_LIMIT => return Err(dropped("too long")),
            Some(Some(chunk)) => body.extend_from_slice(&chunk),
            Some(None) => return Ok((body.freeze(), codec.keep_alive())),
            None => match timeout(PROGRESS_TIMEOUT, read_more(stream, buffer)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return Err(dropped("truncated")),
            },
        }
    }
}
