use crate::prelude::*;

/// Time in which past use loses most (1 - 1/e) of its weight: long enough to make up for a wait of minutes,
/// short enough that a burst in the morning costs nothing at noon.
const WINDOW: Duration = Duration::from_secs(600);
/// Shortest time between updates of the averages.
const REFRESH: Duration = Duration::from_millis(200);

/// Use of each team, its share and its allotment in the shard.
#[derive(Clone, Debug, Default)]
pub struct ShareAccounting {
    teams: FastMap<TeamId, TeamUse>,
    refreshed: Option<Instant>,
}

#[derive(Clone, Debug)]
struct TeamUse {
    used: ResourceVector,
    /// What tasks of an earlier owner may use on workers that were not heard yet.
    expected: ResourceVector,
    allotment: ResourceVector,
    weight: f64,
    average: f64,
    /// Fair part of the fleet as last divided.
    fair: f64,
    /// Weighted share that orders the teams.
    score: f64,
}

impl Default for TeamUse {
    fn default() -> Self {
        let zero = ResourceVector::default();
        Self { used: zero, expected: zero, allotment: zero, weight: 1.0, average: 0.0, fair: 0.0, score: 0.0 }
    }
}

impl ShareAccounting {
    /// Takes the shares of all teams from the bundle.
    #[expect(clippy::cast_precision_loss, reason = "shares are small numbers")]
    pub fn adopt(&mut self, bundle: &PolicyBundle) {
        for team in &bundle.teams {
            self.teams.entry(team.id.clone()).or_default().weight = team.share.max(1) as f64;
        }
    }

    /// Sets the allotment of a team.
    pub fn allot(&mut self, team: &TeamId, amount: ResourceVector) {
        self.teams.entry(team.clone()).or_default().allotment = amount;
    }

    /// Counts an amount against a team.
    pub fn add(&mut self, team: &TeamId, amount: ResourceVector, total: ResourceVector) {
        let team = self.teams.entry(team.clone()).or_default();
        team.used = team.used.plus(amount);
        team.rate(total);
    }

    /// Counts an amount against a team no longer.
    pub fn remove(&mut self, team: &TeamId, amount: ResourceVector, total: ResourceVector) {
        let team = self.teams.entry(team.clone()).or_default();
        team.used = team.used.minus(amount);
        team.rate(total);
    }

    /// Counts an amount that tasks of an earlier owner may use.
    pub fn add_expected(&mut self, team: &TeamId, amount: ResourceVector) {
        let team = self.teams.entry(team.clone()).or_default();
        team.expected = team.expected.plus(amount);
    }

    /// Counts an expected amount no longer, as it was found or has ended.
    pub fn remove_expected(&mut self, team: &TeamId, amount: ResourceVector) {
        let team = self.teams.entry(team.clone()).or_default();
        team.expected = team.expected.minus(amount);
    }

    /// Counts no expected amounts any more.
    pub fn clear_expected(&mut self) {
        for team in self.teams.values_mut() {
            team.expected = ResourceVector::default();
        }
    }

    /// Whether the team may use that much more.
    #[must_use]
    pub fn allows(&self, team: &TeamId, amount: ResourceVector) -> bool {
        self.teams
            .get(team)
            .is_some_and(|team| team.used.plus(team.expected).plus(amount).fits(team.allotment))
    }

    /// Returns how much more the team may use.
    #[must_use]
    pub fn remaining_allotment(&self, team: &str) -> ResourceVector {
        self.teams
            .get(team)
            .map(|team| team.allotment.minus(team.used.plus(team.expected)))
            .unwrap_or_default()
    }

    /// Returns what counts against a team.
    #[must_use]
    pub fn used(&self, team: &str) -> ResourceVector {
        self.teams.get(team).map(|team| team.used).unwrap_or_default()
    }

    /// Returns the weighted dominant share of a team, now and over the window; the lowest is served first.
    #[must_use]
    pub fn score(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(0.0, |team| team.score)
    }

    /// Sets the fair part of the fleet of a team.
    pub fn set_fair_share(&mut self, team: &TeamId, fair: f64) {
        self.teams.entry(team.clone()).or_default().fair = fair;
    }

    /// Returns the fair part of the fleet of a team.
    #[must_use]
    pub fn fair_share(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(0.0, |team| team.fair)
    }

    /// Returns the weight of a team.
    #[must_use]
    pub fn weight(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(1.0, |team| team.weight)
    }

    /// Returns all teams that use something.
    pub fn users(&self) -> impl Iterator<Item = &TeamId> {
        self.teams.iter().filter(|(_, team)| !team.used.is_zero()).map(|(id, _)| id)
    }

    /// Moves the averages on to `now`.
    pub fn refresh(&mut self, now: Instant, total: ResourceVector) {
        let since =
            self.refreshed.map_or(Duration::ZERO, |refreshed| now.saturating_duration_since(refreshed));
        if self.refreshed.is_some() && since < REFRESH {
            return;
        }
        self.refreshed = Some(now);
        let keep = (-since.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        for team in self.teams.values_mut() {
            team.average = team.average * keep + team.used.dominant_fraction(total) * (1.0 - keep);
            team.rate(total);
        }
    }

    /// Returns use and allotment of each team.
    pub fn iter(&self) -> impl Iterator<Item = (&TeamId, ResourceVector, ResourceVector)> {
        self.teams.iter().map(|(id, team)| (id, team.used, team.allotment))
    }
}

impl TeamUse {
    fn rate(&mut self, total: ResourceVector) {
        self.score = (self.used.dominant_fraction(total) + self.average) / self.weight;
    }
}
