use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The present owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardClaim {
    /// The owning process.
    pub process: ProcessId,
    /// Fencing token: the offset of the claim.
    pub token: FencingToken,
}
