use crate::prelude::*;

/// Weight of the newest run when shorter ones lower the factor; about fifty runs forget an outlier.
const DECAY: f64 = 0.05;
/// Largest correction; runs beyond it are not evidence about the next run.
const MAX_FACTOR: f64 = 20.0;

/// How far the declared run times of each team are off.
#[derive(Clone, Debug, Default)]
pub struct TeamEstimator {
    factors: FastMap<TeamId, f64>,
}

impl TeamEstimator {
    /// Notes that a run that was declared to take `declared` took `observed`.
    pub fn observe(&mut self, team: &TeamId, declared: Duration, observed: Duration) {
        if declared.is_zero() {
            return;
        }
        let ratio = (observed.as_secs_f64() / declared.as_secs_f64()).min(MAX_FACTOR);
        let factor = self.factors.entry(team.clone()).or_insert(ratio);
        // Longer runs count at once, as an underestimate delays the job that the gap is kept for.
        *factor = if ratio > *factor { ratio } else { *factor + (ratio - *factor) * DECAY };
    }

    /// Returns the run time to expect; never less than declared.
    #[must_use]
    pub fn estimate(&self, team: &str, declared: Duration) -> Duration {
        let factor = self.factors.get(team).copied().unwrap_or(1.0).max(1.0);
        declared.mul_f64(factor)
    }
}
