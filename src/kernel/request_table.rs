use std::collections::BTreeSet;

use crate::kernel::{
    ExecutionStatus, RequestRefusal, RequestStage, RequestState, RetentionQueue, RouteRequest, TeamLimits,
    TeamQueue,
};
use crate::prelude::*;

/// Bound on the body bytes of all open requests in one partition.
const MAX_OPEN_BYTES: usize = 64 << 20;

/// The requests of one service partition: open ones with their queue and timers, and ended ones that are
/// retained so that a repeated id is not run again.
#[derive(Default)]
pub struct RequestTable {
    requests: FastMap<RequestId, RequestState>,
    queue: TeamQueue,
    delayed: BTreeSet<(Instant, RequestId)>,
    deadlines: BTreeSet<(Instant, RequestId)>,
    retention: RetentionQueue,
    open_bytes: usize,
    last_sequence: u64,
}

impl RequestTable {
    /// Returns an open or retained request.
    #[must_use]
    pub fn get(&self, id: &RequestId) -> Option<&RequestState> {
        self.requests.get(id)
    }

    /// Returns an open or retained request. Setting the stage through the reference updates neither the queue
    /// nor the timers; the other methods do.
    pub fn get_mut(&mut self, id: &RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(id)
    }

    /// Sets the shares and bounds of the teams.
    pub fn set_teams(&mut self, teams: &[TeamLimits]) {
        self.queue.set_teams(teams);
    }

    /// Whether the bounds on body bytes and on open requests of the team admit the request.
    #[must_use]
    pub fn has_room(&self, request: &RouteRequest) -> bool {
        self.open_bytes + request.size <= MAX_OPEN_BYTES && self.queue.has_room(&request.team)
    }

    /// Returns how many waiting requests of the same team would be served before the request.
    #[must_use]
    pub fn waiting_ahead(&self, request: &RouteRequest) -> usize {
        self.queue.waiting_ahead(&request.team, request.deadline)
    }

    /// Returns the number of queued requests of all teams.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Adds an admitted request as open, and queues it if its stage is `Queued`.
    pub fn admit(&mut self, request: RouteRequest, stage: RequestStage) {
        self.last_sequence += 1;
        let (id, sequence) = (request.id.clone(), self.last_sequence);
        self.open_bytes += request.size;
        self.queue.open(&request.team);
        self.deadlines.insert((request.deadline, id.clone()));
        if stage == RequestStage::Queued {
            self.queue.push(&request.team, request.deadline, sequence, id.clone());
        }
        self.requests.insert(id, RequestState::new(request, stage, sequence));
    }

    /// Attaches a repeated arrival to an open request, which then has the later of the two deadlines.
    pub fn attach_caller(&mut self, request: &RouteRequest) {
        let Some(state) = self.requests.get_mut(&request.id) else { return };
        state.has_callers = true;
        let (old, new) = (state.request.deadline, state.request.deadline.max(request.deadline));
        state.request.deadline = new;
        self.deadlines.remove(&(old, request.id.clone()));
        self.deadlines.insert((new, request.id.clone()));
        if state.stage == RequestStage::Queued {
            let (team, sequence) = (&state.request.team, state.sequence);
            self.queue.remove(team, old, sequence, &request.id);
            self.queue.push(team, new, sequence, request.id.clone());
        }
    }

    /// Queues an open request for a slot.
    pub fn enqueue(&mut self, id: &RequestId) {
        let Some(state) = self.requests.get_mut(id) else { return };
        state.stage = RequestStage::Queued;
        self.queue.push(&state.request.team, state.request.deadline, state.sequence, id.clone());
    }

    /// Delays an open request until it may be sent again.
    pub fn delay(&mut self, id: &RequestId, until: Instant) {
        let Some(state) = self.requests.get_mut(id) else { return };
        state.stage = RequestStage::Delayed(until);
        self.delayed.insert((until, id.clone()));
    }

    /// Removes and returns the next request of the queue.
    pub fn pop(&mut self) -> Option<RequestId> {
        self.queue.pop()
    }

