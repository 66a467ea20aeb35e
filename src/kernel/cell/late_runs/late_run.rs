use crate::kernel::cell::CellWorker;
use crate::prelude::*;

/// Why a run may be at work that is not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateEvidence {
    /// The worker reported it in the answer to a poll that was sent at this time.
    Reported(Instant),
    /// Its start was not answered, and may be carried out until this time by a later incarnation of the worker, which
    /// has forgotten the stop that barred the run.
    Unanswered(Instant),
}

/// A run of a task that may be at work although it is not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRun {
    /// Index of the task in its step.
    pub index: u32,
    /// Number of the run.
    pub run: RunNumber,
    /// Slot of the worker.
    pub slot: u32,
    /// Why it may be at work.
    pub evidence: LateEvidence,
}

impl LateRun {
    /// Whether no further run of the task may start, as this one is at work or cannot be told to be absent.
    #[must_use]
    pub fn bars_start(&self, worker: Option<&CellWorker>) -> bool {
        match self.evidence {
            LateEvidence::Reported(_) => true,
            // An incarnation that answers and refuses calls for the former ones does not carry the start out any more.
            LateEvidence::Unanswered(_) => worker.is_some_and(|worker| worker.unfenced || !worker.responsive),
        }
    }
}
