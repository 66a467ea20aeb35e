use crate::kernel::ShardState;
use crate::prelude::*;

/// Usage and fair share of the teams once all planned stops and starts have happened.
#[derive(Clone, Debug, Default)]
pub struct ShareForecast {
    /// Usage and fair share of each team.
    teams: FastMap<TeamId, (ResourceVector, f64)>,
    /// Capacity of the fleet, which shares are fractions of.
    total: ResourceVector,
}

impl ShareForecast {
    /// Returns a forecast without plans, that is the present usage.
    #[must_use]
    pub fn of(state: &ShardState) -> Self {
        let teams =
            state.shares.iter().map(|(team, used, _)| (team.clone(), (used, state.shares.fair_share(team))));
        Self { teams: teams.collect(), total: state.fleet.capacity }
    }

    /// Adds a planned start.
    pub fn start(&mut self, team: &TeamId, need: ResourceVector) {
        if let Some((used, _)) = self.teams.get_mut(team) {
            *used = used.plus(need);
        }
    }

    /// Adds a planned stop.
    pub fn stop(&mut self, team: &TeamId, need: ResourceVector) {
        if let Some((used, _)) = self.teams.get_mut(team) {
            *used = used.minus(need);
        }
    }

    /// Returns how far a team is above its fair share, as a fraction of the fleet; negative below it.
    #[must_use]
    pub fn share_excess(&self, team: &TeamId) -> f64 {
        self.teams.get(team).map_or(0.0, |(used, fair)| used.dominant_fraction(self.total) - fair)
    }

    /// Whether a team is below its fair share by at least `fraction` of what `need` adds to its dominant
    /// share.
    #[must_use]
    pub fn is_below_share(&self, team: &TeamId, need: ResourceVector, fraction: f64) -> bool {
        let Some((used, fair)) = self.teams.get(team) else { return false };
        let (before, after) =
            (used.dominant_fraction(self.total), used.plus(need).dominant_fraction(self.total));
        before < *fair && fair - before >= fraction * (after - before)
    }

    /// Whether a team is above its fair share by at least `fraction` of what it loses in dominant share
    /// without `taken`.
    #[must_use]
    pub fn is_above_share(&self, team: &TeamId, taken: ResourceVector, fraction: f64) -> bool {
        let Some((used, fair)) = self.teams.get(team) else { return false };
        let (before, after) =
            (used.dominant_fraction(self.total), used.minus(taken).dominant_fraction(self.total));
        before > *fair && before - fair >= fraction * (before - after)
    }
}
