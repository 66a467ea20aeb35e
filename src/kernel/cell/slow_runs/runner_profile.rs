use crate::prelude::*;

/// Runs of a queue on a worker from which its speed is used.
const MIN_RUNS: u32 = 6;
/// Least part by which a run moves the average.
const MIN_NEWEST_WEIGHT: f64 = 0.08;
/// Bounds what one run contributes, as a single run may take far longer on any worker.
const RATIO_BOUNDS: (f64, f64) = (0.4, 2.5);
/// Age of the last run after which a speed is forgotten.
const MAX_AGE: Duration = Duration::from_secs(120);
/// Ratio from which the worker counts as slow for a queue.
const SLOW_RATIO: f64 = 1.12;

/// Run times on one worker relative to those of the same steps elsewhere, by queue.
#[derive(Clone, Debug, Default)]
pub struct RunnerProfile {
    queues: FastMap<QueueId, RunnerSpeed>,
}

#[derive(Clone, Copy, Debug)]
struct RunnerSpeed {
    /// Average of the ratio of a run time to the median of its step.
    ratio: f64,
    runs: u32,
    observed_at: Instant,
}

impl RunnerProfile {
    /// Adds a run of a queue that took `took`, where the tasks of its step took `usual` in the median.
    pub fn observe(&mut self, queue: &QueueId, took: Duration, usual: Duration, now: Instant) {
        if usual.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / usual.as_secs_f64()).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let first = RunnerSpeed { ratio, runs: 0, observed_at: now };
        let speed = self.queues.entry(queue.clone()).or_insert(first);
        if now.saturating_duration_since(speed.observed_at) > MAX_AGE {
            *speed = first;
        }
        let weight = (1.0 / f64::from(speed.runs + 1)).max(MIN_NEWEST_WEIGHT);
        speed.ratio += (ratio - speed.ratio) * weight;
        speed.runs = speed.runs.saturating_add(1);
        speed.observed_at = now;
    }

    /// Whether runs of a queue take clearly longer on the worker than elsewhere.
    #[must_use]
    pub fn is_slow_for(&self, queue: &str, now: Instant) -> bool {
        self.queues.get(queue).is_some_and(|speed| {
            speed.runs >= MIN_RUNS
                && speed.ratio >= SLOW_RATIO
                && now.saturating_duration_since(speed.observed_at) <= MAX_AGE
        })
    }
}
