use crate::prelude::*;

/// Weight of the newest answer in the moving average of response times.
const NEWEST_WEIGHT: f64 = 0.2;
/// Timeout as a multiple of the average response time.
const TIMEOUT_FACTOR: u32 = 8;
/// Average response time that is assumed before the first answer.
const INITIAL_RESPONSE_TIME: Duration = Duration::from_millis(60);

/// Timeout for the calls of a service whose speed changes and whose answers may get lost.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveTimeout {
    min_timeout: Duration,
    max_timeout: Duration,
    average: Duration,
    consecutive_timeouts: u32,
}

impl AdaptiveTimeout {
    /// Returns a timeout that stays between `min_timeout` and `max_timeout`.
    #[must_use]
    pub const fn new(min_timeout: Duration, max_timeout: Duration) -> Self {
        Self { min_timeout, max_timeout, average: INITIAL_RESPONSE_TIME, consecutive_timeouts: 0 }
    }

    /// Returns the timeout of the next call. It doubles with each of the first eight timeouts in a row, up
    /// to the maximum.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let wait = (self.average * TIMEOUT_FACTOR).max(self.min_timeout);
        wait.saturating_mul(1 << self.consecutive_timeouts.min(8)).min(self.max_timeout)
    }

    /// Records an answer that arrived after `took`, and ends a series of timeouts.
    pub fn record_answer(&mut self, took: Duration) {
        self.consecutive_timeouts = 0;
        self.average = self.average.mul_f64(1.0 - NEWEST_WEIGHT) + took.mul_f64(NEWEST_WEIGHT);
    }

    /// Returns how many calls in a row have timed out.
    #[must_use]
    pub const fn consecutive_timeouts(&self) -> u32 {
        self.consecutive_timeouts
    }

    /// Records that a call has timed out.
    pub const fn record_timeout(&mut self) {
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
    }
}
