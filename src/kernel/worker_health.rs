use crate::prelude::*;

/// Number of distinct jobs, of at least two teams, that must fail on a worker without a success between them
/// before the worker is put on probation.
const MIN_FAILED_JOBS: usize = 3;
/// The same number if all failed jobs are of one team. It is higher, because one team may submit a series of
/// faulty jobs.
const MIN_FAILED_JOBS_OF_ONE_TEAM: usize = 6;
/// Length of the first probation; it doubles with each further one without a success between.
const INITIAL_PROBATION: Duration = Duration::from_secs(60);
/// Maximum number of doublings of the probation, so that a repaired worker is tried again within 32 minutes.
const MAX_PROBATION_DOUBLINGS: u32 = 5;

/// Failures of tasks on one worker since its last success, and its probation.
///
/// No task starts on a worker on probation, unlike an endpoint on probation, which still gets a few requests.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// Distinct jobs that failed since the last success, with their teams.
    failed_jobs: Vec<(JobId, TeamId)>,
    consecutive_probations: u32,
    /// When the probation ends; `None` if the worker is not on probation.
    probation_end: Option<Instant>,
}

impl WorkerHealth {
    /// Whether the worker is on probation, so that no task starts on it.
    #[must_use]
    pub const fn on_probation(&self) -> bool {
        self.probation_end.is_some()
    }

    /// Returns when the probation ends; `None` if the worker is not on probation.
    #[must_use]
    pub const fn probation_end(&self) -> Option<Instant> {
        self.probation_end
    }

    /// Records a success: earlier failures no longer count against the worker.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.consecutive_probations = 0;
    }

    /// Records a failure and returns whether enough distinct jobs have failed to put the worker on probation.
    pub fn record_failure(&mut self, job: &JobId, team: &TeamId) -> bool {
        let known = self.failed_jobs.iter().any(|(failed, _)| failed == job);
        if !known && self.failed_jobs.len() < MIN_FAILED_JOBS_OF_ONE_TEAM {
            self.failed_jobs.push((job.clone(), team.clone()));
        }
        let several_teams = self.failed_jobs.iter().any(|(_, failed)| *failed != self.failed_jobs[0].1);
        let needed = if several_teams { MIN_FAILED_JOBS } else { MIN_FAILED_JOBS_OF_ONE_TEAM };
        self.failed_jobs.len() >= needed
    }

    /// Starts a probation and returns when it ends.
    pub fn start_probation(&mut self, now: Instant) -> Instant {
        let until =
            now + INITIAL_PROBATION * 2u32.pow(self.consecutive_probations.min(MAX_PROBATION_DOUBLINGS));
        self.consecutive_probations += 1;
        self.probation_end = Some(until);
        until
    }

    /// Ends the probation. One more failed job is enough to start the next one.
    pub fn end_probation(&mut self) {
        self.probation_end = None;
        self.failed_jobs.pop();
    }
}
