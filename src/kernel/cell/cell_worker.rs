use crate::kernel::WorkerHealth;
use crate::kernel::cell::{FormerLease, RunnerProfile, StepSpec, TaskKey, WorkerFence, WorkerListing};
use crate::prelude::*;

/// Time for which nothing is started on a worker after tasks of several jobs failed there.
const SUSPENSION_PERIOD: Duration = Duration::from_secs(8);
/// Misleading forecasts from which the reported progress is not relied on.
const MIN_MISLEADING_FORECASTS: u32 = 2;
/// Bounds the count of misleading forecasts, so that a worker that reports correctly again is relied on soon.
const MAX_MISLEADING_FORECASTS: u32 = 4;

/// State of one worker of the cell.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the conditions are independent of each other")]
pub struct CellWorker {
    /// Newest entry in the platform's list of workers.
    pub listing: WorkerListing,
    /// Whether the platform still lists the worker.
    pub listed: bool,
    /// Whether this owner polls the worker and renews its lease.
    pub watched: bool,
    /// Whether its availability zone is in service.
    pub zone_open: bool,
    /// Whether the worker has answered a poll and has not been unresponsive since.
    pub responsive: bool,
    /// Whether the present link to the worker was told that it may renew the lease.
    pub renewable: bool,
    /// When the poll of its newest report was sent.
    pub polled_at: Option<Instant>,
    /// When every lease has expired that was granted to the incarnations that have answered an owner; used only while
    /// the worker is unresponsive.
    pub lease_expires_at: Instant,
    /// Leases that calls for a former incarnation may have granted; `None` if the present incarnation has refused such
    /// calls since it answered this owner, or is not known to be new.
    pub former_lease: Option<FormerLease>,
    /// The same by the records of an owner that no incarnation has answered, and the incarnation that was listed then.
    pub recorded_former_bound: Option<(WorkerIncarnation, Instant)>,
    /// Since when the worker has not answered; used only while it is unresponsive.
    pub silent_since: Instant,
    /// When its lease was last bounded in the records. It must then not be renewed before they say that the
    /// worker answers. `None` if they do not bound it.
    pub lease_bound_recorded_at: Option<Instant>,
    /// Whether the worker may still carry out calls for a former incarnation.
    pub unfenced: bool,
    /// From when the worker refuses calls for its former incarnation, as far as is known.
    pub fence: Option<WorkerFence>,
    /// When this owner recorded `fence` last; `None` before that.
    pub fence_recorded_at: Option<Instant>,
    /// Incarnation in its newest report; `None` before the first.
    pub incarnation: Option<WorkerIncarnation>,
    /// Incarnation before that one: the one in earlier reports, or in the list before the first report.
    pub former_incarnation: Option<WorkerIncarnation>,
    /// Highest number of an end in the reports of this incarnation.
    pub last_handled_end: TaskEndNumber,
    /// Capacity that its placed tasks occupy.
    pub used: ResourceVector,
    /// Part of `used` that becomes free once the tasks that are being stopped have ended.
    pub capacity_being_freed: ResourceVector,
    /// Tasks whose current run is placed on it.
    pub tasks: FastSet<TaskKey>,
    /// Runs on it beside the current run of their task.
    pub copies: FastSet<(TaskKey, RunNumber)>,
    /// Failures of tasks on the worker since the last success there.
    pub health: WorkerHealth,
    /// Run times on it relative to those elsewhere.
    pub profile: RunnerProfile,
    /// Forecasts from its reports that proved far too long, less those that proved right.
    pub misleading_forecasts: u32,
    /// Until when the worker is the last choice, as a slow run was stopped on it.
    pub slow_until: Option<Instant>,
    /// Until when nothing is started on the worker because of failures.
    pub suspended_until: Option<Instant>,
}

impl CellWorker {
    /// Returns a worker that has not answered yet at `now`. Every lease of earlier owners has expired by
    /// `inherited_lease_expires_at`.
    #[must_use]
    pub fn new(listing: WorkerListing, inherited_lease_expires_at: Instant, now: Instant) -> Self {
        Self {
            listing,
            listed: false,
            watched: false,
            zone_open: true,
            responsive: false,
            renewable: false,
            polled_at: None,
            lease_expires_at: inherited_lease_expires_at,
            former_lease: None,
            recorded_former_bound: None,
            silent_since: now,
            lease_bound_recorded_at: None,
            unfenced: false,
            fence: None,
            fence_recorded_at: None,
            incarnation: None,
            former_incarnation: None,
            last_handled_end: 0,
            used: ResourceVector::default(),
            capacity_being_freed: ResourceVector::default(),
            tasks: FastSet::default(),
            copies: FastSet::default(),
            health: WorkerHealth::default(),
            profile: RunnerProfile::default(),
            misleading_forecasts: 0,
            slow_until: None,
            suspended_until: None,
        }
    }

