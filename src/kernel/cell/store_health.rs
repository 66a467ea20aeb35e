use crate::prelude::*;

/// Health of the store, as the results of the newest appends show it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    failing_since: Option<Instant>,
}

impl StoreHealth {
    /// Records that the store accepted an append, which ends an outage.
    pub const fn record_success(&mut self) {
        self.failing_since = None;
    }

    /// Records that the store refused or did not answer an append, which starts an outage if there is none.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns how long the store has accepted nothing; zero while it is healthy.
    #[must_use]
    pub fn failing_for(&self, now: Instant) -> Duration {
        self.failing_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
