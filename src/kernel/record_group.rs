use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The records of one append to the control log.
///
/// A group whose sequence number was already applied is a repeated append and has no effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordGroup {
    /// Process that appends the group.
    pub process: ProcessId,
    /// Sequence number of the group within the process.
    pub sequence: GroupSequence,
    /// Unix time of the process in milliseconds, for the ledger clock; 0 if none.
    #[serde(default)]
    pub at_ms: u64,
    /// Records in the order in which they are applied.
    pub records: Vec<LogRecord>,
}
