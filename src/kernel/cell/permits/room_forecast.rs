use crate::kernel::cell::{CellState, PlacementPhase, RunForecast, TaskKey, TaskPlacement};
use crate::prelude::*;

/// Age after which a forecast is made again at the earliest.
const MIN_FORECAST_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two forecasts for each running task, as making one takes time that grows with their number.
const FORECAST_INTERVAL_PER_TASK: Duration = Duration::from_micros(25);
/// Time that a stop usually takes.
const STOP_TIME: Duration = Duration::from_millis(300);

/// Progress from which the pace of a run says when it ends.
const MIN_PROGRESS_PERCENT: u32 = 10;

/// Expected ends of the running tasks, by worker.
#[derive(Clone, Debug, Default)]
pub struct RoomForecast {
    made_at: Option<Instant>,
    /// Time for which the forecast is used.
    interval: Duration,
    ends_by_worker: FastMap<u32, Vec<(Instant, ResourceVector)>>,
}

impl RoomForecast {
    /// Returns the forecast for the running tasks of a cell.
    #[must_use]
    pub fn of(state: &CellState, now: Instant) -> Self {
        let mut ends_by_worker: FastMap<u32, Vec<(Instant, ResourceVector)>> = FastMap::default();
        for (key, placement) in &state.placements {
            let Some((_, step, _)) = state.step(&key.step) else { continue };
            if let Some(end) = Self::expected_end(state, key, placement, now) {
                ends_by_worker.entry(placement.slot).or_default().push((end, step.occupied_capacity()));
            }
        }
        let tasks = u32::try_from(state.placements.len()).unwrap_or(u32::MAX);
        let interval = MIN_FORECAST_INTERVAL.max(FORECAST_INTERVAL_PER_TASK * tasks);
        Self { made_at: Some(now), interval, ends_by_worker }
    }

    /// Whether the forecast is too old to be used.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        self.made_at.is_none_or(|made_at| now.saturating_duration_since(made_at) >= self.interval)
    }

    /// Returns the capacity of the tasks on a worker that are expected to end by `limit`.
    #[must_use]
    pub fn freed_by(&self, slot: u32, limit: Instant) -> ResourceVector {
        let ends = self.ends_by_worker.get(&slot).into_iter().flatten();
        let freed = ends.filter(|(end, _)| *end <= limit);
        freed.fold(ResourceVector::default(), |sum, (_, capacity)| sum.plus(*capacity))
    }

    /// Returns when a run is expected to end; `None` if it has no end of its own or nothing is known of its
    /// duration.
    fn expected_end(
        state: &CellState,
        key: &TaskKey,
        placement: &TaskPlacement,
        now: Instant,
    ) -> Option<Instant> {
        if placement.stop_reason.is_some() {
            return Some(placement.stop_sent.unwrap_or(now) + STOP_TIME);
        }
        let (spec, step, _) = state.step(&key.step)?;
        let PlacementPhase::Running(confirmed_at) = placement.phase else { return None };
        if step.long_running {
            return None;
        }
        let by_progress =
            RunForecast::of(placement, now).filter(|_| placement.progress.0 >= MIN_PROGRESS_PERCENT);
        if let Some(forecast) = by_progress {
            return Some(now + forecast.left);
        }
        let corrected = state.run_time_estimator.corrected_run_time(&spec.queue, step.estimate);
        let estimate = corrected.unwrap_or(step.estimate);
        let end = confirmed_at + estimate;
        (!estimate.is_zero() && (end > now || placement.progress.0 > 0)).then_some(end)
    }
}
