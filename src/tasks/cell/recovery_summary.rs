//! Summary of the recovery of a new owner, for logs.

use crate::kernel::cell::{CellScheduler, SkippedRecords};
use crate::prelude::*;
use crate::tasks::cell::term_log::CELL_TOPIC;

/// What a new owner has read from the store, and the state that it has rebuilt from that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RecoverySummary {
    /// Number of records read from the log of the cell.
    pub(super) records: usize,
    /// Offset of the first one of them.
    pub(super) first: LogOffset,
    /// Offset after the last one of them.
    pub(super) next: LogOffset,
    /// Offset at which the fence of earlier owners was placed.
    pub(super) fence: LogOffset,
    /// Number of submissions and cancellations read.
    pub(super) submissions: usize,
    /// Records that could not be applied.
    pub(super) skipped: SkippedRecords,
}

impl RecoverySummary {
    /// Logs the end of the recovery, and an error if the read ended below the fence, as the records between
    /// them are missing.
    pub(super) fn log(&self, token: FencingToken, took: Duration, scheduler: &CellScheduler) {
        let state = scheduler.state();
        let closed = state.jobs.values().filter(|job| job.status.is_final()).count();
        if self.next < self.fence {
            log::error!(token = token, topic = CELL_TOPIC, next = self.next, fence = self.fence;
                "records end below the fence");
        }
        log::info!(token = token, took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
            records = self.records, first = self.first, next = self.next, fence = self.fence,
            submissions = self.submissions, open_jobs = state.jobs.len() - closed, closed_jobs = closed,
            placed_tasks = state.placements.len(), skipped_unknown_jobs = self.skipped.unknown_jobs,
            skipped_closed_jobs = self.skipped.closed_jobs, skipped_unknown_steps = self.skipped.unknown_steps;
            "cell recovered");
    }
}
