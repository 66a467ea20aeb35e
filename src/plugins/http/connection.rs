use std::future::Future;
use std::io;
use std::rc::Rc;

use actix_http::body::MessageBody;
use actix_http::h1::Message;
use actix_http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, Method, Response, ServiceConfig, StatusCode};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::FutureExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::Instant as Deadline;
use tokio_util::codec::Encoder;
use tokio_util::sync::CancellationToken;

use crate::kernel::connections::{ClientLimits, ConnectionPhase, INCLUDED_BYTES, RequestFault};
use crate::plugins::http::BufferedRequest;
use crate::plugins::http::read_step::ReadStep;
use crate::plugins::http::request_reader::RequestReader;
use crate::plugins::http::server::RefusalEncoder;
use crate::prelude::*;
use crate::tasks::connection_lease::ConnectionLease;

/// How long a client may go on sending after its request was refused, so that the answer reaches it.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes of a refused request that are read and dropped.
const LINGER_BYTES: usize = 1 << 20;
/// Seconds after which a client may repeat a request that found no room.
const OVERLOAD_RETRY_AFTER: &str = "1";
/// Bytes up to which the grants of a connection are rounded, so that few messages are needed.
const GRANT_STEP: usize = 16_384;

/// Why a connection yields no request.
enum ReadEnd {
    /// It is closed without an answer.
    Closed,
    /// The request is refused.
    Refused(RequestFault),
    /// Another connection needs its room.
    Evicted,
}

/// One connection of a client. It owns the socket and all buffers.
pub struct HttpConnection {
    stream: TcpStream,
    reader: RequestReader,
    lease: ConnectionLease,
    limits: watch::Receiver<ClientLimits>,
    refuse: RefusalEncoder,
    stopping: CancellationToken,
    /// Gives the connections of a listener their turns to decode more of a request.
    turns: Arc<Semaphore>,
    /// The turn of this connection, which ends after other tasks had theirs.
    turn: Option<OwnedSemaphorePermit>,
}

impl HttpConnection {
    /// Returns a connection that has not been read from.
    #[must_use]
    pub fn new(
        stream: TcpStream,
        config: ServiceConfig,
        lease: ConnectionLease,
        limits: watch::Receiver<ClientLimits>,
        refuse: RefusalEncoder,
        stopping: CancellationToken,
        turns: Arc<Semaphore>,
    ) -> Self {
        let reader = RequestReader::new(config, INCLUDED_BYTES);
        Self { stream, reader, lease, limits, refuse, stopping, turns, turn: None }
    }

    /// Serves requests until the connection ends.
    pub async fn run<F, R>(mut self, handler: Rc<F>)
    where
        F: Fn(BufferedRequest) -> R,
        R: Future<Output = Response<Bytes>>,
    {
        loop {
            match self.read_request().await {
                Ok(request) => {
                    self.turn = None;
                    self.lease.set_phase(ConnectionPhase::Handling);
                    let is_head = *request.method() == Method::HEAD;
                    let response = tokio::select! {
                        biased;
                        response = handler(request) => response,
                        // The connection is broken, so nobody waits for the answer any more.
                        _ = self.stream.ready(Interest::ERROR) => return,
                    };
                    if !self.answer(response, is_head).await {
                        return;
                    }
                }
                Err(ReadEnd::Closed) => return,
                Err(ReadEnd::Evicted) => {
                    self.answer_evicted();
                    return;
                }
                Err(ReadEnd::Refused(fault)) => {
                    self.turn = None;
                    self.answer_fault(fault).await;
                    return;
                }
            }
        }
    }

    /// Reads the next request.
    async fn read_request(&mut self) -> Result<BufferedRequest, ReadEnd> {
        self.reader.allow(INCLUDED_BYTES);
        if self.reader.is_idle() {
            self.await_first_bytes().await?;
        }
        let limits = *self.limits.borrow();
        let started = Deadline::now();
        let mut body_started = None;
        let mut receiving = false;
        loop {
            let step = self.reader.advance(&limits);
            let needs_more = matches!(step, ReadStep::NeedInput | ReadStep::NeedBytes(_));
            if needs_more && self.reader.has_input() && !std::mem::replace(&mut receiving, true) {
                self.lease.set_phase(ConnectionPhase::Receiving);
            }
            match step {
                ReadStep::Complete(request) => return Ok(request),
                ReadStep::Fault(fault) => return Err(ReadEnd::Refused(fault)),
                ReadStep::NeedBytes(total) => self.reserve(total).await?,
                ReadStep::SendContinue => {
                    self.end_turn().await;
                    let text = b"HTTP/1.1 100 Continue\r\n\r\n";
                    self.stream.write_all(text).await.map_err(|_| ReadEnd::Closed)?;
                }
                ReadStep::NeedInput if self.reader.has_head() => {
                    let body_started = *body_started.get_or_insert_with(Deadline::now);
                    let idle_deadline = Deadline::now() + limits.idle_timeout;
                    let deadline = idle_deadline.min(body_started + limits.exchange_timeout);
                    self.read_input(deadline, RequestFault::BodyTimeout).await?;
                }
                ReadStep::NeedInput => {
                    if self.stopping.is_cancelled() {
                        return Err(ReadEnd::Closed);
                    }
                    self.read_input(started + limits.head_timeout, RequestFault::HeadTimeout).await?;
                }
            }
        }
    }

