use crate::kernel::cell::{CellState, JobLateness, StepClass, StepKey, StepRank};
use crate::prelude::*;

/// Time after its last useful start from which the oldest expired step of a service is tried before others, so
/// that steady load by useful work does not keep it from ending for good.
const MAX_EXPIRED_WAIT: Duration = Duration::from_secs(60);

/// Chooses the steps that a start pass tries, in order.
pub struct PassOrder<'a> {
    /// State of the cell that the pass works on.
    pub state: &'a CellState,
    /// Time of the pass.
    pub now: Instant,
}

impl PassOrder<'_> {
    /// Returns up to `limit` ready steps with the rank at which they are tried.
    #[must_use]
    pub fn steps(&self, limit: usize) -> Vec<(StepRank, StepKey)> {
        let ready = &self.state.ready;
        let overdue = self.overdue();
        let restarts = ready.iter().take_while(|(rank, _)| rank.class == StepClass::Restart);
        let others = ready.iter().skip_while(|(rank, _)| rank.class == StepClass::Restart);
        let others = others.filter(|(_, key)| !overdue.iter().any(|(_, overdue)| overdue == key));
        restarts.chain(&overdue).chain(others).take(limit).cloned().collect()
    }

    /// Returns the oldest expired step of each service that has waited for longer than [`MAX_EXPIRED_WAIT`],
    /// ranked as the most urgent useful one. One step at a time bounds what the others lose.
    fn overdue(&self) -> Vec<(StepRank, StepKey)> {
        let is_overdue = |rank: &StepRank| rank.latest_start + MAX_EXPIRED_WAIT < self.now;
        // Expired steps are last in the order, the newest of them at the end.
        let expired = self.state.ready.iter().rev().take_while(|(rank, _)| rank.class == StepClass::Expired);
        let mut by_service: FastMap<&str, &(StepRank, StepKey)> = FastMap::default();
        for entry in expired.filter(|(rank, _)| is_overdue(rank)) {
            let rule =
                self.state.step(&entry.1).and_then(|(spec, ..)| self.state.config.queues.get(&spec.queue));
            if let Some(rule) = rule {
                by_service.insert(&rule.service, entry);
            }
        }
        let oldest = by_service.into_values().map(|(rank, key)| {
            let (class, lateness) = (StepClass::Useful, JobLateness::InTime);
            (StepRank { class, lateness, ..*rank }, key.clone())
        });
        let mut oldest: Vec<(StepRank, StepKey)> = oldest.collect();
        oldest.sort_unstable();
        oldest
    }
}
