//! Reproducible lists of request arrivals for routing simulations.

#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::time::Duration;

/// Number of endpoints of the service, each with [`SLOTS`].
pub const ENDPOINTS: usize = 35;
pub const SLOTS: usize = 8;
/// Service time of nine requests in ten; the others take [`LONG_SERVICE_TIME`].
pub const SHORT_SERVICE_TIME: Duration = Duration::from_millis(20);
pub const LONG_SERVICE_TIME: Duration = Duration::from_millis(200);
/// Number of requests in one list.
pub const ARRIVALS_PER_LIST: usize = 20_000;

/// One request of a list: its arrival time, the process that receives it and its service time.
#[derive(Clone, Copy)]
pub struct Arrival {
    pub at: Duration,
    pub process: usize,
    pub service_time: Duration,
}

/// Pseudorandom generator (`SplitMix64`); the same seed gives the same list.
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

/// Returns a list with exponential gaps between arrivals; `load` is the utilisation of all slots in percent.
pub fn arrivals(load: u32, processes: usize, seed: u64) -> Vec<Arrival> {
    let mut numbers = SeededNumbers(seed);
    let mean_service_time = (SHORT_SERVICE_TIME * 9 + LONG_SERVICE_TIME) / 10;
    let gap = mean_service_time.as_secs_f64() * 100.0 / f64::from(load) / f64::from(35 * 8);
    let mut at = Duration::ZERO;
    let mut next = || {
        at += Duration::from_secs_f64(-numbers.fraction().ln() * gap);
        let service_time = if numbers.below(10) == 0 { LONG_SERVICE_TIME } else { SHORT_SERVICE_TIME };
        Arrival { at, process: numbers.below(processes), service_time }
    };
    (0..ARRIVALS_PER_LIST).map(|_| next()).collect()
}
