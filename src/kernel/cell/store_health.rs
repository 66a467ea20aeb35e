use crate::prelude::*;

/// Whether the store takes records, as far as the last appends show.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    failing_since: Option<Instant>,
}

impl StoreHealth {
    /// Notes that the store took records.
    pub const fn succeed(&mut self) {
        self.failing_since = None;
    }

    /// Notes that it did not, or did not answer.
    pub fn fail(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns how long it has taken nothing; zero while it does.
    #[must_use]
    pub fn failing_for(&self, now: Instant) -> Duration {
        self.failing_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
