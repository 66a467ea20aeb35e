use crate::prelude::*;

/// Weight of the newest run when a shorter one lowers the factor; an outlier has decayed after about fifty
/// runs.
const FACTOR_SMOOTHING: f64 = 0.05;
/// Maximum correction factor. A longer run counts as this many times its declared run time, because how much
/// longer it was says nothing about the next run.
const MAX_FACTOR: f64 = 20.0;

/// Corrects the declared run times of each team by how long its earlier tasks ran.
#[derive(Clone, Debug, Default)]
pub struct RunTimeCorrection {
    /// Smoothed ratio of observed to declared run time, by team.
    factors: FastMap<TeamId, f64>,
}

impl RunTimeCorrection {
    /// Records that a task with the declared run time `declared` ran for `observed`.
    pub fn observe(&mut self, team: &TeamId, declared: Duration, observed: Duration) {
        if declared.is_zero() {
            return;
        }
        let ratio = (observed.as_secs_f64() / declared.as_secs_f64()).min(MAX_FACTOR);
        let factor = self.factors.entry(team.clone()).or_insert(ratio);
        // A longer run raises the factor at once, because an underestimate delays the gang job into whose
        // reservation a task is backfilled.
        *factor = if ratio > *factor { ratio } else { *factor + (ratio - *factor) * FACTOR_SMOOTHING };
    }

    /// Returns the expected run time, which is never shorter than the declared one.
    #[must_use]
    pub fn estimate(&self, team: &str, declared: Duration) -> Duration {
        let factor = self.factors.get(team).copied().unwrap_or(1.0).max(1.0);
        declared.mul_f64(factor)
    }
}
