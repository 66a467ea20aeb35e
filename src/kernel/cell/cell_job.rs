use std::collections::BTreeMap;

use crate::kernel::cell::{GraphSpec, JobStatus, StepState};
use crate::prelude::*;

/// The steps of one occurrence of a job.
#[derive(Clone, Debug)]
pub struct OccurrenceState {
    /// Its steps.
    pub steps: Vec<StepState>,
}

/// What is known of an accepted job.
#[derive(Clone, Debug)]
pub struct CellJob {
    /// The job as submitted.
    pub spec: Arc<GraphSpec>,
    /// Its state.
    pub status: JobStatus,
    /// When it became known to this owner.
    pub known_since: Instant,
    /// Occurrences that are due and not complete.
    pub occurrences: BTreeMap<u32, OccurrenceState>,
    /// The next occurrence to become due.
    pub next_occurrence: u32,
    /// Placed tasks.
    pub placed: u32,
    /// Whether its team had submitted more than it is owed.
    pub excess: bool,
    /// When all of it was last recorded, since 1970: its submission, or an image.
    pub recorded_at: Duration,
    /// When it reached a final state.
    pub closed_at: Option<Instant>,
}

impl CellJob {
    /// Returns a job that was just accepted.
    #[must_use]
    pub fn new(spec: Arc<GraphSpec>, now: Instant, excess: bool) -> Self {
        let recorded_at = spec.submitted;
        Self {
            spec,
            status: JobStatus::Queued,
            known_since: now,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            placed: 0,
            excess,
            recorded_at,
            closed_at: None,
        }
    }

    /// Whether all occurrences are complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.occurrences.is_empty() && self.next_occurrence >= self.spec.occurrences()
    }
}
