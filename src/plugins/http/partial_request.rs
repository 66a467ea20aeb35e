use actix_http::Request;
use bytes::{Bytes, BytesMut};

/// Bytes that are read at once.
pub const INPUT_BYTES: usize = 4_096;
/// Bytes that are read at once into a body that is larger than this.
pub const LARGE_INPUT_BYTES: usize = 16_384;

/// A request of which the head has been read.
pub struct PartialRequest {
    /// Request line and headers.
    pub head: Request,
    /// The body so far.
    pub body: BytesMut,
    /// Length of the body, if it is announced.
    pub announced: Option<usize>,
    /// Bytes of the body on the wire, with the framing of its chunks.
    pub wire_bytes: usize,
    /// Size of the buffer that the head was read into, which the head keeps.
    pub head_capacity: usize,
    /// A decoded part for which the body has no room yet.
    pub unstored: Option<Bytes>,
}

impl PartialRequest {
    /// Makes room for a body of this length; returns the bytes of all buffers for which it needs leave first.
    pub fn make_room(&mut self, length: usize, allowed: usize) -> Option<usize> {
        if length <= self.body.capacity() {
            return None;
        }
        let doubled = length.max(INPUT_BYTES / 2).saturating_mul(2).max(length);
        let capacity = self.announced.map_or(doubled, |announced| doubled.min(announced.max(length)));
        let input = if capacity > LARGE_INPUT_BYTES { LARGE_INPUT_BYTES } else { INPUT_BYTES };
        let total = capacity + input + self.head_capacity.max(INPUT_BYTES);
        if total > allowed {
            return Some(total);
        }
        self.body.reserve(capacity - self.body.len());
        None
    }
}
