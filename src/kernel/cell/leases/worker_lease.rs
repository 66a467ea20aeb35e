use crate::kernel::cell::LeaseBasis;
use crate::prelude::*;

/// Assumed lower bound on the rate of a worker's clock, in percent of the true rate.
const MIN_CLOCK_RATE_PERCENT: u32 = 98;
/// Time that a worker needs to stop its tasks when its lease expires.
const TASK_STOP_TIME: Duration = Duration::from_millis(300);

/// Lease of one worker, which expires by the worker's own clock.
#[derive(Clone, Debug)]
pub struct WorkerLease {
    duration: Duration,
    /// Longest lease that a worker accepts; it shortens longer ones.
    longest: Duration,
    clock_reading: Option<(WorkerTime, Instant)>,
    granted_until: WorkerTime,
    expires_by: Instant,
    basis: LeaseBasis,
}

impl WorkerLease {
    /// Returns the lease of a worker, without a clock reading. Each grant lasts for `duration`, and the worker
    /// accepts none above `longest`. Earlier owners may have granted leases that last until `expires_by`.
    #[must_use]
    pub const fn new(duration: Duration, longest: Duration, expires_by: Instant) -> Self {
        let basis = LeaseBasis::Inherited;
        Self { duration, longest, clock_reading: None, granted_until: Duration::ZERO, expires_by, basis }
    }

    /// Records the worker's clock from an answer that arrived at `now`.
    pub fn note_clock(&mut self, clock: WorkerTime, now: Instant) {
        self.clock_reading = Some((clock, now));
    }

    /// Records that the worker has answered a call of this owner at `now`, and thus refuses those of earlier
    /// owners. None of them can have granted it a lease after that.
    pub fn note_fenced(&mut self, now: Instant) {
        self.shorten(now + longest_real_time(self.duration), LeaseBasis::FirstAnswer);
    }

    /// Ends the lease after the worker was found to be gone; nothing runs there any more.
    pub fn end(&mut self, now: Instant) {
        self.clock_reading = None;
        self.granted_until = Duration::ZERO;
        (self.expires_by, self.basis) = (now, LeaseBasis::Ended);
    }

    /// Starts anew for another incarnation of the worker, whose clock begins anew. Calls that were on their way
    /// may have granted it leases by the clock of the earlier one, which it has shortened to the longest that
    /// it accepts.
    pub fn restart(&mut self, now: Instant) {
        self.end(now);
        self.extend(now + longest_real_time(self.longest), LeaseBasis::FormerIncarnation);
    }

    /// Records that another incarnation of the worker has answered a call at `now` that may have granted it a
    /// lease by the clock of the earlier one. The worker has shortened it to the longest that it accepts.
    pub fn extend_to_longest(&mut self, now: Instant) {
        self.extend(now + longest_real_time(self.longest), LeaseBasis::FormerIncarnation);
    }

    /// Returns the worker's clock in its last answer to a poll, if it is known.
    #[must_use]
    pub fn last_clock(&self) -> Option<WorkerTime> {
        self.clock_reading.map(|(clock, _)| clock)
    }

    /// Grants a lease from now on and returns its end on the worker's clock; `None` while the clock is
    /// unknown.
    pub fn grant(&mut self, now: Instant) -> Option<WorkerTime> {
        let (clock, read_at) = self.clock_reading?;
        let until = clock + now.saturating_duration_since(read_at) + self.duration;
        self.granted_until = self.granted_until.max(until);
        let left = self.granted_until.saturating_sub(clock);
        self.extend(read_at + longest_real_time(left), LeaseBasis::Grant);
        Some(until)
    }

    /// Returns the time by which every lease that was granted so far has certainly expired.
    #[must_use]
    pub const fn expires_by(&self) -> Instant {
        self.expires_by
    }

    /// Returns what [`Self::expires_by`] was worked out from.
    #[must_use]
    pub const fn basis(&self) -> LeaseBasis {
        self.basis
    }

    /// Returns the latest end of a lease that this owner granted by the clock of the present incarnation.
    #[must_use]
    pub const fn granted_until(&self) -> WorkerTime {
        self.granted_until
    }

    fn extend(&mut self, expires_by: Instant, basis: LeaseBasis) {
        if expires_by > self.expires_by {
            (self.expires_by, self.basis) = (expires_by, basis);
        }
    }

    fn shorten(&mut self, expires_by: Instant, basis: LeaseBasis) {
        if expires_by < self.expires_by {
            (self.expires_by, self.basis) = (expires_by, basis);
        }
    }
}

/// Returns the longest real time that a lease of this duration on the worker's clock, which may run slowly, may
/// take until its tasks have stopped.
#[must_use]
pub fn longest_real_time(lease: Duration) -> Duration {
    lease * 100 / MIN_CLOCK_RATE_PERCENT + TASK_STOP_TIME
}
