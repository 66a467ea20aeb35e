use crate::kernel::cell::{CellState, GraphSpec, JobLateness, StepKey, StepRank};
use crate::prelude::*;

/// Multiple of its latency objective after which a job counts as expired. Its result is then of no value
/// even if it completes, so its steps come last within the priority of their queue.
const EXPIRY_OBJECTIVE_MULTIPLE: u32 = 3;
/// Percentage of the estimated remaining run time of a job that has to fit before its objective; estimates
/// are often too long.
const REQUIRED_REMAINING_PERCENT: u32 = 70;

/// Ranks ready steps by submission above the rate of the team, by priority of the queue, by expiry of the
/// job, and by latest start, in this order.
pub struct StepRanking<'a> {
    /// State of the cell that the steps belong to.
    pub state: &'a CellState,
}

impl StepRanking<'_> {
    /// Returns the rank of a step in the order of starts.
    #[must_use]
    pub fn rank(&self, key: &StepKey, now: Instant) -> StepRank {
        let Some(job) = self.state.jobs.get(&key.job) else {
            let lateness = JobLateness::Expired;
            return StepRank {
                excess: true,
                priority: u32::MAX,
                expired: true,
                latest_start: now,
                lateness,
                correction: Duration::ZERO,
            };
        };
        let priority = self.state.config.queues.get(&job.spec.queue).map_or(u32::MAX, |rule| rule.priority);
        let objective = self.objective(&job.spec);
        let age = self.state.unix_time.saturating_sub(job.spec.due(key.occurrence));
        let estimated = job.spec.estimated_critical_path_from(key.step);
        let remaining =
            self.state.run_time_estimator.corrected_run_time(&job.spec.queue, estimated).unwrap_or(estimated);
        // A job that can hardly meet its objective is ranked by the time of its expiry instead, or it would
        // make jobs late that can still meet theirs.
        let lateness = match age + remaining * REQUIRED_REMAINING_PERCENT / 100 {
            end if end < objective => JobLateness::InTime,
            end if end < objective * EXPIRY_OBJECTIVE_MULTIPLE => JobLateness::Late,
            _ => JobLateness::Expired,
        };
        let due_at = now.checked_sub(age).unwrap_or(now);
        let limit = match lateness {
            JobLateness::InTime => objective,
            JobLateness::Late | JobLateness::Expired => objective * EXPIRY_OBJECTIVE_MULTIPLE,
        };
        let latest_start = (due_at + limit).checked_sub(remaining).unwrap_or(due_at);
        let expired = lateness == JobLateness::Expired;
        let correction = self.correction(&job.spec, key.step, objective, latest_start, now);
        let latest_start = latest_start + correction;
        StepRank { excess: job.excess, priority, expired, latest_start, lateness, correction }
    }

    /// Returns by how much later a step ranks because of the past use of its team. Long-running tasks have to
    /// run again soon, whatever their team has used.
    fn correction(
        &self,
        spec: &GraphSpec,
        step: u32,
        objective: Duration,
        latest_start: Instant,
        now: Instant,
    ) -> Duration {
        if spec.steps.get(step as usize).is_none_or(|step| step.long_running) {
            return Duration::ZERO;
        }
        let slack = latest_start.saturating_duration_since(now);
        self.state.usage_correction.of(&spec.team, objective, slack)
    }

    /// Returns the latency objective of a job, counted from the time at which it is due.
    fn objective(&self, spec: &GraphSpec) -> Duration {
        let Some(rule) = self.state.config.queues.get(&spec.queue) else { return Duration::ZERO };
        let critical_path = spec.estimated_critical_path().as_secs_f64() * rule.stretch;
        rule.target + Duration::try_from_secs_f64(critical_path).unwrap_or_default()
    }
}
