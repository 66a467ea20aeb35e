//! Chooses the time of the next sync of a worker.

use crate::prelude::*;

/// Number of syncs within one lease of a worker that answers.
///
/// The lease that a sync grants runs from the previous answer, so two thirds of it have passed when the next
/// sync is due. The last third is left to retry failed syncs.
const SYNCS_PER_LEASE: u32 = 3;
/// The end of a task is learned with a delay of at most this fraction, one in eight, of its run time so far.
const MAX_DELAY_DIVISOR: u32 = 8;

/// Bounds from which the time between syncs of a worker is computed.
#[derive(Clone, Copy, Debug)]
pub struct SyncTiming {
    /// Minimum time between syncs that carry no commands.
    pub interval: Duration,
    /// Lease that each sync grants to the worker.
    pub lease: Duration,
    /// Timeout of a sync, from sending it to its answer. Must not exceed
    /// [`LeaseTiming::report_lag`](crate::kernel::LeaseTiming::report_lag), as a report can be this old.
    pub answer_timeout: Duration,
}

/// What determines when the end of a running task should be checked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedTask {
    /// When its last start or stop was delivered, or when it was first reported to this owner.
    pub since: Instant,
    /// Declared run time; `None` if none is declared, this owner did not start the task, or a stop was
    /// delivered.
    pub run_time: Option<Duration>,
}

impl SyncTiming {
    /// Returns the maximum time between syncs of a worker that answers.
    #[must_use]
    pub fn max_interval(&self) -> Duration {
        (self.lease / SYNCS_PER_LEASE).max(self.interval)
    }

    /// Returns the time until the next sync after an answered one, if no commands are to be sent.
    ///
    /// Idle workers and workers whose tasks have run for long are synced less often. The interval shrinks
    /// again when a task reaches its declared run time.
    #[must_use]
    pub fn next(&self, tasks: impl Iterator<Item = TrackedTask>, now: Instant) -> Duration {
        let max_interval = self.max_interval();
        let wait = |task: TrackedTask| {
            let age = now.saturating_duration_since(task.since);
            match task.run_time {
                Some(run_time) if age < run_time => run_time.saturating_sub(age).min(age / MAX_DELAY_DIVISOR),
                // Declared run times are not exact; a task that is due should end soon.
                Some(run_time) if age < run_time + max_interval => Duration::ZERO,
                _ => age / MAX_DELAY_DIVISOR,
            }
        };
        tasks.map(wait).min().map_or(max_interval, |wait| wait.clamp(self.interval, max_interval))
    }
}
