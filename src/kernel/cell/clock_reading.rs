use crate::prelude::*;

/// A moment by the monotonic clock and by the wall clock. The monotonic clock stops while the VM is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The moment by the monotonic clock.
    pub monotonic: Instant,
    /// The moment by the wall clock.
    pub wall: SystemTime,
}

impl ClockReading {
    /// Returns the time until a later moment by the clock that shows more.
    #[must_use]
    pub fn elapsed_until(&self, later: &Self) -> Duration {
        let monotonic = later.monotonic.saturating_duration_since(self.monotonic);
        monotonic.max(later.wall.duration_since(self.wall).unwrap_or_default())
    }
}
