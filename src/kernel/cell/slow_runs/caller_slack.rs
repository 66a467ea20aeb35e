use crate::kernel::cell::{CellState, RunExpectation, StepKey};
use crate::prelude::*;

/// What the caller of a job still has until its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerSlack {
    /// Time within which the step has to end for the job to meet its objective; zero if that has passed.
    pub left: Duration,
}

impl CallerSlack {
    /// Returns the slack of a step whose tasks are expected to take the given time; `None` if its job or queue is
    /// not known. Estimates of the job are scaled by how far that of the step is off.
    #[must_use]
    pub fn of(state: &CellState, key: &StepKey, expectation: Option<&RunExpectation>) -> Option<Self> {
        let (spec, step, _) = state.step(key)?;
        let rule = state.config.queues.get(&spec.queue)?;
        let scale = expectation
            .filter(|_| !step.estimate.is_zero())
            .map_or(1.0, |expectation| expectation.run_time.as_secs_f64() / step.estimate.as_secs_f64());
        let scaled = |duration: Duration, factor: f64| {
            Duration::try_from_secs_f64(duration.as_secs_f64() * factor).unwrap_or_default()
        };
        let objective =
            rule.target.saturating_add(scaled(spec.estimated_critical_path(), scale * rule.stretch));
        let later_steps = spec.estimated_critical_path_from(key.step).saturating_sub(step.estimate);
        let age = state.unix_time.saturating_sub(spec.due(key.occurrence));
        Some(Self { left: objective.saturating_sub(age).saturating_sub(scaled(later_steps, scale)) })
    }
}
