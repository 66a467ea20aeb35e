use crate::prelude::*;

/// Weight of the newest run in the moving average of a queue.
const NEWEST_WEIGHT: f64 = 0.1;
/// Number of runs of a queue from which its average is used.
const MIN_RUNS: u32 = 8;
/// Bounds the ratio of run time to estimate, and its inverse, that one run contributes.
const MAX_RATIO: f64 = 8.0;

/// Moving averages of the ratio of run time to estimate, by queue; they correct the estimates of jobs.
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimator {
    queues: FastMap<QueueId, (f64, u32)>,
}

impl RunTimeEstimator {
    /// Records that a run with the estimate `estimate` took `took`; ignored if there is no estimate.
    pub fn observe(&mut self, queue: &QueueId, estimate: Duration, took: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / estimate.as_secs_f64()).clamp(1.0 / MAX_RATIO, MAX_RATIO);
        let (average, runs) = self.queues.entry(queue.clone()).or_insert((ratio, 0));
        *average += (ratio - *average) * NEWEST_WEIGHT;
        *runs += 1;
    }

    /// Returns the corrected run time for an estimate; `None` while too few runs of the queue are known.
    #[must_use]
    pub fn corrected_run_time(&self, queue: &QueueId, estimate: Duration) -> Option<Duration> {
        let (average, runs) = self.queues.get(queue)?;
        (*runs >= MIN_RUNS && !estimate.is_zero()).then(|| estimate.mul_f64(*average))
    }
}
