use crate::prelude::*;

/// Assumed lower bound on the rate of a worker's clock, in percent of the true rate.
const MIN_CLOCK_RATE_PERCENT: u32 = 98;
/// Time that a worker needs to stop its tasks when its lease expires.
const TASK_STOP_TIME: Duration = Duration::from_millis(300);

/// Lease of one worker, which expires by the worker's own clock.
#[derive(Clone, Debug)]
pub struct WorkerLease {
    duration: Duration,
    clock_reading: Option<(WorkerTime, Instant)>,
    granted_until: WorkerTime,
    expires_by: Instant,
}

impl WorkerLease {
    /// Returns the lease of a worker, without a clock reading. Earlier owners may have granted leases that
    /// last until `expires_by`.
    #[must_use]
    pub const fn new(duration: Duration, expires_by: Instant) -> Self {
        Self { duration, clock_reading: None, granted_until: Duration::ZERO, expires_by }
    }

    /// Records the worker's clock from an answer that arrived at `now`.
    pub fn note_clock(&mut self, clock: WorkerTime, now: Instant) {
        self.clock_reading = Some((clock, now));
    }

    /// Resets the lease after the worker has restarted; nothing of its earlier incarnation runs any more.
    pub fn reset(&mut self, now: Instant) {
        self.clock_reading = None;
        self.granted_until = Duration::ZERO;
        self.expires_by = now;
    }

    /// Grants a lease from now on and returns its end on the worker's clock; `None` while the clock is
    /// unknown.
    pub fn grant(&mut self, now: Instant) -> Option<WorkerTime> {
        let (clock, read_at) = self.clock_reading?;
        let until = clock + now.saturating_duration_since(read_at) + self.duration;
        self.granted_until = self.granted_until.max(until);
        // The worker's clock may run slowly, so more real time than it shows may pass until the lease
        // expires.
        let left = self.granted_until.saturating_sub(clock);
        self.expires_by = self.expires_by.max(read_at + left * 100 / MIN_CLOCK_RATE_PERCENT + TASK_STOP_TIME);
        Some(until)
    }

    /// Returns the time by which every lease that was granted so far has certainly expired.
    #[must_use]
    pub const fn expires_by(&self) -> Instant {
        self.expires_by
    }
}
