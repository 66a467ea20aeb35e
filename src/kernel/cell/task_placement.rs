use crate::prelude::*;

/// Run time that a report has to cover before the pace of the run is estimated.
const MIN_REPORTED_RUN_TIME: Duration = Duration::from_millis(300);
/// Progress in percent below which the pace of a run is not estimated.
const MIN_PROGRESS_PERCENT: u32 = 4;
/// Minimum progress in percent in the first report of a run for it to count as resumed from a checkpoint.
const RESUMED_PROGRESS_PERCENT: u32 = 35;

/// What is known about the start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPhase {
    /// The start command is not answered yet.
    Starting,
    /// The start command had not been answered at the given time, so the run may still start later.
    Unanswered(Instant),
    /// An earlier owner recorded the start, and the worker has not been polled by this owner yet.
    Inherited,
    /// The worker confirmed the run at the given time.
    Running(Instant),
}

/// The current run of a task, which occupies its worker until its end is known.
#[derive(Clone, Debug)]
pub struct TaskPlacement {
    /// Slot of the worker.
    pub slot: u32,
    /// Number of the run.
    pub run: RunNumber,
    /// When the task was placed, or the placement was replayed by a new owner.
    pub placed_at: Instant,
    /// What is known about the start.
    pub phase: PlacementPhase,
    /// Reason of the stop; `None` while no stop was requested.
    pub stop_reason: Option<&'static str>,
    /// When the worker confirmed the stop; the end of the run is reported separately.
    pub stop_confirmed: Option<Instant>,
    /// When a stop command was last sent.
    pub stop_sent: Option<Instant>,
    /// Newest progress in percent, and when it last changed.
    pub progress: (u32, Instant),
    /// Progress in the first report, which is high if the run resumed from a checkpoint.
    pub first_progress: Option<u32>,
    /// When a report of the worker last contained the run; the time of the placement before that.
    pub reported_at: Instant,
}

impl TaskPlacement {
    /// Returns the placement of a run at `now` without progress.
    #[must_use]
    pub const fn new(slot: u32, run: RunNumber, phase: PlacementPhase, now: Instant) -> Self {
        Self {
            slot,
            run,
            placed_at: now,
            phase,
            stop_reason: None,
            stop_confirmed: None,
            stop_sent: None,
            progress: (0, now),
            first_progress: None,
            reported_at: now,
        }
    }

    /// Records the progress in a report of the worker.
    pub fn note_progress(&mut self, percent: u32, now: Instant) {
        self.first_progress.get_or_insert(percent);
        if self.progress.0 != percent {
            self.progress = (percent, now);
        }
        self.reported_at = now;
    }

    /// Returns the estimated remaining run time, if the run keeps the pace that it had since
    /// `confirmed_at`, when its start was confirmed. `None` if the run has made no progress; zero if too
    /// little is known.
    #[must_use]
    pub fn estimated_time_left(&self, confirmed_at: Instant, now: Instant) -> Option<Duration> {
        // The first poll comes soon after the start, so little was done before it unless a checkpoint was
        // used.
        let resumed_percent =
            self.first_progress.filter(|first| *first >= RESUMED_PROGRESS_PERCENT).unwrap_or_default();
        let done_percent = self.progress.0.saturating_sub(resumed_percent);
        let left_percent = 100 - self.progress.0.min(100);
        let reported_run_time = self.reported_at.saturating_duration_since(confirmed_at);
        // Progress in whole percents says little about the pace of a run that has just begun.
        if reported_run_time < MIN_REPORTED_RUN_TIME
            || (done_percent > 0 && done_percent < MIN_PROGRESS_PERCENT)
        {
            return Some(Duration::ZERO);
        }
        let time_left = (done_percent > 0)
            .then(|| reported_run_time.mul_f64(f64::from(left_percent) / f64::from(done_percent)))?;
        Some(time_left.saturating_sub(now.saturating_duration_since(self.reported_at)))
    }

    /// Whether a poll that was sent at `poll_sent_at` and whose report lacks the run proves that it does
    /// not run.
    #[must_use]
    pub fn is_proven_absent(&self, poll_sent_at: Instant) -> bool {
        if self.stop_confirmed.is_some_and(|confirmed| confirmed < poll_sent_at) {
            return true;
        }
        match self.phase {
            PlacementPhase::Running(confirmed) => confirmed < poll_sent_at,
            // The poll carried a newer fencing token, so the worker now refuses commands of the earlier
            // owner.
            PlacementPhase::Inherited => true,
            PlacementPhase::Starting | PlacementPhase::Unanswered(_) => false,
        }
    }
}
