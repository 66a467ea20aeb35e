use crate::kernel::cell::{CellState, StepKey};
use crate::prelude::*;

/// Bounds the waiting steps that are compared with the free accelerators, in the order of starts.
const MAX_COMPARED_STEPS: usize = 400;

/// Free accelerators that waiting steps could use if they had tickets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdleAccelerators {
    /// Those on workers that are granted to the step, which has no valid ticket.
    pub without_ticket: u64,
    /// Those on workers on which the step has no verdict, by the grant rate of its queue.
    pub without_verdict: u64,
}

impl IdleAccelerators {
    /// Assigns the free accelerators of a cell to the waiting steps that need a permit and lack one, in the
    /// order of starts. A gang counts only if all of its tasks fit.
    #[must_use]
    pub fn of(state: &CellState, now: Instant) -> Self {
        let mut idle = Self::default();
        let mut free_by_slot: FastMap<u32, ResourceVector> = FastMap::default();
        for (_, key) in state.ready.iter().take(MAX_COMPARED_STEPS) {
            idle.assign(state, key, &mut free_by_slot, now);
        }
        idle
    }

    fn assign(
        &mut self,
        state: &CellState,
        key: &StepKey,
        free_by_slot: &mut FastMap<u32, ResourceVector>,
        now: Instant,
    ) {
        let Some((spec, step, step_state)) = state.step(key) else { return };
        let Some(rule) = state.config.queues.get(&spec.queue) else { return };
        let pool = state.pools.with_label(&rule.service, step.label.as_ref());
        if rule.permits.is_none()
            || step.need.accelerators == 0
            || !step.need.fits(state.shares.remaining_allotment(&spec.team))
        {
            return;
        }
        let need = step.occupied_capacity();
        let permit_cache = &step_state.permit_cache;
        let mut left = step_state.waiting.len() as u64;
        let mut assigned: Vec<(u32, u64, bool)> = Vec::new();
        for slot in pool {
            let Some(worker) = state.worker(*slot) else { continue };
            let free = free_by_slot.get(slot).copied().unwrap_or_else(|| worker.free());
            if !need.fits(free)
                || !worker.is_schedulable(now)
                || permit_cache.is_denied(*slot)
                || permit_cache.ticket(*slot, now).is_some()
            {
                continue;
            }
            let most = step.most_per_worker.map_or(u64::MAX, u64::from);
            let tasks = need.count_in(free).min(left).min(most);
            left -= tasks;
            assigned.push((*slot, tasks, permit_cache.was_granted(*slot)));
            if left == 0 {
                break;
            }
        }
        if step.gang && left > 0 {
            return;
        }
        let grant_rate = state.permit_stats.of(&spec.queue).grant_rate();
        for (slot, tasks, granted) in assigned {
            let Some(worker) = state.worker(slot) else { continue };
            let free = free_by_slot.entry(slot).or_insert_with(|| worker.free());
            *free = free.minus(need.times(tasks));
            let accelerators = step.need.accelerators * tasks;
            if granted {
                self.without_ticket += accelerators;
            } else {
                self.without_verdict += scale(accelerators, grant_rate);
            }
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the result is a small count"
)]
fn scale(count: u64, share: f64) -> u64 {
    (count as f64 * share).round() as u64
}
