use crate::kernel::cell::{FORMER_CALL_TIME, LATE_CALL_WINDOW, LeaseBasis};
use crate::prelude::*;

/// Assumed lower bound on the rate of a worker's clock, in percent of the true rate.
const MIN_CLOCK_RATE_PERCENT: u32 = 98;
/// Time after the first answer to an owner in which calls of earlier owners may be carried out.
const EARLIER_CALL_WINDOW: Duration = LATE_CALL_WINDOW.saturating_add(FORMER_CALL_TIME);
/// Time that a worker needs to stop its tasks when its lease expires.
const TASK_STOP_TIME: Duration = Duration::from_millis(300);

/// Lease of one worker, which expires by the worker's own clock.
#[derive(Clone, Debug)]
pub struct WorkerLease {
    duration: Duration,
    /// Longest lease that a worker accepts; it shortens longer ones.
    longest: Duration,
    clock_reading: Option<(WorkerTime, Instant)>,
    /// Latest end of a lease by the clock of the present incarnation.
    granted_until: WorkerTime,
    /// Latest end of a lease by the clocks of former incarnations.
    former_until: WorkerTime,
    /// Until when calls of earlier owners may be carried out, whose grants are not known; `None` before the first
    /// answer.
    earlier_calls_until: Option<Instant>,
    expires_by: Instant,
    basis: LeaseBasis,
}

impl WorkerLease {
    /// Returns the lease of a worker, without a clock reading. Each grant lasts for `duration`, and the worker
    /// accepts none above `longest`. Earlier owners may have granted leases that last until `expires_by`.
    #[must_use]
    pub const fn new(duration: Duration, longest: Duration, expires_by: Instant) -> Self {
        Self {
            duration,
            longest,
            clock_reading: None,
            granted_until: Duration::ZERO,
            former_until: Duration::ZERO,
            earlier_calls_until: None,
            expires_by,
            basis: LeaseBasis::Inherited,
        }
    }

    /// Returns the lease of a worker whose connection is opened again within a term at `now`. The connection before may
    /// have granted it leases, and a call for a former incarnation the longest one.
    #[must_use]
    pub fn reopened(duration: Duration, longest: Duration, now: Instant) -> Self {
        let longest_known = longest_real_time(duration.max(longest));
        Self::new(duration, longest, now + longest_known)
    }

    /// Records the worker's clock from an answer that arrived at `now`.
    pub fn note_clock(&mut self, clock: WorkerTime, now: Instant) {
        self.clock_reading = Some((clock, now));
    }

    /// Records that the worker has answered a call of this owner at `now`, and thus refuses those of earlier
    /// owners. None of them can have granted it a lease after that. A call for a former incarnation may have
    /// granted it one that is longer than usual by `extension`.
    pub fn note_fenced(&mut self, extension: Duration, now: Instant) {
        self.earlier_calls_until = Some(now + EARLIER_CALL_WINDOW);
        let expires_by = now + longest_real_time(self.duration) + extension;
        if extension.is_zero() {
            self.shorten(expires_by, LeaseBasis::FirstAnswer);
        } else {
            (self.expires_by, self.basis) = (expires_by, LeaseBasis::FormerIncarnation);
        }
    }

    /// Ends the lease after the worker was found to be gone; nothing runs there any more.
    pub fn end(&mut self, now: Instant) {
        self.clock_reading = None;
        self.former_until = self.former_until.max(self.granted_until);
        self.granted_until = Duration::ZERO;
        (self.expires_by, self.basis) = (now, LeaseBasis::Ended);
    }

    /// Starts anew for another incarnation of the worker, which has answered at `now` and whose clock shows `clock`.
    pub fn restart(&mut self, clock: WorkerTime, now: Instant) {
        self.end(now);
        self.note_former_calls(clock, now);
    }

    /// Records that calls for former incarnations may have been carried out until `now`, when the worker's clock
    /// shows `clock`. Their expiry is a time on a former clock, and the worker shortens a lease to the longest that
    /// it accepts.
    pub fn note_former_calls(&mut self, clock: WorkerTime, now: Instant) {
        let all_grants_known = self.earlier_calls_until.is_some_and(|until| now > until);
        let left = if all_grants_known { self.former_until.saturating_sub(clock) } else { self.longest };
        self.extend(now + longest_real_time(left.min(self.longest)), LeaseBasis::FormerIncarnation);
    }

    /// Records that another incarnation of the worker has answered a call at `now` that may have granted it a
    /// lease by the clock of the earlier one.
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
