//! State of one service partition that this process owns.

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::kernel::{FrontReply, RequestRefusal, RouteEffect, RouteEvent, RouteRequest, ServiceRouter};
use crate::prelude::*;
use crate::tasks::adapter::EndpointAnswer;
use crate::tasks::metrics::EntryMetrics;

/// An open request: its body and the callers that wait for it.
struct OpenCall {
    body: Bytes,
    digest: Sha256Digest,
    waiting: Vec<oneshot::Sender<FrontReply>>,
}

/// A service partition that this process owns, or owned: its router, request bodies and answers.
pub struct OwnedPartition {
    /// Token of the claim.
    pub token: FencingToken,
    /// Decides.
    pub router: ServiceRouter,
    open: FastMap<RequestId, OpenCall>,
    kept: FastMap<RequestId, EndpointAnswer>,
    arrived: FastMap<AttemptId, EndpointAnswer>,
}

impl OwnedPartition {
    /// Returns a partition without requests.
    #[must_use]
    pub fn new(token: FencingToken, router: ServiceRouter) -> Self {
        let (open, kept, arrived) = (FastMap::default(), FastMap::default(), FastMap::default());
        Self { token, router, open, kept, arrived }
    }

    /// Handles an arrival; the caller is answered, or waits, before the effects are returned.
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
                log_refusal(&id, refusal, "arrival refused");
                metrics.refusals.with_label_values(&[&refusal.code.to_string()]).inc();
                let _ = reply.send(FrontReply::Refused(refusal.clone()));
            }
            Some(RouteEffect::Replay(_)) => {
                if let Some(answer) = self.kept.get(&id) {
                    let _ = reply.send(whole(answer));
                }
            }
            _ => {
                let new = || OpenCall { body, digest, waiting: Vec::new() };
                self.open.entry(id).or_insert_with(new).waiting.push(reply);
            }
        }
        effects
    }

    /// Keeps the answer of an attempt until the router has judged it.
    pub fn store(&mut self, attempt: AttemptId, answer: EndpointAnswer) {
        self.arrived.insert(attempt, answer);
    }

    /// Drops the answer of an attempt if the router had no use for it; returns whether that was so.
    pub fn discard(&mut self, attempt: AttemptId) -> bool {
        self.arrived.remove(&attempt).is_some()
    }

    /// Carries out an effect that concerns callers only.
    pub fn apply(&mut self, effect: RouteEffect, metrics: &EntryMetrics) {
        match effect {
            RouteEffect::Deliver { request, attempt } => self.deliver(&request, attempt),
            RouteEffect::Refuse(request, refusal) => {
                log_refusal(&request, &refusal, "request refused");
                metrics.refusals.with_label_values(&[&refusal.code.to_string()]).inc();
                self.refuse(&request, refusal);
            }
            RouteEffect::RefuseCallers(request, refusal) => {
                log_refusal(&request, &refusal, "callers refused");
                metrics.refusals.with_label_values(&[&refusal.code.to_string()]).inc();
                self.refuse_waiting(&request, &refusal);
            }
            RouteEffect::EvictAnswer(request) => self.forget(&request),
            // Carried out where the request arrived, or for the partitions that are owned.
            RouteEffect::RefuseArrival(..)
            | RouteEffect::Replay(_)
            | RouteEffect::RecordIntent(_)
            | RouteEffect::Dispatch { .. }
            | RouteEffect::Abandon { .. } => {}
        }
    }

    /// Gives the answer of an attempt to the callers, and keeps it.
    fn deliver(&mut self, request: &RequestId, attempt: AttemptId) {
        let Some(answer) = self.arrived.remove(&attempt) else { return };
        if let Some(call) = self.open.remove(request) {
            call.reply(&whole(&answer));
        }
        self.kept.insert(request.clone(), answer);
    }

    /// Refuses a request to its callers and drops its body.
    fn refuse(&mut self, request: &RequestId, refusal: RequestRefusal) {
        if let Some(call) = self.open.remove(request) {
            call.reply(&FrontReply::Refused(refusal));
        }
    }

    /// Refuses a request to its callers; it stays open.
    fn refuse_waiting(&mut self, request: &RequestId, refusal: &RequestRefusal) {
        for waiting in self.open.get_mut(request).into_iter().flat_map(|call| call.waiting.drain(..)) {
            let _ = waiting.send(FrontReply::Refused(refusal.clone()));
        }
    }

    /// Drops a kept answer.
    fn forget(&mut self, request: &RequestId) {
        self.kept.remove(request);
    }

    /// Returns the body of an open request.
    #[must_use]
    pub fn body(&self, request: &RequestId) -> Option<Bytes> {
        self.open.get(request).map(|call| call.body.clone())
    }

    /// Returns the digest of an open request.
    #[must_use]
    pub fn digest(&self, request: &RequestId) -> Option<Sha256Digest> {
        self.open.get(request).map(|call| call.digest)
    }

    /// Returns the requests whose callers have all gone away since the last call.
    pub fn abandoned_requests(&mut self) -> Vec<RequestId> {
        let mut abandoned = Vec::new();
        for (id, call) in &mut self.open {
            let before = call.waiting.len();
            call.waiting.retain(|waiting| !waiting.is_closed());
            if call.waiting.is_empty() && before > 0 {
                abandoned.push(id.clone());
            }
        }
        abandoned
    }

    /// Whether every request has ended.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.router.is_drained()
    }
}

impl OpenCall {
    fn reply(self, reply: &FrontReply) {
        for waiting in self.waiting {
            // The caller may have gone away.
            let _ = waiting.send(reply.clone());
        }
    }
}

/// Returns the team that a request id is scoped by.
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

fn whole(answer: &EndpointAnswer) -> FrontReply {
    FrontReply::Answer { status: answer.status, body: answer.body.clone() }
}
