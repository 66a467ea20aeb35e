use crate::prelude::*;

/// Time from the stop of a run to the report of its end, before any was seen.
const INITIAL_STOP_TIME: Duration = Duration::from_millis(300);
/// Longest time that counts for one stop, as a worker may be out of touch.
const MAX_STOP_TIME: Duration = Duration::from_secs(2);
/// Part by which one stop moves the average.
const NEWEST_WEIGHT: f64 = 0.05;

/// Time that a restart of a task takes until its new run begins, learned from earlier stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopCost {
    stop_time: Duration,
}

impl Default for StopCost {
    fn default() -> Self {
        Self { stop_time: INITIAL_STOP_TIME }
    }
}

impl StopCost {
    /// Time from the decision that a task starts again to the beginning of its run.
    pub const START_TIME: Duration = Duration::from_millis(100);

    /// Adds the time from the stop of a run to its end.
    pub fn observe(&mut self, took: Duration) {
        let newest = took.min(MAX_STOP_TIME).mul_f64(NEWEST_WEIGHT);
        self.stop_time = self.stop_time.mul_f64(1.0 - NEWEST_WEIGHT) + newest;
    }

    /// Returns the expected time from the decision to stop a run to the beginning of the next run.
    #[must_use]
    pub const fn restart_time(&self) -> Duration {
        self.stop_time.saturating_add(Self::START_TIME)
    }
}