    /// Returns when every lease that the worker may hold has expired; used only while it is unresponsive.
    #[must_use]
    pub fn lease_bound(&self) -> Instant {
        self.former_lease.map_or(self.lease_expires_at, |former| former.expires_by.max(self.lease_expires_at))
    }

    /// Records that calls for a former incarnation may grant leases to the present one until `expires_by`.
    pub const fn note_unfenced(&mut self, expires_by: Instant, now: Instant) {
        self.unfenced = true;
        self.former_lease = Some(FormerLease { expires_by, gone_before: Some(now) });
    }

    /// Records the incarnation in a report; returns whether it is another one than before. Only a report of the listed
    /// incarnation, or a later one, ends the leases that calls for a former one may have granted, and only if the worker
    /// refuses such calls.
    pub fn note_incarnation(&mut self, incarnation: WorkerIncarnation) -> bool {
        let previous = self.incarnation.replace(incarnation);
        let is_new = previous.is_some_and(|previous| previous != incarnation);
        if is_new {
            self.former_incarnation = previous;
        }
        if self.newly_listed().is_none() {
            let former = self.former_lease.filter(|_| self.unfenced);
            self.former_lease = former.map(|former| FormerLease { gone_before: None, ..former });
        }
        is_new
    }

    /// Records that the worker does not answer.
    pub fn fall_silent(&mut self, now: Instant) {
        if self.responsive {
            self.silent_since = now;
        }
        (self.responsive, self.renewable) = (false, false);
    }

    /// Whether tasks may start on the worker now.
    #[must_use]
    pub fn is_schedulable(&self, now: Instant) -> bool {
        self.listed
            && self.responsive
            && !self.unfenced
            && !self.is_listed_as_another()
            && self.zone_open
            && !self.listing.draining
            && self.suspended_until.is_none_or(|until| now >= until)
    }

    /// Whether the list of workers names another incarnation than the newest report. If that is the later one, a start
    /// would carry an expiry by the former clock; if it is the earlier one, the present one may be of another kind.
    #[must_use]
    pub fn is_listed_as_another(&self) -> bool {
        matches!((self.listing.incarnation, self.incarnation), (Some(listed), Some(reported)) if listed != reported)
    }

    /// Returns the incarnation in the list of workers if it is neither that of the newest report nor the one before. Which
    /// one is later cannot be told by their times, as the wall clock of the worker may have been set back in between.
    #[must_use]
    pub fn newly_listed(&self) -> Option<WorkerIncarnation> {
        let listed = self.listing.incarnation?;
        let is_known = self.incarnation == Some(listed)
            || self.incarnation.is_some() && self.former_incarnation == Some(listed);
        (!is_known).then_some(listed)
    }

    /// Notes whether the forecast from its reports about a run that is done was far too long.
    pub fn note_forecast(&mut self, misled: bool) {
        self.misleading_forecasts = if misled {
            (self.misleading_forecasts + 1).min(MAX_MISLEADING_FORECASTS)
        } else {
            self.misleading_forecasts.saturating_sub(1)
        };
    }

    /// Whether the reported progress of its runs is not to be relied on.
    #[must_use]
    pub const fn has_misleading_reports(&self) -> bool {
        self.misleading_forecasts >= MIN_MISLEADING_FORECASTS
    }

    /// Whether a slow run was stopped on the worker a short time ago.
    #[must_use]
    pub fn had_recent_slow_run(&self, now: Instant) -> bool {
        self.slow_until.is_some_and(|until| now < until)
    }

    /// Returns the capacity that no placed task occupies.
    #[must_use]
    pub fn free(&self) -> ResourceVector {
        self.listing.capacity.minus(self.used)
    }

    /// Whether the worker has the label that a step requires, if any.
    #[must_use]
    pub fn has_required_label(&self, step: &StepSpec) -> bool {
        step.label.as_ref().is_none_or(|label| self.listing.labels.contains(label))
    }

    /// Records a failed task. Failures of several jobs in a row suspend the worker for `SUSPENSION_PERIOD`,
    /// which is used in place of the probation of [`WorkerHealth`]. A failure of one more job then suspends
    /// it again.
    pub fn note_failure(&mut self, job: &JobId, team: &TeamId, now: Instant) {
        if self.health.record_failure(job, team) {
            self.suspended_until = Some(now + SUSPENSION_PERIOD);
            // Forgets one of the failed jobs, so that a failure of one more suspends the worker again.
            self.health.end_probation();
        }
    }
}
