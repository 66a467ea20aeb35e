use crate::kernel::cell::{CellState, GraphSpec, JobLateness, StepClass, StepKey, StepRank, StepSpec};
use crate::prelude::*;

/// Multiple of its latency objective after which a job counts as expired. Its result is then of no value
/// even if it completes.
const EXPIRY_OBJECTIVE_MULTIPLE: u32 = 3;
/// Percentage of the estimated remaining run time of a job that has to fit before its objective; estimates
/// are often too long.
const REQUIRED_REMAINING_PERCENT: u32 = 70;

/// Ranks ready steps by class, priority of the queue, lateness of the job, share of the team, and latest start,
/// in this order.
pub struct StepRanking<'a> {
    /// State of the cell that the steps belong to.
    pub state: &'a CellState,
}

impl StepRanking<'_> {
    /// Returns the rank of a step in the order of starts.
    #[must_use]
    pub fn rank(&self, key: &StepKey, now: Instant) -> StepRank {
        let Some(job) = self.state.jobs.get(&key.job) else {
            let (class, lateness) = (StepClass::Expired, JobLateness::Expired);
            let correction = Duration::ZERO;
            return StepRank {
                class,
                priority: 0,
                lateness,
                above_share: false,
                latest_start: now,
                correction,
            };
        };
        let spec = &job.spec;
        let objective = self.objective(spec, 1.0);
        let age = self.state.unix_time.saturating_sub(spec.due(key.occurrence));
        let remaining = self.corrected(spec, spec.estimated_critical_path_from(key.step));
        // The tasks of a long-running step are of use for as long as its job is open.
        let long_running = spec.steps.get(key.step as usize).is_some_and(|step| step.long_running);
        let lateness = if long_running { JobLateness::InTime } else { lateness(age, remaining, objective) };
        let class = if self.restarts(key) {
            StepClass::Restart
        } else if lateness == JobLateness::Expired && self.is_expired(spec, age, remaining) {
            StepClass::Expired
        } else if job.excess {
            StepClass::Excess
        } else {
            StepClass::Useful
        };
        let due_at = now.checked_sub(age).unwrap_or(now);
        // A job that can hardly meet its objective is ranked by the time of its expiry instead.
        let limit = match lateness {
            JobLateness::InTime => objective,
            JobLateness::Late | JobLateness::Expired => expiry(objective),
        };
        let latest_start =
            due_at.checked_add(limit).and_then(|end| end.checked_sub(remaining)).unwrap_or(due_at);
        let rule = self.state.config.queues.get(&spec.queue);
        let (priority, above_share) = match class {
            StepClass::Expired => (0, false),
            StepClass::Restart => (rule.map_or(u32::MAX, |rule| rule.priority), false),
            StepClass::Useful | StepClass::Excess => {
                let above_share = self.state.share_standing.is_above(&spec.team);
                (rule.map_or(u32::MAX, |rule| rule.priority), above_share)
            }
        };
        let correction = match class {
            // Long-running tasks have to run again soon, whatever their team has used.
            StepClass::Useful | StepClass::Excess if !long_running => {
                let slack = latest_start.saturating_duration_since(now);
                self.state.usage_correction.of(&spec.team, objective, slack)
            }
            _ => Duration::ZERO,
        };
        let latest_start = latest_start.checked_add(correction).unwrap_or(latest_start);
        StepRank { class, priority, lateness, above_share, latest_start, correction }
    }

    /// Whether the estimated run time of a job can be used to tell that it is of no use any more. Without an
    /// estimate, or with one that no start could meet, its steps come last within their priority.
    #[must_use]
    pub fn has_usable_estimate(&self, spec: &GraphSpec) -> bool {
        let estimated = |steps: &[StepSpec]| steps.iter().all(|step| !step.estimate.is_zero());
        let total = self.corrected(spec, spec.estimated_critical_path());
        estimated(&spec.steps)
            && lateness(Duration::ZERO, total, self.longest_objective(spec)) != JobLateness::Expired
    }

    /// Whether a long-running step has a task that has run before and waits again.
    fn restarts(&self, key: &StepKey) -> bool {
        self.state.step(key).is_some_and(|(_, spec, step)| {
            let has_run_before = |index: u32| step.tasks.get(index).is_some_and(|task| task.last_run > 0);
            spec.long_running && step.waiting.single().any(has_run_before)
        })
    }

    /// Whether a job is of no use any more, even if its run time is much longer than estimated and its objective
    /// is so much later.
    fn is_expired(&self, spec: &GraphSpec, age: Duration, remaining: Duration) -> bool {
        lateness(age, remaining, self.longest_objective(spec)) == JobLateness::Expired
            && self.has_usable_estimate(spec)
    }

    fn corrected(&self, spec: &GraphSpec, estimated: Duration) -> Duration {
        self.state.run_time_estimator.corrected_run_time(&spec.queue, estimated).unwrap_or(estimated)
    }

    /// Returns the latency objective of a job whose run time is close to the longest that its estimate allows for.
    fn longest_objective(&self, spec: &GraphSpec) -> Duration {
        self.objective(spec, self.state.estimate_ratios.longest(&spec.queue))
    }

    /// Returns the latency objective of a job, counted from the time at which it is due, if its run time is
    /// `estimate_ratio` times the estimate.
    fn objective(&self, spec: &GraphSpec, estimate_ratio: f64) -> Duration {
        let run_time = spec.estimated_critical_path().as_secs_f64() * estimate_ratio;
        let run_time = Duration::try_from_secs_f64(run_time).unwrap_or(Duration::MAX);
        self.state.config.queues.get(&spec.queue).map_or(Duration::ZERO, |rule| rule.objective(run_time))
    }
}

/// Returns how late a job of this age will be.
fn lateness(age: Duration, remaining: Duration, objective: Duration) -> JobLateness {
    match age.saturating_add(remaining.saturating_mul(REQUIRED_REMAINING_PERCENT) / 100) {
        end if end < objective => JobLateness::InTime,
        end if end < expiry(objective) => JobLateness::Late,
        _ => JobLateness::Expired,
    }
}

/// Returns the age at which a job counts as expired.
const fn expiry(objective: Duration) -> Duration {
    objective.saturating_mul(EXPIRY_OBJECTIVE_MULTIPLE)
}
