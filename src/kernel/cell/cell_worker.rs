use crate::kernel::WorkerHealth;
use crate::kernel::cell::{StepSpec, TaskKey, WorkerListing};
use crate::prelude::*;

/// Time without starts for a worker on which tasks of several jobs failed.
const SUSPENSION: Duration = Duration::from_secs(8);

/// A worker of the cell.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the conditions are independent of each other")]
pub struct CellWorker {
    /// What the platform last listed.
    pub listing: WorkerListing,
    /// Whether it is listed.
    pub listed: bool,
    /// Whether its lease is kept.
    pub watched: bool,
    /// Whether its zone is in service.
    pub zone_open: bool,
    /// Whether it has answered a look and not been silent since.
    pub responsive: bool,
    /// When its newest report was asked for.
    pub polled_at: Option<Instant>,
    /// When every lease that it may have is over.
    pub lease_expires_at: Instant,
    /// Its present life.
    pub incarnation: Option<WorkerIncarnation>,
    /// Capacity that its tasks take.
    pub used: ResourceVector,
    /// The part of it whose tasks are being stopped.
    pub stopping: ResourceVector,
    /// Its tasks.
    pub tasks: FastSet<TaskKey>,
    /// Failures of tasks on it.
    pub health: WorkerHealth,
    /// Until when it is used last, as runs on it were slow.
    pub slow_until: Option<Instant>,
    /// Until when nothing is started on it.
    pub suspended_until: Option<Instant>,
}

impl CellWorker {
    /// Returns a worker that was not heard; leases of earlier owners are over at the time.
    #[must_use]
    pub fn new(listing: WorkerListing, lease_over: Instant) -> Self {
        Self {
            listing,
            listed: false,
            watched: false,
            zone_open: true,
            responsive: false,
            polled_at: None,
            lease_expires_at: lease_over,
            incarnation: None,
            used: ResourceVector::default(),
            stopping: ResourceVector::default(),
            tasks: FastSet::default(),
            health: WorkerHealth::default(),
            slow_until: None,
            suspended_until: None,
        }
    }

    /// Whether tasks may start on it.
    #[must_use]
    pub fn is_schedulable(&self, now: Instant) -> bool {
        self.listed
            && self.responsive
            && self.zone_open
            && !self.listing.draining
            && self.suspended_until.is_none_or(|until| now >= until)
    }

    /// Whether runs on it were slow a short time ago.
    #[must_use]
    pub fn is_slow(&self, now: Instant) -> bool {
        self.slow_until.is_some_and(|until| now < until)
    }

    /// Returns what is free.
    #[must_use]
    pub fn free(&self) -> ResourceVector {
        self.listing.capacity.minus(self.used)
    }

    /// Whether it has the label that a step requires.
    #[must_use]
    pub fn suits(&self, step: &StepSpec) -> bool {
        step.label.as_ref().is_none_or(|label| self.listing.labels.contains(label))
    }

    /// Notes that a task failed on it; several failing jobs in a row suspend it.
    pub fn note_failure(&mut self, job: &JobId, team: &TeamId, now: Instant) {
        if self.health.record_failure(job, team) {
            self.suspended_until = Some(now + SUSPENSION);
            self.health.resume();
        }
    }
}
