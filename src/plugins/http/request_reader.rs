use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage, Request, ServiceConfig};
use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::kernel::connections::{ClientLimits, RequestFault};
use crate::plugins::http::BufferedRequest;
use crate::plugins::http::partial_request::{INPUT_BYTES, LARGE_INPUT_BYTES, PartialRequest};
use crate::plugins::http::read_step::ReadStep;

/// Reads the requests of one connection from the bytes that its client sends.
///
/// It holds no more bytes than it was allowed to: the head in one buffer, the body in another one that grows with
/// what arrives, not with what is announced.
pub struct RequestReader {
    codec: Codec,
    input: BytesMut,
    /// Length of the input that has been decoded without finding a whole head.
    scanned: usize,
    partial: Option<PartialRequest>,
    /// Bytes that all buffers may hold together.
    allowed: usize,
}

impl RequestReader {
    /// Returns a reader that may hold this many bytes.
    #[must_use]
    pub fn new(config: ServiceConfig, allowed: usize) -> Self {
        Self { codec: Codec::new(config), input: BytesMut::new(), scanned: 0, partial: None, allowed }
    }

    /// Returns the codec, which knows how to answer the request that was read last.
    pub const fn codec_mut(&mut self) -> &mut Codec {
        &mut self.codec
    }

    /// Allows all buffers to hold this many bytes together.
    pub const fn allow(&mut self, bytes: usize) {
        self.allowed = bytes;
    }

    /// Returns whether another request can follow the one that was read last.
    #[must_use]
    pub fn can_continue(&self) -> bool {
        self.codec.message_type() != MessageType::Stream && self.codec.keep_alive()
    }

    /// Returns whether no byte of a request has arrived.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.input.is_empty() && self.partial.is_none()
    }

    /// Returns whether a part of a request has arrived.
    #[must_use]
    pub fn has_input(&self) -> bool {
        !self.is_idle()
    }

    /// Returns whether the head of the request has been read.
    #[must_use]
    pub const fn has_head(&self) -> bool {
        self.partial.is_some()
    }

    /// Frees the buffers; what has been read of a request is lost.
    pub fn clear(&mut self) {
        self.input = BytesMut::new();
        self.scanned = 0;
        self.partial = None;
    }

    /// Frees the input buffer if it is empty.
    pub fn free_input(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }

    /// Returns the input buffer with room for more bytes, and how many of them may be read.
    pub fn input(&mut self) -> (&mut BytesMut, usize) {
        let target = self.input_target();
        let room = target.saturating_sub(self.input.len());
        self.input.reserve(room);
        (&mut self.input, room)
    }

    /// Decodes what has arrived.
    pub fn advance(&mut self, limits: &ClientLimits) -> ReadStep {
        if self.partial.is_none() {
            match self.read_head(limits) {
                Ok(true) => {}
                Ok(false) => return self.need_head_input(limits),
                Err(fault) => return ReadStep::Fault(fault),
            }
            if self.expects_continue() {
                return ReadStep::SendContinue;
            }
        }
        self.read_body(limits)
    }

    /// Returns the size of the input buffer: that of the head, or a part of the body.
    fn input_target(&self) -> usize {
        match &self.partial {
            None => self.head_target(),
            Some(partial) if partial.body.capacity() > LARGE_INPUT_BYTES => LARGE_INPUT_BYTES,
            Some(_) => INPUT_BYTES,
        }
    }

    /// Returns the size of the input buffer that holds the bytes of a head so far, and more to come.
    fn head_target(&self) -> usize {
        if self.input.len() < INPUT_BYTES { INPUT_BYTES } else { self.input.len() * 2 }
    }

    fn need_head_input(&self, limits: &ClientLimits) -> ReadStep {
        if self.input.len() >= limits.head_bytes {
            return ReadStep::Fault(RequestFault::HeadTooLarge);
        }
        let target = self.head_target();
        if target > self.allowed { ReadStep::NeedBytes(target) } else { ReadStep::NeedInput }
    }

    /// Decodes the head of a request; returns whether it is complete.
    fn read_head(&mut self, limits: &ClientLimits) -> Result<bool, RequestFault> {
        // A head ends with a line, so a part of a line after the first bytes cannot complete it.
        if self.input.is_empty() || self.scanned > 0 && !self.input[self.scanned..].contains(&b'\n') {
            return Ok(false);
        }
        self.scanned = self.input.len();
        let head_capacity = self.input.capacity();
        let message = match self.codec.decode(&mut self.input) {
            Ok(None) => return Ok(false),
            Ok(Some(Message::Item(head))) => head,
            Err(ParseError::TooLarge) => return Err(RequestFault::HeadTooLarge),
            Ok(Some(Message::Chunk(_))) | Err(_) => return Err(RequestFault::Malformed),
        };
        let head_bytes = self.scanned - self.input.len();
        self.scanned = 0;
        if head_bytes > limits.head_bytes {
            return Err(RequestFault::HeadTooLarge);
        }
        let announced = announced_length(&message);
        if announced.is_some_and(|length| length > limits.body_bytes) {
            return Err(RequestFault::BodyTooLarge);
        }
        self.partial = Some(PartialRequest {
            head: message,
            body: BytesMut::new(),
            announced,
            wire_bytes: 0,
            head_capacity,
            unstored: None,
        });
        Ok(true)
    }

    /// Returns whether the client waits for leave to send the body and has sent none of it.
    fn expects_continue(&self) -> bool {
        let expects = self.partial.as_ref().is_some_and(|partial| partial.head.head().expect());
        expects && self.codec.message_type() == MessageType::Payload && self.input.is_empty()
    }

    fn read_body(&mut self, limits: &ClientLimits) -> ReadStep {
        let Some(mut partial) = self.partial.take() else { return ReadStep::NeedInput };
        // No protocol can be upgraded to, so bytes after such a request are not read.
        if self.codec.message_type() != MessageType::Payload {
            return ReadStep::Complete(BufferedRequest { head: partial.head, body: Bytes::new() });
        }
        loop {
            if let Some(part) = partial.unstored.take() {
                let length = partial.body.len() + part.len();
                if length > limits.body_bytes {
                    return ReadStep::Fault(RequestFault::BodyTooLarge);
                }
                if let Some(total) = partial.make_room(length, self.allowed) {
                    partial.unstored = Some(part);
                    self.partial = Some(partial);
                    return ReadStep::NeedBytes(total);
                }
                partial.body.extend_from_slice(&part);
            }
            let before = self.input.len();
            let decoded = self.codec.decode(&mut self.input);
            partial.wire_bytes += before - self.input.len();
            if partial.wire_bytes > limits.wire_bytes() {
                return ReadStep::Fault(RequestFault::BodyTooLarge);
            }
            match decoded {
                Ok(Some(Message::Chunk(Some(part)))) => partial.unstored = Some(part),
                Ok(Some(Message::Chunk(None))) => {
                    let body = partial.body.freeze();
                    return ReadStep::Complete(BufferedRequest { head: partial.head, body });
                }
                Ok(Some(Message::Item(_))) | Err(_) => return ReadStep::Fault(RequestFault::Malformed),
                Ok(None) => {
                    self.partial = Some(partial);
                    return ReadStep::NeedInput;
                }
            }
        }
    }
}

/// Returns the length that the headers of a request announce for its body.
fn announced_length(head: &Request) -> Option<usize> {
    let text = head.headers().get(CONTENT_LENGTH)?.to_str().ok()?;
    // A length that is no number of this machine is over every limit.
    Some(text.trim().parse().unwrap_or(usize::MAX))
}
