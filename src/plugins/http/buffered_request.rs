use actix_http::Request;
use bytes::Bytes;

/// A request of a client with its whole body.
#[derive(derive_more::Deref)]
pub struct BufferedRequest {
    /// Request line and headers.
    #[deref]
    pub head: Request,
    /// The body; empty if there is none.
    pub body: Bytes,
}
