use std::time::Duration;

/// The clock of one incarnation of a worker, which may run slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerClock {
    /// When the incarnation started.
    pub started_at: Duration,
    /// Milliseconds on the clock at that time.
    pub first_ms: u64,
    /// Rate of the clock in thousandths of the true rate.
    pub rate: u32,
}

impl WorkerClock {
    /// Returns the milliseconds on the clock at this time.
    #[must_use]
    pub fn at(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.started_at) * self.rate / 1_000;
        self.first_ms.saturating_add(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}