    /// Waits for the first bytes of a request, without a buffer, and reads them.
    async fn await_first_bytes(&mut self) -> Result<(), ReadEnd> {
        let deadline = Deadline::now() + self.limits.borrow().idle_timeout;
        loop {
            self.reader.free_input();
            tokio::select! {
                biased;
                readable = self.stream.readable() => readable.map_err(|_| ReadEnd::Closed)?,
                () = self.lease.evicted.cancelled() => return Err(ReadEnd::Closed),
                () = self.stopping.cancelled() => return Err(ReadEnd::Closed),
                () = tokio::time::sleep_until(deadline) => return Err(ReadEnd::Closed),
            }
            let (input, room) = self.reader.input();
            match self.stream.read_buf(&mut input.limit(room)).now_or_never() {
                Some(Ok(0) | Err(_)) => return Err(ReadEnd::Closed),
                Some(Ok(_)) => return Ok(()),
                // The last read had taken all bytes without noticing that there were no more.
                None => {}
            }
        }
    }

    /// Reads some bytes; `fault` is the reason for a refusal if none arrive in time.
    async fn read_input(&mut self, deadline: Deadline, fault: RequestFault) -> Result<(), ReadEnd> {
        self.end_turn().await;
        loop {
            let evicted = self.lease.evicted.clone();
            tokio::select! {
                biased;
                () = evicted.cancelled() => return Err(ReadEnd::Evicted),
                readable = self.stream.readable() => readable.map_err(|_| ReadEnd::Closed)?,
                () = tokio::time::sleep_until(deadline) => return Err(ReadEnd::Refused(fault)),
            }
            // The client has sent something, so the wait for a turn is not counted as its delay.
            self.turn = tokio::select! {
                biased;
                () = evicted.cancelled() => return Err(ReadEnd::Evicted),
                turn = self.turns.clone().acquire_owned() => turn.ok(),
            };
            let (input, room) = self.reader.input();
            match self.stream.read_buf(&mut input.limit(room)).now_or_never() {
                Some(Ok(0) | Err(_)) => return Err(ReadEnd::Closed),
                Some(Ok(_)) => return Ok(()),
                // The last read had taken all bytes without noticing that there were no more.
                None => self.turn = None,
            }
        }
    }

    /// Lets other tasks run before another connection gets the turn of this one.
    async fn end_turn(&mut self) {
        if self.turn.is_some() {
            tokio::task::yield_now().await;
            self.turn = None;
        }
    }

    /// Asks for leave to hold this many bytes in all buffers.
    async fn reserve(&mut self, total: usize) -> Result<(), ReadEnd> {
        let extra = total.saturating_sub(INCLUDED_BYTES).next_multiple_of(GRANT_STEP);
        let evicted = self.lease.evicted.clone();
        self.end_turn().await;
        let granted = tokio::select! {
            biased;
            () = evicted.cancelled() => return Err(ReadEnd::Evicted),
            granted = self.lease.reserve(extra) => granted,
        };
        if !granted {
            return Err(ReadEnd::Refused(RequestFault::Overloaded));
        }
        self.reader.allow(INCLUDED_BYTES + extra);
        Ok(())
    }

    /// Sends the answer to a request; returns whether the connection can serve another one.
    async fn answer(&mut self, mut response: Response<Bytes>, is_head: bool) -> bool {
        let wants_close = response.headers().get(CONNECTION).is_some_and(|value| value == "close");
        if wants_close || self.stopping.is_cancelled() || self.lease.evicted.is_cancelled() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let Some((head, body)) = self.encode(response, is_head) else { return false };
        let waits = self.try_send(head, body);
        let sent = match waits {
            Ok(None) => true,
            Ok(Some((head, body))) => self.send_rest(head, body).await,
            Err(_) => false,
        };
        if !sent || !self.reader.can_continue() {
            let _ = self.stream.shutdown().await;
            return false;
        }
        self.lease.set_phase(ConnectionPhase::Idle);
        true
    }

