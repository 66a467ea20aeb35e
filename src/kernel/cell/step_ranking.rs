use crate::kernel::cell::{CellState, GraphSpec, JobLateness, StepKey, StepRank};
use crate::prelude::*;

/// Objectives after which a completed job earns nothing.
const LATEST_OBJECTIVES: u32 = 3;
/// Part of the expected rest of a job that has to fit before its objective; expectations are often too long.
const EXPECTED_REST_PERCENT: u32 = 70;

/// Ranks ready steps by urgency, and by what their jobs can still earn.
pub struct StepRanking<'a> {
    /// The cell.
    pub state: &'a CellState,
}

impl StepRanking<'_> {
    /// Returns the place of a step in the order of starts.
    #[must_use]
    pub fn rank(&self, key: &StepKey, now: Instant) -> StepRank {
        let Some(job) = self.state.jobs.get(&key.job) else {
            let lateness = JobLateness::Expired;
            return StepRank { excess: true, priority: u32::MAX, expired: true, latest_start: now, lateness };
        };
        let priority = self.state.config.queues.get(&job.spec.queue).map_or(u32::MAX, |rule| rule.priority);
        let objective = self.objective(&job.spec);
        let age = self.state.wall.saturating_sub(job.spec.due(key.occurrence));
        let rest = job.spec.estimated_rest(key.step);
        let rest = self.state.run_times.estimate(&job.spec.queue, rest).unwrap_or(rest);
        // A job that can hardly be complete in time gives way to those that can, or all of them would be late.
        let lateness = match age + rest * EXPECTED_REST_PERCENT / 100 {
            end if end < objective => JobLateness::InTime,
            end if end < objective * LATEST_OBJECTIVES => JobLateness::Late,
            _ => JobLateness::Expired,
        };
        let begun = now.checked_sub(age).unwrap_or(now);
        let limit = match lateness {
            JobLateness::InTime => objective,
            JobLateness::Late | JobLateness::Expired => objective * LATEST_OBJECTIVES,
        };
        let latest_start = (begun + limit).checked_sub(rest).unwrap_or(begun);
        let expired = lateness == JobLateness::Expired;
        StepRank { excess: job.excess, priority, expired, latest_start, lateness }
    }

    /// Returns the time within which a job should be complete.
    fn objective(&self, spec: &GraphSpec) -> Duration {
        let Some(rule) = self.state.config.queues.get(&spec.queue) else { return Duration::ZERO };
        let chain = spec.estimated_chain().as_secs_f64() * rule.stretch;
        rule.target + Duration::try_from_secs_f64(chain).unwrap_or_default()
    }
}
