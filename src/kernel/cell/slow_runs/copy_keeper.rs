use crate::kernel::cell::{
    CellEffect, CellRecord, CellState, EndSource, LossCause, PlacementPhase, RunEnd, StopCommand, TaskKey,
    TaskPlacement,
};
use crate::prelude::*;

/// Keeps the runs of tasks beside their current run. Only tasks that may run more than once at the same time have
/// such copies.
///
/// A copy begins as the current run of its task, so its start is in the records like any other: of two runs that
/// have started and not ended, the newer one is current.
pub struct CopyKeeper<'a> {
    /// State of the cell that the copies belong to.
    pub state: &'a mut CellState,
    /// Present time.
    pub now: Instant,
}

impl CopyKeeper<'_> {
    /// Makes the current run of a task a copy. It goes on, and keeps what it occupies; the task has no current run
    /// then.
    pub fn demote(&mut self, key: &TaskKey) {
        let Some(placement) = self.state.placements.remove(key) else { return };
        let copy = (key.clone(), placement.run);
        if let Some(worker) = self.state.worker_mut(placement.slot) {
            worker.tasks.remove(key);
            worker.copies.insert(copy.clone());
        }
        self.state.copies.insert(copy, placement);
    }

    /// Returns the numbers of the copies of a task.
    #[must_use]
    pub fn runs_of(&self, key: &TaskKey) -> Vec<RunNumber> {
        self.state.copies.keys().filter(|(task, _)| task == key).map(|(_, run)| *run).collect()
    }

    /// Removes a copy from all counts. The caller must be sure that it has ended or never starts.
    pub fn remove(&mut self, key: &TaskKey, run: RunNumber) -> Option<TaskPlacement> {
        let copy = (key.clone(), run);
        let placement = self.state.copies.remove(&copy)?;
        if let Some(worker) = self.state.worker_mut(placement.slot) {
            worker.copies.remove(&copy);
        }
        self.state.uncount(key, &placement);
        Some(placement)
    }

    /// Stops a copy, unless the stop is confirmed or was sent a short time ago.
    pub fn stop(&mut self, key: &TaskKey, run: RunNumber, reason: &'static str) {
        let Some(placement) = self.state.copies.get_mut(&(key.clone(), run)) else { return };
        let Some((reason, first)) = placement.request_stop(reason, self.now) else { return };
        let slot = placement.slot;
        if first {
            self.state.count_capacity_being_freed(key, slot);
        }
        let Some(worker) = self.state.worker(slot).map(|worker| worker.listing.worker.clone()) else {
            return;
        };
        self.state.effects.push(CellEffect::Stop(StopCommand { worker, task: key.clone(), run, reason }));
    }

    /// Stops all runs of a task after one of them is done.
    pub fn stop_all_of(&mut self, key: &TaskKey) {
        self.demote(key);
        for run in self.runs_of(key) {
            self.stop(key, run, "copy_done");
        }
    }

    /// Emits the record that a copy has ended or will never start, without a report of its worker.
    pub fn mark_lost(&mut self, key: &TaskKey, run: RunNumber, cause: LossCause) {
        let Some(placement) = self.remove(key, run) else { return };
        let worker = self.state.worker(placement.slot);
        let worker = worker.map_or_else(WorkerId::default, |worker| worker.listing.worker.clone());
        let record = CellRecord::Lost(key.clone(), run);
        let end = RunEnd { worker, source: EndSource::Lost(cause) };
        self.state.effects.push(CellEffect::RecordEnd(record, end));
        self.state.complete_if_done(&key.step.job, self.now);
    }

    /// Marks copies on a worker as lost.
    pub fn mark_lost_on(&mut self, slot: u32, cause: LossCause) {
        let copies: Vec<(TaskKey, RunNumber)> =
            self.state.worker(slot).map(|worker| worker.copies.iter().cloned().collect()).unwrap_or_default();
        for (key, run) in copies {
            self.mark_lost(&key, run, cause);
        }
    }

    /// Marks copies on a worker as lost that its report lacks although it would contain them, and repeats stops of
    /// runs whose start was not answered.
    pub fn handle_absent(
        &mut self,
        slot: u32,
        present: &FastSet<(TaskKey, RunNumber)>,
        poll_sent_at: Instant,
    ) {
        let Some(worker) = self.state.worker(slot) else { return };
        let missing = worker.copies.iter().filter(|copy| !present.contains(*copy)).cloned();
        let missing: Vec<(TaskKey, RunNumber)> = missing.collect();
        for (key, run) in missing {
            let Some(placement) = self.state.copies.get(&(key.clone(), run)) else { continue };
            if placement.is_proven_absent(poll_sent_at) {
                self.mark_lost(&key, run, LossCause::AbsentFromReport);
            } else if matches!(placement.phase, PlacementPhase::Unanswered(since) if since < poll_sent_at) {
                self.stop(&key, run, "start_not_answered");
            }
        }
    }
}
