use crate::kernel::{EndpointHealth, EndpointLoad, EndpointSummary, EndpointVm};
use crate::prelude::*;

/// Consecutive failed attempts after which an endpoint is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Consecutive unanswered probes after which an endpoint is ejected.
const EJECT_AFTER_PROBES: u32 = 2;
/// Duration of the first ejection; doubles with each further one, up to 64 times this.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Pause in dispatches after an endpoint refused to start a request, because other senders use its slots.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
/// Consecutive probes that report no work after which the attempts in flight are abandoned.
const ABANDON_AFTER_IDLE_PROBES: u32 = 2;
/// Smoothed failure rate above which an endpoint is ejected although some of its attempts are answered.
const MAX_FAILURE_RATE: f64 = 0.5;

/// Slots and health of one endpoint of a service partition.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The endpoint as the VM list gives it.
    pub vm: EndpointVm,
    /// Number of attempts of this router in flight.
    pub busy: u32,
    /// Smoothed time to an answer; zero before the first one.
    pub latency: Duration,
    /// Smoothed fraction of attempts that failed, 0 to 1.
    pub failure_rate: f64,
    /// When this router started to use the endpoint.
    tracked_since: Instant,
    /// For each slot that an attempt of unknown result may still use: until when it counts as used.
    held_until: Vec<Instant>,
    consecutive_failures: u32,
    consecutive_failed_probes: u32,
    consecutive_idle_probes: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    paused_until: Option<Instant>,
    /// Slots that may be used after a readmission; `None` outside of probation.
    probation_slots: Option<u32>,
    /// Whether the last answered probe said that the endpoint wants no new work.
    reported_leaving: bool,
}

impl EndpointState {
    /// Returns the state of an endpoint that was just listed. All its slots are held for `hold_time`, as
    /// requests of an earlier owner of the partition may use them.
    #[must_use]
    pub fn new(vm: EndpointVm, now: Instant, hold_time: Duration) -> Self {
        let all_held = vec![now + hold_time; vm.slots as usize];
        Self {
            vm,
            busy: 0,
            latency: Duration::ZERO,
            failure_rate: 0.0,
            tracked_since: now,
            held_until: all_held,
            consecutive_failures: 0,
            consecutive_failed_probes: 0,
            consecutive_idle_probes: 0,
            ejections: 0,
            ejected_until: None,
            paused_until: None,
            probation_slots: None,
            reported_leaving: false,
        }
    }

