use crate::kernel::cell::{
    CellEffect, CellNotice, CellState, StepClass, StepKey, StepRank, StepRanking, StepState, StepWait,
};
use crate::prelude::*;

/// Updates the order of the ready steps.
pub struct RankUpdate<'a> {
    /// State of the cell.
    pub state: &'a mut CellState,
    /// Present time.
    pub now: Instant,
}

impl RankUpdate<'_> {
    /// Updates the rank of each ready step whose class, lateness or team standing has changed since it was
    /// ranked, or whose correction for past use has become smaller.
    pub fn run(&mut self) {
        self.state.estimate_ratios.update(&self.state.slow_runs.estimate_profiles);
        self.compare_shares();
        let stale: Vec<(StepRank, StepKey, StepRank)> = self
            .state
            .ready
            .all()
            .filter_map(|(rank, key)| {
                let new = rank.replaced_by(StepRanking { state: self.state }.rank(key, self.now))?;
                Some((*rank, key.clone(), new))
            })
            .collect();
        for (old, key, new) in stale {
            if let Some(state) = self.state.step_mut(&key) {
                state.rank = Some(new);
            }
            self.state.ready.replace_rank(&(old, key), new);
        }
    }

    /// Compares the shares of the teams, and emits a log effect for each team whose standing has changed.
    fn compare_shares(&mut self) {
        let waits = |step: &StepState| {
            step.rank.is_some_and(|rank| rank.class <= StepClass::Useful)
                && matches!(step.wait_reason, Some(StepWait::Room | StepWait::Permit))
        };
        let steps = self.state.ready.iter().filter_map(|(_, key)| self.state.step(key));
        let waiting: FastSet<TeamId> =
            steps.filter(|(_, _, step)| waits(step)).map(|(spec, ..)| spec.team.clone()).collect();
        for (team, above) in self.state.share_standing.update(&self.state.shares, &waiting) {
            let used = self.state.shares.used(&team);
            self.state.effects.push(CellEffect::Log(CellNotice::ShareStandingChanged { team, above, used }));
        }
    }
}
