use std::net::IpAddr;

use crate::kernel::connections::{ConnectionClass, ConnectionPhase};

/// State of a connection in the connection table.
#[derive(Clone, Debug)]
pub struct ConnectionEntry {
    /// Address of the client.
    pub address: IpAddr,
    /// Listener group of the connection.
    pub class: ConnectionClass,
    /// What the connection does.
    pub phase: ConnectionPhase,
    /// Bytes of its request that it may buffer beyond those that every connection has.
    pub bytes: usize,
    /// Bytes of an answer that its client has not received.
    pub answer_bytes: usize,
    /// Position of its last progress among the progress of all connections.
    pub progress: u64,
    /// Whether it has been told to close.
    pub evicted: bool,
}

impl ConnectionEntry {
    /// Returns whether the connection may be closed for the sake of others.
    #[must_use]
    pub fn is_evictable(&self) -> bool {
        !self.evicted && self.phase != ConnectionPhase::Handling
    }
}
