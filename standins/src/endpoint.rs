//! Endpoints with slots on raw sockets, and answers that can be late, crossed, cut off, doubled or lost.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use rustc_hash::FxHashMap;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::server;

/// Padding that makes an answer too long for an entry process.
const TOO_LONG: usize = (16 << 20) + 1;

/// Delay of late answers.
pub const LATE: Duration = Duration::from_secs(1);

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointFaults {
    /// Time of an answer.
    pub work_time: Duration,
    /// Bytes that are added to each answer.
    pub padding: usize,
    /// Slots; further requests are refused as not started.
    pub slots: u32,
    /// Requests are answered with status 500 at once.
    pub failing: bool,
    /// Asks for no new work in the health answer.
    pub leaving: bool,
    /// What goes wrong with some answers.
    pub answer: AnswerFault,
    /// The fault strikes one request in this many; 1 strikes all.
    pub one_in: u32,
}

/// What goes wrong with the answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// Nothing.
    None,
    /// The request runs but is never answered.
    Silent,
    /// The answer carries another request's id.
    Crossed,
    /// The connection ends within the body.
    Truncated,
    /// The answer is sent twice.
    Doubled,
    /// The request runs, and the connection ends without an answer.
    Lost,
    /// The request is refused as not started, and the connection ends.
    Refused,
    /// The slot is free in time, and the answer comes [`LATE`] after that.
    Late,
    /// The body is longer than the 16 MiB that an entry process takes.
    TooLong,
    /// The body comes in chunks and never ends.
    Endless,
}

impl Default for EndpointFaults {
    fn default() -> Self {
        Self {
            work_time: Duration::from_millis(5),
            padding: 0,
            slots: 8,
            failing: false,
            leaving: false,
            answer: AnswerFault::None,
            one_in: 1,
        }
    }
}

/// What an endpoint saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointRecord {
    /// How often each request id ran.
    pub runs: FxHashMap<String, u32>,
    /// Most requests that ran at once.
    pub peak_busy: u32,
    /// Most connections that were open at once.
    pub peak_connections: u32,
    /// Requests that were refused because all slots were busy.
    pub over_slots: u32,
}

enum EndpointMessage {
    Opened,
    Closed,
    Begin(String, oneshot::Sender<(bool, EndpointFaults)>),
    End,
    Change(EndpointFaults),
    Health(oneshot::Sender<(u32, bool)>),
    Read(oneshot::Sender<EndpointRecord>),
}

/// What holds for all connections of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct ConnectionFaults {
    /// Connections opened before the last change of this number are silent.
    epoch: u32,
    /// Requests run, but none ends.
    held: bool,
}

/// A running endpoint.
#[derive(Clone)]
pub struct EndpointStandin {
    /// Its address.
    pub address: SocketAddr,
    inbox: mpsc::Sender<EndpointMessage>,
    mute: watch::Sender<ConnectionFaults>,
    killed: CancellationToken,
}

impl EndpointStandin {
    /// Starts an endpoint on the address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn start(address: &str, token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind(address).await?;
        let (inbox, messages) = mpsc::channel(1_024);
        let (mute, muted) = watch::channel(ConnectionFaults::default());
        let killed = token.child_token();
        actix_rt::spawn(keep_endpoint(messages, token));
        actix_rt::spawn(accept(listener, inbox.clone(), muted, killed.clone()));
        Ok(Self { address, inbox, mute, killed })
    }

    /// Changes how the endpoint behaves.
    pub async fn set_faults(&self, faults: EndpointFaults) {
        let _ = self.inbox.send(EndpointMessage::Change(faults)).await;
    }

    /// Makes all open connections silent for ever; new ones work.
    pub fn mute_connections(&self) {
        self.mute.send_modify(|faults| faults.epoch += 1);
    }

    /// Holds all requests that run until it is called with `false`.
    pub fn hold(&self, held: bool) {
        self.mute.send_modify(|faults| faults.held = held);
    }

    /// Ends all connections and takes no new ones; what it saw can still be read.
    pub fn kill(&self) {
        self.killed.cancel();
    }

    /// Returns how often each request id ran.
    pub async fn runs(&self) -> FxHashMap<String, u32> {
        self.record().await.runs
    }

    /// Returns what the endpoint saw.
    pub async fn record(&self) -> EndpointRecord {
        let (reply, record) = oneshot::channel();
        let _ = self.inbox.send(EndpointMessage::Read(reply)).await;
        record.await.unwrap_or_default()
    }
}

async fn keep_endpoint(mut messages: mpsc::Receiver<EndpointMessage>, token: CancellationToken) {
    let mut faults = EndpointFaults::default();
    let (mut busy, mut connections, mut begun) = (0_u32, 0_u32, 0_u32);
    let mut record = EndpointRecord::default();
    loop {
        let message = tokio::select! {
            () = token.cancelled() => return,
            Some(message) = messages.recv() => message,
        };
        match message {
            EndpointMessage::Opened => {
                connections += 1;
                record.peak_connections = record.peak_connections.max(connections);
            }
            EndpointMessage::Closed => connections -= 1,
            EndpointMessage::Begin(id, reply) => {
                begun += 1;
                let strikes = begun.is_multiple_of(faults.one_in.max(1));
                let answer = if strikes { faults.answer } else { AnswerFault::None };
                let full = busy >= faults.slots;
                record.over_slots += u32::from(full);
                let runs = !full && answer != AnswerFault::Refused;
                if runs {
                    busy += 1;
                    record.peak_busy = record.peak_busy.max(busy);
                    *record.runs.entry(id).or_default() += 1;
                }
                let _ = reply.send((runs, EndpointFaults { answer, ..faults }));
            }
            EndpointMessage::End => busy -= 1,
            EndpointMessage::Change(changed) => faults = changed,
            EndpointMessage::Health(reply) => {
                let _ = reply.send((busy, faults.leaving));
            }
            EndpointMessage::Read(reply) => {
                let _ = reply.send(record.clone());
            }
        }
    }
}

