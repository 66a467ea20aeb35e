use crate::prelude::*;

/// Times that bound how long a worker can keep running tasks without its owner hearing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Lease that a sync grants.
    pub lease: Duration,
    /// Longest time between the moment a report describes and its arrival, request time included.
    pub report_lag: Duration,
    /// Whether workers refuse tokens older than the highest that they have seen. If not, an owner places nothing
    /// until all leases of earlier owners have ended.
    pub fences: bool,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self { lease: Duration::from_secs(30), report_lag: Duration::from_secs(2), fences: true }
    }
}

impl LeaseTiming {
    /// Returns when a lease that was granted no later than `from` has ended on a clock that is 1% slow.
    #[must_use]
    pub fn latest_expiry(&self, from: Instant) -> Instant {
        from + self.lease + self.lease / 100 + self.report_lag
    }
}
