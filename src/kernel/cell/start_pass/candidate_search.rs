use std::cmp::Reverse;
use std::hash::{BuildHasher, BuildHasherDefault};

use rustc_hash::FxHasher;

use super::{Candidate, PendingStep, StartPass};
use crate::kernel::cell::{StepSpec, StepView};
use crate::prelude::*;

/// Workers that may hold a task of a step and are compared for it before the advisor has given verdicts. A larger
/// window costs time and hardly gives better placements.
const SEARCH_WINDOW_WORKERS: usize = 128;
/// Time after which the window of a step without permits moves on, so that it reserves room, and preempts, among all
/// workers in turn. Room that is reserved on a worker has to stay so until tasks there have ended.
const WINDOW_DWELL: Duration = Duration::from_secs(4);

impl StartPass<'_> {
    /// Returns the workers of the search window and of the preferred rack that may run tasks of the step, best first,
    /// including those without free capacity. If the window lacks room for the wanted tasks, workers with room from
    /// outside it are added.
    pub(super) fn candidates(&mut self, pending: &PendingStep<'_>) -> Vec<Candidate> {
        let Some(view) = self.state.step(pending.key) else { return Vec::new() };
        let (_, step, state) = view;
        let pool = self.state.pools.with_label(&pending.rule.service, step.label.as_ref());
        let (first, rest) = pool.split_at(self.window_start(pending, pool.len()));
        let of_service = |slot: &&u32| {
            self.state.worker(**slot).is_some_and(|worker| worker.listing.service == pending.rule.service)
        };
        let rack_slots = step.rack.as_ref().map_or(&[][..], |rack| self.state.pools.of_rack(rack));
        let window = window_size(step) + state.permit_cache.verdict_count() * 2;
        let searched =
            rest.iter().chain(first).filter_map(|slot| self.candidate(pending, view, *slot)).take(window);
        let on_rack =
            rack_slots.iter().filter(of_service).filter_map(|slot| self.candidate(pending, view, *slot));
        let mut candidates: Vec<Candidate> = searched.chain(on_rack).collect();
        let fitting = candidates.iter().fold(0u32, |sum, candidate| sum.saturating_add(candidate.fitting));
        // More workers with room would let a step with permits ask the advisor for more than it can start.
        let wanted = if pending.rule.permits.is_some() { 1 } else { pending.wanted_tasks };
        if fitting < wanted && pool.len() > window {
            let kind = (pending.rule.service.clone(), step.label.clone());
            if !self.exhausted_room.covers(&kind, pending.task_capacity) {
                let has_room = |slot: &u32| self.has_room(pending.task_capacity, *slot);
                let with_room: Vec<u32> = pool.iter().copied().filter(has_room).collect();
                candidates.extend(with_room.iter().filter_map(|slot| self.candidate(pending, view, *slot)));
                if with_room.is_empty() {
                    self.exhausted_room.remember(kind, pending.task_capacity);
                }
            }
        }
        candidates.sort_unstable();
        candidates.dedup_by_key(|candidate| candidate.slot);
        candidates
    }

    /// Returns where the window of a step begins in a pool of `len` workers. For a step with permits it stays, and
    /// grows with the verdicts, so that the granted workers remain in it.
    fn window_start(&self, pending: &PendingStep<'_>, len: usize) -> usize {
        let hash = BuildHasherDefault::<FxHasher>::default().hash_one(pending.key);
        let known_since = self.state.jobs.get(&pending.key.job).map_or(self.now, |job| job.known_since);
        let waited = self.now.saturating_duration_since(known_since);
        let moves =
            if pending.rule.permits.is_some() { 0 } else { waited.as_secs() / WINDOW_DWELL.as_secs() };
        let offset = moves.saturating_mul(SEARCH_WINDOW_WORKERS as u64);
        usize::try_from(hash.wrapping_add(offset) % len.max(1) as u64).unwrap_or_default()
    }

    /// Whether any worker of a service with a label has room that is not reserved.
    pub(super) fn has_room_for(&mut self, kind: (ServiceId, Option<LabelId>), need: ResourceVector) -> bool {
        if self.exhausted_room.covers(&kind, need) {
            return false;
        }
        let pool = self.state.pools.with_label(&kind.0, kind.1.as_ref());
        let found = pool.iter().any(|slot| self.has_room(need, *slot));
        if !found {
            self.exhausted_room.remember(kind, need);
        }
        found
    }

    /// Whether a task fits into the room on a worker that is not reserved.
    fn has_room(&self, need: ResourceVector, slot: u32) -> bool {
        self.state.worker(slot).is_some_and(|worker| {
            need.fits(worker.free())
                && need.fits(self.unreserved(slot, worker.free()))
                && worker.is_schedulable(self.now)
        })
    }

    fn unreserved(&self, slot: u32, free: ResourceVector) -> ResourceVector {
        self.reserved_by_worker.get(&slot).map_or(free, |reserved| free.minus(*reserved))
    }

    /// Returns a worker as a candidate for the step; `None` if it may not run tasks of the step.
    fn candidate(
        &self,
        pending: &PendingStep<'_>,
        (spec, step, state): StepView<'_>,
        slot: u32,
    ) -> Option<Candidate> {
        let worker = self.state.worker(slot)?;
        let capacity = worker.listing.capacity;
        if !pending.task_capacity.fits(capacity)
            || !worker.is_schedulable(self.now)
            || !worker.has_required_label(step)
        {
            return None;
        }
        if pending.rule.permits.is_some() && state.permit_cache.is_denied(slot) {
            return None;
        }
        if worker.copies.iter().any(|(task, _)| task.step == *pending.key) {
            return None;
        }
        let placed_on_worker = state.per_worker.get(&slot).copied().unwrap_or_default();
        let allowed_by_worker_limit =
            step.most_per_worker.map_or(u32::MAX, |limit| limit.saturating_sub(placed_on_worker));
        if allowed_by_worker_limit == 0 {
            return None;
        }
        let free = self.unreserved(slot, worker.free());
        let fitting = if pending.task_capacity.fits(free) { pending.task_capacity.count_in(free) } else { 0 };
        let fitting = u32::try_from(fitting).unwrap_or(u32::MAX).min(allowed_by_worker_limit);
        let off_rack = step.rack.as_ref().is_some_and(|rack| worker.listing.rack.as_ref() != Some(rack));
        let score = Reverse(score(step, free, capacity));
        let slow_for_queue = pending.rule.priority == 0 && worker.profile.is_slow_for(&spec.queue, self.now);
        let had_recent_slow_run = worker.had_recent_slow_run(self.now);
        Some(Candidate {
            had_recent_slow_run,
            off_rack,
            slow_for_queue,
            score,
            slot,
            fitting,
            allowed_by_worker_limit,
        })
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

/// Returns the number of workers that are compared for a step: at least one for each task of a step whose tasks need
/// room at the same time.
fn window_size(step: &StepSpec) -> usize {
    let spreads = step.gang || step.most_per_worker.is_some();
    SEARCH_WINDOW_WORKERS.max(if spreads { step.tasks as usize } else { 0 })
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
