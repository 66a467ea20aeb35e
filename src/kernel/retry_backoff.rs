use crate::prelude::*;

/// Waits between attempts: doubling, bounded and jittered.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Returns a backoff that starts at `first` and never waits longer than `longest`.
    #[must_use]
    pub const fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest, failures: 0 }
    }

    /// Notes a failure and returns the wait before the next attempt; `random` decides the jitter.
    pub fn next_delay(&mut self, random: u64) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(16));
        let bound = doubled.min(self.longest);
        self.failures = self.failures.saturating_add(1);
        // Between half and all of the bound, so that processes that failed together do not return together.
        let half = bound / 2;
        let spread = u64::try_from(half.as_millis()).unwrap_or(u64::MAX).max(1);
        half + Duration::from_millis(random % spread)
    }

    /// Notes a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
