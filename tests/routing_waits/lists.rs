//! Seeded lists of arrivals.

#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::time::Duration;

/// Endpoints of the service, each with [`SLOTS`].
pub const ENDPOINTS: usize = 35;
pub const SLOTS: usize = 8;
/// Nine of ten requests are short.
pub const SHORT: Duration = Duration::from_millis(20);
pub const LONG: Duration = Duration::from_millis(200);
/// Requests in one list.
pub const COUNT: usize = 20_000;

/// One request of a list.
#[derive(Clone, Copy)]
pub struct Arrival {
    pub at: Duration,
    pub process: usize,
    pub length: Duration,
}

/// A seeded generator (`SplitMix64`), so that each list repeats exactly.
pub struct SeededNumbers(pub u64);

impl SeededNumbers {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, bound: usize) -> usize {
        usize::try_from(self.next() % bound as u64).unwrap_or_default()
    }

    #[expect(clippy::cast_precision_loss, reason = "only a random fraction")]
    pub fn fraction(&mut self) -> f64 {
        ((self.next() >> 11) as f64 + 1.0) / (1_u64 << 53) as f64
    }
}

/// Returns a list with random gaps at the given load of all slots, in percent.
pub fn arrivals(load: u32, processes: usize, seed: u64) -> Vec<Arrival> {
    let mut numbers = SeededNumbers(seed);
    let mean_length = (SHORT * 9 + LONG) / 10;
    let gap = mean_length.as_secs_f64() * 100.0 / f64::from(load) / f64::from(35 * 8);
    let mut at = Duration::ZERO;
    let mut next = || {
        at += Duration::from_secs_f64(-numbers.fraction().ln() * gap);
        let length = if numbers.below(10) == 0 { LONG } else { SHORT };
        Arrival { at, process: numbers.below(processes), length }
    };
    (0..COUNT).map(|_| next()).collect()
}
