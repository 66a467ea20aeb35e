use crate::prelude::*;

/// What a team wants of the fleet.
#[derive(Clone, Debug)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamId,
    /// Its weight.
    pub weight: f64,
    /// What its tasks use and what its waiting tasks need.
    pub demand: ResourceVector,
}

/// Returns the weighted max-min fair dominant share of each team, bounded by its demand.
///
/// All teams rise at the rate of their weights, each along its demand, until the demand is met or a dimension that
/// the team needs is used up. `open` is what may be given out and `total` what shares are fractions of.
#[must_use]
pub fn divide_fairly(wanted: &[TeamDemand], open: ResourceVector, total: ResourceVector) -> Vec<f64> {
    let mut room = parts(open);
    let mut fair = vec![0.0; wanted.len()];
    // Rise of each dimension and of the dominant share per unit of the common level, and the level to stop at.
    let slope = |wanted: &TeamDemand| {
        let dominant = wanted.demand.dominant_fraction(total);
        (parts(wanted.demand).map(|part| part * wanted.weight / dominant), dominant / wanted.weight)
    };
    let mut active: Vec<(usize, [f64; 3], f64)> = wanted
        .iter()
        .enumerate()
        .filter(|(_, wanted)| wanted.demand.dominant_fraction(total) > 0.0)
        .map(|(index, wanted)| (index, slope(wanted).0, slope(wanted).1))
        .collect();
    let mut level = 0.0;
    while !active.is_empty() {
        let rates = [0, 1, 2].map(|part| active.iter().map(|(_, rise, _)| rise[part]).sum::<f64>());
        let met = active.iter().map(|(.., stop)| stop - level).fold(f64::INFINITY, f64::min);
        let used_up = |part: usize| if rates[part] > 0.0 { room[part] / rates[part] } else { f64::INFINITY };
        let (scarce, left) = [0, 1, 2]
            .map(|part| (part, used_up(part)))
            .into_iter()
            .fold((0, f64::INFINITY), |least, next| if next.1 < least.1 { next } else { least });
        let rise = met.min(left).max(0.0);
        level += rise;
        for (index, ..) in &active {
            fair[*index] = level * wanted[*index].weight;
        }
        for (part, rate) in rates.into_iter().enumerate() {
            room[part] = (room[part] - rate * rise).max(0.0);
        }
        active.retain(
            |(_, slope, stop)| if left <= met { slope[scarce] <= 0.0 } else { *stop - level > *stop * 1e-12 },
        );
    }
    fair
}

#[expect(clippy::cast_precision_loss, reason = "amounts stay far below 2^52")]
fn parts(amount: ResourceVector) -> [f64; 3] {
    [amount.cores_milli, amount.memory_mib, amount.accelerators].map(|part| part as f64)
}
