use super::{Candidate, PendingStep, StartPass};

impl StartPass<'_> {
    /// Whether no listed worker could run a task of the step, or too few could run a gang, even if all of them were
    /// empty and in service. Only the list of workers, the configuration or the end of a run of the step changes that.
    pub(super) fn is_unplaceable(&mut self, pending: &PendingStep<'_>, candidates: &[Candidate]) -> bool {
        let Some((_, step, state)) = self.state.step(pending.key) else { return false };
        // A service without any worker is an outage, which ends for all of its steps at once.
        let in_service = !self.state.pools.of_service(&pending.rule.service).is_empty();
        if !in_service || (!step.gang && !candidates.is_empty()) {
            return false;
        }
        let kind = (pending.rule.service.clone(), step.label.clone());
        if self.exhausted_capacity.covers(&kind, pending.task_capacity) {
            return true;
        }
        let wanted = if step.gang { u64::from(step.tasks) } else { 1 };
        let pool = self.state.pools.with_label(&pending.rule.service, step.label.as_ref());
        let (mut fits_some, mut tasks) = (false, 0u64);
        for slot in pool {
            let Some(worker) = self.state.worker(*slot) else { continue };
            if !pending.task_capacity.fits(worker.listing.capacity) {
                continue;
            }
            fits_some = true;
            if pending.rule.permits.is_some() && state.permit_cache.is_denied(*slot) {
                continue;
            }
            let placed = state.per_worker.get(slot).copied().unwrap_or_default();
            let allowed = step.most_per_worker.map_or(u32::MAX, |limit| limit.saturating_sub(placed));
            let holds = pending.task_capacity.count_in(worker.listing.capacity).min(u64::from(allowed));
            tasks = tasks.saturating_add(holds);
            if tasks >= wanted {
                return false;
            }
        }
        if !fits_some {
            self.exhausted_capacity.remember(kind, pending.task_capacity);
        }
        true
    }
}
