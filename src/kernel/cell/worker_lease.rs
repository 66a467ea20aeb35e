use crate::prelude::*;

/// Slowest rate of a worker's clock, in percent of the true rate.
const SLOWEST_CLOCK_PERCENT: u32 = 98;
/// Time for the end of a lease to stop the tasks of a worker.
const STOP_TIME: Duration = Duration::from_millis(300);

/// The lease of one worker, which is counted on the worker's own clock.
#[derive(Clone, Debug)]
pub struct WorkerLease {
    length: Duration,
    reading: Option<(WorkerTime, Instant)>,
    granted: WorkerTime,
    bound: Instant,
}

impl WorkerLease {
    /// Returns the lease of a worker whose earlier owners may have granted one until `bound`.
    #[must_use]
    pub const fn new(length: Duration, bound: Instant) -> Self {
        Self { length, reading: None, granted: Duration::ZERO, bound }
    }

    /// Notes the worker's clock as an answer that arrived at `now` gave it.
    pub fn note_clock(&mut self, clock: WorkerTime, now: Instant) {
        self.reading = Some((clock, now));
    }

    /// Forgets the clock, as the worker has started anew; nothing of its earlier life runs any more.
    pub fn forget(&mut self, now: Instant) {
        self.reading = None;
        self.granted = Duration::ZERO;
        self.bound = now;
    }

    /// Returns the end of a lease that is granted now, on the worker's clock; `None` while the clock is unknown.
    pub fn grant(&mut self, now: Instant) -> Option<WorkerTime> {
        let (clock, read) = self.reading?;
        let until = clock + now.saturating_duration_since(read) + self.length;
        self.granted = self.granted.max(until);
        // The clock may have run slowly since the reading.
        let left = self.granted.saturating_sub(clock);
        self.bound = self.bound.max(read + left * 100 / SLOWEST_CLOCK_PERCENT + STOP_TIME);
        Some(until)
    }

    /// Returns a time at which every lease that was granted so far is surely over.
    #[must_use]
    pub const fn over_at(&self) -> Instant {
        self.bound
    }
}
