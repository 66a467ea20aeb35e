use crate::prelude::*;

/// Distinct jobs of at least two teams that must fail on a worker, without a success between, before it is
/// suspected.
const SUSPECT_JOBS: usize = 3;
/// Distinct jobs that are enough if they are all of one team; more, as a team may submit a series of bad jobs.
const SUSPECT_JOBS_OF_ONE_TEAM: usize = 6;
/// First time on probation; it doubles with each one that follows without a success.
const PROBATION: Duration = Duration::from_secs(60);
/// Doublings of the probation at most, so that a repaired worker is tried again within 32 minutes.
const MAX_DOUBLINGS: u32 = 5;

/// Failures of tasks on one worker since the last success there.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    failed: Vec<(JobId, TeamId)>,
    rounds: u32,
    until: Option<Instant>,
}

impl WorkerHealth {
    /// Whether the worker gets no tasks for a time.
    #[must_use]
    pub const fn on_probation(&self) -> bool {
        self.until.is_some()
    }

    /// Returns when the probation ends.
    #[must_use]
    pub const fn probation_end(&self) -> Option<Instant> {
        self.until
    }

    /// Notes a success; earlier failures no longer count against the worker.
    pub fn record_success(&mut self) {
        self.failed.clear();
        self.rounds = 0;
    }

    /// Notes a failure and returns whether enough different jobs failed to suspect the worker.
    pub fn record_failure(&mut self, job: &JobId, team: &TeamId) -> bool {
        let known = self.failed.iter().any(|(failed, _)| failed == job);
        if !known && self.failed.len() < SUSPECT_JOBS_OF_ONE_TEAM {
            self.failed.push((job.clone(), team.clone()));
        }
        let several = self.failed.iter().any(|(_, failed)| *failed != self.failed[0].1);
        let needed = if several { SUSPECT_JOBS } else { SUSPECT_JOBS_OF_ONE_TEAM };
        self.failed.len() >= needed
    }

    /// Starts a probation and returns when it ends.
    pub fn suspend(&mut self, now: Instant) -> Instant {
        let until = now + PROBATION * 2u32.pow(self.rounds.min(MAX_DOUBLINGS));
        self.rounds += 1;
        self.until = Some(until);
        until
    }

    /// Ends the probation; one more failing job is enough to start the next one.
    pub fn resume(&mut self) {
        self.until = None;
        self.failed.pop();
    }
}
