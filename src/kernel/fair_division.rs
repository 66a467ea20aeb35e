use crate::prelude::*;

/// Weight and demand of one team.
#[derive(Clone, Debug)]
pub struct TeamDemand {
    /// Team that the demand belongs to.
    pub team: TeamId,
    /// Weight of the team; twice the weight gives twice the share.
    pub weight: f64,
    /// Resources that its placed tasks use and its waiting tasks need.
    pub demand: ResourceVector,
}

/// Returns the weighted max-min fair dominant share of each team, bounded by its demand.
///
/// Progressive filling: the shares of all teams rise in proportion to their weights, and each team takes
/// resources in the proportions of its demand. A team stops when its demand is met or a resource that it
/// needs is used up. `available` is the capacity to divide, and shares are fractions of `total`.
#[must_use]
pub fn divide_fairly(demands: &[TeamDemand], available: ResourceVector, total: ResourceVector) -> Vec<f64> {
    let mut remaining = dimensions(available);
    let mut fair = vec![0.0; demands.len()];
    // For each team: the increase of its use in each dimension per unit of the common level, and the level at
    // which its demand is met.
    let rates_and_end = |team: &TeamDemand| {
        let dominant = team.demand.dominant_fraction(total);
        (dimensions(team.demand).map(|amount| amount * team.weight / dominant), dominant / team.weight)
    };
    let mut active: Vec<(usize, [f64; 3], f64)> = demands
        .iter()
        .enumerate()
        .filter(|(_, team)| team.demand.dominant_fraction(total) > 0.0)
        .map(|(index, team)| (index, rates_and_end(team).0, rates_and_end(team).1))
        .collect();
    let mut level = 0.0;
    while !active.is_empty() {
        let rates =
            [0, 1, 2].map(|part| active.iter().map(|(_, team_rates, _)| team_rates[part]).sum::<f64>());
        let until_met = active.iter().map(|(.., end_level)| end_level - level).fold(f64::INFINITY, f64::min);
        let used_up =
            |part: usize| if rates[part] > 0.0 { remaining[part] / rates[part] } else { f64::INFINITY };
        let (scarce, until_used_up) = [0, 1, 2]
            .map(|part| (part, used_up(part)))
            .into_iter()
            .fold((0, f64::INFINITY), |least, next| if next.1 < least.1 { next } else { least });
        let level_step = until_met.min(until_used_up).max(0.0);
        level += level_step;
        for (index, ..) in &active {
            fair[*index] = level * demands[*index].weight;
        }
        for (part, rate) in rates.into_iter().enumerate() {
            remaining[part] = (remaining[part] - rate * level_step).max(0.0);
        }
        // A demand counts as met within a relative tolerance of 1e-12.
        active.retain(|(_, team_rates, end_level)| {
            if until_used_up <= until_met {
                team_rates[scarce] <= 0.0
            } else {
                *end_level - level > *end_level * 1e-12
            }
        });
    }
    fair
}

#[expect(clippy::cast_precision_loss, reason = "amounts stay far below 2^52")]
fn dimensions(amount: ResourceVector) -> [f64; 3] {
    [amount.cores_milli, amount.memory_mib, amount.accelerators].map(|amount| amount as f64)
}
