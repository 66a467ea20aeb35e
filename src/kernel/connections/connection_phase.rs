/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It waits for a request.
    Idle,
    /// It receives a request.
    Receiving,
    /// Its request is complete and being answered. It is never closed for the sake of others, as its request may
    /// take effect.
    Handling,
    /// Its client receives an answer.
    Answering,
}
