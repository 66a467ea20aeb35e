use crate::prelude::*;

/// A moment by three clocks. The monotonic clock stops while the VM is suspended; the wall clock may be set right only
/// some time after that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The moment by the monotonic clock.
    pub monotonic: Instant,
    /// The time since the VM was started, with the time for which it was suspended.
    pub since_boot: Duration,
    /// The moment by the wall clock.
    pub wall: SystemTime,
}

impl ClockReading {
    /// Returns the moment that follows after this time by all clocks.
    #[must_use]
    pub fn after(&self, time: Duration) -> Self {
        Self { monotonic: self.monotonic + time, since_boot: self.since_boot + time, wall: self.wall + time }
    }

    /// Returns the time until a later moment by the clock that shows more.
    #[must_use]
    pub fn elapsed_until(&self, later: &Self) -> Duration {
        let monotonic = later.monotonic.saturating_duration_since(self.monotonic);
        let since_boot = later.since_boot.saturating_sub(self.since_boot);
        monotonic.max(since_boot).max(later.wall.duration_since(self.wall).unwrap_or_default())
    }
}
