use hdrhistogram::Histogram;

use crate::prelude::*;

/// Number of runs from which the quantiles are used.
const MIN_RUNS: u64 = 20;
/// Number of runs after which the older half of the runs is forgotten.
const GENERATION_RUNS: u64 = 2_000;
/// Largest ratio that is told apart, in thousandths.
const MAX_RATIO_PERMILLE: u64 = 1_000_000;
/// Significant digits of the ratios.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Distribution of the ratio of a run time to a reference, of the last few thousand runs.
#[derive(Clone, Debug)]
pub struct RunTimeProfile {
    /// The newest ratios, in thousandths.
    newest: Histogram<u32>,
    /// The ratios before those.
    older: Histogram<u32>,
}

impl Default for RunTimeProfile {
    fn default() -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_RATIO_PERMILLE, SIGNIFICANT_DIGITS)
            .expect("the bounds and the precision are valid");
        Self { newest: empty.clone(), older: empty }
    }
}

impl RunTimeProfile {
    /// Adds a run that took `took`; ignored if the reference is zero.
    pub fn observe(&mut self, reference: Duration, took: Duration) {
        let Some(permille) = took.as_micros().saturating_mul(1_000).checked_div(reference.as_micros()) else {
            return;
        };
        if self.newest.len() >= GENERATION_RUNS {
            self.older = std::mem::replace(&mut self.newest, Self::default().newest);
        }
        self.newest.saturating_record(u64::try_from(permille).unwrap_or(u64::MAX).max(1));
    }

    /// Returns a quantile of the ratio; `None` while too few runs are known.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.newest.len() + self.older.len() < MIN_RUNS {
            return None;
        }
        let of = |histogram: &Histogram<u32>| {
            let weight = u32::try_from(histogram.len()).unwrap_or(u32::MAX);
            let permille = u32::try_from(histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
            (f64::from(permille) / 1_000.0, f64::from(weight))
        };
        // A new generation begins with few runs, so the two count by their number of runs.
        let ((newest, newest_weight), (older, older_weight)) = (of(&self.newest), of(&self.older));
        Some((newest * newest_weight + older * older_weight) / (newest_weight + older_weight))
    }
}
