use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What a process says about the ownership of the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimKind {
    /// It takes the cell over.
    Claim,
    /// It still owns the cell.
    Renew,
    /// It gives the cell up.
    Release,
}

/// A record in the log of claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// What it says.
    pub kind: ClaimKind,
    /// The process.
    pub process: ProcessId,
    /// Where other processes reach it, `ip:port`.
    pub address: Arc<str>,
}
