use crate::kernel::{JobKind, PriorityClass};
use crate::prelude::*;

/// A task that uses resources of its worker and its team until its end is confirmed.
#[derive(Clone, Debug)]
pub struct PlacedTask {
    /// VM of the worker on which the task is placed.
    pub vm: VmId,
    /// Job of the task; this shard may no longer hold it.
    pub job: JobId,
    /// Index of the task within its job.
    pub index: u32,
    /// Team whose usage includes the task.
    pub team: TeamId,
    /// Resources that the task uses.
    pub need: ResourceVector,
    /// Kind of its job.
    pub kind: JobKind,
    /// Priority of its job.
    pub priority: PriorityClass,
    /// When this owner placed the task or found it running.
    pub placed_at: Instant,
    /// Start of the work that a stop would lose: the placement or the last checkpoint.
    pub work_since: Instant,
    /// When the task is expected to end; `None` if its run time is not known.
    pub expected_end: Option<Instant>,
    /// When a report or an answered sync first confirmed that the start reached the worker.
    pub confirmed_at: Option<Instant>,
    /// When an answered sync first confirmed that the stop reached the worker.
    pub stop_confirmed_at: Option<Instant>,
    /// Why the task is being stopped; `None` if it is not.
    pub stopping: Option<StopReason>,
    /// Whether a report has listed the task as running.
    pub running: bool,
    /// Sequence number of the last report that listed the task.
    pub report_sequence: u64,
    /// Whether the task has saved a checkpoint.
    pub checkpointed: bool,
}

/// Why a task is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended or was cancelled.
    JobEnded,
    /// Its zone was closed or its worker is leaving.
    Moved,
    /// It is preempted for a team below its fair share or for urgent work.
    Reclaimed,
    /// A newer attempt of the task exists, or its job is unknown.
    Superseded,
    /// The task that replaces it runs.
    Replaced,
}

impl StopReason {
    /// Returns the reason as it appears in logs.
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
    /// Returns a newly placed task of a job.
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

    /// Whether the task may be preempted for a gang job. Tasks of other gang jobs may not, as their jobs
    /// would be left incomplete.
    #[must_use]
    pub fn is_preemptible_by_gang(&self) -> bool {
        self.priority == PriorityClass::Normal && self.kind != JobKind::Gang && self.stopping.is_none()
    }

    /// Whether a report that arrives at `now` and does not list the task proves that it does not run.
    #[must_use]
    pub fn absence_proves_end(&self, now: Instant, report_lag: Duration) -> bool {
        let delivered_at = self.confirmed_at.into_iter().chain(self.stop_confirmed_at).min();
        delivered_at.is_some_and(|delivered_at| now >= delivered_at + report_lag)
    }
}
