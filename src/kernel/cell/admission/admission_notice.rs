use crate::kernel::cell::admission::{MemoryRoom, QueueWait};

/// What the owner of the cell tells all processes about long waits, and about its memory. A queue or team that it does
/// not name has no long wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionNotice {
    /// The long waits.
    pub waits: Vec<QueueWait>,
    /// Memory for further jobs.
    pub rooms: Vec<MemoryRoom>,
    /// Number of processes that share the rooms.
    pub processes: u64,
}
