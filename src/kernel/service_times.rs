use crate::prelude::*;

/// Answers that must be measured before a request is refused because of its deadline.
const MIN_SAMPLES: u32 = 20;

/// Measured times of answers of one service partition.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    samples: u32,
    mean: Duration,
    floor: Duration,
}

impl ServiceTimes {
    /// Adds the time of one answer.
    pub fn add(&mut self, spent: Duration) {
        if self.samples == 0 {
            (self.mean, self.floor) = (spent, spent);
        }
        self.samples = self.samples.saturating_add(1);
        self.mean = (self.mean * 31 + spent) / 32;
        // Falls at once and rises slowly, so that it stays near the shortest answers.
        self.floor = if spent < self.floor { spent } else { (self.floor * 63 + spent) / 64 };
    }

    /// Returns the smoothed mean.
    #[must_use]
    pub const fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the time of the shortest answers, zero until enough were measured.
    #[must_use]
    pub const fn floor(&self) -> Duration {
        if self.samples < MIN_SAMPLES { Duration::ZERO } else { self.floor }
    }
}
