//! When a worker is synced next.

use crate::prelude::*;

/// A worker is synced at least this often within its lease. A sync extends the lease from the answer before it, so
/// that two waits have passed when the next one comes; the last third is for repeating failed syncs.
const SYNCS_PER_LEASE: u32 = 3;
/// The end of a task is heard late by at most this part of its run time so far.
const DELAY_PART: u32 = 8;

/// How workers are synced.
#[derive(Clone, Copy, Debug)]
pub struct SyncTiming {
    /// Shortest time between syncs without commands.
    pub interval: Duration,
    /// Lease that each sync grants.
    pub lease: Duration,
    /// Longest time from sending a sync to its answer; the kernel counts on reports that are no older.
    pub answer_within: Duration,
}

/// A running task as the owner of its worker knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedTask {
    /// When it was started, or first reported to this owner.
    pub since: Instant,
    /// Declared run time, if this owner started it and its job declares one.
    pub run_time: Option<Duration>,
}

impl SyncTiming {
    /// Returns the longest time between syncs of a worker that answers.
    #[must_use]
    pub fn longest(&self) -> Duration {
        (self.lease / SYNCS_PER_LEASE).max(self.interval)
    }

    /// Returns the time to the next sync after an answered one without commands. Idle workers and workers whose
    /// tasks have run for long are synced less often, but all again when a task should end.
    #[must_use]
    pub fn next(&self, tasks: impl Iterator<Item = TrackedTask>, now: Instant) -> Duration {
        let longest = self.longest();
        let wait = |task: TrackedTask| {
            let age = now.saturating_duration_since(task.since);
            match task.run_time {
                Some(run_time) if age < run_time => run_time.saturating_sub(age).min(age / DELAY_PART),
                // Run times are not exact; what is due should end soon.
                Some(run_time) if age < run_time + longest => Duration::ZERO,
                _ => age / DELAY_PART,
            }
        };
        tasks.map(wait).min().map_or(longest, |wait| wait.clamp(self.interval, longest))
    }
}
