use std::collections::VecDeque;

use crate::kernel::{
    EndpointLoad, EndpointSummary, EndpointVm, RefusalReason, RouteEffect, RouteEvent, RouteFailure,
    RouteRequest, RoutingPolicy, TeamRefusal,
};
use crate::prelude::*;

/// How long the outcome of a request is kept.
const KEEP_ANSWER: Duration = Duration::from_secs(600);

/// Queue, slots and endpoints of one service partition.
pub struct ServiceRouter {
    policy: RoutingPolicy,
    timeout: Duration,
    endpoints: FastMap<VmId, EndpointState>,
    requests: FastMap<RequestId, RequestState>,
    attempts: FastMap<AttemptId, (RequestId, VmId, Instant)>,
    queue: VecDeque<RequestId>,
    next_attempt: AttemptId,
}

struct EndpointState {
    vm: EndpointVm,
    busy: u32,
    latency: Duration,
    failures: f64,
}

struct RequestState {
    request: RouteRequest,
    stage: RequestStage,
    changed: Instant,
}

#[derive(PartialEq)]
enum RequestStage {
    Announced,
    Queued,
    InFlight,
    Answered,
    Refused(TeamRefusal),
}

impl ServiceRouter {
    /// Returns a router without endpoints.
    #[must_use]
    pub fn new(policy: RoutingPolicy, timeout: Duration) -> Self {
        Self {
            policy,
            timeout,
            endpoints: FastMap::default(),
            requests: FastMap::default(),
            attempts: FastMap::default(),
            queue: VecDeque::new(),
            next_attempt: 1,
        }
    }

