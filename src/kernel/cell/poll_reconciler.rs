use crate::kernel::cell::{
    CellEffect, CellState, EndHandler, PlacementPhase, PollReport, RunningRun, StopCommand, TaskKey,
};
use crate::prelude::*;

/// Applies what a worker says that it runs.
pub struct PollReconciler<'a> {
    /// The cell.
    pub state: &'a mut CellState,
    /// The worker.
    pub slot: u32,
    /// The present time.
    pub now: Instant,
}

impl PollReconciler<'_> {
    /// Applies a look.
    pub fn apply(&mut self, report: PollReport) {
        let incarnation = report.incarnation;
        self.note_life(incarnation);
        if let Some(worker) = self.state.worker_mut(self.slot) {
            worker.polled_at = Some(report.asked);
        }
        let mut last = 0;
        for end in report.ended {
            last = last.max(end.number);
            let mut handler = EndHandler { state: self.state, now: self.now };
            handler.apply(&end.task, end.run, end.cause, end.checkpoint);
        }
        let mut present: FastSet<TaskKey> = FastSet::default();
        for run in report.running {
            if self.note_running(&run) {
                present.insert(run.task);
            }
        }
        self.find_absent(&present, report.asked);
        if last > 0
            && let Some(worker) = self.state.worker(self.slot)
        {
            let worker = worker.listing.worker.clone();
            self.state.effects.push(CellEffect::Acknowledge(worker, incarnation, last));
        }
    }

    /// A worker that started anew runs nothing of what it ran before.
    fn note_life(&mut self, incarnation: WorkerIncarnation) {
        let Some(worker) = self.state.worker_mut(self.slot) else { return };
        worker.responsive = true;
        let before = worker.incarnation.replace(incarnation);
        if before.is_none_or(|before| before == incarnation) {
            return;
        }
        let tasks: Vec<TaskKey> = worker.tasks.iter().cloned().collect();
        for task in tasks {
            self.state.mark_lost(&task, self.now);
        }
    }

    /// Notes a running run; returns whether it is the one that counts here.
    fn note_running(&mut self, run: &RunningRun) -> bool {
        let (slot, now) = (self.slot, self.now);
        let counts = self
            .state
            .placements
            .get_mut(&run.task)
            .filter(|placement| placement.slot == slot && placement.run == run.run);
        let Some(placement) = counts else {
            self.stop_stray(run);
            return false;
        };
        if !matches!(placement.phase, PlacementPhase::Running(_)) {
            placement.phase = PlacementPhase::Running(now);
        }
        placement.note_progress(run.percent, now);
        let stopping = placement.stopping;
        if run.checkpoint.is_some() {
            self.state.keep_checkpoint(&run.task, run.checkpoint.clone());
        }
        let ended = self.state.jobs.get(&run.task.step.job).is_none_or(|job| job.status.is_final());
        if let Some(reason) = stopping.or(ended.then_some("job_ended")) {
            self.state.stop(&run.task, reason, now);
        }
        true
    }

    /// Stops a run that nobody counts, so that its task can run elsewhere.
    fn stop_stray(&mut self, run: &RunningRun) {
        let Some(worker) = self.state.worker(self.slot) else { return };
        let worker = worker.listing.worker.clone();
        let (task, number) = (run.task.clone(), run.run);
        let command = StopCommand { worker, task, run: number, reason: "not_expected" };
        self.state.effects.push(CellEffect::Stop(command));
    }

    /// Gives up runs that the worker would name if it still ran them.
    fn find_absent(&mut self, present: &FastSet<TaskKey>, asked: Instant) {
        let Some(worker) = self.state.worker(self.slot) else { return };
        let missing = worker.tasks.iter().filter(|task| !present.contains(*task)).cloned();
        let missing: Vec<TaskKey> = missing.collect();
        for task in missing {
            let Some(placement) = self.state.placements.get(&task) else { continue };
            if placement.is_absent(asked) {
                self.state.mark_lost(&task, self.now);
            } else if matches!(placement.phase, PlacementPhase::Unsure(since) if since < asked) {
                // A stop bars the run, which may otherwise still start.
                self.state.stop(&task, "start_not_answered", self.now);
            }
        }
    }
}
