use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::kernel::cell::{PermitLoad, PermitRequest, ProxyNumber, StepRank};
use crate::prelude::*;

/// Time beyond the expected decision time after which a permit request counts as failed.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1_200);
/// Time without requests after a proxy has failed to answer; it doubles with each further failure.
const PROXY_BACKOFF: Duration = Duration::from_millis(500);
/// Bounds the doublings of that time, so that it is at most 8 s.
const MAX_PROXY_DOUBLINGS: u32 = 4;
/// Decision time above which a request is a bulk request, which leaves some proxies to others.
const BULK_DECISION_TIME: Duration = Duration::from_millis(100);
/// Part of the proxies that bulk requests leave to others, as a divisor.
const URGENT_DIVISOR: usize = 8;

/// Number of a permit request, unique within one process.
pub type PermitRequestNumber = u64;

/// Rank and number of waiting requests, the first to send on top.
type RequestHeap = BinaryHeap<Reverse<(StepRank, PermitRequestNumber)>>;

/// A request without an answer.
#[derive(Clone, Copy, Debug)]
struct DispatchedRequest {
    rank: StepRank,
    assured: bool,
    decision_time: Duration,
    /// The proxy that was given the request, and when the request counts as failed; `None` while it waits.
    sent: Option<(ProxyNumber, Instant)>,
}

/// A process that passes requests on to the advisor.
#[derive(Clone, Copy, Debug, Default)]
struct ProxyState {
    in_flight: Option<PermitRequestNumber>,
    /// Number of requests without an answer in time since the last answer.
    failures: u32,
    /// When the proxy may get a request again after a failure.
    not_before: Option<Instant>,
}

/// Decides which process sends which permit request to the advisor, and when a request has failed.
///
/// The advisor serves the requests of one process one after another, so each proxy has at most one request in
/// flight that is not overdue. A proxy that failed to answer in time gets no other request for a while, as the
/// advisor may still be busy with the overdue one.
#[derive(Clone, Debug, Default)]
pub struct PermitDispatch {
    proxies: FastMap<ProxyNumber, ProxyState>,
    requests: FastMap<PermitRequestNumber, DispatchedRequest>,
    /// Entries of finished or sent requests are skipped.
    waiting: RequestHeap,
    /// Those of `waiting` that are for long-running steps and gangs.
    waiting_assured: RequestHeap,
    /// Whether there was a request that is no bulk request.
    sends_short_requests: bool,
}

impl PermitDispatch {
    /// Adds a proxy.
    pub fn add_proxy(&mut self, proxy: ProxyNumber) {
        self.proxies.insert(proxy, ProxyState::default());
    }

    /// Removes a proxy that has disconnected; its request waits for another one.
    pub fn remove_proxy(&mut self, proxy: ProxyNumber) {
        let lost = self.proxies.remove(&proxy).and_then(|state| state.in_flight);
        if let Some(number) = lost {
            self.return_request(number);
        }
    }

    /// Returns the number of proxies.
    #[must_use]
    pub fn proxy_count(&self) -> usize {
        self.proxies.len()
    }

