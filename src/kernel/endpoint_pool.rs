use std::collections::BTreeMap;

use crate::kernel::{
    AttemptFailure, EndpointHealth, EndpointLoad, EndpointState, EndpointSummary, EndpointVm, RoutingPolicy,
};
use crate::prelude::*;

/// Endpoints are ejected while fewer than one in this many are.
const EJECTED_ONE_IN: usize = 3;

/// The endpoints of one service partition.
pub struct EndpointPool {
    hold: Duration,
    endpoints: BTreeMap<VmId, EndpointState>,
}

/// An endpoint chosen for a request.
pub struct EndpointChoice {
    /// The endpoint.
    pub vm: VmId,
    /// Endpoints that were rejected, counted by reason.
    pub rejected: Vec<(&'static str, u32)>,
}

impl EndpointPool {
    /// Returns an empty pool; `hold` is how long a request of unknown fate may occupy a slot.
    #[must_use]
    pub const fn new(hold: Duration) -> Self {
        Self { hold, endpoints: BTreeMap::new() }
    }

    /// Changes how long slots of requests that are lost from now on are held.
    pub const fn set_hold(&mut self, hold: Duration) {
        self.hold = hold;
    }

    /// Takes over the list; endpoints that are not listed any more finish what they run.
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
                    let state = EndpointState::new(vm, now, self.hold);
                    self.endpoints.insert(state.vm.vm.clone(), state);
                }
            }
        }
    }

    /// Returns the slots of all endpoints that are not leaving, at least 1.
    #[must_use]
    pub fn slots(&self) -> u32 {
        let staying = self.endpoints.values().filter(|endpoint| !endpoint.vm.leaving);
        staying.map(|endpoint| endpoint.vm.slots).sum::<u32>().max(1)
    }

    /// Whether an endpoint has a free slot.
    #[must_use]
    pub fn has_free(&self, now: Instant) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.unavailable_reason(now).is_none())
    }

    /// Takes a slot of the endpoint that the policy chooses for a caller in `zone`.
    pub fn acquire_slot(
        &mut self,
        policy: &RoutingPolicy,
        zone: &ZoneId,
        turn: u64,
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
        let vm = loads.get((policy.choose)(&loads, turn)?)?.vm.clone();
        self.endpoints.get_mut(&vm)?.busy += 1;
        Some(EndpointChoice { vm, rejected })
    }

    /// Notes the answer to an attempt.
    pub fn note_answer(&mut self, vm: &VmId, failed: bool, spent: Duration, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.note_answer(failed, spent);
        }
        self.consider_ejection(vm, now);
    }

    /// Notes that an attempt gave no answer.
    pub fn note_failure(&mut self, vm: &VmId, failure: AttemptFailure, now: Instant) {
        let held_until = now + self.hold;
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            match failure {
                AttemptFailure::Unreachable => endpoint.note_unreachable(),
                AttemptFailure::NotStarted => endpoint.note_refused(now),
                AttemptFailure::Unknown => endpoint.note_lost(held_until),
            }
        }
        self.consider_ejection(vm, now);
    }

    /// Notes a probe; returns whether the `own` older attempts cannot be running there.
    pub fn note_probe(
        &mut self,
        vm: &VmId,
        sent: Instant,
        health: Option<EndpointHealth>,
        own: usize,
        now: Instant,
    ) -> bool {
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        let endpoint = self.endpoints.get_mut(vm);
        let idle = endpoint.is_some_and(|endpoint| endpoint.note_probe(sent, health, own, now));
        self.consider_ejection(vm, now);
        idle
    }

    /// Ends ejections that are over.
    pub fn tick(&mut self, now: Instant) {
        self.endpoints.values_mut().for_each(|endpoint| endpoint.readmit(now));
    }

    /// Returns all endpoints for operators, by name.
    #[must_use]
    pub fn summaries(&self, now: Instant) -> Vec<EndpointSummary> {
        self.endpoints.values().map(|endpoint| endpoint.summary(now)).collect()
    }

    fn consider_ejection(&mut self, vm: &VmId, now: Instant) {
        let ejected = self.endpoints.values().filter(|endpoint| endpoint.is_ejected()).count();
        let room = ejected < self.endpoints.len() / EJECTED_ONE_IN;
        let Some(endpoint) = self.endpoints.get_mut(vm) else { return };
        if room && endpoint.is_failing() && !endpoint.is_ejected() {
            endpoint.eject(now);
        }
    }
}
