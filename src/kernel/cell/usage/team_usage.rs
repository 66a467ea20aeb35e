use crate::kernel::cell::CellState;
use crate::prelude::*;

/// Past use of one team and its effect, for metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamUsage {
    /// Name of the team.
    pub team: TeamId,
    /// Decayed average of its dominant share.
    pub past_use: f64,
    /// Weight of the team.
    pub weight: f64,
    /// By how much its steps rank later, as a part of their latency objective.
    pub correction: f64,
    /// Steps that were ranked behind waiting steps of other teams because of the correction.
    pub steps_moved_back: u64,
}

impl TeamUsage {
    /// Returns the use of each configured team, sorted by name.
    #[must_use]
    pub fn all(state: &CellState) -> Vec<Self> {
        let teams = state.config.teams.keys();
        let mut usages: Vec<Self> = teams
            .map(|team| Self {
                team: team.clone(),
                past_use: state.shares.past_use(team).get(),
                weight: state.shares.weight(team),
                correction: state.usage_correction.objective_part(team),
                steps_moved_back: state.usage_correction.moved_back(team),
            })
            .collect();
        usages.sort_by(|left, right| left.team.cmp(&right.team));
        usages
    }
}
