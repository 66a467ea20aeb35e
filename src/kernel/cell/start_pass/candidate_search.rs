use std::cmp::Reverse;
use std::hash::{BuildHasher, BuildHasherDefault};

use rustc_hash::FxHasher;

use super::{Candidate, PendingStep, StartPass};
use crate::kernel::cell::{StepKey, StepSpec};
use crate::prelude::*;

/// Workers of a service that are compared for one step before the advisor has given verdicts. A larger window
/// costs time and hardly gives better placements.
const SEARCH_WINDOW_WORKERS: usize = 128;

impl StartPass<'_> {
    /// Returns the workers of the search window and of the preferred rack that may run tasks of the step,
    /// best first, including those without free capacity.
    pub(super) fn candidates(&self, pending: &PendingStep<'_>) -> Vec<Candidate> {
        let Some((spec, step, state)) = self.state.step(pending.key) else { return Vec::new() };
        let Some(pool) = self.state.pools.get(&pending.rule.service) else { return Vec::new() };
        let with_permits = pending.rule.permits.is_some();
        let mut candidates = Vec::new();
        let rack_slots =
            step.rack.as_ref().and_then(|rack| self.state.racks.get(rack)).map_or(&[][..], |slots| slots);
        let of_service = |slot: &&u32| {
            self.state.worker(**slot).is_some_and(|worker| worker.listing.service == pending.rule.service)
        };
        let window = search_window(pending.key, pool, state.permit_cache.verdict_count());
        for slot in window.chain(rack_slots.iter().filter(of_service)) {
            let Some(worker) = self.state.worker(*slot) else { continue };
            let capacity = worker.listing.capacity;
            if !pending.task_capacity.fits(capacity)
                || !worker.is_schedulable(self.now)
                || !worker.has_required_label(step)
            {
                continue;
            }
            if with_permits && state.permit_cache.is_denied(*slot) {
                continue;
            }
            if worker.copies.iter().any(|(task, _)| task.step == *pending.key) {
                continue;
            }
            let placed_on_worker = state.per_worker.get(slot).copied().unwrap_or_default();
            let allowed_by_worker_limit =
                step.most_per_worker.map_or(u32::MAX, |limit| limit.saturating_sub(placed_on_worker));
            if allowed_by_worker_limit == 0 {
                continue;
            }
            let reserved = self.reserved_by_worker.get(slot).copied().unwrap_or_default();
            let free = worker.free().minus(reserved);
            let fitting =
                if pending.task_capacity.fits(free) { pending.task_capacity.count_in(free) } else { 0 };
            let fitting = u32::try_from(fitting).unwrap_or(u32::MAX).min(allowed_by_worker_limit);
            let off_rack = step.rack.as_ref().is_some_and(|rack| worker.listing.rack.as_ref() != Some(rack));
            let score = Reverse(score(step, free, capacity));
            let slow_for_queue =
                pending.rule.priority == 0 && worker.profile.is_slow_for(&spec.queue, self.now);
            let had_recent_slow_run = worker.had_recent_slow_run(self.now);
            candidates.push(Candidate {
                had_recent_slow_run,
                off_rack,
                slow_for_queue,
                score,
                slot: *slot,
                fitting,
                allowed_by_worker_limit,
            });
        }
        candidates.sort_unstable();
        candidates.dedup_by_key(|candidate| candidate.slot);
        candidates
    }

    /// Returns the candidates with free capacity that would accept a start now, each with its ticket.
    pub(super) fn permitted(
        &self,
        pending: &PendingStep<'_>,
        candidates: &[Candidate],
    ) -> Vec<(Candidate, Option<PermitTicket>)> {
        let Some((_, _, state)) = self.state.step(pending.key) else { return Vec::new() };
        let permit = |candidate: &Candidate| {
            if pending.rule.permits.is_none() {
                return Some((candidate.clone(), None));
            }
            let ticket = state.permit_cache.ticket(candidate.slot, self.now)?.clone();
            Some((candidate.clone(), Some(ticket)))
        };
        candidates.iter().filter(|candidate| candidate.fitting > 0).filter_map(permit).collect()
    }
}

/// Returns the part of a pool that is searched for a step. It starts at the same place at each pass and
/// grows by two workers with each verdict of the advisor.
fn search_window<'p>(key: &StepKey, pool: &'p [u32], verdicts: usize) -> impl Iterator<Item = &'p u32> {
    let size = SEARCH_WINDOW_WORKERS + verdicts * 2;
    let hash = BuildHasherDefault::<FxHasher>::default().hash_one(key);
    let from = usize::try_from(hash % pool.len().max(1) as u64).unwrap_or_default();
    let from = if pool.len() <= size { 0 } else { from };
    pool[from..].iter().chain(&pool[..from]).take(size)
}

/// Returns the score of a worker for a step; the highest score comes first.
fn score(step: &StepSpec, free: ResourceVector, capacity: ResourceVector) -> i64 {
    let permille = |amount: u64, whole: u64| {
        let quotient = amount.saturating_mul(1_000).checked_div(whole).unwrap_or_default();
        i64::try_from(quotient).unwrap_or(i64::MAX)
    };
    if step.need.accelerators > 0 {
        // Prefers workers that are in use, so that empty ones stay free for tasks with many accelerators.
        return -permille(free.accelerators, capacity.accelerators);
    }
    permille(free.cores_milli, capacity.cores_milli).min(permille(free.memory_mib, capacity.memory_mib))
}
