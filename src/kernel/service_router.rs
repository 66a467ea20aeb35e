use std::collections::BTreeMap;

use crate::kernel::{
    AttemptFailure, EndpointHealth, EndpointPool, EndpointSummary, IntentRejection, RefusalReason,
    RequestRefusal, RequestStage, RequestState, RequestTable, RetryBudget, RouteEffect, RouteEvent,
    RouteRequest, RoutingPolicy, ServiceTimes, rendezvous,
};
use crate::prelude::*;

/// Failed attempts after which a request is refused to its caller, although a further attempt would be safe.
const MAX_FAILED_ATTEMPTS: u32 = 8;
/// Base of the retry delay; doubled for each failed attempt of the request, up to 64 times the base, and then
/// multiplied by a jitter from 50 % to 149 %.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time from the dispatch of a request until the endpoint must count it in its answers to health probes.
const MAX_DELIVERY_DELAY: Duration = Duration::from_millis(200);

/// Decides for one service partition which requests are admitted, queued, dispatched, retried and refused.
///
/// A request that is not idempotent is dispatched only after its intent was recorded in the log, and is not
/// sent again after an attempt that may have run.
pub struct ServiceRouter {
    policy: RoutingPolicy,
    timeout: Duration,
    endpoints: EndpointPool,
    requests: RequestTable,
    attempts: BTreeMap<AttemptId, AttemptState>,
    retry_budget: RetryBudget,
    service_times: ServiceTimes,
    next_attempt: AttemptId,
    draining: bool,
    claim_lost: bool,
}

struct AttemptState {
    request: RequestId,
    vm: VmId,
    started: Instant,
    /// Slot time in seconds that was charged to the team at dispatch, an estimate until the attempt ends.
    charged_seconds: f64,
}

impl ServiceRouter {
    /// Returns a router without endpoints; `timeout` bounds the time to the answer of one attempt.
    #[must_use]
    pub fn new(policy: RoutingPolicy, timeout: Duration) -> Self {
        Self {
            policy,
            timeout,
            endpoints: EndpointPool::new(timeout),
            requests: RequestTable::default(),
            attempts: BTreeMap::new(),
            retry_budget: RetryBudget::new(),
            service_times: ServiceTimes::default(),
            next_attempt: 1,
            draining: false,
            claim_lost: false,
        }
    }

    /// Handles one event and returns the effects in order. Effects for an arriving request come first.
    pub fn handle(&mut self, event: RouteEvent, now: Instant) -> Vec<RouteEffect> {
        let mut effects = Vec::new();
        match event {
            RouteEvent::EndpointsListed(vms) => self.endpoints.update_listing(vms, now),
            RouteEvent::TeamsChanged(teams) => self.requests.set_teams(&teams),
            RouteEvent::Arrived(request) => self.handle_arrival(request, now, &mut effects),
            RouteEvent::CallersDisconnected(id) => self.handle_disconnect(&id, now, &mut effects),
            RouteEvent::IntentAccepted(id) => self.confirm_intent(&id),
            RouteEvent::IntentRefused(id, rejection) => self.refuse_intent(&id, rejection, now, &mut effects),
            RouteEvent::Answered { attempt, status, size } => {
                self.handle_answer(attempt, status, size, now, &mut effects);
            }
            RouteEvent::Failed(attempt, failure) => self.handle_failure(attempt, failure, now, &mut effects),
            RouteEvent::Probed { vm, sent, health } => {
                self.handle_probe(&vm, sent, health, now, &mut effects);
            }
            RouteEvent::Draining => self.draining = true,
            RouteEvent::ClaimLost => self.handle_claim_loss(now, &mut effects),
            RouteEvent::Tick => self.tick(now, &mut effects),
        }
        self.dispatch(now, &mut effects);
        effects
    }

    /// Changes the settings of the service; they apply to attempts that start from now on.
    pub const fn configure(&mut self, policy: RoutingPolicy, timeout: Duration) {
        self.policy = policy;
        self.timeout = timeout;
        self.endpoints.set_hold(timeout);
    }

    /// Returns the state of each endpoint for operators, sorted by VM.
    #[must_use]
    pub fn endpoints(&self, now: Instant) -> Vec<EndpointSummary> {
        self.endpoints.summaries(now)
    }

    /// Describes the current stage of a request for operators; `None` if the router
    /// does not know the request.
    #[must_use]
    pub fn explain(&self, id: &RequestId) -> Option<String> {
        self.requests.get(id).map(RequestState::explain)
    }

    /// Whether the router knows the request, so that no lookup in the ledger is needed.
    #[must_use]
    pub fn has_request(&self, id: &RequestId) -> bool {
        self.requests.get(id).is_some()
    }

    /// Whether no attempt is in flight.
    #[must_use]
    pub fn has_no_attempts(&self) -> bool {
        self.attempts.is_empty()
    }

