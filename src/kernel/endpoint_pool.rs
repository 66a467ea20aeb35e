use std::collections::BTreeMap;

use crate::kernel::{
    AttemptFailure, EndpointHealth, EndpointLoad, EndpointState, EndpointSummary, EndpointVm, RoutingPolicy,
};
use crate::prelude::*;

/// At most one in this many endpoints of a pool is ejected at a time, and none in a smaller pool.
const MAX_EJECTED_ONE_IN: usize = 3;

/// The endpoints of one service partition, with their slots and health.
pub struct EndpointPool {
    hold_time: Duration,
    endpoints: BTreeMap<VmId, EndpointState>,
}

/// An endpoint chosen for a request.
pub struct EndpointChoice {
    /// VM of the chosen endpoint.
    pub vm: VmId,
    /// Number of endpoints that could not take the request, by reason.
    pub rejected: Vec<(&'static str, u32)>,
}

impl EndpointPool {
    /// Returns an empty pool; `hold_time` is how long a slot counts as used after an attempt of unknown
    /// result, and how long all slots of a newly listed endpoint do.
    #[must_use]
    pub const fn new(hold_time: Duration) -> Self {
        Self { hold_time, endpoints: BTreeMap::new() }
    }

    /// Changes the hold time of slots that are held from now on.
    pub const fn set_hold(&mut self, hold_time: Duration) {
        self.hold_time = hold_time;
    }

    /// Replaces the endpoints by those of the VM list. An endpoint that is no longer listed is drained: it
    /// gets no new requests and is removed by the first update at which it has none in flight.
    pub fn update_listing(&mut self, vms: Vec<EndpointVm>, now: Instant) {
        let listed: FastSet<VmId> = vms.iter().map(|vm| vm.vm.clone()).collect();
        for (name, endpoint) in &mut self.endpoints {
            endpoint.vm.leaving |= !listed.contains(name);
        }
        self.endpoints.retain(|name, endpoint| listed.contains(name) || endpoint.busy > 0);
        for vm in vms {
            match self.endpoints.get_mut(&vm.vm) {
                Some(endpoint) if endpoint.vm.address == vm.address => endpoint.vm = vm,
                _ => {
                    let state = EndpointState::new(vm, now, self.hold_time);
                    self.endpoints.insert(state.vm.vm.clone(), state);
                }
            }
        }
    }

    /// Returns the number of slots of all endpoints that are not leaving, at least 1.
    #[must_use]
    pub fn slots(&self) -> u32 {
        let staying = self.endpoints.values().filter(|endpoint| !endpoint.vm.leaving);
        staying.map(|endpoint| endpoint.vm.slots).sum::<u32>().max(1)
    }

    /// Whether any endpoint can take a request now.
    #[must_use]
    pub fn has_free(&self, now: Instant) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.unavailable_reason(now).is_none())
    }

    /// Takes a slot of the endpoint that the policy chooses for a caller in `zone`; `None` if no endpoint has
    /// a free slot. `attempt` is the number of the attempt to start, by which a policy can rotate.
    pub fn acquire_slot(
        &mut self,
        policy: &RoutingPolicy,
        zone: &ZoneId,
        attempt: u64,
        now: Instant,
    ) -> Option<EndpointChoice> {
        let mut loads: Vec<EndpointLoad> = Vec::with_capacity(self.endpoints.len());
        let mut rejected: Vec<(&'static str, u32)> = Vec::new();
        for endpoint in self.endpoints.values() {
            match endpoint.unavailable_reason(now) {
                None => loads.push(endpoint.load(zone)),
                Some(reason) => match rejected.iter_mut().find(|(known, _)| *known == reason) {
                    Some((_, count)) => *count += 1,
                    None => rejected.push((reason, 1)),
                },
            }
        }
        let vm = loads.get((policy.choose)(&loads, attempt)?)?.vm.clone();
        self.endpoints.get_mut(&vm)?.busy += 1;
        Some(EndpointChoice { vm, rejected })
    }

    /// Records the answer to an attempt after `spent` and frees its slot; `failed` means a server error.
    pub fn note_answer(&mut self, vm: &VmId, failed: bool, spent: Duration, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.note_answer(failed, spent);
        }
        self.eject_if_failing(vm, now);
    }

    /// Records an attempt that ended without an answer.
    pub fn note_failure(&mut self, vm: &VmId, failure: AttemptFailure, now: Instant) {
        let held_until = now + self.hold_time;
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            match failure {
                AttemptFailure::Unreachable => endpoint.note_unreachable(),
                AttemptFailure::NotStarted => endpoint.note_refused(now),
                AttemptFailure::Unknown => endpoint.note_unknown(held_until),
            }
        }
        self.eject_if_failing(vm, now);
    }

    /// Records a health probe that was sent at `sent`; `expected_busy` is the number of attempts in flight of
    /// this router that were sent early enough for the probe to count them. Returns whether these attempts
    /// cannot be running on the endpoint.
    pub fn note_probe(
        &mut self,
        vm: &VmId,
        sent: Instant,
        health: Option<EndpointHealth>,
        expected_busy: usize,
        now: Instant,
    ) -> bool {
        let expected_busy = u32::try_from(expected_busy).unwrap_or(u32::MAX);
        let endpoint = self.endpoints.get_mut(vm);
        let idle = endpoint.is_some_and(|endpoint| endpoint.note_probe(sent, health, expected_busy, now));
        self.eject_if_failing(vm, now);
        idle
    }

    /// Readmits endpoints whose ejection time has passed and whose last probe was answered.
    pub fn readmit_due(&mut self, now: Instant) {
        self.endpoints.values_mut().for_each(|endpoint| endpoint.readmit(now));
    }

    /// Returns the state of each endpoint for operators, sorted by VM.
    #[must_use]
    pub fn summaries(&self, now: Instant) -> Vec<EndpointSummary> {
        self.endpoints.values().map(|endpoint| endpoint.summary(now)).collect()
    }

    fn eject_if_failing(&mut self, vm: &VmId, now: Instant) {
        let ejected = self.endpoints.values().filter(|endpoint| endpoint.is_ejected()).count();
        let may_eject = ejected < self.endpoints.len() / MAX_EJECTED_ONE_IN;
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        if may_eject && endpoint.is_failing() && !endpoint.is_ejected() {
            endpoint.eject(now);
        }
    }
}
