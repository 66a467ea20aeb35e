use crate::prelude::*;

/// What an owner may do at one moment of its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermAuthority {
    /// Whether the store has confirmed the ownership recently enough to grant leases.
    pub is_confirmed: bool,
    /// Highest fencing token below that of each successor.
    pub newest_token: FencingToken,
}
