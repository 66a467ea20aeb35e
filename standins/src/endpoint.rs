//! Endpoints with a limited number of slots. They write HTTP/1.1 to raw sockets, as an HTTP library would not
//! send the truncated, repeated or endless answers that tests need.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use rustc_hash::FxHashMap;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::server;

/// Padding that makes an answer longer than the 16 MiB that an entry process accepts.
const OVERSIZED_PADDING_BYTES: usize = (16 << 20) + 1;

/// Delay of an answer with [`AnswerFault::Late`], counted from the end of the work.
pub const LATE_ANSWER_DELAY: Duration = Duration::from_secs(1);

/// Faults that a test injects into an endpoint, and the other settings of its behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointFaults {
    /// Time that a request occupies its slot; no time if the endpoint is `failing`.
    pub work_time: Duration,
    /// Padding bytes at the end of the body of each answer.
    pub padding_bytes: usize,
    /// Requests that run at once; further ones are refused with status 503 and the header `x-not-started`.
    pub slots: u32,
    /// Requests run and are answered with status 500 without delay.
    pub failing: bool,
    /// The health answer reports that the endpoint is leaving and wants no new requests.
    pub leaving: bool,
    /// Fault of the answers that `one_in` selects.
    pub answer: AnswerFault,
    /// The answer fault occurs in every `one_in`th request; 1 selects all requests.
    pub one_in: u32,
}

/// Fault of the answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// The answer is correct.
    None,
    /// The request runs but is never answered.
    Silent,
    /// The answer carries an `x-request-id` other than that of the request.
    WrongId,
    /// The connection is closed within the body.
    Truncated,
    /// The answer is sent twice on the same connection.
    Duplicated,
    /// The request runs, but the connection is closed without an answer.
    Lost,
    /// The request is refused as not started, and the connection is closed.
    Refused,
    /// The slot is freed in time, but the answer follows only after [`LATE_ANSWER_DELAY`].
    Late,
    /// The body is longer than the 16 MiB that an entry process accepts.
    TooLong,
    /// The body is chunked and never ends.
    Endless,
}

impl Default for EndpointFaults {
    fn default() -> Self {
        Self {
            work_time: Duration::from_millis(5),
            padding_bytes: 0,
            slots: 8,
            failing: false,
            leaving: false,
            answer: AnswerFault::None,
            one_in: 1,
        }
    }
}

/// Counts of an endpoint since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Number of runs of each request id.
    pub runs: FxHashMap<String, u32>,
    /// Highest number of requests that ran at once.
    pub peak_busy: u32,
    /// Highest number of connections that were open at once.
    pub peak_connections: u32,
    /// Requests that arrived while all slots were busy, and were refused for that.
    pub over_slots: u32,
}

/// Messages to the task that owns the state of an endpoint.
enum EndpointMessage {
    ConnectionOpened,
    ConnectionClosed,
    /// Takes a slot for a request id. The reply tells whether the request runs, and the faults that apply to
    /// it.
    Begin(String, oneshot::Sender<(bool, EndpointFaults)>),
    /// Frees the slot of a request.
    End,
    SetFaults(EndpointFaults),
    /// Returns the number of busy slots and whether the endpoint is leaving.
    Health(oneshot::Sender<(u32, bool)>),
    ReadCounts(oneshot::Sender<EndpointCounts>),
}

/// Faults that apply to open connections and running requests, not to one answer.
#[derive(Clone, Copy, Debug, Default)]
struct ConnectionFaults {
    /// Raised each time the connections are silenced; connections that were opened in an earlier epoch are
    /// silent.
    epoch: u32,
    /// Running requests keep their slots and are not answered.
    held: bool,
}

/// A running endpoint.
#[derive(Clone)]
pub struct EndpointStandin {
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    inbox: mpsc::Sender<EndpointMessage>,
    connection_faults: watch::Sender<ConnectionFaults>,
    killed: CancellationToken,
}

