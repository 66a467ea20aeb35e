use crate::kernel::cell::{PlacementPhase, TaskPlacement};
use crate::prelude::*;

/// Run time that the reports have to cover before the pace of the run is estimated.
const MIN_REPORTED_RUN_TIME: Duration = Duration::from_millis(120);
/// Time for which a run may report that all of its work is done, or no further progress, before its reports
/// count for nothing.
const MAX_STANDSTILL: Duration = Duration::from_millis(800);

/// When a run will end at the earliest if it keeps the pace that its reports show.
///
/// Progress is reported in whole percents, so the run may have done up to one percent more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunForecast {
    /// Shortest time for which a run of the whole task would last at this pace.
    pub total: Duration,
    /// Shortest remaining time.
    pub left: Duration,
}

impl RunForecast {
    /// Returns the forecast for a run; `None` if its reports do not allow one yet, contradict each other, or claim
    /// for long that nothing is left to do.
    #[must_use]
    pub fn of(placement: &TaskPlacement, now: Instant) -> Option<Self> {
        let PlacementPhase::Running(confirmed_at) = placement.phase else { return None };
        let (percent, changed_at) = placement.progress;
        if placement.progress_doubtful || percent >= 100 {
            return None;
        }
        let (base, base_at) = placement.progress_base.unwrap_or((0, confirmed_at));
        let reported = placement.reported_at.saturating_duration_since(base_at);
        let standstill = placement.reported_at.saturating_duration_since(changed_at);
        if reported < MIN_REPORTED_RUN_TIME || (percent > base && standstill > MAX_STANDSTILL) {
            return None;
        }
        let per_percent = reported.div_f64(f64::from(percent.saturating_sub(base) + 1));
        let left = per_percent.saturating_mul(99 - percent);
        let since_report = now.saturating_duration_since(placement.reported_at);
        Some(Self { total: per_percent.saturating_mul(100), left: left.saturating_sub(since_report) })
    }
}
