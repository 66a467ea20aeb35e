use crate::kernel::cell::{CellState, JobLateness, RankedStep, StepClass, StepRank, StepWait};
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
    /// Returns the steps in the order of starts with the rank at which they are tried. A pass looks at each of them,
    /// as what it left out could be left out by each pass; it skips a step in well under a microsecond.
    #[must_use]
    pub fn steps(&self) -> Vec<RankedStep> {
        let ready = &self.state.ready;
        let overdue = self.overdue();
        let restarts = ready.iter().take_while(|(rank, _)| rank.class == StepClass::Restart);
        let others = ready.iter().skip_while(|(rank, _)| rank.class == StepClass::Restart);
        let others = others.filter(|(_, key)| !overdue.iter().any(|(_, overdue)| overdue == key));
        restarts.chain(&overdue).chain(others).cloned().collect()
    }

    /// Returns the oldest expired step of each service that has waited for longer than [`MAX_EXPIRED_WAIT`],
    /// ranked as the most urgent useful one. One step at a time bounds what the others lose. Steps that wait for the
    /// limit of their team or for a suitable worker are passed over: they would keep the place for good.
    fn overdue(&self) -> Vec<RankedStep> {
        let is_overdue = |rank: &StepRank| rank.latest_start + MAX_EXPIRED_WAIT < self.now;
        // Expired steps are last in the order, the newest of them at the end.
        let expired = self.state.ready.iter().rev().take_while(|(rank, _)| rank.class == StepClass::Expired);
        let mut by_service: FastMap<&str, &RankedStep> = FastMap::default();
        for entry in expired.filter(|(rank, _)| is_overdue(rank)) {
            let Some((spec, _, step)) = self.state.step(&entry.1) else { continue };
            let waits_for_room = !matches!(step.wait_reason, Some(StepWait::TeamLimit | StepWait::Worker));
            if let Some(rule) = self.state.config.queues.get(&spec.queue).filter(|_| waits_for_room) {
                by_service.insert(&rule.service, entry);
            }
        }
        let oldest = by_service.into_values().map(|(rank, key)| {
            let (class, lateness) = (StepClass::Useful, JobLateness::InTime);
            (StepRank { class, lateness, ..*rank }, key.clone())
        });
        let mut oldest: Vec<RankedStep> = oldest.collect();
        oldest.sort_unstable();
        oldest
    }
}