    fn handle_arrival(&mut self, request: RouteRequest, now: Instant, effects: &mut Vec<RouteEffect>) {
        let known = self.requests.get(&request.id).map(|state| (state.request.digest, state.stage.clone()));
        let refusal = match &known {
            Some((digest, _)) if *digest != request.digest => Some(id_reused()),
            Some((_, RequestStage::MayHaveRun(refusal))) => Some(refusal.clone()),
            None if request.recorded_digest.is_some_and(|digest| digest != request.digest) => {
                Some(id_reused())
            }
            None if request.recorded_digest.is_some() => Some(answer_unknown()),
            _ => None,
        };
        if let Some(refusal) = refusal {
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
                // `admit` adds an effect only if it refuses the arrival.
                effects.extend(record_intent.filter(|_| effects.is_empty()));
            }
        }
    }

    /// Opens a request, or refuses the arrival if an admission bound or the deadline forbids it.
    fn admit(
        &mut self,
        request: RouteRequest,
        stage: RequestStage,
        now: Instant,
        effects: &mut Vec<RouteEffect>,
    ) {
        if let Some(refusal) = self.admission_refusal(&request, now) {
            effects.push(RouteEffect::RefuseArrival(request.id, refusal));
            return;
        }
        self.requests.admit(request, stage);
    }

    /// Returns the refusal of a request on arrival, `None` if it may be admitted.
    fn admission_refusal(&self, request: &RouteRequest, now: Instant) -> Option<RequestRefusal> {
        if self.claim_lost || self.draining {
            return Some(no_owner());
        }
        let slots = self.endpoints.slots();
        let queue_time =
            |count: usize| self.service_times.mean() * u32::try_from(count).unwrap_or(u32::MAX) / slots;
        if !self.requests.has_room(request) {
            // `has_room` also refuses if the bodies of the open requests of all teams are too large.
            let text = "too many requests of the team wait for the service";
            let wait = queue_time(self.requests.waiting()).max(BASE_RETRY_DELAY);
            return Some(RequestRefusal::not_run(RefusalReason::QueueFull, text).with_retry_after(wait));
        }
        let wait = queue_time(self.requests.waiting_ahead(request));
        if now + wait + self.service_times.floor() >= request.deadline {
            let text = "the deadline cannot be met at the measured service time";
            let wait = queue_time(self.requests.waiting());
            return Some(RequestRefusal::not_run(RefusalReason::Deadline, text).with_retry_after(wait));
        }
        None
    }

    /// Marks a request as having no callers, and ends it unless it is in flight.
    fn handle_disconnect(&mut self, id: &RequestId, now: Instant, effects: &mut Vec<RouteEffect>) {
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
        // A later arrival of this id is checked against the ledger.
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

    /// Removes an attempt and charges its real duration to the team; returns the attempt and the duration.
    fn end_attempt(&mut self, attempt: AttemptId, now: Instant) -> Option<(AttemptState, Duration)> {
        let ended = self.attempts.remove(&attempt)?;
        let spent = now.saturating_duration_since(ended.started);
        self.requests.charge(&ended.request, spent.as_secs_f64() - ended.charged_seconds);
        Some((ended, spent))
    }

    fn handle_answer(
        &mut self,
        attempt: AttemptId,
        status: u16,
        size: usize,
        now: Instant,
        effects: &mut Vec<RouteEffect>,
    ) {
        let Some((ended, spent)) = self.end_attempt(attempt, now) else { return };
        self.endpoints.note_answer(&ended.vm, status >= 500, spent, now);
        if status < 500 {
            self.service_times.add(spent);
        }
        if !self.requests.answer(&ended.request, size, now) {
            return;
        }
        effects.push(RouteEffect::Deliver { request: ended.request, attempt });
        self.evict(now, effects);
    }

    fn handle_failure(
        &mut self,
        attempt: AttemptId,
        failure: AttemptFailure,
        now: Instant,
        effects: &mut Vec<RouteEffect>,
    ) {
        let Some((ended, _)) = self.end_attempt(attempt, now) else { return };
        self.endpoints.note_failure(&ended.vm, failure, now);
        let id = ended.request;
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.failures += 1;
        state.may_have_run |= failure == AttemptFailure::Unknown;
        let (failures, idempotent) = (state.failures, state.request.idempotent);
        if self.claim_lost || !state.has_callers {
            self.refuse(&id, no_owner(), now, effects);
        } else if failure == AttemptFailure::Unknown && !(idempotent && self.retry_budget.try_withdraw()) {
            let text = "the endpoint did not answer; the request may have run";
            self.refuse(&id, RequestRefusal::may_have_run(RefusalReason::ConnectionLost, text), now, effects);
        } else if failures >= MAX_FAILED_ATTEMPTS {
            let text = "no endpoint could take the request";
            let refusal = RequestRefusal::not_run(RefusalReason::NoEndpoint, text);
            self.refuse(&id, refusal.with_retry_after(Duration::from_secs(1)), now, effects);
        } else {
            self.requests.delay(&id, now + retry_delay(&id, failures));
        }
    }

    /// Passes a probe result to the endpoint, and abandons attempts that it shows not to be running.
    fn handle_probe(
        &mut self,
        vm: &VmId,
        sent: Instant,
        health: Option<EndpointHealth>,
        now: Instant,
        effects: &mut Vec<RouteEffect>,
    ) {
        let is_expected =
            |state: &AttemptState| state.vm == *vm && state.started + MAX_DELIVERY_DELAY <= sent;
        let expected =
            self.attempts.iter().filter(|(_, state)| is_expected(state)).map(|(attempt, _)| *attempt);
        let expected: Vec<AttemptId> = expected.collect();
        if self.endpoints.note_probe(vm, sent, health, expected.len(), now) {
            let abandon = |attempt| RouteEffect::Abandon { vm: vm.clone(), attempt };
            effects.extend(expected.into_iter().map(abandon));
        }
    }

    /// Refuses all requests that are not in flight; those in flight are still answered.
    fn handle_claim_loss(&mut self, now: Instant, effects: &mut Vec<RouteEffect>) {
        self.claim_lost = true;
        for id in self.requests.unsent() {
            self.refuse(&id, no_owner(), now, effects);
        }
    }

    fn tick(&mut self, now: Instant, effects: &mut Vec<RouteEffect>) {
        while let Some(id) = self.requests.pop_expired(now) {
            self.expire(&id, now, effects);
        }
        self.requests.requeue_due(now);
        self.endpoints.readmit_due(now);
        self.evict(now, effects);
    }

    /// Refuses a request whose deadline has passed. If it is in flight, only its callers are refused: the
    /// slot is in use until the attempt ends.
    fn expire(&mut self, id: &RequestId, now: Instant, effects: &mut Vec<RouteEffect>) {
        let Some(state) = self.requests.get_mut(id) else { return };
        if state.stage == RequestStage::InFlight {
            state.has_callers = false;
            let text = "no answer before the deadline; the request may have run";
            let refusal = RequestRefusal::may_have_run(RefusalReason::Timeout, text);
            effects.push(RouteEffect::RefuseCallers(id.clone(), refusal));
            return;
        }
        // The request may also wait for its intent to be applied or for a retry.
        let text = "no endpoint was free before the deadline";
        self.refuse(id, RequestRefusal::not_run(RefusalReason::Deadline, text), now, effects);
    }

    fn evict(&mut self, now: Instant, effects: &mut Vec<RouteEffect>) {
        while let Some(id) = self.requests.evict(now) {
            effects.push(RouteEffect::EvictAnswer(id));
        }
    }

    /// Starts attempts for queued requests while endpoints have free slots.
    fn dispatch(&mut self, now: Instant, effects: &mut Vec<RouteEffect>) {
        while self.requests.waiting() > 0 && self.endpoints.has_free(now) {
            let Some(id) = self.requests.pop() else { return };
            let Some(state) = self.requests.get_mut(&id) else { continue };
            if now + self.service_times.floor() >= state.request.deadline {
                self.expire(&id, now, effects);
                continue;
            }
            let (request, attempt) = (&state.request, self.next_attempt);
            let Some(choice) = self.endpoints.acquire_slot(&self.policy, &request.zone, attempt, now) else {
                self.requests.enqueue(&id);
                return;
            };
            if state.failures == 0 {
                self.retry_budget.deposit();
            }
            self.next_attempt += 1;
            state.stage = RequestStage::InFlight;
            let charged_seconds = self.service_times.mean().as_secs_f64();
            self.requests.charge(&id, charged_seconds);
            let (vm, rejected) = (choice.vm, choice.rejected);
            let attempt_state =
                AttemptState { request: id.clone(), vm: vm.clone(), started: now, charged_seconds };
            self.attempts.insert(attempt, attempt_state);
            let (timeout, reason) = (self.timeout, self.policy.name);
            effects.push(RouteEffect::Dispatch { attempt, request: id, vm, timeout, reason, rejected });
        }
    }
}

/// Returns the delay before the next attempt. The jitter derives from the request id, so that retries of
/// requests that failed together do not coincide.
fn retry_delay(id: &RequestId, failures: u32) -> Duration {
    let jitter = rendezvous::hash(&[id, &failures.to_string()]) % 100;
    let percent = 50 + u32::try_from(jitter).unwrap_or(0);
    BASE_RETRY_DELAY * (1 << failures.min(6)) * percent / 100
}

fn id_reused() -> RequestRefusal {
    let text = "the request id was used before with another body, service or idempotency";
    RequestRefusal::not_run(RefusalReason::IdReused, text)
}

fn answer_unknown() -> RequestRefusal {
    let text = "the request id was announced before; its answer is not known here";
    RequestRefusal::may_have_run(RefusalReason::AnswerUnknown, text)
}

/// Returns the refusal of requests that this router no longer sends: another process owns the partition, this
/// process is stopping, or an attempt failed after all callers had disconnected.
fn no_owner() -> RequestRefusal {
    let text = "another process took over the service partition; try again";
    RequestRefusal::not_run(RefusalReason::NoOwner, text)
}
