use crate::prelude::*;

/// Part of the capacity of a service's workers whose work may be thrown away by restarts.
const MAX_DISCARDED_SHARE: f64 = 0.1;
/// Time over which the part is averaged.
const AVERAGING_PERIOD: Duration = Duration::from_secs(10);

/// Bounds the work of one service that restarts of slow runs throw away, as a bucket that drains at
/// `MAX_DISCARDED_SHARE` of the capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DiscardBudget {
    /// Work in the bucket, in core seconds.
    discarded: f64,
    drained_at: Option<Instant>,
}

impl DiscardBudget {
    /// Adds work that would be thrown away, in core seconds; returns whether that stays within the budget of
    /// workers with `cores` cores together. Work beyond it is not added.
    pub fn spend(&mut self, work: f64, cores: f64, now: Instant) -> bool {
        let drained_at = self.drained_at.replace(now).unwrap_or(now);
        let rate = cores * MAX_DISCARDED_SHARE;
        let elapsed = now.saturating_duration_since(drained_at).as_secs_f64();
        self.discarded = elapsed.mul_add(-rate, self.discarded).max(0.0);
        let within = self.discarded + work <= rate * AVERAGING_PERIOD.as_secs_f64();
        if within {
            self.discarded += work;
        }
        within
    }
}