impl EndpointStandin {
    /// Starts an endpoint without faults; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn start(address: &str, token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind(address).await?;
        let (inbox, messages) = mpsc::channel(1_024);
        let (connection_faults, receiver) = watch::channel(ConnectionFaults::default());
        let killed = token.child_token();
        actix_rt::spawn(run_endpoint(messages, token));
        actix_rt::spawn(accept(listener, inbox.clone(), receiver, killed.clone()));
        Ok(Self { address, inbox, connection_faults, killed })
    }

    /// Sets the behaviour for requests that begin from now on.
    pub async fn set_faults(&self, faults: EndpointFaults) {
        let _ = self.inbox.send(EndpointMessage::SetFaults(faults)).await;
    }

    /// Makes all open connections silent: they stay open but send nothing any more. New connections work.
    pub fn silence_connections(&self) {
        self.connection_faults.send_modify(|faults| faults.epoch += 1);
    }

    /// Sets whether running requests are held: they keep their slots and are answered only after a call with
    /// `false`.
    pub fn hold(&self, held: bool) {
        self.connection_faults.send_modify(|faults| faults.held = held);
    }

    /// Closes all connections and the listener. The counts can still be read.
    pub fn kill(&self) {
        self.killed.cancel();
    }

    /// Returns the number of runs of each request id.
    pub async fn runs(&self) -> FxHashMap<String, u32> {
        self.counts().await.runs
    }

    /// Returns the counts since the start.
    pub async fn counts(&self) -> EndpointCounts {
        let (reply, counts) = oneshot::channel();
        let _ = self.inbox.send(EndpointMessage::ReadCounts(reply)).await;
        counts.await.unwrap_or_default()
    }
}

async fn run_endpoint(mut messages: mpsc::Receiver<EndpointMessage>, token: CancellationToken) {
    let mut faults = EndpointFaults::default();
    let (mut busy, mut connections, mut request_count) = (0_u32, 0_u32, 0_u32);
    let mut counts = EndpointCounts::default();
    loop {
        let message = tokio::select! {
            () = token.cancelled() => return,
            Some(message) = messages.recv() => message,
        };
        match message {
            EndpointMessage::ConnectionOpened => {
                connections += 1;
                counts.peak_connections = counts.peak_connections.max(connections);
            }
            EndpointMessage::ConnectionClosed => connections -= 1,
            EndpointMessage::Begin(id, reply) => {
                request_count += 1;
                let is_faulty = request_count.is_multiple_of(faults.one_in.max(1));
                let answer = if is_faulty { faults.answer } else { AnswerFault::None };
                let full = busy >= faults.slots;
                counts.over_slots += u32::from(full);
                let runs = !full && answer != AnswerFault::Refused;
                if runs {
                    busy += 1;
                    counts.peak_busy = counts.peak_busy.max(busy);
                    *counts.runs.entry(id).or_default() += 1;
                }
                let _ = reply.send((runs, EndpointFaults { answer, ..faults }));
            }
            EndpointMessage::End => busy -= 1,
            EndpointMessage::SetFaults(changed) => faults = changed,
            EndpointMessage::Health(reply) => {
                let _ = reply.send((busy, faults.leaving));
            }
            EndpointMessage::ReadCounts(reply) => {
                let _ = reply.send(counts.clone());
            }
        }
    }
}

async fn accept(
    listener: TcpListener,
    inbox: mpsc::Sender<EndpointMessage>,
    connection_faults: watch::Receiver<ConnectionFaults>,
    killed: CancellationToken,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = killed.cancelled() => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let (inbox, connection_faults) = (inbox.clone(), connection_faults.clone());
                connections.spawn_local(async move {
                    let _ = inbox.send(EndpointMessage::ConnectionOpened).await;
                    let _ = serve_connection(&stream, &inbox, &connection_faults).await;
                    let _ = inbox.send(EndpointMessage::ConnectionClosed).await;
                });
            }
        }
    }
}

struct RawRequest {
    path: String,
    /// The header `x-request-id`; empty if it is missing.
    id: String,
    body: Vec<u8>,
}

/// Answers the requests of one connection; returns `None` once either side closes it.
async fn serve_connection(
    stream: &TcpStream,
    inbox: &mpsc::Sender<EndpointMessage>,
    connection_faults: &watch::Receiver<ConnectionFaults>,
) -> Option<()> {
    let epoch = connection_faults.borrow().epoch;
    let mut buffer = BytesMut::new();
    loop {
        let request = read_request(stream, &mut buffer).await?;
        // Copies the value, as the guard of `borrow` must not be held across the `await` below.
        let silent = connection_faults.borrow().epoch > epoch;
        discard_input_if(silent, stream).await?;
        if request.path == "/healthz" {
            let (reply, health) = oneshot::channel();
            inbox.send(EndpointMessage::Health(reply)).await.ok()?;
            let (busy, leaving) = health.await.ok()?;
            let body = format!("{{\"busy\":{busy},\"leaving\":{leaving}}}");
            write(stream, &response(200, "content-type: application/json\r\n", body.as_bytes())).await?;
        } else {
            run_request(stream, inbox, request, epoch, connection_faults).await?;
        }
    }
}

