use crate::kernel::cell::{
    CellRecord, CellState, CellWorker, CopyKeeper, EndHandler, PlacementPhase, ReplayOutcome, StepKey,
    TaskPlacement, WorkerListing,
};
use crate::prelude::*;

/// Applies the records of earlier owners to the state of a new owner.
pub struct RecordReplayer<'a> {
    /// State of the cell that the records change.
    pub state: &'a mut CellState,
    /// Time of the replay.
    pub now: Instant,
}

impl RecordReplayer<'_> {
    /// Applies a record; returns whether its job and step allowed that.
    pub fn apply(&mut self, record: CellRecord) -> ReplayOutcome {
        let outcome = self.open(&record);
        if outcome != ReplayOutcome::UnknownStep {
            self.apply_opened(record);
        }
        outcome
    }

    /// Opens the step that a record refers to; returns whether the record can be applied.
    fn open(&mut self, record: &CellRecord) -> ReplayOutcome {
        match record {
            CellRecord::Started(task, ..) | CellRecord::Ended(task, ..) | CellRecord::Lost(task, _) => {
                self.open_step(&task.step)
            }
            CellRecord::Closed(job, _) => match self.state.jobs.get(job) {
                Some(job) if job.status.is_final() => ReplayOutcome::ClosedJob,
                Some(_) => ReplayOutcome::Applied,
                None => ReplayOutcome::UnknownJob,
            },
            CellRecord::LeaseBounds(_)
            | CellRecord::FormerBounds(_)
            | CellRecord::Snapshot(_)
            | CellRecord::Usage(_)
            | CellRecord::Fences(_) => ReplayOutcome::Applied,
        }
    }

    fn apply_opened(&mut self, record: CellRecord) {
        match record {
            CellRecord::Started(task, run, worker) => {
                let slot = slot_of(self.state, worker, self.now);
                // A start renews the lease; this owner thus did not go by the bound.
                self.bound_lease(slot, None);
                let may_have_copies = self.state.step(&task.step).is_some_and(|(_, step, _)| step.copies);
                let newer = self.state.placements.get(&task).is_some_and(|placement| placement.run < run);
                if may_have_copies && newer {
                    CopyKeeper { state: self.state, now: self.now }.demote(&task);
                } else {
                    self.state.remove_placement(&task);
                }
                let placement = TaskPlacement::new(slot, run, PlacementPhase::Inherited, self.now);
                self.state.add_placement(&task, placement);
            }
            CellRecord::Ended(task, run, cause, checkpoint) => {
                EndHandler { state: self.state, reporter: None, now: self.now }
                    .apply(&task, run, cause, checkpoint);
            }
            CellRecord::Lost(task, run) => {
                if self.state.placements.get(&task).is_some_and(|placement| placement.run == run) {
                    self.state.remove_placement(&task);
                    self.state.requeue(&task);
                } else {
                    CopyKeeper { state: self.state, now: self.now }.remove(&task, run);
                }
            }
            CellRecord::LeaseBounds(bounds) => {
                for (worker, left) in bounds {
                    let slot = slot_of(self.state, worker, self.now);
                    self.bound_lease(slot, left);
                }
            }
            CellRecord::FormerBounds(bounds) => {
                let counted_from = self.counted_from();
                for (worker, incarnation, left) in bounds {
                    let slot = slot_of(self.state, worker, self.now);
                    if let Some(worker) = self.state.worker_mut(slot) {
                        worker.recorded_former_bound = Some((incarnation, counted_from + left));
                    }
                }
            }
            CellRecord::Fences(fences) => {
                for (worker, fence) in fences {
                    let slot = slot_of(self.state, worker, self.now);
                    if let Some(worker) = self.state.worker_mut(slot) {
                        worker.fence = Some(fence);
                    }
                }
            }
            CellRecord::Closed(job, status) => self.state.close(&job, status, self.now),
            CellRecord::Usage(record) => {
                let max_age = self.state.log_retention.unwrap_or(Duration::MAX);
                record.restore(&mut self.state.shares, self.state.unix_time, max_age);
            }
            CellRecord::Snapshot(snapshot) => {
                let now = self.now;
                snapshot.restore(self.state, |state, worker| slot_of(state, worker, now), now);
            }
        }
    }

    /// Bounds the lease that earlier owners granted to a worker, or takes a bound back. The time left is counted
    /// from the replay, or from the release of the former owner; both are later than the record.
    fn bound_lease(&mut self, slot: u32, left: Option<Duration>) {
        let inherited = self.state.inherited_leases_expire_by(self.now);
        let counted_from = self.counted_from();
        if let Some(worker) = self.state.worker_mut(slot) {
            worker.lease_expires_at = left.map_or(inherited, |left| counted_from + left);
            worker.lease_bound_recorded_at = left.map(|_| self.now);
        }
    }

    /// Returns the time from which the time left in records counts.
    fn counted_from(&self) -> Instant {
        self.state.inherited_leases.and_then(|leases| leases.counted_from).unwrap_or(self.now)
    }

    /// Opens the occurrence of a step, and all before it: an earlier owner opened them in order before it
    /// recorded a run of the step. Their due times are not looked at, as the clock of this process may be
    /// behind.
    ///
    /// An owner keeps only a bounded number of occurrences open, which also bounds what is opened here if
    /// records are missing.
    fn open_step(&mut self, step: &StepKey) -> ReplayOutcome {
        // Without an open job there is nothing to apply: its later snapshot or its end is in the records.
        let Some(job) = self.state.jobs.get_mut(&step.job) else { return ReplayOutcome::UnknownJob };
        if job.status.is_final() {
            return ReplayOutcome::ClosedJob;
        }
        if step.occurrence < job.spec.occurrences() {
            let oldest_open = (step.occurrence + 1).saturating_sub(job.max_open_occurrences());
            job.next_occurrence = job.next_occurrence.max(oldest_open);
            for occurrence in job.next_occurrence..=step.occurrence {
                self.state.activate_occurrence(&step.job, occurrence, self.now);
            }
        }
        match self.state.step(step) {
            Some(_) => ReplayOutcome::Applied,
            None => ReplayOutcome::UnknownStep,
        }
    }
}

/// Returns the slot of a worker; adds one that occurs in the records and is not listed.
fn slot_of(state: &mut CellState, worker: WorkerId, now: Instant) -> u32 {
    if let Some(slot) = state.slot(&worker) {
        return slot;
    }
    let listing = WorkerListing {
        worker,
        address: "".into(),
        service: "".into(),
        zone: "".into(),
        incarnation: None,
        clock: None,
        capacity: ResourceVector::default(),
        labels: Vec::new(),
        rack: None,
        draining: false,
    };
    let lease_expires_at = state.inherited_leases_expire_by(now);
    state.add_worker(CellWorker::new(listing, lease_expires_at, now))
}
