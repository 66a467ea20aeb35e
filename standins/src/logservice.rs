//! A log service with offsets, retention and injected faults.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::server;

/// Faults that a test injects into one listener of the log service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogFaults {
    /// Every request is answered with status 503 and has no effect.
    pub down: bool,
    /// Delay before each request is handled.
    pub delay: Duration,
    /// Appends take effect but are answered with status 500.
    pub lose_append_replies: bool,
}

/// Messages to the task that owns the streams.
enum LogMessage {
    /// Appends a record to a stream; the reply is its offset.
    Append(String, String, oneshot::Sender<u64>),
    /// Reads a stream from an offset, up to a number of records.
    Read(String, u64, usize, oneshot::Sender<LogRead>),
    /// Drops the records of a stream below an offset.
    Trim(String, u64),
}

struct LogRead {
    /// Oldest retained offset.
    first: u64,
    /// Offset to continue at.
    next: u64,
    /// Records with their offsets.
    records: Vec<(u64, String)>,
}

#[derive(Default)]
struct LogStream {
    /// Offset of the oldest retained record.
    first: u64,
    records: Vec<String>,
}

#[derive(Deserialize)]
struct AppendBody {
    body: String,
}

/// A listener of a running log service, with faults of its own.
#[derive(Clone)]
pub struct LogStandin {
    /// Address of its HTTP server.
    pub address: SocketAddr,
    faults: watch::Sender<LogFaults>,
    inbox: mpsc::Sender<LogMessage>,
    /// Number of appends to all streams.
    append_count: watch::Receiver<u64>,
}

/// Answers the requests of one listener.
#[derive(Clone)]
struct LogHandler {
    faults: watch::Receiver<LogFaults>,
    inbox: mpsc::Sender<LogMessage>,
    append_count: watch::Receiver<u64>,
    token: CancellationToken,
}

impl LogStandin {
    /// Starts the service with one listener; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn start(address: &str, token: CancellationToken) -> std::io::Result<Self> {
        let (append_counter, append_count) = watch::channel(0);
        let (inbox, messages) = mpsc::channel(1_024);
        actix_rt::spawn(run_streams(messages, append_counter, token.clone()));
        Self::listen(address, inbox, append_count, token).await
    }

    /// Starts another listener of the same log with faults of its own, so that a test can cut off a single
    /// process.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the port cannot be bound.
    pub async fn add_listener(&self, token: CancellationToken) -> std::io::Result<Self> {
        Self::listen("127.0.0.1:0", self.inbox.clone(), self.append_count.clone(), token).await
    }

    async fn listen(
        address: &str,
        inbox: mpsc::Sender<LogMessage>,
        append_count: watch::Receiver<u64>,
        token: CancellationToken,
    ) -> std::io::Result<Self> {
        let (listener, address) = server::bind(address).await?;
        let (faults, current_faults) = watch::channel(LogFaults::default());
        let handler = LogHandler {
            faults: current_faults,
            inbox: inbox.clone(),
            append_count: append_count.clone(),
            token: token.clone(),
        };
        actix_rt::spawn(server::serve(listener, token, move |request| handler.clone().answer(request)));
        Ok(Self { address, faults, inbox, append_count })
    }

    /// Sets the faults of this listener; the default has none.
    pub fn set_faults(&self, faults: LogFaults) {
        self.faults.send_replace(faults);
    }

    /// Drops the records of a stream below an offset, as the retention of a real log does.
    pub async fn trim(&self, stream: &str, first: u64) {
        let _ = self.inbox.send(LogMessage::Trim(stream.into(), first)).await;
    }

    /// Returns all retained records of a stream with their offsets.
    pub async fn read_all(&self, stream: &str) -> Vec<(u64, String)> {
        let (reply, read) = oneshot::channel();
        let _ = self.inbox.send(LogMessage::Read(stream.into(), 0, usize::MAX, reply)).await;
        read.await.map(|read| read.records).unwrap_or_default()
    }
}

