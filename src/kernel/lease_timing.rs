use crate::kernel::STALE_AFTER;
use crate::prelude::*;

/// How long the owner of a worker shard may grant leases after the newest time at which certainly no other
/// process owned the shard: a log whose replies take 5 s confirms it within that time.
pub const OWNERSHIP_LEASE: Duration = STALE_AFTER;

/// Durations that bound how long a worker can run tasks without its owner knowing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Duration of the lease that each sync grants to a worker.
    pub lease: Duration,
    /// Maximum age of a report when it arrives, request time included.
    pub report_lag: Duration,
    /// Whether workers reject fencing tokens older than the highest one they have seen. If they do not, a new
    /// owner places no task until all leases of earlier owners have expired.
    pub supports_fencing: bool,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self { lease: Duration::from_secs(30), report_lag: Duration::from_secs(2), supports_fencing: true }
    }
}

impl LeaseTiming {
    /// Returns when a lease that was granted at `from` or earlier has expired, even on a worker whose clock
    /// is 1% slow.
    #[must_use]
    pub fn latest_expiry(&self, from: Instant) -> Instant {
        from + self.lease + self.lease / 100 + self.report_lag
    }

    /// Returns when a lease that an owner grants has expired if another process became the owner at
    /// `succeeded_at`. The former owner may not know that for [`OWNERSHIP_LEASE`].
    #[must_use]
    pub fn latest_expiry_of_former(&self, succeeded_at: Instant) -> Instant {
        self.latest_expiry(succeeded_at) + OWNERSHIP_LEASE
    }
}
