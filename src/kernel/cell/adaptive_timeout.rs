use crate::prelude::*;

/// Weight of the newest answer in the usual time.
const NEWEST: f64 = 0.2;
/// How many times longer than usual an answer may take.
const TOLERANCE: u32 = 8;
/// Usual time before the first answer.
const FIRST: Duration = Duration::from_millis(60);

/// How long to wait for the answers of a service whose speed changes and whose answers may get lost.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveTimeout {
    shortest: Duration,
    longest: Duration,
    usual: Duration,
    failures: u32,
}

impl AdaptiveTimeout {
    /// Returns a timing that waits between `shortest` and `longest`.
    #[must_use]
    pub const fn new(shortest: Duration, longest: Duration) -> Self {
        Self { shortest, longest, usual: FIRST, failures: 0 }
    }

    /// Returns how long to wait for the next answer; twice as long after each that did not come.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let wait = (self.usual * TOLERANCE).max(self.shortest);
        wait.saturating_mul(1 << self.failures.min(8)).min(self.longest)
    }

    /// Notes an answer that took a time.
    pub fn answer(&mut self, took: Duration) {
        self.failures = 0;
        self.usual = self.usual.mul_f64(1.0 - NEWEST) + took.mul_f64(NEWEST);
    }

    /// Returns how many answers in a row did not come.
    #[must_use]
    pub const fn misses(&self) -> u32 {
        self.failures
    }

    /// Notes that no answer came in time.
    pub const fn miss(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }
}