async fn run_streams(
    mut messages: mpsc::Receiver<LogMessage>,
    append_counter: watch::Sender<u64>,
    token: CancellationToken,
) {
    let mut streams: FxHashMap<String, LogStream> = FxHashMap::default();
    loop {
        let message = tokio::select! {
            () = token.cancelled() => return,
            Some(message) = messages.recv() => message,
        };
        match message {
            LogMessage::Append(stream, body, reply) => {
                let stream = streams.entry(stream).or_default();
                stream.records.push(body);
                let _ = reply.send(stream.first + stream.records.len() as u64 - 1);
                append_counter.send_modify(|count| *count += 1);
            }
            LogMessage::Read(stream, from, max, reply) => {
                let _ = reply.send(streams.entry(stream).or_default().read(from, max));
            }
            LogMessage::Trim(stream, first) => {
                let stream = streams.entry(stream).or_default();
                let count = usize::try_from(first.saturating_sub(stream.first)).unwrap_or(usize::MAX);
                let count = count.min(stream.records.len());
                stream.records.drain(..count);
                stream.first += count as u64;
            }
        }
    }
}

impl LogStream {
    fn read(&self, from: u64, max: usize) -> LogRead {
        let from = from.max(self.first);
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let records: Vec<(u64, String)> =
            (from..).zip(self.records.iter().skip(skip).take(max).cloned()).collect();
        let next = records.last().map_or(from, |(offset, _)| offset + 1);
        LogRead { first: self.first, next, records }
    }
}

impl LogHandler {
    async fn answer(self, request: Request) -> Response<Bytes> {
        let faults = *self.faults.borrow();
        if !faults.delay.is_zero() {
            tokio::time::sleep(faults.delay).await;
        }
        if faults.down {
            return server::json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "down" }));
        }
        let path = request.path().to_owned();
        let stream = path.strip_prefix("/streams/").and_then(|rest| rest.strip_suffix("/records"));
        match (request.method().clone(), stream) {
            (Method::POST, Some(stream)) => self.append(stream, request, faults).await,
            (Method::GET, Some(stream)) => self.read(stream, &request).await,
            _ => server::json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such stream" })),
        }
    }

    async fn append(&self, stream: &str, mut request: Request, faults: LogFaults) -> Response<Bytes> {
        let body = server::read_body(&mut request).await.unwrap_or_default();
        let Ok(append) = serde_json::from_slice::<AppendBody>(&body) else {
            return server::json_response(StatusCode::BAD_REQUEST, &json!({ "error": "body is missing" }));
        };
        let (reply, offset) = oneshot::channel();
        let _ = self.inbox.send(LogMessage::Append(stream.into(), append.body, reply)).await;
        match offset.await {
            Ok(offset) if !faults.lose_append_replies => {
                server::json_response(StatusCode::OK, &json!({ "offset": offset }))
            }
            _ => server::json_response(StatusCode::INTERNAL_SERVER_ERROR, &json!({ "error": "reply lost" })),
        }
    }

    async fn read(mut self, stream: &str, request: &Request) -> Response<Bytes> {
        let from = server::query_number(request, "from").unwrap_or(0);
        let max = usize::try_from(server::query_number(request, "max").unwrap_or(100)).unwrap_or(usize::MAX);
        let wait = Duration::from_millis(server::query_number(request, "wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            self.append_count.mark_unchanged();
            let (reply, read) = oneshot::channel();
            let _ = self.inbox.send(LogMessage::Read(stream.into(), from, max, reply)).await;
            let Ok(read) = read.await else {
                return server::json_response(
                    StatusCode::SERVICE_UNAVAILABLE,
                    &json!({ "error": "stopping" }),
                );
            };
            let timed_out = tokio::time::Instant::now() >= deadline;
            if !read.records.is_empty() || timed_out || self.token.is_cancelled() {
                let records =
                    read.records.iter().map(|(offset, body)| json!({ "offset": offset, "body": body }));
                let records: Vec<serde_json::Value> = records.collect();
                let body = json!({ "first": read.first, "next": read.next, "records": records });
                return server::json_response(StatusCode::OK, &body);
            }
            let _ = tokio::time::timeout_at(deadline, self.append_count.changed()).await;
        }
    }
}
