use crate::kernel::{JobKind, PriorityClass};
use crate::prelude::*;

/// A task that counts on its worker and against its team until its end is confirmed.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// The worker.
    pub vm: VmId,
    /// Its job, which this shard may no longer know.
    pub job: JobId,
    /// Index of the task in its job.
    pub index: u32,
    /// The team that it counts against.
    pub team: TeamId,
    /// How much it counts.
    pub need: ResourceVector,
    /// How its job runs.
    pub kind: JobKind,
    /// Order of its job.
    pub priority: PriorityClass,
    /// When it was placed.
    pub placed_at: Instant,
    /// Since when lost work adds up: its start or its last checkpoint.
    pub work_since: Instant,
    /// When it should have ended, as far as its run time is known.
    pub expected_end: Option<Instant>,
    /// When a report or an answered sync first showed that the start had reached the worker.
    pub confirmed_at: Option<Instant>,
    /// When an answered sync carried the stop.
    pub stop_confirmed_at: Option<Instant>,
    /// Why it is being stopped.
    pub stopping: Option<StopReason>,
    /// Whether a report lists it as running.
    pub running: bool,
    /// Number of the last report that listed it.
    pub report_sequence: u64,
    /// Whether its progress is saved.
    pub checkpointed: bool,
}

/// Why a task is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended or was cancelled.
    JobEnded,
    /// Its zone left or its worker leaves.
    Moved,
    /// Its capacity goes to a team below its share or to urgent work.
    Reclaimed,
    /// A newer attempt of the task exists, or its job is unknown.
    Superseded,
    /// Its replacement runs.
    Replaced,
}

impl StopReason {
    /// Returns the reason as logged.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::JobEnded => "job_ended",
            Self::Moved => "moved",
            Self::Reclaimed => "reclaimed",
            Self::Superseded => "superseded",
            Self::Replaced => "replaced",
        }
    }
}

impl PlacedTask {
    /// Returns a task of a job that was just placed.
    #[must_use]
    pub fn new(vm: VmId, spec: &JobSpec, index: u32, now: Instant) -> Self {
        Self {
            vm,
            job: spec.id.clone(),
            index,
            team: spec.team.clone(),
            need: spec.need,
            kind: spec.kind,
            priority: spec.priority,
            placed_at: now,
            work_since: now,
            expected_end: None,
            confirmed_at: None,
            stop_confirmed_at: None,
            stopping: None,
            running: false,
            report_sequence: 0,
            checkpointed: false,
        }
    }

    /// Returns the work that a stop would lose, in millicore seconds.
    #[must_use]
    pub fn lost_work(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.work_since).as_secs() * self.need.cores_milli
    }

    /// Whether the task may be stopped for a gang job; those of other gang jobs would leave theirs incomplete.
    #[must_use]
    pub fn is_preemptible_by_gang(&self) -> bool {
        self.priority == PriorityClass::Normal && self.kind != JobKind::Gang && self.stopping.is_none()
    }

    /// Whether a report of `now` that lacks the task proves that it does not run.
    #[must_use]
    pub fn absence_proves_end(&self, now: Instant, report_lag: Duration) -> bool {
        let known = self.confirmed_at.into_iter().chain(self.stop_confirmed_at).min();
        known.is_some_and(|known| now >= known + report_lag)
    }
}