/// Runs a request and answers it; returns `None` if the connection must be closed.
async fn run_request(
    stream: &TcpStream,
    inbox: &mpsc::Sender<EndpointMessage>,
    request: RawRequest,
    epoch: u32,
    connection_faults: &watch::Receiver<ConnectionFaults>,
) -> Option<()> {
    let (reply, admission) = oneshot::channel();
    inbox.send(EndpointMessage::Begin(request.id.clone(), reply)).await.ok()?;
    let (runs, faults) = admission.await.ok()?;
    let id_header = format!("x-request-id: {}\r\n", request.id);
    if !runs {
        write(stream, &response(503, &format!("{id_header}x-not-started: 1\r\n"), b"")).await?;
        return (faults.answer != AnswerFault::Refused).then_some(());
    }
    // Works in a task of its own, so that a caller that disconnects does not free the slot early.
    let sender = inbox.clone();
    let mut hold_changes = connection_faults.clone();
    let work = actix_rt::spawn(async move {
        tokio::time::sleep(if faults.failing { Duration::ZERO } else { faults.work_time }).await;
        let _ = hold_changes.wait_for(|faults| !faults.held).await;
        let _ = sender.send(EndpointMessage::End).await;
    });
    let _ = work.await;
    let silent = connection_faults.borrow().epoch > epoch;
    discard_input_if(silent, stream).await?;
    let mut text = format!("answer to {}: {}", request.id, String::from_utf8_lossy(&request.body));
    let padding =
        if faults.answer == AnswerFault::TooLong { OVERSIZED_PADDING_BYTES } else { faults.padding_bytes };
    text.extend(std::iter::repeat_n('.', padding));
    let status = if faults.failing { 500 } else { 200 };
    let answer = response(status, &id_header, text.as_bytes());
    match faults.answer {
        AnswerFault::None | AnswerFault::Refused | AnswerFault::TooLong => write(stream, &answer).await,
        AnswerFault::Endless => {
            let head = format!("HTTP/1.1 200 Status\r\n{id_header}transfer-encoding: chunked\r\n\r\n");
            write(stream, head.as_bytes()).await?;
            let chunk = [b"10000\r\n".to_vec(), vec![b'.'; 0x1_0000], b"\r\n".to_vec()].concat();
            loop {
                write(stream, &chunk).await?;
            }
        }
        AnswerFault::Late => {
            tokio::time::sleep(LATE_ANSWER_DELAY).await;
            write(stream, &answer).await
        }
        AnswerFault::Silent => discard_input_if(true, stream).await,
        AnswerFault::Lost => None,
        AnswerFault::Truncated => {
            write(stream, &answer[..answer.len() - 3]).await?;
            None
        }
        AnswerFault::Duplicated => write(stream, &[answer.clone(), answer].concat()).await,
        AnswerFault::WrongId => {
            let other_id_header = format!("x-request-id: {}-other\r\n", request.id);
            write(stream, &response(status, &other_id_header, text.as_bytes())).await
        }
    }
}

/// If `silent`, reads and discards all input without answering, until the other side closes the connection.
async fn discard_input_if(silent: bool, stream: &TcpStream) -> Option<()> {
    if !silent {
        return Some(());
    }
    let mut discarded = BytesMut::new();
    loop {
        read_more(stream, &mut discarded).await?;
        discarded.clear();
    }
}

fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}content-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Writes all bytes; returns `None` if the connection breaks.
async fn write(stream: &TcpStream, mut bytes: &[u8]) -> Option<()> {
    while !bytes.is_empty() {
        stream.writable().await.ok()?;
        match stream.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
    Some(())
}

/// Appends the next bytes to the buffer; returns `None` at the end of the connection.
async fn read_more(stream: &TcpStream, buffer: &mut BytesMut) -> Option<()> {
    loop {
        stream.readable().await.ok()?;
        match stream.try_read_buf(buffer) {
            Ok(0) => return None,
            Ok(_) => return Some(()),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
}

/// Reads the next request and leaves the bytes after it in the buffer.
async fn read_request(stream: &TcpStream, buffer: &mut BytesMut) -> Option<RawRequest> {
    let end = loop {
        match buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            Some(end) => break end,
            None => read_more(stream, buffer).await?,
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.advance(end + 4);
    let mut lines = head.lines();
    let path = lines.next()?.split(' ').nth(1)?.to_owned();
    let header = |wanted: &str| {
        let mut pairs = head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let (_, value) = pairs.find(|(name, _)| name.eq_ignore_ascii_case(wanted))?;
        Some(value.trim().to_owned())
    };
    let length = header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        read_more(stream, buffer).await?;
    }
    let body = buffer.split_to(length).to_vec();
    Some(RawRequest { path, id: header("x-request-id").unwrap_or_default(), body })
}
