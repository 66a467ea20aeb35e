use super::{Candidate, PendingStep, StartPass};
use crate::kernel::cell::{CellEffect, PermitRule};
use crate::prelude::*;

/// Bounds the workers that one permit request may name.
const MAX_WORKERS_PER_REQUEST: usize = 40;
/// Blocked steps per kind of worker whose permits are renewed before they expire, so that capacity that
/// becomes free is used at once.
const MAX_STEPS_RENEWED_AHEAD: usize = 8;
/// How long before its ticket becomes unusable such a permit is renewed; a ticket becomes unusable shortly
/// before it expires.
const PERMIT_RENEWAL_MARGIN: Duration = Duration::from_millis(500);
/// Permit requests that may be open per process that sends them to the advisor, so that an urgent request
/// does not wait long.
const MAX_OPEN_REQUESTS_PER_PROXY: usize = 2;
/// Added to the priority of permit requests for each class, so that all requests of one class come before those
/// of the next.
const CLASS_PRIORITY_OFFSET: u32 = 1_000;

impl StartPass<'_> {
    /// Requests permits for workers without a usable ticket, if a permit may help to start a task.
    ///
    /// A denial is final, and a request costs little more for more workers. So requests name all candidates
    /// without a usable ticket, up to [`MAX_WORKERS_PER_REQUEST`] of them, until a candidate has been
    /// granted, and then only those that were granted before or have free capacity. Some requests
    /// are sent even if the bound on open requests is reached, see `StepRank::skips_request_bound`.
    ///
    /// `blocked_position` is the number of the step among the blocked ones with the same demand in this pass,
    /// from 1.
    pub(super) fn request_permits(
        &mut self,
        pending: &PendingStep<'_>,
        permit_rule: PermitRule,
        candidates: &[Candidate],
        blocked_position: usize,
    ) {
        let now = self.now;
        let bound = self.state.advisor_proxies.max(1) * MAX_OPEN_REQUESTS_PER_PROXY;
        if self.state.open_permit_requests >= bound && !pending.rank.skips_request_bound() {
            return;
        }
        let Some((_, _, state)) = self.state.step(pending.key) else { return };
        if !state.permit_cache.may_request(now) {
            return;
        }
        let margin =
            if blocked_position <= MAX_STEPS_RENEWED_AHEAD { PERMIT_RENEWAL_MARGIN } else { Duration::ZERO };
        let lacks =
            |candidate: &&Candidate| state.permit_cache.ticket(candidate.slot, now + margin).is_none();
        let mut to_request: Vec<&Candidate> = candidates.iter().filter(lacks).collect();
        let granted_before = |candidate: &Candidate| state.permit_cache.was_granted(candidate.slot);
        let any_granted_before = candidates.iter().any(granted_before);
        let useful = to_request.iter().any(|candidate| candidate.fitting > 0)
            || blocked_position <= MAX_STEPS_RENEWED_AHEAD;
        if to_request.is_empty() || !useful {
            return;
        }
        if any_granted_before {
            to_request.retain(|candidate| granted_before(candidate) || candidate.fitting > 0);
        }
        to_request.sort_by_key(|candidate| (!granted_before(candidate), candidate.fitting == 0));
        to_request.truncate(MAX_WORKERS_PER_REQUEST);
        let workers = to_request.iter().filter_map(|candidate| self.state.worker(candidate.slot));
        let workers: Vec<WorkerId> = workers.map(|worker| worker.listing.worker.clone()).collect();
        if workers.is_empty() {
            return;
        }
        if let Some(state) = self.state.step_mut(pending.key) {
            state.permit_cache.begin_request();
        }
        self.state.open_permit_requests += 1;
        let priority = pending.rank.class as u32 * CLASS_PRIORITY_OFFSET + pending.rank.priority;
        let step = pending.key.clone();
        self.state.effects.push(CellEffect::RequestPermits { step, rule: permit_rule, priority, workers });
    }

    /// Whether the step has a ticket for the worker or is about to get one: a request is open, and the worker
    /// was granted before.
    pub(super) fn may_start_soon(&self, pending: &PendingStep<'_>, slot: u32) -> bool {
        if pending.rule.permits.is_none() {
            return true;
        }
        let Some((_, _, state)) = self.state.step(pending.key) else { return false };
        state.permit_cache.ticket(slot, self.now).is_some()
            || (state.permit_cache.has_open_request() && state.permit_cache.was_granted(slot))
    }
}
