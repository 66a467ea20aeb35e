use crate::kernel::connections::ConnectionId;

/// A decision of the connection table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEffect {
    /// The connection is served.
    Admit(ConnectionId),
    /// The connection may buffer the bytes that it asked for.
    Grant(ConnectionId),
    /// The connection may not buffer the bytes that it asked for, as others hold them for requests that are
    /// being answered.
    Deny(ConnectionId),
    /// The connection is closed to make room for others.
    Evict(ConnectionId),
}