    /// Returns the number of requests that no proxy has been given.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.requests.values().filter(|request| request.sent.is_none()).count()
    }

    /// Whether a proxy was given the request.
    #[must_use]
    pub fn is_sent(&self, number: PermitRequestNumber) -> bool {
        self.requests.get(&number).is_some_and(|request| request.sent.is_some())
    }

    /// Adds a request that waits to be sent.
    pub fn add_request(&mut self, number: PermitRequestNumber, request: &PermitRequest) {
        let (rank, assured, decision_time) = (request.rank, request.assured, request.decision_time());
        self.sends_short_requests |= decision_time <= BULK_DECISION_TIME;
        self.requests.insert(number, DispatchedRequest { rank, assured, decision_time, sent: None });
        self.enqueue(number);
    }

    /// Lets a request wait again that could not be sent.
    pub fn return_request(&mut self, number: PermitRequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if let Some(proxy) = request.sent.take().and_then(|(proxy, _)| self.proxies.get_mut(&proxy)) {
            proxy.in_flight = None;
        }
        self.enqueue(number);
    }

    /// Removes a request that was answered, has failed or is no longer of use. A failed one delays the next request
    /// to its proxy.
    pub fn finish(&mut self, number: PermitRequestNumber, answered: bool, now: Instant) {
        let Some(request) = self.requests.remove(&number) else { return };
        let Some(proxy) = request.sent.and_then(|(proxy, _)| self.proxies.get_mut(&proxy)) else { return };
        proxy.in_flight = None;
        if answered {
            (proxy.failures, proxy.not_before) = (0, None);
        } else {
            let backoff = PROXY_BACKOFF * 2u32.pow(proxy.failures.min(MAX_PROXY_DOUBLINGS));
            proxy.failures = proxy.failures.saturating_add(1);
            proxy.not_before = Some(now + backoff);
        }
    }

    /// Returns the requests whose deadline has passed.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Vec<PermitRequestNumber> {
        let is_overdue =
            |request: &DispatchedRequest| request.sent.is_some_and(|(_, deadline)| now >= deadline);
        self.requests.iter().filter(|(_, request)| is_overdue(request)).map(|(number, _)| *number).collect()
    }

    /// Gives waiting requests to idle proxies, in the order of their ranks, and returns these. Long-running steps
    /// and gangs may keep a part of the proxies busy whatever else waits, and bulk requests leave a part of them
    /// idle.
    pub fn assign(&mut self, now: Instant) -> Vec<(ProxyNumber, PermitRequestNumber)> {
        let ready = |proxy: &ProxyState| proxy.not_before.is_none_or(|at| now >= at);
        let mut idle = self.idle_proxies(ready);
        if idle.is_empty() && self.proxies.values().all(|proxy| proxy.not_before.is_some()) {
            // A proxy that failed is better than none.
            idle = self.idle_proxies(|_| true);
        }
        let mut delayed = Vec::new();
        let mut assigned = Vec::new();
        while let Some(proxy) = idle.pop() {
            let Some(number) = self.next_request(idle.len(), &mut delayed) else { break };
            if let (Some(request), Some(state)) =
                (self.requests.get_mut(&number), self.proxies.get_mut(&proxy))
            {
                request.sent = Some((proxy, now + request.decision_time + DEADLINE_MARGIN));
                state.in_flight = Some(number);
                assigned.push((proxy, number));
            }
        }
        self.waiting.extend(delayed);
        assigned
    }

    fn enqueue(&mut self, number: PermitRequestNumber) {
        let Some(request) = self.requests.get(&number) else { return };
        self.waiting.push(Reverse((request.rank, number)));
        if request.assured {
            self.waiting_assured.push(Reverse((request.rank, number)));
        }
    }

    fn idle_proxies(&self, may_get: impl Fn(&ProxyState) -> bool) -> Vec<ProxyNumber> {
        let is_idle = |proxy: &ProxyState| proxy.in_flight.is_none() && may_get(proxy);
        self.proxies.iter().filter(|(_, proxy)| is_idle(proxy)).map(|(number, _)| *number).collect()
    }

    /// Takes the request to send next, while `others_idle` further proxies are idle. Bulk requests that have to
    /// leave these to others are moved to `delayed`; assured ones remain in their own heap as well.
    fn next_request(
        &mut self,
        others_idle: usize,
        delayed: &mut Vec<Reverse<(StepRank, PermitRequestNumber)>>,
    ) -> Option<PermitRequestNumber> {
        let share = PermitLoad::assured_share(self.proxies.len());
        let assured = self.requests.values().filter(|request| request.assured && request.sent.is_some());
        if assured.count() < share
            && let Some(Reverse((_, number))) = take_waiting(&mut self.waiting_assured, &self.requests)
        {
            return Some(number);
        }
        let kept_idle = if self.sends_short_requests { self.proxies.len() / URGENT_DIVISOR } else { 0 };
        let may_send_bulk = others_idle >= kept_idle;
        while let Some(entry) = take_waiting(&mut self.waiting, &self.requests) {
            let number = entry.0.1;
            let is_bulk =
                self.requests.get(&number).is_some_and(|request| request.decision_time > BULK_DECISION_TIME);
            if may_send_bulk || !is_bulk {
                return Some(number);
            }
            delayed.push(entry);
        }
        None
    }
}

/// Takes the first entry whose request still waits.
fn take_waiting(
    heap: &mut RequestHeap,
    requests: &FastMap<PermitRequestNumber, DispatchedRequest>,
) -> Option<Reverse<(StepRank, PermitRequestNumber)>> {
    while let Some(entry) = heap.pop() {
        if requests.get(&entry.0.1).is_some_and(|request| request.sent.is_none()) {
            return Some(entry);
        }
    }
    None
}