    /// Returns why the endpoint cannot take a request now, `None` if it can.
    #[must_use]
    pub fn unavailable_reason(&self, now: Instant) -> Option<&'static str> {
        if self.vm.leaving || self.reported_leaving {
            return Some("leaving");
        }
        if self.ejected_until.is_some() {
            return Some("ejected");
        }
        if self.paused_until.is_some_and(|until| until > now) {
            return Some("refused");
        }
        let held = self.held_until.iter().filter(|until| **until > now).count();
        let used = self.busy + u32::try_from(held).unwrap_or(u32::MAX);
        let allowed = self.probation_slots.unwrap_or(self.vm.slots).min(self.vm.slots);
        if used >= self.vm.slots {
            return Some(if held > 0 { "slots held" } else { "busy" });
        }
        (self.busy >= allowed).then_some("probation")
    }

    /// Returns the load that the routing policy compares, for a caller in `zone`.
    #[must_use]
    pub fn load(&self, zone: &ZoneId) -> EndpointLoad {
        EndpointLoad {
            vm: self.vm.vm.clone(),
            busy: self.busy,
            slots: self.vm.slots,
            same_zone: self.vm.zone == *zone,
            latency: self.latency,
            // An endpoint that fails its probes may be in use, because the pool limits ejections.
            failure_rate: if self.consecutive_failed_probes >= EJECT_AFTER_PROBES {
                1.0
            } else {
                self.failure_rate
            },
        }
    }

    /// Records an answer after `spent` and frees the slot; `failed` means a server error.
    pub fn note_answer(&mut self, failed: bool, spent: Duration) {
        self.busy = self.busy.saturating_sub(1);
        self.latency = if self.latency.is_zero() { spent } else { (self.latency * 7 + spent) / 8 };
        if failed {
            self.note_failure();
            return;
        }
        self.failure_rate *= 0.875;
        self.consecutive_failures = 0;
        if let Some(allowed) = self.probation_slots {
            self.probation_slots = (allowed < self.vm.slots).then_some(allowed + 1);
            if self.probation_slots.is_none() {
                self.ejections = 0;
            }
        }
    }

    /// Records an attempt of which nothing was sent, and frees its slot.
    pub fn note_unreachable(&mut self) {
        self.busy = self.busy.saturating_sub(1);
        self.note_failure();
    }

    /// Records an attempt that the endpoint refused to start, and frees its slot.
    pub fn note_refused(&mut self, now: Instant) {
        self.busy = self.busy.saturating_sub(1);
        self.paused_until = Some(now + REFUSAL_PAUSE);
    }

    /// Records an attempt that may still run. Its slot is held until `held_until`, or
    /// until a probe shows it free.
    pub fn note_unknown(&mut self, held_until: Instant) {
        self.busy = self.busy.saturating_sub(1);
        self.held_until.push(held_until);
        self.note_failure();
    }

    fn note_failure(&mut self) {
        self.failure_rate = self.failure_rate.mul_add(0.875, 0.125);
        self.consecutive_failures += 1;
        if self.probation_slots.is_some() {
            // One failure during probation is enough for another ejection.
            self.consecutive_failures = self.consecutive_failures.max(EJECT_AFTER_FAILURES);
        }
    }

    /// Records the result of a health probe that was sent at `sent`, `None` if it was not answered;
    /// `expected_busy` is the number of attempts in flight of this router that were sent early enough for the
    /// probe to count them.
    ///
    /// Returns whether these attempts cannot be running on the endpoint.
    pub fn note_probe(
        &mut self,
        sent: Instant,
        health: Option<EndpointHealth>,
        expected_busy: u32,
        now: Instant,
    ) -> bool {
        if sent < self.tracked_since {
            // An earlier owner of the partition may have sent requests after this probe.
            return false;
        }
        let Some(health) = health else {
            self.consecutive_failed_probes += 1;
            return false;
        };
        self.consecutive_failed_probes = 0;
        self.reported_leaving = health.leaving;
        self.held_until.retain(|until| *until > now);
        // No more slots can be held than the endpoint reports busy beyond the attempts of this router.
        self.held_until.truncate(health.busy.saturating_sub(expected_busy) as usize);
        self.consecutive_idle_probes =
            if health.busy == 0 && expected_busy > 0 { self.consecutive_idle_probes + 1 } else { 0 };
        self.consecutive_idle_probes >= ABANDON_AFTER_IDLE_PROBES
    }

    /// Whether attempts or probes fail so often that the endpoint should be ejected.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= EJECT_AFTER_FAILURES
            || self.consecutive_failed_probes >= EJECT_AFTER_PROBES
            || self.failure_rate > MAX_FAILURE_RATE
    }

    /// Whether the endpoint is ejected; one on probation is not.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Ejects the endpoint from `now` on. The duration doubles with each ejection until
    /// a probation is completed.
    pub fn eject(&mut self, now: Instant) {
        self.ejected_until = Some(now + MIN_EJECTION_TIME * (1 << self.ejections.min(6)));
        self.ejections += 1;
    }

    /// Readmits the endpoint if its ejection time has passed and its last probe was answered. It starts with
    /// one slot and gains one with each answer.
    pub fn readmit(&mut self, now: Instant) {
        let over = self.ejected_until.is_some_and(|until| until <= now);
        if over && self.consecutive_failed_probes == 0 {
            self.ejected_until = None;
            self.consecutive_failures = 0;
            self.failure_rate = 0.0;
            self.probation_slots = Some(1);
        }
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn summary(&self, now: Instant) -> EndpointSummary {
        let state = match self.unavailable_reason(now) {
            Some("leaving") => "leaving",
            Some("ejected") => "ejected",
            _ if self.probation_slots.is_some() => "probation",
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
