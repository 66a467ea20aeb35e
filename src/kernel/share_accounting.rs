use crate::prelude::*;

/// Time constant of the decay of past usage, after which it has lost 1 - 1/e of its weight. It is long enough
/// to compensate a team for a wait of minutes, and short enough that a burst in the morning has no effect at
/// noon.
const USAGE_DECAY_TIME: Duration = Duration::from_secs(600);
/// Minimum time between updates of the averages.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Usage, allotment, weight and fair share of each team in one shard or cell.
#[derive(Clone, Debug, Default)]
pub struct ShareAccounting {
    teams: FastMap<TeamId, TeamUse>,
    refreshed_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct TeamUse {
    /// Resources of the placed tasks.
    used: ResourceVector,
    /// Resources that tasks of an earlier owner may use on workers that have not been synced yet.
    expected: ResourceVector,
    /// Upper bound on the resources that the team may use in this shard.
    allotment: ResourceVector,
    /// Weight of the team, its `share` in the policy bundle.
    weight: f64,
    /// Exponentially decaying average of the dominant share.
    average: f64,
    /// Fair share of the fleet as computed last, as a fraction.
    fair_share: f64,
    /// Dominant share now plus its average, divided by the weight; orders the teams.
    score: f64,
}

impl Default for TeamUse {
    fn default() -> Self {
        let zero = ResourceVector::default();
        Self {
            used: zero,
            expected: zero,
            allotment: zero,
            weight: 1.0,
            average: 0.0,
            fair_share: 0.0,
            score: 0.0,
        }
    }
}

impl ShareAccounting {
    /// Sets the weights of the teams from the policy bundle.
    #[expect(clippy::cast_precision_loss, reason = "shares are small numbers")]
    pub fn apply_bundle(&mut self, bundle: &PolicyBundle) {
        for team in &bundle.teams {
            self.teams.entry(team.id.clone()).or_default().weight = team.share.max(1) as f64;
        }
    }

    /// Sets the weight of a team.
    pub fn set_weight(&mut self, team: &TeamId, weight: u32) {
        self.teams.entry(team.clone()).or_default().weight = f64::from(weight.max(1));
    }

    /// Sets the allotment of a team.
    pub fn set_allotment(&mut self, team: &TeamId, amount: ResourceVector) {
        self.teams.entry(team.clone()).or_default().allotment = amount;
    }

    /// Adds resources to the usage of a team; `total` is the capacity of the fleet.
    pub fn add(&mut self, team: &TeamId, amount: ResourceVector, total: ResourceVector) {
        let team = self.teams.entry(team.clone()).or_default();
        team.used = team.used.plus(amount);
        team.update_score(total);
    }

    /// Removes resources from the usage of a team; `total` is the capacity of the fleet.
    pub fn remove(&mut self, team: &TeamId, amount: ResourceVector, total: ResourceVector) {
        let team = self.teams.entry(team.clone()).or_default();
        team.used = team.used.minus(amount);
        team.update_score(total);
    }

    /// Adds resources that tasks of an earlier owner may use; they count against the allotment.
    pub fn add_expected(&mut self, team: &TeamId, amount: ResourceVector) {
        let team = self.teams.entry(team.clone()).or_default();
        team.expected = team.expected.plus(amount);
    }

    /// Removes expected resources, because the task was found or has ended.
    pub fn remove_expected(&mut self, team: &TeamId, amount: ResourceVector) {
        let team = self.teams.entry(team.clone()).or_default();
        team.expected = team.expected.minus(amount);
    }

    /// Removes the expected resources of all teams.
    pub fn clear_expected(&mut self) {
        for team in self.teams.values_mut() {
            team.expected = ResourceVector::default();
        }
    }

    /// Whether the team may use that many more resources within its allotment.
    #[must_use]
    pub fn allows(&self, team: &TeamId, amount: ResourceVector) -> bool {
        self.teams
            .get(team)
            .is_some_and(|team| team.used.plus(team.expected).plus(amount).fits(team.allotment))
    }

    /// Returns the part of a team's allotment that is neither used nor expected to be.
    #[must_use]
    pub fn remaining_allotment(&self, team: &str) -> ResourceVector {
        self.teams
            .get(team)
            .map(|team| team.allotment.minus(team.used.plus(team.expected)))
            .unwrap_or_default()
    }

    /// Returns the resources of a team's placed tasks.
    #[must_use]
    pub fn used(&self, team: &str) -> ResourceVector {
        self.teams.get(team).map(|team| team.used).unwrap_or_default()
    }

    /// Returns the weighted dominant share of a team, now and averaged over past usage; the team with the
    /// lowest comes first.
    #[must_use]
    pub fn score(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(0.0, |team| team.score)
    }

    /// Sets the fair share of a team, as a fraction of the fleet.
    pub fn set_fair_share(&mut self, team: &TeamId, fair_share: f64) {
        self.teams.entry(team.clone()).or_default().fair_share = fair_share;
    }

    /// Returns the fair share of a team, as a fraction of the fleet.
    #[must_use]
    pub fn fair_share(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(0.0, |team| team.fair_share)
    }

    /// Returns the weight of a team.
    #[must_use]
    pub fn weight(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(1.0, |team| team.weight)
    }

    /// Returns the teams with placed tasks.
    pub fn teams_in_use(&self) -> impl Iterator<Item = &TeamId> {
        self.teams.iter().filter(|(_, team)| !team.used.is_zero()).map(|(id, _)| id)
    }

    /// Updates the averages and scores to `now`, unless the last update was just before.
    pub fn refresh(&mut self, now: Instant, total: ResourceVector) {
        let since = self
            .refreshed_at
            .map_or(Duration::ZERO, |refreshed_at| now.saturating_duration_since(refreshed_at));
        if self.refreshed_at.is_some() && since < MIN_REFRESH_INTERVAL {
            return;
        }
        self.refreshed_at = Some(now);
        let keep = (-since.as_secs_f64() / USAGE_DECAY_TIME.as_secs_f64()).exp();
        for team in self.teams.values_mut() {
            team.average = team.average * keep + team.used.dominant_fraction(total) * (1.0 - keep);
            team.update_score(total);
        }
    }

    /// Returns usage and allotment of each team.
    pub fn iter(&self) -> impl Iterator<Item = (&TeamId, ResourceVector, ResourceVector)> {
        self.teams.iter().map(|(id, team)| (id, team.used, team.allotment))
    }
}

impl TeamUse {
    fn update_score(&mut self, total: ResourceVector) {
        self.score = (self.used.dominant_fraction(total) + self.average) / self.weight;
    }
}
