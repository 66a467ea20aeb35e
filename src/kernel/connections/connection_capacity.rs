use crate::kernel::connections::ConnectionClass;

/// Bytes that each connection may buffer without asking: a head, the bytes read last and a small body.
pub const INCLUDED_BYTES: usize = 12_288;
/// Largest memory of a process that is taken into account, in MB.
pub const MAX_MEMORY_MB: u64 = 1 << 20;
/// Largest number of descriptors of a process that is taken into account.
pub const MAX_DESCRIPTORS: usize = 1 << 20;

/// Bytes of a connection beside its buffers: the task and the entries in tables.
const OVERHEAD_BYTES: usize = 12_288;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the memory for the buffers of bodies and heads, and the same part for what each connection needs.
const MEMORY_SHARE: usize = 6;
/// Part of the memory for answers that clients have not received. It is larger, as an answer to a request that has
/// run cannot be refused.
const ANSWER_SHARE: usize = 3;
/// Part of the descriptors for connections of clients; the others are for workers, the store and other
/// processes.
const DESCRIPTOR_SHARE: usize = 2;
/// Part of the connections that is kept for operators and readiness checks.
const OPERATOR_SHARE: usize = 16;
/// Fewest connections of each listener group.
const MIN_CONNECTIONS: usize = 16;
/// Fewest bytes for bodies and heads: four bodies of the default limit.
const MIN_BYTES: usize = 1 << 20;

/// How many connections a process holds, and how many bytes they buffer together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCapacity {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of callers from one address.
    pub callers_per_address: usize,
    /// Connections of operators and readiness checks.
    pub operators: usize,
    /// Connections of other entry processes.
    pub peers: usize,
    /// Bytes of requests that all connections together may buffer beyond [`INCLUDED_BYTES`] each.
    pub bytes: usize,
    /// Bytes of answers that clients have not received, beyond the same.
    pub answer_bytes: usize,
}

impl ConnectionCapacity {
    /// Returns the capacity of a process with this memory and this number of descriptors.
    #[must_use]
    pub fn of_machine(memory_mb: u64, descriptors: usize) -> Self {
        let memory =
            usize::try_from(memory_mb.min(MAX_MEMORY_MB)).unwrap_or(usize::MAX).saturating_mul(1 << 20);
        let by_memory = memory / MEMORY_SHARE / (INCLUDED_BYTES + OVERHEAD_BYTES);
        let by_descriptors =
            descriptors.min(MAX_DESCRIPTORS).saturating_sub(FILE_DESCRIPTORS) / DESCRIPTOR_SHARE;
        let connections = by_memory.min(by_descriptors);
        let operators = (connections / OPERATOR_SHARE).max(MIN_CONNECTIONS);
        let callers = connections.saturating_sub(operators).max(MIN_CONNECTIONS);
        Self {
            callers,
            callers_per_address: callers - callers / 4,
            operators,
            peers: (by_descriptors / DESCRIPTOR_SHARE).max(MIN_CONNECTIONS),
            bytes: (memory / MEMORY_SHARE).max(MIN_BYTES),
            answer_bytes: (memory / ANSWER_SHARE).max(MIN_BYTES),
        }
    }

    /// Returns how many connections of a listener group the process holds.
    #[must_use]
    pub const fn connections(&self, class: ConnectionClass) -> usize {
        match class {
            ConnectionClass::Caller => self.callers,
            ConnectionClass::Operator => self.operators,
            ConnectionClass::Peer => self.peers,
        }
    }

    /// Returns how many connections of a listener group one address may have.
    #[must_use]
    pub const fn connections_per_address(&self, class: ConnectionClass) -> usize {
        match class {
            ConnectionClass::Caller => self.callers_per_address,
            ConnectionClass::Operator => self.operators,
            ConnectionClass::Peer => self.peers,
        }
    }
}
