use std::collections::BTreeMap;

use crate::kernel::{
    AttemptFailure, EndpointHealth, EndpointPool, EndpointSummary, IntentRejection, RefusalReason,
    RequestRefusal, RequestStage, RequestState, RequestTable, RetryBudget, RouteEffect, RouteEvent,
    RouteRequest, RoutingPolicy, ServiceTimes, rendezvous,
};
use crate::prelude::*;

/// Times that a request is sent before its endpoints' refusals are passed on to the caller.
const MAX_REFUSALS: u32 = 8;
/// First wait before a request is sent again; doubles each time.
const RETRY_WAIT: Duration = Duration::from_millis(10);
/// Time after which an endpoint must count a request that it was sent.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// Queue, slots and endpoints of one service partition.
pub struct ServiceRouter {
    policy: RoutingPolicy,
    timeout: Duration,
    endpoints: EndpointPool,
    requests: RequestTable,
    attempts: BTreeMap<AttemptId, AttemptState>,
    budget: RetryBudget,
    times: ServiceTimes,
    next_attempt: AttemptId,
    closing: bool,
    lost: bool,
}

struct AttemptState {
    request: RequestId,
    vm: VmId,
    started: Instant,
    charged: f64,
}

impl ServiceRouter {
    /// Returns a router without endpoints; `timeout` is the longest time of an answer.
    #[must_use]
    pub fn new(policy: RoutingPolicy, timeout: Duration) -> Self {
        Self {
            policy,
            timeout,
            endpoints: EndpointPool::new(timeout),
            requests: RequestTable::default(),
            attempts: BTreeMap::new(),
            budget: RetryBudget::new(),
            times: ServiceTimes::default(),
            next_attempt: 1,
            closing: false,
            lost: false,
        }
    }

