use std::collections::BTreeMap;

use crate::kernel::cell::admission::{StateBytes, waiting_bytes};
use crate::kernel::cell::{GraphSpec, JobStatus, LogPosition, MAX_TASKS_PER_JOB, StepState};
use crate::prelude::*;

/// How long a closed job is kept, so that its state can still be queried, and how long a cancellation is
/// kept that was read before its submission.
pub const CLOSED_JOB_RETENTION: Duration = Duration::from_secs(150);

/// State of one occurrence of a job.
#[derive(Clone, Debug)]
pub struct OccurrenceState {
    /// State of the steps, in the order of the specification.
    pub steps: Vec<StepState>,
}

/// State of an accepted job.
#[derive(Clone, Debug)]
pub struct CellJob {
    /// The job as it was submitted.
    pub spec: Arc<GraphSpec>,
    /// Bytes that the job takes while it waits.
    pub waiting_bytes: StateBytes,
    /// State of the job as callers see it.
    pub status: JobStatus,
    /// When the job became known to this owner.
    pub known_since: Instant,
    /// Occurrences that have become due, by number. While the job is open, complete ones are dropped once
    /// none of its runs is placed.
    pub occurrences: BTreeMap<u32, OccurrenceState>,
    /// Number of the next occurrence to become due.
    pub next_occurrence: u32,
    /// Number of placed tasks of all occurrences.
    pub placed: u32,
    /// Whether the team was above its submission rate when it submitted the job.
    pub excess: bool,
    /// Unix time of the last snapshot that this owner has written, or of the submission if it has written
    /// none. A new owner thus writes snapshots of all old jobs again, also of those that it restored from
    /// one.
    pub recorded_at: Duration,
    /// Position in the log of its last snapshot, or at which it became known if the log holds none.
    pub recorded_position: LogPosition,
    /// When the job reached a final state; `None` while it is open.
    pub closed_at: Option<Instant>,
    /// Whether the store may keep a submission of the job for longer than the records that this owner knows of it. A
    /// closed job is then recorded before it is forgotten; otherwise a later owner would start it again.
    pub submission_outlives: bool,
}

impl CellJob {
    /// Returns the state of a job that was just accepted.
    #[must_use]
    pub fn new(spec: Arc<GraphSpec>, now: Instant, excess: bool, recorded_position: LogPosition) -> Self {
        let recorded_at = spec.submitted;
        Self {
            waiting_bytes: waiting_bytes(&spec),
            spec,
            status: JobStatus::Queued,
            known_since: now,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            placed: 0,
            excess,
            recorded_at,
            recorded_position,
            closed_at: None,
            submission_outlives: false,
        }
    }

    /// Whether another occurrence may open while the present ones are open. Many occurrences of a job that
    /// was submitted late are due at once; their tasks together must not exceed those of the largest job.
    #[must_use]
    pub fn may_open_occurrence(&self) -> bool {
        let open = u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX);
        open < self.max_open_occurrences()
    }

    /// Returns how many occurrences may be open at the same time, at least one.
    #[must_use]
    pub fn max_open_occurrences(&self) -> u32 {
        (MAX_TASKS_PER_JOB / self.spec.tasks().max(1)).max(1)
    }

    /// Drops the steps of a closed job without runs. Only its state is asked for, and they take most of its memory.
    pub fn drop_steps(&mut self) {
        self.occurrences.clear();
        if !self.spec.steps.is_empty() {
            self.spec = self.spec.without_steps().into();
        }
    }

    /// Whether the retention time of the closed job is over.
    #[must_use]
    pub fn has_expired(&self, now: Instant) -> bool {
        let closed_at = self.closed_at.filter(|_| self.placed == 0);
        closed_at.is_some_and(|at| now.saturating_duration_since(at) >= CLOSED_JOB_RETENTION)
    }

    /// Whether all occurrences have become due and none is kept any more. A complete occurrence is kept
    /// while a run of the job is placed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.occurrences.is_empty() && self.next_occurrence >= self.spec.occurrences()
    }
}