    /// Handles one event and returns its effects in order.
    pub fn handle(&mut self, event: RouteEvent, now: Instant) -> Vec<RouteEffect> {
        let mut effects = Vec::new();
        match event {
            RouteEvent::EndpointsListed(vms) => self.list_endpoints(vms),
            RouteEvent::Arrived(request) => self.arrive(request, now, &mut effects),
            RouteEvent::IntentAccepted(id) => self.enqueue(&id, now),
            RouteEvent::IntentRefused(id) => {
                let text = "the request id was announced before; its answer is not known here";
                self.refuse(
                    &id,
                    TeamRefusal::may_have_run(RefusalReason::AnswerUnknown, text),
                    now,
                    &mut effects,
                );
            }
            RouteEvent::IntentFailed(id) => {
                let text = "the intent of a non-idempotent request cannot be recorded now";
                self.refuse(
                    &id,
                    TeamRefusal::not_run(RefusalReason::LogUnavailable, text),
                    now,
                    &mut effects,
                );
            }
            RouteEvent::Answered(attempt, status) => self.answer(attempt, status, now, &mut effects),
            RouteEvent::Failed(attempt, failure) => self.fail(attempt, failure, now, &mut effects),
            RouteEvent::Tick => self.expire(now, &mut effects),
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// Returns all endpoints for operators, by name.
    #[must_use]
    pub fn endpoints(&self) -> Vec<EndpointSummary> {
        let summary = |state: &EndpointState| EndpointSummary {
            vm: state.vm.vm.clone(),
            zone: state.vm.zone.clone(),
            busy: state.busy,
            slots: state.vm.slots,
            state: if state.vm.leaving { "leaving" } else { "live" }.to_owned(),
        };
        let mut summaries: Vec<EndpointSummary> = self.endpoints.values().map(summary).collect();
        summaries.sort_unstable_by(|left, right| left.vm.cmp(&right.vm));
        summaries
    }

    /// Explains the present stage of a request; `None` if it is not known here.
    #[must_use]
    pub fn explain(&self, id: &RequestId) -> Option<String> {
        self.requests.get(id).map(|state| match &state.stage {
            RequestStage::Announced => "waits for its intent record".to_owned(),
            RequestStage::Queued => "waits for a free slot".to_owned(),
            RequestStage::InFlight => "runs on an endpoint".to_owned(),
            RequestStage::Answered => "answered".to_owned(),
            RequestStage::Refused(refusal) => format!("refused: {refusal}"),
        })
    }

    fn list_endpoints(&mut self, vms: Vec<EndpointVm>) {
        let listed: FastSet<VmId> = vms.iter().map(|vm| vm.vm.clone()).collect();
        self.endpoints.retain(|vm, state| listed.contains(vm) || state.busy > 0);
        for vm in vms {
            if let Some(state) = self.endpoints.get_mut(&vm.vm) {
                state.vm = vm;
            } else {
                let name = vm.vm.clone();
                let state = EndpointState { vm, busy: 0, latency: Duration::ZERO, failures: 0.0 };
                self.endpoints.insert(name, state);
            }
        }
    }

    fn arrive(&mut self, request: RouteRequest, now: Instant, effects: &mut Vec<RouteEffect>) {
        let id = request.id.clone();
        if let Some(known) = self.requests.get(&id) {
            if known.request.digest != request.digest {
                let text = "the request id was used before with another body";
                effects.push(RouteEffect::RefuseArrival(
                    id,
                    TeamRefusal::not_run(RefusalReason::IdReused, text),
                ));
            } else if known.stage == RequestStage::Answered {
                effects.push(RouteEffect::Replay(id));
            } else if let RequestStage::Refused(refusal) = &known.stage {
                effects.push(RouteEffect::RefuseArrival(id, refusal.clone()));
            }
            return;
        }
        let idempotent = request.idempotent;
        let stage = if idempotent { RequestStage::Queued } else { RequestStage::Announced };
        self.requests.insert(id.clone(), RequestState { request, stage, changed: now });
        if idempotent {
            self.queue.push_back(id);
        } else {
            effects.push(RouteEffect::Announce(id));
        }
    }

    fn enqueue(&mut self, id: &RequestId, now: Instant) {
        let Some(state) = self.requests.get_mut(id).filter(|state| state.stage == RequestStage::Announced)
        else {
            return;
        };
        state.stage = RequestStage::Queued;
        state.changed = now;
        self.queue.push_back(id.clone());
    }

    fn refuse(&mut self, id: &RequestId, refusal: TeamRefusal, now: Instant, effects: &mut Vec<RouteEffect>) {
        let Some(state) = self.requests.get_mut(id) else { return };
        state.stage = RequestStage::Refused(refusal.clone());
        state.changed = now;
        self.queue.retain(|waiting| waiting != id);
        effects.push(RouteEffect::Refuse(id.clone(), refusal));
    }

    fn release(&mut self, attempt: AttemptId, failed: bool, now: Instant) -> Option<RequestId> {
        let (id, vm, started) = self.attempts.remove(&attempt)?;
        if let Some(state) = self.endpoints.get_mut(&vm) {
            state.busy -= 1;
            state.latency = (state.latency * 7 + now.saturating_duration_since(started)) / 8;
            state.failures = state.failures.mul_add(0.875, if failed { 0.125 } else { 0.0 });
        }
        Some(id)
    }

    fn answer(&mut self, attempt: AttemptId, status: u16, now: Instant, effects: &mut Vec<RouteEffect>) {
        let Some(id) = self.release(attempt, status >= 500, now) else { return };
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.stage = RequestStage::Answered;
        state.changed = now;
        effects.push(RouteEffect::Deliver { request: id, attempt });
    }

    fn fail(
        &mut self,
        attempt: AttemptId,
        failure: RouteFailure,
        now: Instant,
        effects: &mut Vec<RouteEffect>,
    ) {
        let Some(id) = self.release(attempt, true, now) else { return };
        let Some(state) = self.requests.get_mut(&id) else { return };
        if failure == RouteFailure::NotStarted || state.request.idempotent {
            state.stage = RequestStage::Queued;
            self.queue.push_front(id);
            return;
        }
        let text = "the endpoint did not answer; the request may have run";
        self.refuse(&id, TeamRefusal::may_have_run(RefusalReason::ConnectionLost, text), now, effects);
    }

    fn expire(&mut self, now: Instant, effects: &mut Vec<RouteEffect>) {
        let late: Vec<RequestId> =
            self.queue.iter().filter(|id| self.requests[*id].request.deadline <= now).cloned().collect();
        for id in late {
            let text = "no endpoint was free before the deadline";
            self.refuse(&id, TeamRefusal::not_run(RefusalReason::Deadline, text), now, effects);
        }
        let done =
            |state: &RequestState| matches!(state.stage, RequestStage::Answered | RequestStage::Refused(_));
        self.requests.retain(|id, state| {
            let keep = !done(state) || now.saturating_duration_since(state.changed) < KEEP_ANSWER;
            if !keep {
                effects.push(RouteEffect::Forget(id.clone()));
            }
            keep
        });
    }

    fn dispatch(&mut self, now: Instant, effects: &mut Vec<RouteEffect>) {
        while let Some(id) = self.queue.front().cloned() {
            let Some(vm) = self.choose(&id) else { return };
            self.queue.pop_front();
            let Some(state) = self.requests.get_mut(&id) else { continue };
            state.stage = RequestStage::InFlight;
            let attempt = self.next_attempt;
            self.next_attempt += 1;
            let timeout = self.timeout.min(state.request.deadline.saturating_duration_since(now));
            if let Some(endpoint) = self.endpoints.get_mut(&vm) {
                endpoint.busy += 1;
            }
            self.attempts.insert(attempt, (id.clone(), vm.clone(), now));
            let (reason, rejected) = (self.policy.name, Vec::new());
            effects.push(RouteEffect::Dispatch { attempt, request: id, vm, timeout, reason, rejected });
        }
    }

    fn choose(&self, id: &RequestId) -> Option<VmId> {
        let zone = &self.requests.get(id)?.request.zone;
        let mut loads: Vec<EndpointLoad> = self
            .endpoints
            .values()
            .filter(|state| !state.vm.leaving && state.busy < state.vm.slots)
            .map(|state| EndpointLoad {
                vm: state.vm.vm.clone(),
                busy: state.busy,
                slots: state.vm.slots,
                same_zone: state.vm.zone == *zone,
                latency: state.latency,
                failures: state.failures,
            })
            .collect();
        loads.sort_unstable_by(|left, right| left.vm.cmp(&right.vm));
        let index = (self.policy.choose)(&loads, self.next_attempt)?;
        loads.get(index).map(|load| load.vm.clone())
    }
}
