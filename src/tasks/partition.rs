//! State of one service partition: its router, and the bodies, callers and answers of its requests.

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::kernel::{FrontReply, RequestRefusal, RouteEffect, RouteEvent, RouteRequest, ServiceRouter};
use crate::prelude::*;
use crate::tasks::adapter::EndpointAnswer;
use crate::tasks::metrics::EntryMetrics;

/// An open request: its body, and the callers that wait for its answer.
struct OpenCall {
    body: Bytes,
    digest: Sha256Digest,
    callers: Vec<oneshot::Sender<FrontReply>>,
}

/// A service partition that this process owns, or a lost one whose attempts in flight still have to end.
pub struct PartitionState {
    /// Fencing token of the claim.
    pub token: FencingToken,
    /// State machine that decides where requests go; returns the effects to carry out.
    pub router: ServiceRouter,
    /// Requests that are not answered yet.
    open_calls: FastMap<RequestId, OpenCall>,
    /// Answers of ended requests, for replay to callers that repeat an id.
    kept_answers: FastMap<RequestId, EndpointAnswer>,
    /// Answers of attempts about which the router has not decided yet.
    attempt_answers: FastMap<AttemptId, EndpointAnswer>,
}

impl PartitionState {
    /// Returns a partition without requests.
    #[must_use]
    pub fn new(token: FencingToken, router: ServiceRouter) -> Self {
        let (open_calls, kept_answers, attempt_answers) =
            (FastMap::default(), FastMap::default(), FastMap::default());
        Self { token, router, open_calls, kept_answers, attempt_answers }
    }

    /// Handles the arrival of a request and returns the effects. By then the caller is answered or registered
    /// as waiting for the answer.
    pub fn arrive(
        &mut self,
        request: RouteRequest,
        body: Bytes,
        reply: oneshot::Sender<FrontReply>,
        metrics: &EntryMetrics,
        now: Instant,
    ) -> Vec<RouteEffect> {
        let (id, digest) = (request.id.clone(), request.digest);
        let effects = self.router.handle(RouteEvent::Arrived(request), now);
        match effects.first() {
            Some(RouteEffect::RefuseArrival(_, refusal)) => {
                log_refusal(&id, refusal, "request refused on arrival");
                metrics.refusals.with_label_values(&[&refusal.code.to_string()]).inc();
                let _ = reply.send(FrontReply::Refused(refusal.clone()));
            }
            Some(RouteEffect::Replay(_)) => {
                if let Some(answer) = self.kept_answers.get(&id) {
                    let _ = reply.send(answer_reply(answer));
                }
            }
            _ => {
                let new_call = || OpenCall { body, digest, callers: Vec::new() };
                self.open_calls.entry(id).or_insert_with(new_call).callers.push(reply);
            }
        }
        effects
    }

    /// Stores the answer of an attempt until the router has decided whether to deliver it.
    pub fn store(&mut self, attempt: AttemptId, answer: EndpointAnswer) {
        self.attempt_answers.insert(attempt, answer);
    }

    /// Drops the stored answer of an attempt; returns whether there was one, which the router then did not
    /// deliver.
    pub fn discard(&mut self, attempt: AttemptId) -> bool {
        self.attempt_answers.remove(&attempt).is_some()
    }

    /// Carries out an effect that concerns only callers and stored answers.
    pub fn apply(&mut self, effect: RouteEffect, metrics: &EntryMetrics) {
        match effect {
            RouteEffect::Deliver { request, attempt } => self.deliver(&request, attempt),
            RouteEffect::Refuse(request, refusal) => {
                log_refusal(&request, &refusal, "open request refused");
                metrics.refusals.with_label_values(&[&refusal.code.to_string()]).inc();
                self.refuse(&request, refusal);
            }
            RouteEffect::RefuseCallers(request, refusal) => {
                log_refusal(&request, &refusal, "waiting callers refused, request still open");
                metrics.refusals.with_label_values(&[&refusal.code.to_string()]).inc();
                self.refuse_callers(&request, &refusal);
            }
            RouteEffect::EvictAnswer(request) => self.evict(&request),
            // The first two are handled in `arrive`, the others by the router task, for owned partitions
            // only.
            RouteEffect::RefuseArrival(..)
            | RouteEffect::Replay(_)
            | RouteEffect::RecordIntent(_)
            | RouteEffect::Dispatch { .. }
            | RouteEffect::Abandon { .. } => {}
        }
    }

    /// Sends the answer of an attempt to the callers and keeps it for replay.
    fn deliver(&mut self, request: &RequestId, attempt: AttemptId) {
        let Some(answer) = self.attempt_answers.remove(&attempt) else { return };
        if let Some(call) = self.open_calls.remove(request) {
            call.reply(&answer_reply(&answer));
        }
        self.kept_answers.insert(request.clone(), answer);
    }

    /// Sends a refusal to the callers of a request and drops the request.
    fn refuse(&mut self, request: &RequestId, refusal: RequestRefusal) {
        if let Some(call) = self.open_calls.remove(request) {
            call.reply(&FrontReply::Refused(refusal));
        }
    }

    /// Sends a refusal to the callers of a request; the request stays open.
    fn refuse_callers(&mut self, request: &RequestId, refusal: &RequestRefusal) {
        for caller in self.open_calls.get_mut(request).into_iter().flat_map(|call| call.callers.drain(..)) {
            let _ = caller.send(FrontReply::Refused(refusal.clone()));
        }
    }

    /// Drops the answer that is kept for replay.
    fn evict(&mut self, request: &RequestId) {
        self.kept_answers.remove(request);
    }

    /// Returns the body of an open request.
    #[must_use]
    pub fn body(&self, request: &RequestId) -> Option<Bytes> {
        self.open_calls.get(request).map(|call| call.body.clone())
    }

    /// Returns the digest of an open request.
    #[must_use]
    pub fn digest(&self, request: &RequestId) -> Option<Sha256Digest> {
        self.open_calls.get(request).map(|call| call.digest)
    }

    /// Returns the open requests whose last caller has disconnected since the previous call.
    pub fn requests_without_callers(&mut self) -> Vec<RequestId> {
        let mut disconnected = Vec::new();
        for (id, call) in &mut self.open_calls {
            let before = call.callers.len();
            call.callers.retain(|caller| !caller.is_closed());
            if call.callers.is_empty() && before > 0 {
                disconnected.push(id.clone());
            }
        }
        disconnected
    }

    /// Returns whether every request has ended, in the router as well.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open_calls.is_empty() && self.router.has_no_attempts()
    }
}

impl OpenCall {
    fn reply(self, reply: &FrontReply) {
        for caller in self.callers {
            // The caller may have disconnected.
            let _ = caller.send(reply.clone());
        }
    }
}

/// Returns the team part of a request id, which has the form `team/id`.
#[must_use]
pub fn team_of(request: &str) -> &str {
    request.split_once('/').map_or("", |(team, _)| team)
}

fn log_refusal(request: &str, refusal: &RequestRefusal, text: &str) {
    log::info!(
        decision = "routing", team = team_of(request), request = request, refusal:% = refusal;
        "{text}"
    );
}

fn answer_reply(answer: &EndpointAnswer) -> FrontReply {
    FrontReply::Answer { status: answer.status, body: answer.body.clone() }
}
