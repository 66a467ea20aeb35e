use crate::prelude::*;

/// Leases that calls for a former incarnation may have granted to the present one of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormerLease {
    /// When every such lease has expired.
    pub expires_by: Instant,
    /// Runs that were confirmed before this time are gone with the former incarnation; `None` if the present one has
    /// reported since, so that every run that is left may be its own.
    pub gone_before: Option<Instant>,
}

impl FormerLease {
    /// Returns whether a run that was confirmed at this time may be on the present incarnation.
    #[must_use]
    pub fn may_cover(&self, confirmed_at: Option<Instant>) -> bool {
        let is_gone = |confirmed_at| self.gone_before.is_some_and(|before| confirmed_at < before);
        !confirmed_at.is_some_and(is_gone)
    }
}