    /// Charges slot time in seconds to the team of a request; a negative value corrects an earlier estimate.
    pub fn charge(&mut self, id: &RequestId, seconds: f64) {
        if let Some(state) = self.requests.get(id) {
            self.queue.charge(&state.request.team, seconds);
        }
    }

    /// Ends an open request with an answer of `size` bytes; returns whether the request was known.
    pub fn answer(&mut self, id: &RequestId, size: usize, now: Instant) -> bool {
        self.close(id);
        let Some(state) = self.requests.get_mut(id) else { return false };
        state.stage = RequestStage::Answered;
        self.retention.keep(id.clone(), state.sequence, size, now);
        true
    }

    /// Ends an open request without an answer. Returns the refusal, changed to `MayHaveRun` if an earlier
    /// attempt may have run.
    pub fn refuse(
        &mut self,
        id: &RequestId,
        mut refusal: RequestRefusal,
        now: Instant,
    ) -> Option<RequestRefusal> {
        self.close(id);
        let state = self.requests.get_mut(id)?;
        if state.may_have_run {
            refusal.run = ExecutionStatus::MayHaveRun;
        }
        state.stage = match (refusal.run, &state.stage) {
            (ExecutionStatus::NotRun, RequestStage::IntentPending) => RequestStage::RefusedIntentPending,
            (ExecutionStatus::NotRun, _) => RequestStage::RefusedIntentRecorded,
            _ => RequestStage::MayHaveRun(refusal.clone()),
        };
        if state.request.idempotent {
            // A later arrival may run, so the id need not be retained.
            self.requests.remove(id);
        } else {
            self.retention.keep(id.clone(), state.sequence, 0, now);
        }
        Some(refusal)
    }

    /// Removes an ended request.
    pub fn remove(&mut self, id: &RequestId) {
        self.requests.remove(id);
    }

    /// Returns a request whose deadline has passed and drops its deadline timer; the request stays open.
    pub fn pop_expired(&mut self, now: Instant) -> Option<RequestId> {
        pop_due(&mut self.deadlines, now)
    }

    /// Queues the delayed requests whose delay has ended.
    pub fn requeue_due(&mut self, now: Instant) {
        while let Some(id) = pop_due(&mut self.delayed, now) {
            self.enqueue(&id);
        }
    }

    /// Evicts and returns the oldest ended request beyond the retention bounds. If it is evicted for its
    /// bytes and was not idempotent, the ledger may still hold its intent.
    pub fn evict(&mut self, now: Instant) -> Option<RequestId> {
        while let Some((id, sequence)) = self.retention.evict(now) {
            let ended = |state: &RequestState| state.sequence == sequence && !state.is_open();
            if self.requests.get(&id).is_some_and(ended) {
                self.requests.remove(&id);
                return Some(id);
            }
        }
        None
    }

    /// Returns the open requests that are not in flight.
    #[must_use]
    pub fn unsent(&self) -> Vec<RequestId> {
        let unsent = |state: &RequestState| state.is_open() && state.stage != RequestStage::InFlight;
        self.requests.iter().filter(|(_, state)| unsent(state)).map(|(id, _)| id.clone()).collect()
    }

    fn close(&mut self, id: &RequestId) {
        let Some(state) = self.requests.get(id).filter(|state| state.is_open()) else { return };
        let request = &state.request;
        self.open_bytes -= request.size;
        self.queue.remove(&request.team, request.deadline, state.sequence, id);
        self.queue.close(&request.team);
        self.deadlines.remove(&(request.deadline, id.clone()));
        if let RequestStage::Delayed(until) = state.stage {
            self.delayed.remove(&(until, id.clone()));
        }
    }
}

fn pop_due(set: &mut BTreeSet<(Instant, RequestId)>, now: Instant) -> Option<RequestId> {
    set.first().filter(|(at, _)| *at <= now)?;
    set.pop_first().map(|(_, id)| id)
}
