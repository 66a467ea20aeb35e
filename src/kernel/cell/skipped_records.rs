use crate::kernel::cell::ReplayOutcome;

/// Numbers of replayed records that could not be applied to an open step, by the reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SkippedRecords {
    /// Records of unknown jobs.
    pub unknown_jobs: usize,
    /// Records of jobs that were closed before.
    pub closed_jobs: usize,
    /// Records of unknown steps of open jobs. Any such record means that its run may start again.
    pub unknown_steps: usize,
}

impl SkippedRecords {
    /// Counts a replayed record.
    pub const fn count(&mut self, outcome: ReplayOutcome) {
        match outcome {
            ReplayOutcome::Applied => {}
            ReplayOutcome::UnknownJob => self.unknown_jobs += 1,
            ReplayOutcome::ClosedJob => self.closed_jobs += 1,
            ReplayOutcome::UnknownStep => self.unknown_steps += 1,
        }
    }
}
