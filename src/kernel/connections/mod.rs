//! Decides which connections of clients a process holds and how many bytes each of them may buffer.

mod client_limits;
mod connection_capacity;
mod connection_class;
mod connection_effect;
mod connection_entry;
mod connection_phase;
mod connection_table;
mod request_fault;

pub use client_limits::ClientLimits;
pub use connection_capacity::{ConnectionCapacity, INCLUDED_BYTES, MAX_DESCRIPTORS, MAX_MEMORY_MB};
pub use connection_class::ConnectionClass;
pub use connection_effect::ConnectionEffect;
pub use connection_entry::ConnectionEntry;
pub use connection_phase::ConnectionPhase;
pub use connection_table::ConnectionTable;
pub use request_fault::RequestFault;

/// Number of a connection, unique in a process.
pub type ConnectionId = u64;
