use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Current claim of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardClaim {
    /// Process that owns the shard.
    pub process: ProcessId,
    /// Fencing token: the log offset of the claim plus one.
    pub token: FencingToken,
}
