use crate::kernel::cell::RunTimeProfile;
use crate::prelude::*;

/// Quantile of the ratio of run time to estimate that counts as the longest likely one. Estimates of some queues
/// are off by a factor of two or three.
const LONGEST_QUANTILE: f64 = 0.9;
/// Ratio that is used while too few runs of a queue are known.
const UNKNOWN_RATIO: f64 = 2.5;

/// How much longer than estimated the tasks of each queue may take.
///
/// The ratios are kept, as a quantile costs more than the ranks of many steps.
#[derive(Clone, Debug, Default)]
pub struct EstimateRatios {
    queues: FastMap<QueueId, f64>,
}

impl EstimateRatios {
    /// Takes the ratios from the run times that are known now.
    pub fn update(&mut self, profiles: &FastMap<QueueId, RunTimeProfile>) {
        let known = |(queue, profile): (&QueueId, &RunTimeProfile)| {
            Some((queue.clone(), profile.quantile(LONGEST_QUANTILE)?))
        };
        self.queues = profiles.iter().filter_map(known).collect();
    }

    /// Returns the longest likely ratio of a queue, at least 1.
    #[must_use]
    pub fn longest(&self, queue: &str) -> f64 {
        self.queues.get(queue).copied().unwrap_or(UNKNOWN_RATIO).max(1.0)
    }
}
