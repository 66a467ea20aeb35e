use std::time::Duration;

/// Default of [`ClientLimits::head_bytes`].
const DEFAULT_HEAD_BYTES: usize = 16_384;
/// Default of [`ClientLimits::body_bytes`].
const DEFAULT_BODY_BYTES: usize = 262_144;
/// Default of [`ClientLimits::head_timeout`].
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Default of [`ClientLimits::idle_timeout`].
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Default of [`ClientLimits::exchange_timeout`].
const DEFAULT_EXCHANGE_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes on the wire that a body may take for each byte that it is allowed to have. A chunk of one byte takes
/// six.
const WIRE_BYTES_PER_BODY_BYTE: usize = 8;

/// Limits on one connection of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest request line and headers together, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Longest time without a request, and without progress in the body of a request or in an answer.
    pub idle_timeout: Duration,
    /// Longest time from the first byte of a body to its last, and of an answer.
    pub exchange_timeout: Duration,
}

impl ClientLimits {
    /// Returns how many bytes the encoding of a body may take, with the framing of its chunks.
    #[must_use]
    pub const fn wire_bytes(&self) -> usize {
        self.body_bytes.saturating_mul(WIRE_BYTES_PER_BODY_BYTE)
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            exchange_timeout: DEFAULT_EXCHANGE_TIMEOUT,
        }
    }
}
