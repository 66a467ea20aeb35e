use crate::kernel::usage::{DecayedShare, UsageDecay};
use crate::prelude::*;

/// Minimum time between updates of the averages.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Usage, allotment, weight and fair share of each team in one shard or cell.
#[derive(Clone, Debug, Default)]
pub struct ShareAccounting {
    teams: FastMap<TeamId, TeamUse>,
    decay: UsageDecay,
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
    average: DecayedShare,
    /// Fair share of the fleet as computed last, as a fraction.
    fair_share: f64,
    /// Dominant share now.
    present: f64,
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
            average: DecayedShare::default(),
            fair_share: 0.0,
            present: 0.0,
            score: 0.0,
        }
    }
}

impl ShareAccounting {
    /// Sets the speed at which past use loses its weight.
    pub const fn set_decay(&mut self, decay: UsageDecay) {
        self.decay = decay;
    }

    /// Returns the speed at which past use loses its weight.
    #[must_use]
    pub const fn decay(&self) -> UsageDecay {
        self.decay
    }

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

    /// Returns the dominant share of what a team uses now.
    #[must_use]
    pub fn present_use(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(0.0, |team| team.present)
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
        let kept = self.decay.kept_part(since);
        for team in self.teams.values_mut() {
            team.average.advance(team.used.dominant_fraction(total), kept);
            team.update_score(total);
        }
    }

    /// Takes back the past use of a run that has used `amount` for `run_time` until now; `total` is the capacity
    /// of the fleet.
    pub fn refund(&mut self, team: &str, amount: ResourceVector, run_time: Duration, total: ResourceVector) {
        let decay = self.decay;
        if let Some(team) = self.teams.get_mut(team) {
            team.average.refund(amount.dominant_fraction(total), run_time, decay);
            team.update_score(total);
        }
    }

    /// Returns the past use of a team, as the decayed average of its dominant share.
    #[must_use]
    pub fn past_use(&self, team: &str) -> DecayedShare {
        self.teams.get(team).map(|team| team.average).unwrap_or_default()
    }

    /// Returns the past use of each team.
    pub fn past_uses(&self) -> impl Iterator<Item = (&TeamId, DecayedShare)> {
        self.teams.iter().map(|(id, team)| (id, team.average))
    }

    /// Replaces the past use of all teams; those that are not given have none.
    pub fn restore_past_uses(&mut self, past_uses: impl IntoIterator<Item = (TeamId, DecayedShare)>) {
        for team in self.teams.values_mut() {
            team.average = DecayedShare::default();
        }
        for (team, past_use) in past_uses {
            self.teams.entry(team).or_default().average = past_use;
        }
    }

    /// Returns usage and allotment of each team.
    pub fn iter(&self) -> impl Iterator<Item = (&TeamId, ResourceVector, ResourceVector)> {
        self.teams.iter().map(|(id, team)| (id, team.used, team.allotment))
    }
}

impl TeamUse {
    fn update_score(&mut self, total: ResourceVector) {
        self.present = self.used.dominant_fraction(total);
        self.score = (self.present + self.average.get()) / self.weight;
    }
}
