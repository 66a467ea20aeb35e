use crate::kernel::cell::FormerRelease;
use crate::prelude::*;

/// Error of an owner's reading of a worker's clock, which is at most a few seconds old and may run 2% slow.
pub const CLOCK_READING_ERROR: Duration = Duration::from_millis(100);

/// When the leases have expired that earlier owners of the cell granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InheritedLeases {
    /// Time from which the time left in records of earlier owners counts; `None` for that of the replay.
    pub counted_from: Option<Instant>,
    /// When every lease has expired that is not longer than owners grant.
    pub expire_by: Instant,
    /// When the last call of an earlier owner was sent; workers may carry it out later.
    pub calls_end_by: Instant,
}

impl InheritedLeases {
    /// Returns the bounds for an owner that has fenced the earlier ones by `recovered_at`. The leases that owners
    /// grant last for `longest` of real time; without a confirmation of its ownership, an owner goes on granting
    /// them for `ownership_lease`.
    ///
    /// A former owner that has released the cell grants none any more, and those before it granted none from the
    /// end of the ownership lease after it had fenced them. This process may read the release late, but not early.
    #[must_use]
    pub fn new(
        longest: Duration,
        ownership_lease: Duration,
        release: Option<FormerRelease>,
        recovered_at: Instant,
    ) -> Self {
        let (counted_from, granted_for) = match release {
            Some(release) => (release.read_at, ownership_lease.saturating_sub(release.fenced_for)),
            None => (recovered_at, ownership_lease),
        };
        let last = longest + granted_for + CLOCK_READING_ERROR;
        Self {
            counted_from: Some(counted_from),
            expire_by: counted_from + last,
            calls_end_by: counted_from + granted_for + CLOCK_READING_ERROR,
        }
    }
}

impl From<Instant> for InheritedLeases {
    /// Returns the bounds if nothing but the latest end of all leases is known.
    fn from(expire_by: Instant) -> Self {
        Self { counted_from: None, expire_by, calls_end_by: expire_by }
    }
}
