/// Why a request is refused before any of it takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum RequestFault {
    /// The request line or a header is malformed, or the framing of the body.
    #[display("malformed")]
    Malformed,
    /// The request line and headers are longer than the limit.
    #[display("head_too_large")]
    HeadTooLarge,
    /// The body is announced or sent longer than the limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The head was not complete in time.
    #[display("head_timeout")]
    HeadTimeout,
    /// The body made no progress or was not complete in time.
    #[display("body_timeout")]
    BodyTimeout,
    /// The process has no room for the request, or another one needs the room more.
    #[display("overloaded")]
    Overloaded,
}