    /// Encodes a response; the body is separate, so that it is not copied.
    fn encode(&mut self, response: Response<Bytes>, is_head: bool) -> Option<(BytesMut, Bytes)> {
        let (response, body) = response.into_parts();
        let mut head = BytesMut::new();
        let message = Message::Item((response, body.size()));
        if let Err(error) = self.reader.codec_mut().encode(message, &mut head) {
            log::error!(error:%; "answer cannot be encoded");
            return None;
        }
        Some((head, if is_head { Bytes::new() } else { body }))
    }

    /// Sends as much of an answer as the socket takes at once; returns the rest.
    fn try_send(&self, head: BytesMut, body: Bytes) -> io::Result<Option<(BytesMut, Bytes)>> {
        let (mut head, mut body) = (head, body);
        while head.has_remaining() || body.has_remaining() {
            let slices = [io::IoSlice::new(&head), io::IoSlice::new(&body)];
            match self.stream.try_write_vectored(&slices) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    let of_head = written.min(head.len());
                    head.advance(of_head);
                    body.advance(written - of_head);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(Some((head, body))),
                Err(error) => return Err(error),
            }
        }
        Ok(None)
    }

    /// Sends the rest of an answer to a client that reads slowly; returns whether all of it was sent.
    async fn send_rest(&mut self, mut head: BytesMut, mut body: Bytes) -> bool {
        let extra = (head.len() + body.len()).saturating_sub(INCLUDED_BYTES);
        self.lease.hold_answer(extra);
        self.lease.set_phase(ConnectionPhase::Answering);
        let limits = *self.limits.borrow();
        let evicted = self.lease.evicted.clone();
        let deadline = Deadline::now() + limits.exchange_timeout;
        loop {
            let progress_deadline = (Deadline::now() + limits.idle_timeout).min(deadline);
            let writable = tokio::select! {
                biased;
                () = evicted.cancelled() => return false,
                writable = self.stream.writable() => writable,
                () = tokio::time::sleep_until(progress_deadline) => return false,
            };
            if writable.is_err() {
                return false;
            }
            match self.try_send(head, body) {
                Ok(None) => return true,
                Ok(Some(rest)) => (head, body) = rest,
                Err(_) => return false,
            }
        }
    }

    /// Closes the connection to make room for others; its buffers are freed first.
    fn answer_evicted(&mut self) {
        self.reader.clear();
        self.lease.report_fault(RequestFault::Overloaded);
        if let Some((head, body)) = self.encode_fault(RequestFault::Overloaded) {
            // Nothing may wait for this client any more.
            let _ = self.try_send(head, body);
        }
    }

    /// Refuses a request and closes the connection after the client has had time to read the answer.
    async fn answer_fault(&mut self, fault: RequestFault) {
        self.reader.clear();
        self.lease.report_fault(fault);
        self.lease.hold_answer(0);
        let Some((head, body)) = self.encode_fault(fault) else { return };
        if !matches!(self.try_send(head, body), Ok(None)) || self.stream.shutdown().await.is_err() {
            return;
        }
        let evicted = self.lease.evicted.clone();
        tokio::select! {
            () = evicted.cancelled() => {}
            () = tokio::time::sleep(LINGER_TIME) => {}
            () = self.drop_input() => {}
        }
    }

    fn encode_fault(&mut self, fault: RequestFault) -> Option<(BytesMut, Bytes)> {
        let mut response = (self.refuse)(fault);
        response.head_mut().set_connection_type(ConnectionType::Close);
        if fault == RequestFault::Overloaded {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(OVERLOAD_RETRY_AFTER));
        }
        self.encode(response, false)
    }

    /// Reads and drops what the client sends, up to a bound.
    async fn drop_input(&mut self) {
        let mut buffer = BytesMut::with_capacity(INCLUDED_BYTES);
        let mut dropped = 0;
        while dropped < LINGER_BYTES {
            match self.stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(read) => dropped += read,
            }
            buffer.clear();
            tokio::task::yield_now().await;
        }
    }
}

/// Returns the status of a refusal.
#[must_use]
pub const fn fault_status(fault: RequestFault) -> StatusCode {
    match fault {
        RequestFault::Malformed => StatusCode::BAD_REQUEST,
        RequestFault::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        RequestFault::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RequestFault::HeadTimeout | RequestFault::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        RequestFault::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Refuses a request with a status and no body.
#[must_use]
pub fn refuse_without_body(fault: RequestFault) -> Response<Bytes> {
    Response::with_body(fault_status(fault), Bytes::new())
}
