use crate::kernel::cell::{CellState, ExpectationSource, RunExpectation, RunForecast, StepKey};
use crate::prelude::*;

/// Number of tasks of a step, with ended runs or a forecast, from which they are compared with each other.
const MIN_SIBLINGS: usize = 3;
/// Quantile of the run times of a queue up to which runs are usual; about one run in thirty is far slower.
const USUAL_QUANTILE: f64 = 0.97;
/// Factor on the usual run time up to which a run is not slow.
const TOLERANCE: f64 = 1.4;
/// Bounds the run time up to which a run is not slow, as a multiple of the median of its step.
const SIBLING_FACTORS: (f64, f64) = (2.0, 4.0);
/// The same while too few runs of the queue are known.
const UNKNOWN_SIBLING_FACTOR: f64 = 2.5;

/// Expected run times of the tasks of steps as of one moment; each step is computed once.
#[derive(Default)]
pub struct StepExpectations {
    steps: FastMap<StepKey, Option<RunExpectation>>,
}

impl StepExpectations {
    /// Returns the expected run time of the tasks of a step; `None` if nothing is known about it.
    pub fn of(&mut self, state: &CellState, key: &StepKey, now: Instant) -> Option<RunExpectation> {
        if let Some(known) = self.steps.get(key) {
            return *known;
        }
        let expectation = by_siblings(state, key, now).or_else(|| by_queue(state, key));
        self.steps.insert(key.clone(), expectation);
        expectation
    }
}

fn by_siblings(state: &CellState, key: &StepKey, now: Instant) -> Option<RunExpectation> {
    let (spec, step, step_state) = state.step(key)?;
    // The members of a gang progress together, so they say nothing about each other.
    if step.gang || step.long_running {
        return None;
    }
    let mut run_times = step_state.completed_run_times.clone();
    if step_state.placed > 0 {
        let placed = (0..step.tasks).filter_map(|index| state.placements.get(&key.task(index)));
        let trusted = placed.filter(|placement| {
            state.worker(placement.slot).is_some_and(|worker| !worker.has_misleading_reports())
        });
        run_times.extend(
            trusted.filter_map(|placement| RunForecast::of(placement, now)).map(|forecast| forecast.total),
        );
    }
    if run_times.len() < MIN_SIBLINGS {
        return None;
    }
    let middle = run_times.len() / 2;
    let run_time = *run_times.select_nth_unstable(middle).1;
    let usual = state.slow_runs.sibling_profiles.get(&spec.queue);
    let factor = usual
        .and_then(|profile| profile.quantile(USUAL_QUANTILE))
        .map_or(UNKNOWN_SIBLING_FACTOR, |usual| usual * TOLERANCE)
        .clamp(SIBLING_FACTORS.0, SIBLING_FACTORS.1);
    Some(RunExpectation {
        run_time,
        tolerated: run_time.mul_f64(factor),
        source: ExpectationSource::Siblings,
    })
}

fn by_queue(state: &CellState, key: &StepKey) -> Option<RunExpectation> {
    let (spec, step, _) = state.step(key)?;
    let profile = state.slow_runs.estimate_profiles.get(&spec.queue)?;
    let (middle, usual) = (profile.quantile(0.5)?, profile.quantile(USUAL_QUANTILE)?);
    Some(RunExpectation {
        run_time: step.estimate.mul_f64(middle),
        tolerated: step.estimate.mul_f64(usual * TOLERANCE),
        source: ExpectationSource::Queue,
    })
}
