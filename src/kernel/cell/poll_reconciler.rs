use crate::kernel::cell::{
    CellEffect, CellNotice, CellRecord, CellState, CopyKeeper, EndHandler, EndedRun, LateEvidence, LateRun,
    LossCause, PlacementPhase, PollReport, RunningRun, StopCommand, TaskKey,
};
use crate::prelude::*;

/// Reconciles the placements on one worker with a poll report of that worker.
pub struct PollReconciler<'a> {
    /// State of the cell that the report changes.
    pub state: &'a mut CellState,
    /// Slot of the worker that sent the report.
    pub slot: u32,
    /// Time at which the report is applied.
    pub now: Instant,
}

impl PollReconciler<'_> {
    /// Applies ended and running runs, marks absent ones as lost, and acknowledges the ends.
    pub fn apply(&mut self, report: PollReport) {
        self.state.late_runs.apply_report(self.slot, &report);
        let incarnation = report.incarnation;
        self.allow_renewal(report.poll_sent_at);
        self.apply_incarnation(incarnation);
        if let Some(worker) = self.state.worker_mut(self.slot) {
            worker.polled_at = Some(report.poll_sent_at);
        }
        let mut last = 0;
        for end in report.ended {
            last = last.max(end.number);
            let mut handler = EndHandler { state: self.state, reporter: Some(self.slot), now: self.now };
            if !handler.apply(&end.task, end.run, end.cause, end.checkpoint.clone()) {
                self.note_ignored(end, incarnation);
            }
        }
        self.note_handled(last);
        let mut present: FastSet<TaskKey> = FastSet::default();
        let mut present_copies: FastSet<(TaskKey, RunNumber)> = FastSet::default();
        for reported in report.running {
            if self.apply_running_copy(&reported) {
                present_copies.insert((reported.task, reported.run));
            } else if self.apply_running(&reported, report.poll_sent_at) {
                present.insert(reported.task);
            }
        }
        if report.ends_complete {
            self.handle_absent(&present, report.poll_sent_at);
            let mut keeper = CopyKeeper { state: self.state, now: self.now };
            keeper.handle_absent(self.slot, &present_copies, report.poll_sent_at);
        }
        if last > 0
            && let Some(worker) = self.state.worker(self.slot)
        {
            let worker = worker.listing.worker.clone();
            self.state.effects.push(CellEffect::Acknowledge(worker, incarnation, last));
        }
    }

    /// Emits a notice of an end that was ignored, unless an earlier report contained it: ends are reported again
    /// until they are acknowledged.
    fn note_ignored(&mut self, end: EndedRun, incarnation: WorkerIncarnation) {
        let job_known = self.state.jobs.contains_key(&end.task.step.job);
        let last_run = self.state.task_mut(&end.task).map(|task| task.last_run);
        let Some(worker) = self.state.worker(self.slot) else { return };
        if end.number > worker.last_handled_end {
            let worker = worker.listing.worker.clone();
            let notice = CellNotice::EndIgnored { worker, incarnation, end, job_known, last_run };
            self.state.effects.push(CellEffect::Log(notice));
        }
    }

    fn note_handled(&mut self, last: TaskEndNumber) {
        if let Some(worker) = self.state.worker_mut(self.slot) {
            worker.last_handled_end = worker.last_handled_end.max(last);
        }
    }

    /// Records the incarnation of the worker. A new one runs nothing that an earlier one has confirmed, which
    /// its report proves; but a start without an answer may have reached it, and it knows of no earlier stop.
    fn apply_incarnation(&mut self, incarnation: WorkerIncarnation) {
        let Some(worker) = self.state.worker_mut(self.slot) else { return };
        if !worker.note_incarnation(incarnation) {
            return;
        }
        worker.last_handled_end = 0;
        let slot = self.slot;
        let runs = self.state.placements.values_mut().chain(self.state.copies.values_mut());
        for placement in runs.filter(|placement| placement.slot == slot) {
            (placement.stop_sent, placement.stop_confirmed) = (None, None);
        }
    }

    /// Lets the lease of a worker that answers again be renewed, once the records no longer bound it.
    fn allow_renewal(&mut self, polled_at: Instant) {
        let Some(worker) = self.state.worker_mut(self.slot) else { return };
        worker.responsive = true;
        if std::mem::replace(&mut worker.renewable, true) {
            return;
        }
        let worker_id = worker.listing.worker.clone();
        let after_records = worker.lease_bound_recorded_at.take().is_some();
        if after_records {
            let record = CellRecord::LeaseBounds(vec![(worker_id.clone(), None)]);
            self.state.effects.push(CellEffect::Record(record));
        }
        self.state.effects.push(CellEffect::RenewLease { worker: worker_id, polled_at, after_records });
    }

    /// Applies a reported run; returns whether it is the current run of its task on this worker.
    fn apply_running(&mut self, reported: &RunningRun, poll_sent_at: Instant) -> bool {
        let (slot, now) = (self.slot, self.now);
        let current = self
            .state
            .placements
            .get_mut(&reported.task)
            .filter(|placement| placement.slot == slot && placement.run == reported.run);
        let Some(placement) = current else {
            self.stop_unexpected(reported, poll_sent_at);
            return false;
        };
        if !matches!(placement.phase, PlacementPhase::Running(_)) {
            placement.phase = PlacementPhase::Running(now);
        }
        placement.note_progress(reported.percent, now);
        let stop_reason = placement.stop_reason;
        if reported.checkpoint.is_some() {
            self.state.set_checkpoint(&reported.task, reported.checkpoint.clone());
        }
        let ended = self.state.jobs.get(&reported.task.step.job).is_none_or(|job| job.status.is_final());
        if let Some(reason) = stop_reason.or(ended.then_some("job_ended")) {
            self.state.stop(&reported.task, reason, now);
        }
        true
    }

    /// Applies a reported run beside the current run of its task; returns whether it is one.
    fn apply_running_copy(&mut self, reported: &RunningRun) -> bool {
        let (slot, now) = (self.slot, self.now);
        let copy = self.state.copies.get_mut(&(reported.task.clone(), reported.run));
        let Some(placement) = copy.filter(|placement| placement.slot == slot) else { return false };
        if !matches!(placement.phase, PlacementPhase::Running(_)) {
            placement.phase = PlacementPhase::Running(now);
        }
        placement.note_progress(reported.percent, now);
        let stop_reason = placement.stop_reason;
        let job_ended = self.state.jobs.get(&reported.task.step.job).is_none_or(|job| job.status.is_final());
        let done = self.state.task_mut(&reported.task).is_none_or(|task| task.done);
        let needless = if job_ended { Some("job_ended") } else { done.then_some("copy_done") };
        if let Some(reason) = stop_reason.or(needless) {
            CopyKeeper { state: self.state, now }.stop(&reported.task, reported.run, reason);
        }
        true
    }

    /// Stops a run that is not placed on this worker, so that its task can run elsewhere once it has ended.
    fn stop_unexpected(&mut self, reported: &RunningRun, poll_sent_at: Instant) {
        let step = &reported.task.step;
        if !self.state.allows_duplicates(step) {
            let evidence = LateEvidence::Reported(poll_sent_at);
            let (index, run) = (reported.task.index, reported.run);
            self.state.late_runs.note(step, LateRun { index, run, slot: self.slot, evidence });
        }
        let Some(worker) = self.state.worker(self.slot) else { return };
        let worker = worker.listing.worker.clone();
        let (task, run) = (reported.task.clone(), reported.run);
        let command = StopCommand { worker, task, run, reason: "not_expected" };
        self.state.effects.push(CellEffect::Stop(command));
    }

    /// Marks runs as lost that a complete report would contain if the worker still ran them or had ended them,
    /// and stops runs whose start was not answered.
    fn handle_absent(&mut self, present: &FastSet<TaskKey>, poll_sent_at: Instant) {
        let Some(worker) = self.state.worker(self.slot) else { return };
        let missing = worker.tasks.iter().filter(|task| !present.contains(*task)).cloned();
        let missing: Vec<TaskKey> = missing.collect();
        for task in missing {
            let Some(placement) = self.state.placements.get(&task) else { continue };
            if placement.is_proven_absent(poll_sent_at) {
                self.state.mark_lost(&task, LossCause::AbsentFromReport, self.now);
            } else if matches!(placement.phase, PlacementPhase::Unanswered(since) if since < poll_sent_at) {
                // A stop makes the worker refuse the run, which may otherwise still start.
                self.state.stop(&task, "start_not_answered", self.now);
            }
        }
    }
}