async fn accept(
    listener: TcpListener,
    inbox: mpsc::Sender<EndpointMessage>,
    mute: watch::Receiver<ConnectionFaults>,
    killed: CancellationToken,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = killed.cancelled() => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let (inbox, mute) = (inbox.clone(), mute.clone());
                connections.spawn_local(async move {
                    let _ = inbox.send(EndpointMessage::Opened).await;
                    let _ = serve(&stream, &inbox, &mute).await;
                    let _ = inbox.send(EndpointMessage::Closed).await;
                });
            }
        }
    }
}

struct RawRequest {
    path: String,
    id: String,
    body: Vec<u8>,
}

/// Serves one connection until either side ends it; `None` ends it.
async fn serve(
    stream: &TcpStream,
    inbox: &mpsc::Sender<EndpointMessage>,
    mute: &watch::Receiver<ConnectionFaults>,
) -> Option<()> {
    let epoch = mute.borrow().epoch;
    let mut buffer = BytesMut::new();
    loop {
        let request = read_request(stream, &mut buffer).await?;
        // The guard of `borrow` must not live on while this waits.
        let silent = mute.borrow().epoch > epoch;
        stay_silent_if(silent, stream).await?;
        if request.path == "/healthz" {
            let (reply, health) = oneshot::channel();
            inbox.send(EndpointMessage::Health(reply)).await.ok()?;
            let (busy, leaving) = health.await.ok()?;
            let body = format!("{{\"busy\":{busy},\"leaving\":{leaving}}}");
            write(stream, &response(200, "content-type: application/json\r\n", body.as_bytes())).await?;
        } else {
            run(stream, inbox, request, epoch, mute).await?;
        }
    }
}

async fn run(
    stream: &TcpStream,
    inbox: &mpsc::Sender<EndpointMessage>,
    request: RawRequest,
    epoch: u32,
    mute: &watch::Receiver<ConnectionFaults>,
) -> Option<()> {
    let (reply, begun) = oneshot::channel();
    inbox.send(EndpointMessage::Begin(request.id.clone(), reply)).await.ok()?;
    let (runs, faults) = begun.await.ok()?;
    let named = format!("x-request-id: {}\r\n", request.id);
    if !runs {
        write(stream, &response(503, &format!("{named}x-not-started: 1\r\n"), b"")).await?;
        return (faults.answer != AnswerFault::Refused).then_some(());
    }
    // Runs apart, so that a caller that goes away does not free the slot early.
    let sender = inbox.clone();
    let mut switches = mute.clone();
    let worked = actix_rt::spawn(async move {
        tokio::time::sleep(if faults.failing { Duration::ZERO } else { faults.work_time }).await;
        let _ = switches.wait_for(|faults| !faults.held).await;
        let _ = sender.send(EndpointMessage::End).await;
    });
    let _ = worked.await;
    let silent = mute.borrow().epoch > epoch;
    stay_silent_if(silent, stream).await?;
    let mut text = format!("answer to {}: {}", request.id, String::from_utf8_lossy(&request.body));
    let padding = if faults.answer == AnswerFault::TooLong { TOO_LONG } else { faults.padding };
    text.extend(std::iter::repeat_n('.', padding));
    let status = if faults.failing { 500 } else { 200 };
    let whole = response(status, &named, text.as_bytes());
    match faults.answer {
        AnswerFault::None | AnswerFault::Refused | AnswerFault::TooLong => write(stream, &whole).await,
        AnswerFault::Endless => {
            let head = format!("HTTP/1.1 200 Status\r\n{named}transfer-encoding: chunked\r\n\r\n");
            write(stream, head.as_bytes()).await?;
            let chunk = [b"10000\r\n".to_vec(), vec![b'.'; 0x1_0000], b"\r\n".to_vec()].concat();
            loop {
                write(stream, &chunk).await?;
            }
        }
        AnswerFault::Late => {
            tokio::time::sleep(LATE).await;
            write(stream, &whole).await
        }
        AnswerFault::Silent => stay_silent_if(true, stream).await,
        AnswerFault::Lost => None,
        AnswerFault::Truncated => {
            write(stream, &whole[..whole.len() - 3]).await?;
            None
        }
        AnswerFault::Doubled => write(stream, &[whole.clone(), whole].concat()).await,
        AnswerFault::Crossed => {
            let other = format!("x-request-id: {}-other\r\n", request.id);
            write(stream, &response(status, &other, text.as_bytes())).await
        }
    }
}

/// Takes what arrives without an answer until the other side ends the connection.
async fn stay_silent_if(silent: bool, stream: &TcpStream) -> Option<()> {
    if !silent {
        return Some(());
    }
    let mut ignored = BytesMut::new();
    loop {
        read_more(stream, &mut ignored).await?;
        ignored.clear();
    }
}

fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}content-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

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
