use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What an owner says about its term when it releases the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRelease {
    /// Fencing token of the term.
    pub token: FencingToken,
    /// For how long the store had rejected the appends of earlier owners before the release, at least; `None` if the
    /// owner had not fenced them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fenced_for: Option<Duration>,
}
