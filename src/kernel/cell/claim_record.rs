use serde::{Deserialize, Serialize};

use crate::kernel::cell::TermRelease;
use crate::prelude::*;

/// What a record says about the ownership of the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimKind {
    /// The process takes over the ownership.
    Claim,
    /// Heartbeat of the owner.
    Renew,
    /// The owner gives up the ownership.
    Release,
}

/// A record in the claim log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// What the process says about the ownership.
    pub kind: ClaimKind,
    /// Process that wrote the record.
    pub process: ProcessId,
    /// Address at which other processes reach it, `ip:port`.
    pub address: Arc<str>,
    /// What a release says about the term; `None` in other records and in those of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<TermRelease>,
}
