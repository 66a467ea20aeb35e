use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The records of one append. A group whose sequence was folded before is a repeated append and has no effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordGroup {
    /// The appending process.
    pub process: ProcessId,
    /// Sequence number of the group within the process.
    pub sequence: GroupSequence,
    /// Unix time of the process in milliseconds; 0 if it gives none.
    #[serde(default)]
    pub at_ms: u64,
    /// The records, in order.
    pub records: Vec<LogRecord>,
}
