use crate::kernel::ShardState;
use crate::prelude::*;

/// What the teams will use once the planned stops and starts have happened, and their fair parts of the fleet.
#[derive(Clone, Debug, Default)]
pub struct ShareForecast {
    teams: FastMap<TeamId, (ResourceVector, f64)>,
    total: ResourceVector,
}

impl ShareForecast {
    /// Returns what the teams use now.
    #[must_use]
    pub fn of(state: &ShardState) -> Self {
        let teams =
            state.shares.iter().map(|(team, used, _)| (team.clone(), (used, state.shares.fair_share(team))));
        Self { teams: teams.collect(), total: state.fleet.capacity }
    }

    /// Counts a planned start.
    pub fn start(&mut self, team: &TeamId, need: ResourceVector) {
        if let Some((used, _)) = self.teams.get_mut(team) {
            *used = used.plus(need);
        }
    }

    /// Counts a planned stop.
    pub fn stop(&mut self, team: &TeamId, need: ResourceVector) {
        if let Some((used, _)) = self.teams.get_mut(team) {
            *used = used.minus(need);
        }
    }

    /// Returns how far a team is above its fair part; negative below it.
    #[must_use]
    pub fn share_excess(&self, team: &TeamId) -> f64 {
        self.teams.get(team).map_or(0.0, |(used, fair)| used.dominant_fraction(self.total) - fair)
    }

    /// Whether a team is below its fair part by at least `part` of what `need` adds to its dominant share.
    #[must_use]
    pub fn is_below_share(&self, team: &TeamId, need: ResourceVector, part: f64) -> bool {
        let Some((used, fair)) = self.teams.get(team) else { return false };
        let (now, then) = (used.dominant_fraction(self.total), used.plus(need).dominant_fraction(self.total));
        now < *fair && fair - now >= part * (then - now)
    }

    /// Whether a team is above its fair part by at least `part` of what `taken` takes off its dominant share.
    #[must_use]
    pub fn is_above_share(&self, team: &TeamId, taken: ResourceVector, part: f64) -> bool {
        let Some((used, fair)) = self.teams.get(team) else { return false };
        let (now, then) =
            (used.dominant_fraction(self.total), used.minus(taken).dominant_fraction(self.total));
        now > *fair && now - fair >= part * (now - then)
    }
}
