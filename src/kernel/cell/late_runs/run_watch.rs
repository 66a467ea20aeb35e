use super::{LateEvidence, LateRun};
use crate::kernel::cell::{
    COMMAND_VALIDITY, CellWorker, LATE_CALL_WINDOW, PollReport, RunningRun, StepKey, TaskKey, TaskPlacement,
};
use crate::prelude::*;

/// Watches runs that may be at work although they are not placed. Their tasks start no further run until a report of
/// the worker lacks the run, or the lease of the worker has expired.
#[derive(Clone, Debug, Default)]
pub struct RunWatch {
    steps: FastMap<StepKey, Vec<LateRun>>,
}

impl RunWatch {
    /// Notes a run that may be at work; replaces older evidence of it.
    pub fn note(&mut self, step: &StepKey, run: LateRun) {
        let runs = self.steps.entry(step.clone()).or_default();
        runs.retain(|known| (known.index, known.run, known.slot) != (run.index, run.run, run.slot));
        runs.push(run);
    }

    /// Notes a run that a report or a confirmed stop has proved absent, if its start was not answered: a later incarnation
    /// of the worker may still carry it out.
    pub fn note_absent(&mut self, task: &TaskKey, placement: &TaskPlacement, now: Instant) {
        let until = placement.placed_at + COMMAND_VALIDITY + LATE_CALL_WINDOW;
        if !placement.is_confirmed() && now < until {
            let (run, slot) = (placement.run, placement.slot);
            let evidence = LateEvidence::Unanswered(until);
            self.note(&task.step, LateRun { index: task.index, run, slot, evidence });
        }
    }

    /// Forgets the reported runs of a worker that a later report lacks.
    pub fn apply_report(&mut self, slot: u32, report: &PollReport) {
        self.retain(|step, run| match run.evidence {
            LateEvidence::Reported(noted) if run.slot == slot => {
                let is_run = |reported: &RunningRun| {
                    reported.run == run.run && reported.task.index == run.index && reported.task.step == *step
                };
                noted >= report.poll_sent_at || report.running.iter().any(is_run)
            }
            _ => true,
        });
    }

    /// Forgets the runs of a worker on which no lease is left.
    pub fn forget_worker(&mut self, slot: u32) {
        self.retain(|_, run| run.slot != slot);
    }

    /// Forgets unanswered starts that can no longer be carried out, if their worker would report the run.
    pub fn expire(&mut self, workers: &[CellWorker], now: Instant) {
        self.retain(|_, run| match run.evidence {
            LateEvidence::Unanswered(until) => now < until || run.bars_start(workers.get(run.slot as usize)),
            LateEvidence::Reported(_) => true,
        });
    }

    /// Whether a task of a step may start as far as its other runs allow.
    #[must_use]
    pub fn may_start(&self, step: &StepKey, index: u32, workers: &[CellWorker]) -> bool {
        let runs = self.steps.get(step).map_or(&[][..], Vec::as_slice);
        let mut of_task = runs.iter().filter(|run| run.index == index);
        !of_task.any(|run| run.bars_start(workers.get(run.slot as usize)))
    }

    /// Whether a run of a task of a step is watched.
    #[must_use]
    pub fn concerns(&self, step: &StepKey) -> bool {
        self.steps.contains_key(step)
    }

    /// Returns the number of watched runs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.steps.values().map(Vec::len).sum()
    }

    /// Whether no run is watched.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    fn retain(&mut self, mut keeps: impl FnMut(&StepKey, &LateRun) -> bool) {
        self.steps.retain(|step, runs| {
            runs.retain(|run| keeps(step, run));
            !runs.is_empty()
        });
    }
}
