use crate::kernel::{EndpointHealth, EndpointLoad, EndpointSummary, EndpointVm};
use crate::prelude::*;

/// Failures in a row after which an endpoint is ejected.
const EJECT_AFTER: u32 = 3;
/// Unanswered probes in a row after which an endpoint is ejected.
const EJECT_AFTER_PROBES: u32 = 2;
/// Shortest ejection; doubles each time up to 64 times this.
const EJECT_TIME: Duration = Duration::from_secs(2);
/// Pause after an endpoint refused to start a request; its slots are used by others.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// Probes without work after which attempts that wait longer count as lost.
const IDLE_PROBES: u32 = 2;
/// Smoothed share of failures that counts as failing although some requests are answered.
const FAILING_SHARE: f64 = 0.5;

/// One endpoint of a service partition: its slots, its health and what is known of its past.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The endpoint as listed.
    pub vm: EndpointVm,
    /// Attempts in flight.
    pub busy: u32,
    /// Smoothed time of an answer.
    pub latency: Duration,
    /// Smoothed share of failures, 0 to 1.
    pub failure_rate: f64,
    since: Instant,
    held: Vec<Instant>,
    failed_in_row: u32,
    failed_probes: u32,
    idle_probes: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    full_until: Option<Instant>,
    probation: Option<u32>,
    leaving: bool,
}

impl EndpointState {
    /// Returns the state of an endpoint whose slots may all be in use by an earlier owner.
    #[must_use]
    pub fn new(vm: EndpointVm, since: Instant, hold: Duration) -> Self {
        let all_held = vec![since + hold; vm.slots as usize];
        Self {
            vm,
            busy: 0,
            latency: Duration::ZERO,
            failure_rate: 0.0,
            since,
            held: all_held,
            failed_in_row: 0,
            failed_probes: 0,
            idle_probes: 0,
            ejections: 0,
            ejected_until: None,
            full_until: None,
            probation: None,
            leaving: false,
        }
    }

    /// Returns why the endpoint takes no request now, `None` if it has a free slot.
    #[must_use]
    pub fn unavailable_reason(&self, now: Instant) -> Option<&'static str> {
        if self.vm.leaving || self.leaving {
            return Some("leaving");
        }
        if self.ejected_until.is_some() {
            return Some("ejected");
        }
        if self.full_until.is_some_and(|until| until > now) {
            return Some("refused");
        }
        let held = self.held.iter().filter(|until| **until > now).count();
        let used = self.busy + u32::try_from(held).unwrap_or(u32::MAX);
        let allowed = self.probation.unwrap_or(self.vm.slots).min(self.vm.slots);
        if used >= self.vm.slots {
            return Some(if held > 0 { "slots held" } else { "busy" });
        }
        (self.busy >= allowed).then_some("probation")
    }

    /// Returns the load for the routing policy.
    #[must_use]
    pub fn load(&self, zone: &ZoneId) -> EndpointLoad {
        EndpointLoad {
            vm: self.vm.vm.clone(),
            busy: self.busy,
            slots: self.vm.slots,
            same_zone: self.vm.zone == *zone,
            latency: self.latency,
            failure_rate: if self.failed_probes >= EJECT_AFTER_PROBES { 1.0 } else { self.failure_rate },
        }
    }

    /// Frees the slot of an attempt that was answered in `spent`.
    pub fn note_answer(&mut self, failed: bool, spent: Duration) {
        self.busy = self.busy.saturating_sub(1);
        self.latency = if self.latency.is_zero() { spent } else { (self.latency * 7 + spent) / 8 };
        if failed {
            self.note_failure();
            return;
        }
        self.failure_rate *= 0.875;
        self.failed_in_row = 0;
        if let Some(allowed) = self.probation {
            self.probation = (allowed < self.vm.slots).then_some(allowed + 1);
            if self.probation.is_none() {
                self.ejections = 0;
            }
        }
    }

    /// Frees the slot of an attempt that reached nobody.
    pub fn note_unreachable(&mut self) {
        self.busy = self.busy.saturating_sub(1);
        self.note_failure();
    }

    /// Frees the slot of an attempt that the endpoint refused to start.
    pub fn note_refused(&mut self, now: Instant) {
        self.busy = self.busy.saturating_sub(1);
        self.full_until = Some(now + FULL_PAUSE);
    }

    /// Holds the slot of an attempt that may still run, until a probe shows it free or the time has passed.
    pub fn note_lost(&mut self, held_until: Instant) {
        self.busy = self.busy.saturating_sub(1);
        self.held.push(held_until);
        self.note_failure();
    }

    fn note_failure(&mut self) {
        self.failure_rate = self.failure_rate.mul_add(0.875, 0.125);
        self.failed_in_row += 1;
        if self.probation.is_some() {
            self.failed_in_row = self.failed_in_row.max(EJECT_AFTER);
        }
    }

    /// Takes the result of a probe that was sent at `sent`; `own` counts the attempts in flight that the
    /// endpoint must know of.
    ///
    /// Returns whether these attempts cannot be running there.
    pub fn note_probe(
        &mut self,
        sent: Instant,
        health: Option<EndpointHealth>,
        own: u32,
        now: Instant,
    ) -> bool {
        if sent < self.since {
            // An earlier owner may have started requests after this probe.
            return false;
        }
        let Some(health) = health else {
            self.failed_probes += 1;
            return false;
        };
        self.failed_probes = 0;
        self.leaving = health.leaving;
        self.held.retain(|until| *until > now);
        self.held.truncate(health.busy.saturating_sub(own) as usize);
        self.idle_probes = if health.busy == 0 && own > 0 { self.idle_probes + 1 } else { 0 };
        self.idle_probes >= IDLE_PROBES
    }

    /// Whether the endpoint should take no requests for a while.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failed_in_row >= EJECT_AFTER
            || self.failed_probes >= EJECT_AFTER_PROBES
            || self.failure_rate > FAILING_SHARE
    }

    /// Whether it is ejected or on probation.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Takes no request for a while; longer each time.
    pub fn eject(&mut self, now: Instant) {
        self.ejected_until = Some(now + EJECT_TIME * (1 << self.ejections.min(6)));
        self.ejections += 1;
    }

    /// Ends an ejection that is over; the endpoint starts with one slot and gains one with each answer.
    pub fn readmit(&mut self, now: Instant) {
        let over = self.ejected_until.is_some_and(|until| until <= now);
        if over && self.failed_probes == 0 {
            self.ejected_until = None;
            self.failed_in_row = 0;
            self.failure_rate = 0.0;
            self.probation = Some(1);
        }
    }

    /// Returns the row for operators.
    #[must_use]
    pub fn summary(&self, now: Instant) -> EndpointSummary {
        let state = match self.unavailable_reason(now) {
            Some("leaving") => "leaving",
            Some("ejected") => "ejected",
            _ if self.probation.is_some() => "probation",
            _ => "live",
        };
        EndpointSummary {
            vm: self.vm.vm.clone(),
            zone: self.vm.zone.clone(),
            busy: self.busy,
            slots: self.vm.slots,
            state: state.to_owned(),
        }
    }
}
