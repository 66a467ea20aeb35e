use crate::kernel::connections::RequestFault;
use crate::plugins::http::BufferedRequest;

/// What a [`RequestReader`](crate::plugins::http::RequestReader) needs next.
pub enum ReadStep {
    /// More bytes of the client.
    NeedInput,
    /// Leave to hold this many bytes in all its buffers; see [`RequestReader::allow`](crate::plugins::http::RequestReader::allow).
    NeedBytes(usize),
    /// The client waits for leave to send the body.
    SendContinue,
    /// The request is complete.
    Complete(BufferedRequest),
    /// The request is refused.
    Fault(RequestFault),
}
