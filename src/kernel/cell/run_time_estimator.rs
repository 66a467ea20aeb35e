use crate::prelude::*;

/// Weight of the newest run in the average of a queue.
const DECAY: f64 = 0.1;
/// Runs of a queue after which its average counts.
const ENOUGH_RUNS: u32 = 8;
/// Largest factor between an estimate and the run time that is believed.
const MOST_OFF: f64 = 8.0;

/// How long runs take in comparison with the estimates of the jobs of a queue.
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimator {
    queues: FastMap<QueueId, (f64, u32)>,
}

impl RunTimeEstimator {
    /// Notes that a run that was estimated at `estimate` took `took`.
    pub fn observe(&mut self, queue: &QueueId, estimate: Duration, took: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / estimate.as_secs_f64()).clamp(1.0 / MOST_OFF, MOST_OFF);
        let (factor, runs) = self.queues.entry(queue.clone()).or_insert((ratio, 0));
        *factor += (ratio - *factor) * DECAY;
        *runs += 1;
    }

    /// Returns the run time to expect; `None` while too little is known.
    #[must_use]
    pub fn estimate(&self, queue: &QueueId, estimate: Duration) -> Option<Duration> {
        let (factor, runs) = self.queues.get(queue)?;
        (*runs >= ENOUGH_RUNS && !estimate.is_zero()).then(|| estimate.mul_f64(*factor))
    }
}
