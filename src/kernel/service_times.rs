use crate::prelude::*;

/// Number of measured answers from which the floor is used to refuse requests whose deadline cannot be met.
/// Before that, it counts as zero.
const MIN_SAMPLES: u32 = 20;

/// Smoothed service times of one service partition, measured from dispatch to answer.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    samples: u32,
    mean: Duration,
    floor: Duration,
}

impl ServiceTimes {
    /// Adds the service time of one answer.
    pub fn add(&mut self, spent: Duration) {
        if self.samples == 0 {
            (self.mean, self.floor) = (spent, spent);
        }
        self.samples = self.samples.saturating_add(1);
        self.mean = (self.mean * 31 + spent) / 32;
        // The floor follows a shorter answer at once and rises slowly, so that it stays
        // near the shortest answers.
        self.floor = if spent < self.floor { spent } else { (self.floor * 63 + spent) / 64 };
    }

    /// Returns the smoothed mean service time, zero before the first answer.
    #[must_use]
    pub const fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the service time of the shortest answers, zero until enough answers were measured.
    #[must_use]
    pub const fn floor(&self) -> Duration {
        if self.samples < MIN_SAMPLES { Duration::ZERO } else { self.floor }
    }
}
