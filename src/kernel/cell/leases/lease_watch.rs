use crate::kernel::cell::{
    CellEffect, CellNotice, CellRecord, CellState, CellWorker, CopyKeeper, LossCause, TaskKey, TaskPlacement,
    WorkerFence,
};
use crate::prelude::*;

/// Time for which a worker has to be silent before its lease is bounded in the records: its lease can then only
/// be renewed once a further record is stored, which takes long while the store is slow.
const MIN_RECORDED_SILENCE: Duration = Duration::from_millis(300);
/// Longest interval of the records of a bound that is already recorded. A new owner counts the time left from its own
/// start or from the release of the former owner, so it waits for up to this much longer.
const MAX_BOUND_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval of these records.
const MIN_BOUND_INTERVAL: Duration = Duration::from_millis(100);
/// Records of a bound in the time that is left of the lease. A service that waits for the end of a lease through a
/// restart of the owner would else start up to half a second later than it can.
const RECORDS_PER_TIME_LEFT: u32 = 4;

/// Records of a fence that are written within the retention time of the store, so that the store always keeps one.
const FENCE_RECORDS_PER_RETENTION: u32 = 3;

/// Waits for the leases of workers that do not answer.
pub struct LeaseWatch<'a> {
    /// State of the cell.
    pub state: &'a mut CellState,
    /// Present time.
    pub now: Instant,
}

impl LeaseWatch<'_> {
    /// Marks the runs on unresponsive workers as lost once their lease has expired, and ends the watch of
    /// those that are no longer listed. Before the list of workers is known, nothing tells which of them have
    /// restarted.
    pub fn expire(&mut self) {
        if !self.state.workers_listed {
            return;
        }
        self.state.late_runs.expire(&self.state.workers, self.now);
        for slot in 0..u32::try_from(self.state.workers.len()).unwrap_or(u32::MAX) {
            let Some(worker) = self.state.worker(slot) else { continue };
            if worker.responsive || worker.lease_expires_at > self.now {
                continue;
            }
            // A run that an incarnation confirmed before it restarted cannot be on the present one.
            let former = worker.former_lease.filter(|former| former.expires_by > self.now);
            let only_confirmed = former.is_some();
            let is_over = |placement: &TaskPlacement| {
                former.is_none_or(|former| !former.may_cover(placement.confirmed_at()))
            };
            let tasks =
                worker.tasks.iter().filter(|task| self.state.placements.get(task).is_none_or(is_over));
            let tasks: Vec<TaskKey> = tasks.cloned().collect();
            let copies = if only_confirmed { 0 } else { worker.copies.len() };
            let unwatch = worker.watched && !worker.listed && !only_confirmed;
            let name = worker.listing.worker.clone();
            let runs = tasks.len() + copies;
            if !only_confirmed {
                self.state.late_runs.forget_worker(slot);
            }
            if runs > 0 {
                let notice = CellNotice::LeaseExpired { worker: name.clone(), tasks: runs };
                self.state.effects.push(CellEffect::Log(notice));
            }
            for task in tasks {
                self.state.mark_lost(&task, LossCause::LeaseExpired, self.now);
            }
            if copies > 0 {
                CopyKeeper { state: self.state, now: self.now }.mark_lost_on(slot, LossCause::LeaseExpired);
            }
            if unwatch && let Some(worker) = self.state.worker_mut(slot) {
                worker.watched = false;
                self.state.effects.push(CellEffect::Unwatch(name));
            }
        }
    }

    /// Emits a record of the workers that refuse calls for their former incarnations, of each one again before the
    /// store drops the last record of it.
    pub fn record_fences(&mut self) {
        let now = self.now;
        let interval = self.state.log_retention.map(|retention| retention / FENCE_RECORDS_PER_RETENTION);
        let is_due = |worker: &&mut CellWorker| {
            worker.fence_recorded_at.is_none_or(|recorded_at| {
                interval.is_some_and(|interval| now.saturating_duration_since(recorded_at) >= interval)
            })
        };
        // A worker that has left is not recorded again, so that the log forgets it.
        let due =
            self.state.workers.iter_mut().filter(|worker| worker.listed || worker.watched).filter(is_due);
        let fences = due.filter_map(|worker| {
            let fence = worker.fence?;
            worker.fence_recorded_at = Some(now);
            Some((worker.listing.worker.clone(), fence))
        });
        let fences: Vec<(WorkerId, WorkerFence)> = fences.collect();
        if !fences.is_empty() {
            self.state.effects.push(CellEffect::Record(CellRecord::Fences(fences)));
        }
    }

    /// Emits a record of how long the workers that do not answer may hold a lease. A new owner goes by it, and
    /// need not wait for as long as if they had been granted a lease just before its term.
    pub fn record_bounds(&mut self) {
        let now = self.now;
        let is_due = |worker: &CellWorker| {
            let (since, interval) = match worker.lease_bound_recorded_at {
                Some(recorded_at) => {
                    let left = worker.lease_bound().saturating_duration_since(now);
                    let interval = left / RECORDS_PER_TIME_LEFT;
                    (recorded_at, interval.clamp(MIN_BOUND_INTERVAL, MAX_BOUND_INTERVAL))
                }
                None => (worker.silent_since, MIN_RECORDED_SILENCE),
            };
            let has_runs = !worker.tasks.is_empty() || !worker.copies.is_empty();
            !worker.responsive && has_runs && now.saturating_duration_since(since) >= interval
        };
        let due = self.state.workers.iter_mut().filter(|worker| is_due(worker));
        let (mut bounds, mut former_bounds) = (Vec::new(), Vec::new());
        for worker in due {
            worker.lease_bound_recorded_at = Some(now);
            let name = worker.listing.worker.clone();
            if let (Some(former), Some(listed), None) =
                (worker.former_lease, worker.listing.incarnation, worker.polled_at)
            {
                let left = former.expires_by.saturating_duration_since(now);
                former_bounds.push((name.clone(), listed, left));
            }
            bounds.push((name, Some(worker.lease_bound().saturating_duration_since(now))));
        }
        if !bounds.is_empty() {
            self.state.effects.push(CellEffect::Record(CellRecord::LeaseBounds(bounds)));
        }
        if !former_bounds.is_empty() {
            self.state.effects.push(CellEffect::Record(CellRecord::FormerBounds(former_bounds)));
        }
    }
}
