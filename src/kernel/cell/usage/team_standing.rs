use crate::kernel::UsageDecay;
use crate::prelude::*;

/// Use that a team may have beyond its part without a correction: that of its whole part for this time. It is the
/// time for which [`SubmitRate`](crate::kernel::cell::SubmitRate) accepts bursts, which are no lasting overuse.
const ALLOWANCE: Duration = Duration::from_secs(30);
/// Ratio of use to due use up to which there is no correction, so that teams with about equal use keep their
/// order.
const TOLERATED_RATIO: f64 = 1.25;
/// Ratio of use to due use from which the correction is largest. With two teams of equal weight, no ratio exceeds 2.
const FULL_RATIO: f64 = 1.75;
/// Number of steps in which the correction grows. Ranks of waiting work change only from one to the next.
const LEVELS: f64 = 8.0;

/// Weight and past use of a team that takes part in the comparison.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamStanding {
    /// Name of the team.
    pub team: TeamId,
    /// Weight of the team.
    pub weight: f64,
    /// Decayed average of its dominant share.
    pub past_use: f64,
}

impl TeamStanding {
    /// Returns by how much of the largest correction each team is corrected, from 0 to 1. Teams without a
    /// correction are left out.
    ///
    /// The due use of a team is its part, by weight, of what all the given teams together have used.
    #[must_use]
    pub fn corrections(teams: &[Self], decay: UsageDecay) -> FastMap<TeamId, f64> {
        let weights: f64 = teams.iter().map(|team| team.weight).sum();
        let used: f64 = teams.iter().map(|team| team.past_use).sum();
        let allowance = 1.0 - decay.kept_part(ALLOWANCE);
        let due_per_weight = (used + allowance) / weights;
        if !due_per_weight.is_normal() {
            return FastMap::default();
        }
        let corrections = teams.iter().map(|team| {
            let ratio = team.past_use / (team.weight * due_per_weight);
            let excess = (ratio - TOLERATED_RATIO) / (FULL_RATIO - TOLERATED_RATIO);
            (team.team.clone(), (excess.clamp(0.0, 1.0) * LEVELS).floor() / LEVELS)
        });
        corrections.filter(|(_, correction)| *correction > 0.0).collect()
    }
}