    /// Handles one event and returns its effects in order; those for an arrival come first.
    pub fn handle(&mut self, event: RouteEvent, now: Instant) -> Vec<RouteEffect> {
        let mut effects = Vec::new();
        match event {
            RouteEvent::EndpointsListed(vms) => self.endpoints.update_listing(vms, now),
            RouteEvent::TeamsChanged(teams) => self.requests.set_teams(&teams),
            RouteEvent::Arrived(request) => self.arrive(request, now, &mut effects),
            RouteEvent::CallersDisconnected(id) => self.leave(&id, now, &mut effects),
            RouteEvent::IntentAccepted(id) => self.confirm_intent(&id),
            RouteEvent::IntentRefused(id, rejection) => self.refuse_intent(&id, rejection, now, &mut effects),
            RouteEvent::Answered { attempt, status, size } => {
                self.answer(attempt, status, size, now, &mut effects);
            }
            RouteEvent::Failed(attempt, failure) => self.fail(attempt, failure, now, &mut effects),
            RouteEvent::Probed { vm, sent, health } => self.probe(&vm, sent, health, now, &mut effects),
            RouteEvent::Draining => self.closing = true,
            RouteEvent::ClaimLost => self.lose_claim(now, &mut effects),
            RouteEvent::Tick => self.tick(now, &mut effects),
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// Takes over changed settings of the service; they hold for attempts that start from now on.
    pub const fn configure(&mut self, policy: RoutingPolicy, timeout: Duration) {
        self.policy = policy;
        self.timeout = timeout;
        self.endpoints.set_hold(timeout);
    }

    /// Returns all endpoints for operators, by name.
    #[must_use]
    pub fn endpoints(&self, now: Instant) -> Vec<EndpointSummary> {
        self.endpoints.summaries(now)
    }

    /// Explains the present stage of a request; `None` if it is not known here.
    #[must_use]
    pub fn explain(&self, id: &RequestId) -> Option<String> {
        self.requests.get(id).map(RequestState::explain)
    }

    /// Whether the request is known here, so that the ledger need not be asked about it.
    #[must_use]
    pub fn knows(&self, id: &RequestId) -> bool {
        self.requests.get(id).is_some()
    }

    /// Whether no attempt is in flight.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.attempts.is_empty()
    }

    fn arrive(&mut self, request: RouteRequest, now: Instant, effects: &mut Vec<RouteEffect>) {
        let known = self.requests.get(&request.id).map(|state| (state.request.digest, state.stage.clone()));
        let repeat = match &known {
            Some((digest, _)) if *digest != request.digest => Some(id_reused()),
            Some((_, RequestStage::MayHaveRun(refusal))) => Some(refusal.clone()),
            None if request.recorded_digest.is_some_and(|digest| digest != request.digest) => {
                Some(id_reused())
            }
            None if request.recorded_digest.is_some() => Some(answer_unknown()),
            _ => None,
        };
        if let Some(refusal) = repeat {
            effects.push(RouteEffect::RefuseArrival(request.id, refusal));
            return;
        }
        match known.map(|(_, stage)| stage) {
            Some(RequestStage::Answered) => effects.push(RouteEffect::Replay(request.id)),
            Some(RequestStage::RefusedIntentPending) => {
                self.admit(request, RequestStage::IntentPending, now, effects);
            }
            Some(RequestStage::RefusedIntentRecorded) => {
                self.admit(request, RequestStage::Queued, now, effects);
            }
            Some(_) => self.requests.attach_caller(&request),
            None => {
                let record_intent =
                    (!request.idempotent).then(|| RouteEffect::RecordIntent(request.id.clone()));
                let stage =
                    if request.idempotent { RequestStage::Queued } else { RequestStage::IntentPending };
                self.admit(request, stage, now, effects);
                effects.extend(record_intent.filter(|_| effects.is_empty()));
            }
        }
    }

    /// Opens a request unless it cannot be served.
    fn admit(
        &mut self,
        request: RouteRequest,
        stage: RequestStage,
        now: Instant,
        effects: &mut Vec<RouteEffect>,
    ) {
        if let Some(refusal) = self.obstacle(&request, now) {
            effects.push(RouteEffect::RefuseArrival(request.id, refusal));
            return;
        }
        self.requests.admit(request, stage);
    }

    /// Returns why a request is refused on arrival.
    fn obstacle(&self, request: &RouteRequest, now: Instant) -> Option<RequestRefusal> {
        if self.lost || self.closing {
            return Some(owner_changed());
        }
        let slots = self.endpoints.slots();
        let spread = |count: usize| self.times.mean() * u32::try_from(count).unwrap_or(u32::MAX) / slots;
        if !self.requests.has_room(request) {
            let text = "too many requests of the team wait for the service";
            let wait = spread(self.requests.waiting()).max(RETRY_WAIT);
            return Some(RequestRefusal::not_run(RefusalReason::QueueFull, text).with_retry_after(wait));
        }
        let wait = spread(self.requests.ahead(request));
        if now + wait + self.times.floor() >= request.deadline {
            let text = "the deadline cannot be met at the measured service time";
            let wait = spread(self.requests.waiting());
            return Some(RequestRefusal::not_run(RefusalReason::Deadline, text).with_retry_after(wait));
        }
        None
    }

    fn leave(&mut self, id: &RequestId, now: Instant, effects: &mut Vec<RouteEffect>) {
        let Some(state) = self.requests.get_mut(id).filter(|state| state.is_open()) else { return };
        state.has_callers = false;
        if state.stage != RequestStage::InFlight {
            let text = "the caller went away before the request was sent";
            self.refuse(id, RequestRefusal::not_run(RefusalReason::Deadline, text), now, effects);
        }
    }

    fn confirm_intent(&mut self, id: &RequestId) {
        let Some(state) = self.requests.get_mut(id) else { return };
        match state.stage {
            RequestStage::IntentPending => self.requests.enqueue(id),
            RequestStage::RefusedIntentPending => state.stage = RequestStage::RefusedIntentRecorded,
            _ => {}
        }
    }

    fn refuse_intent(
        &mut self,
        id: &RequestId,
        rejection: IntentRejection,
        now: Instant,
        effects: &mut Vec<RouteEffect>,
    ) {
        let Some(state) = self.requests.get(id) else { return };
        if !matches!(state.stage, RequestStage::IntentPending | RequestStage::RefusedIntentPending) {
            return;
        }
        let text = "the intent of a non-idempotent request cannot be recorded now";
        let refusal = match rejection {
            IntentRejection::Duplicate => answer_unknown(),
            IntentRejection::Conflict => id_reused(),
            IntentRejection::Unrecorded => RequestRefusal::not_run(RefusalReason::LogUnavailable, text),
        };
        if state.is_open() {
            self.refuse(id, refusal, now, effects);
        }
        // The ledger answers for this id from now on.
        self.requests.remove(id);
    }

    /// Ends an open request without an answer.
    fn refuse(
        &mut self,
        id: &RequestId,
        refusal: RequestRefusal,
        now: Instant,
        effects: &mut Vec<RouteEffect>,
    ) {
        if let Some(refusal) = self.requests.refuse(id, refusal, now) {
            effects.push(RouteEffect::Refuse(id.clone(), refusal));
        }
    }

    /// Ends an attempt and returns its request and endpoint.
    fn release(&mut self, attempt: AttemptId, now: Instant) -> Option<(AttemptState, Duration)> {
        let ended = self.attempts.remove(&attempt)?;
        let spent = now.saturating_duration_since(ended.started);
        self.requests.charge(&ended.request, spent.as_secs_f64() - ended.charged);
        Some((ended, spent))
    }

    fn answer(
        &mut self,
        attempt: AttemptId,
        status: u16,
        size: usize,
        now: Instant,
        effects: &mut Vec<RouteEffect>,
    ) {
        let Some((ended, spent)) = self.release(attempt, now) else { return };
        self.endpoints.note_answer(&ended.vm, status >= 500, spent, now);
        if status < 500 {
            self.times.add(spent);
        }
        if !self.requests.answer(&ended.request, size, now) {
            return;
        }
        effects.push(RouteEffect::Deliver { request: ended.request, attempt });
        self.evict(now, effects);
    }

    fn fail(
        &mut self,
        attempt: AttemptId,
        failure: AttemptFailure,
        now: Instant,
        effects: &mut Vec<RouteEffect>,
    ) {
        let Some((ended, _)) = self.release(attempt, now) else { return };
        self.endpoints.note_failure(&ended.vm, failure, now);
        let id = ended.request;
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.failures += 1;
        state.may_have_run |= failure == AttemptFailure::Unknown;
        let (failures, idempotent) = (state.failures, state.request.idempotent);
        if self.lost || !state.has_callers {
            self.refuse(&id, owner_changed(), now, effects);
        } else if failure == AttemptFailure::Unknown && !(idempotent && self.budget.spend()) {
            let text = "the endpoint did not answer; the request may have run";
            self.refuse(&id, RequestRefusal::may_have_run(RefusalReason::ConnectionLost, text), now, effects);
        } else if failures >= MAX_REFUSALS {
            let text = "no endpoint could take the request";
            let refusal = RequestRefusal::not_run(RefusalReason::NoEndpoint, text);
            self.refuse(&id, refusal.with_retry_after(Duration::from_secs(1)), now, effects);
        } else {
            self.requests.delay(&id, now + retry_wait(&id, failures));
        }
    }

    fn probe(
        &mut self,
        vm: &VmId,
        sent: Instant,
        health: Option<EndpointHealth>,
        now: Instant,
        effects: &mut Vec<RouteEffect>,
    ) {
        let arrived = |state: &AttemptState| state.vm == *vm && state.started + ARRIVAL_TIME <= sent;
        let old = self.attempts.iter().filter(|(_, state)| arrived(state)).map(|(attempt, _)| *attempt);
        let old: Vec<AttemptId> = old.collect();
        if self.endpoints.note_probe(vm, sent, health, old.len(), now) {
            let abandon = |attempt| RouteEffect::Abandon { vm: vm.clone(), attempt };
            effects.extend(old.into_iter().map(abandon));
        }
    }

    fn lose_claim(&mut self, now: Instant, effects: &mut Vec<RouteEffect>) {
        self.lost = true;
        for id in self.requests.unsent() {
            self.refuse(&id, owner_changed(), now, effects);
        }
    }

    fn tick(&mut self, now: Instant, effects: &mut Vec<RouteEffect>) {
        while let Some(id) = self.requests.pop_expired(now) {
            self.expire(&id, now, effects);
        }
        self.requests.requeue_due(now);
        self.endpoints.tick(now);
        self.evict(now, effects);
    }

    /// Ends the wait of the callers of a request whose deadline has passed.
    fn expire(&mut self, id: &RequestId, now: Instant, effects: &mut Vec<RouteEffect>) {
        let Some(state) = self.requests.get_mut(id) else { return };
        if state.stage == RequestStage::InFlight {
            state.has_callers = false;
            let text = "no answer before the deadline; the request may have run";
            let refusal = RequestRefusal::may_have_run(RefusalReason::Timeout, text);
            effects.push(RouteEffect::RefuseCallers(id.clone(), refusal));
            return;
        }
        let text = "no endpoint was free before the deadline";
        self.refuse(id, RequestRefusal::not_run(RefusalReason::Deadline, text), now, effects);
    }

    fn evict(&mut self, now: Instant, effects: &mut Vec<RouteEffect>) {
        while let Some(id) = self.requests.evict(now) {
            effects.push(RouteEffect::EvictAnswer(id));
        }
    }

    fn dispatch(&mut self, now: Instant, effects: &mut Vec<RouteEffect>) {
        while self.requests.waiting() > 0 && self.endpoints.has_free(now) {
            let Some(id) = self.requests.pop() else { return };
            let Some(state) = self.requests.get_mut(&id) else { continue };
            if now + self.times.floor() >= state.request.deadline {
                self.expire(&id, now, effects);
                continue;
            }
            let (request, attempt) = (&state.request, self.next_attempt);
            let Some(choice) = self.endpoints.acquire_slot(&self.policy, &request.zone, attempt, now) else {
                self.requests.enqueue(&id);
                return;
            };
            if state.failures == 0 {
                self.budget.earn();
            }
            self.next_attempt += 1;
            state.stage = RequestStage::InFlight;
            let charged = self.times.mean().as_secs_f64();
            self.requests.charge(&id, charged);
            let (vm, rejected) = (choice.vm, choice.rejected);
            let started = AttemptState { request: id.clone(), vm: vm.clone(), started: now, charged };
            self.attempts.insert(attempt, started);
            let (timeout, reason) = (self.timeout, self.policy.name);
            effects.push(RouteEffect::Dispatch { attempt, request: id, vm, timeout, reason, rejected });
        }
    }
}

/// Returns the wait before the next attempt; spread by the id, so that retries do not come in step.
fn retry_wait(id: &RequestId, failures: u32) -> Duration {
    let spread = rendezvous::hash(&[id, &failures.to_string()]) % 100;
    let percent = 50 + u32::try_from(spread).unwrap_or(0);
    RETRY_WAIT * (1 << failures.min(6)) * percent / 100
}

fn id_reused() -> RequestRefusal {
    let text = "the request id was used before with another body, service or idempotency";
    RequestRefusal::not_run(RefusalReason::IdReused, text)
}

fn answer_unknown() -> RequestRefusal {
    let text = "the request id was announced before; its answer is not known here";
    RequestRefusal::may_have_run(RefusalReason::AnswerUnknown, text)
}

fn owner_changed() -> RequestRefusal {
    let text = "another process took over the service partition; try again";
    RequestRefusal::not_run(RefusalReason::NoOwner, text)
}
