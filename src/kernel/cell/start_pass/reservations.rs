use super::{Candidate, PendingStep, StartPass};
use crate::kernel::cell::{PermitSkip, VictimSearch};

impl StartPass<'_> {
    /// Reserves room for the tasks that could not start, so that less urgent steps do not take it. Preempts
    /// less urgent tasks where there is not enough room, if the step may. Returns the number of tasks
    /// without reserved room; none if the step can never start.
    pub(super) fn reserve_or_preempt(
        &mut self,
        pending: &PendingStep<'_>,
        candidates: &[Candidate],
        missing: u32,
    ) -> u32 {
        if !self.fits_on_empty_workers(pending, candidates) {
            return 0;
        }
        let mut left = missing;
        for candidate in candidates {
            if !self.may_start_soon(pending, candidate.slot) {
                continue;
            }
            let mut allowed_by_worker_limit = candidate.allowed_by_worker_limit;
            while left > 0 && allowed_by_worker_limit > 0 {
                let fitting = self.fitting_after_stops(pending, candidate);
                let fitting = if fitting > 0 { fitting } else { self.preempt(pending, candidate) };
                let count = fitting.min(left).min(allowed_by_worker_limit);
                if count == 0 {
                    break;
                }
                let reserved = self.reserved_by_worker.entry(candidate.slot).or_default();
                *reserved = reserved.plus(pending.task_capacity.times(u64::from(count)));
                left -= count;
                allowed_by_worker_limit -= count;
            }
        }
        left
    }

    /// Whether all tasks of a gang would fit on the candidates if these were empty. A gang that can never fit
    /// must not reserve room. Always true for steps that are not gangs.
    fn fits_on_empty_workers(&self, pending: &PendingStep<'_>, candidates: &[Candidate]) -> bool {
        if self.state.step(pending.key).is_none_or(|(_, step, _)| !step.gang) {
            return true;
        }
        let holds = candidates.iter().filter_map(|candidate| {
            let capacity = self.state.worker(candidate.slot)?.listing.capacity;
            Some(pending.task_capacity.count_in(capacity).min(u64::from(candidate.allowed_by_worker_limit)))
        });
        holds.sum::<u64>() >= u64::from(pending.wanted_tasks)
    }

    /// Returns how many tasks fit on the worker once the tasks that are being stopped there have ended.
    fn fitting_after_stops(&self, pending: &PendingStep<'_>, candidate: &Candidate) -> u32 {
        let Some(worker) = self.state.worker(candidate.slot) else { return 0 };
        let reserved = self.reserved_by_worker.get(&candidate.slot).copied().unwrap_or_default();
        let free = worker.free().plus(worker.capacity_being_freed).minus(reserved);
        let fitting = if pending.task_capacity.fits(free) { pending.task_capacity.count_in(free) } else { 0 };
        u32::try_from(fitting).unwrap_or(u32::MAX).min(candidate.allowed_by_worker_limit)
    }

    /// Preempts less urgent tasks on the worker so that one task of the step fits; returns the number of
    /// tasks that will fit, 0 or 1.
    fn preempt(&mut self, pending: &PendingStep<'_>, candidate: &Candidate) -> u32 {
        if self.preemptions_left == 0 || !pending.may_preempt || self.waits_for_queue(pending, candidate.slot)
        {
            return 0;
        }
        let reserved = self.reserved_by_worker.get(&candidate.slot).copied().unwrap_or_default();
        let search = VictimSearch { state: self.state, rank: pending.task_rank };
        let wanted = pending.task_capacity.plus(reserved);
        let Some(victims) = search.find_on_worker(candidate.slot, wanted, self.now) else { return 0 };
        self.preemptions_left = self.preemptions_left.saturating_sub(victims.len());
        for victim in victims {
            self.state.preempt(&victim, "yields_to_urgent", self.now);
        }
        1
    }

    /// Whether the step has no ticket for the worker and cannot ask for one now, so that room that is freed there
    /// would stay empty.
    fn waits_for_queue(&self, pending: &PendingStep<'_>, slot: u32) -> bool {
        let Some((_, _, state)) = self.state.step(pending.key) else { return false };
        pending.rule.permits.is_some()
            && state.permit_skip == Some(PermitSkip::Queue)
            && state.permit_cache.ticket(slot, self.now).is_none()
    }
}
