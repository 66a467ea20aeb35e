use crate::kernel::ShareAccounting;
use crate::prelude::*;

/// Multiple of the others' mean weighted share above which a team counts as far above its share.
const ABOVE_FACTOR: f64 = 2.0;
/// Multiple below which a team that counted as far above does so no longer. It is lower, so that the order does
/// not change with each start and end.
const BELOW_FACTOR: f64 = 1.5;

/// The teams that use far more than their weighted share of what runs while tasks of other teams wait.
///
/// Without waiting tasks of another team no team is above its share, so that a team may use idle capacity.
#[derive(Clone, Debug, Default)]
pub struct ShareStanding {
    above: FastSet<TeamId>,
}

impl ShareStanding {
    /// Whether the team is far above its weighted share.
    #[must_use]
    pub fn is_above(&self, team: &str) -> bool {
        self.above.contains(team)
    }

    /// Compares the teams again; returns those whose standing has changed, with whether they are above now.
    /// `waiting` holds the teams with tasks that are of use and found no room or no permit.
    pub fn update(&mut self, shares: &ShareAccounting, waiting: &FastSet<TeamId>) -> Vec<(TeamId, bool)> {
        let competing: FastSet<&TeamId> =
            shares.teams_in_use().chain(waiting).filter(|team| !team.is_empty()).collect();
        let weight: f64 = competing.iter().map(|team| shares.weight(team)).sum();
        let used: f64 = competing.iter().map(|team| shares.present_use(team)).sum();
        let is_above = |team: &TeamId| {
            let (own_weight, own_use) = (shares.weight(team), shares.present_use(team));
            let factor = if self.above.contains(team) { BELOW_FACTOR } else { ABOVE_FACTOR };
            let others = (used - own_use) / (weight - own_weight);
            others.is_finite()
                && own_use / own_weight > others * factor
                && waiting.iter().any(|other| other != team)
        };
        let above: FastSet<TeamId> = competing.into_iter().filter(|team| is_above(team)).cloned().collect();
        let mut changes: Vec<(TeamId, bool)> = above
            .symmetric_difference(&self.above)
            .map(|team| (team.clone(), above.contains(team)))
            .collect();
        changes.sort_unstable();
        self.above = above;
        changes
    }
}
