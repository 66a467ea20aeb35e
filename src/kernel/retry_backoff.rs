use crate::prelude::*;

/// Exponential backoff between attempts, with an upper bound and jitter.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    base_delay: Duration,
    max_delay: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Returns a backoff whose delay is at most `base_delay` after the first failure, doubles with each
    /// further one and never exceeds `max_delay`.
    #[must_use]
    pub const fn new(base_delay: Duration, max_delay: Duration) -> Self {
        Self { base_delay, max_delay, failures: 0 }
    }

    /// Records a failure and returns the delay before the next attempt; `random` determines the jitter.
    pub fn next_delay(&mut self, random: u64) -> Duration {
        let doubled = self.base_delay.saturating_mul(1 << self.failures.min(16));
        let bound = doubled.min(self.max_delay);
        self.failures = self.failures.saturating_add(1);
        // Between half and all of the bound, so that processes that failed together do not retry together.
        let half = bound / 2;
        let jitter_range = u64::try_from(half.as_millis()).unwrap_or(u64::MAX).max(1);
        half + Duration::from_millis(random % jitter_range)
    }

    /// Records a success, so that the next delay starts from the base again.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
