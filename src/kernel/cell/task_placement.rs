use crate::prelude::*;

/// Run time after which the told progress shows the pace of a run.
const LEAST_TOLD: Duration = Duration::from_millis(300);
/// Progress in percent from which it shows the pace of a run.
const LEAST_DONE: u32 = 4;
/// Progress in percent at the first look from which a run is taken to have gone on from a checkpoint.
const FROM_CHECKPOINT: u32 = 35;

/// How far a start is known to have got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPhase {
    /// The order is on its way.
    Starting,
    /// The order was not answered by the time.
    Unsure(Instant),
    /// An earlier owner recorded the start; the worker was not asked yet.
    Inherited,
    /// The worker confirmed it at the time.
    Running(Instant),
}

/// A run that counts on its worker until its end is known.
#[derive(Clone, Debug)]
pub struct TaskPlacement {
    /// The worker.
    pub slot: u32,
    /// The start.
    pub run: RunNumber,
    /// When it was placed.
    pub placed_at: Instant,
    /// How far the start got.
    pub phase: PlacementPhase,
    /// Why it is being stopped.
    pub stopping: Option<&'static str>,
    /// When the worker confirmed the stop.
    pub stop_confirmed: Option<Instant>,
    /// When a stop was last sent.
    pub stop_sent: Option<Instant>,
    /// Its newest progress in percent and when that last changed.
    pub progress: (u32, Instant),
    /// Its progress when the worker first told it, from which a checkpoint let it go on.
    pub first_progress: Option<u32>,
    /// When the worker last named it.
    pub seen_at: Instant,
}

impl TaskPlacement {
    /// Returns a run that is placed now.
    #[must_use]
    pub const fn new(slot: u32, run: RunNumber, phase: PlacementPhase, now: Instant) -> Self {
        Self {
            slot,
            run,
            placed_at: now,
            phase,
            stopping: None,
            stop_confirmed: None,
            stop_sent: None,
            progress: (0, now),
            first_progress: None,
            seen_at: now,
        }
    }

    /// Notes the progress that the worker tells.
    pub fn note_progress(&mut self, percent: u32, now: Instant) {
        self.first_progress.get_or_insert(percent);
        if self.progress.0 != percent {
            self.progress = (percent, now);
        }
        self.seen_at = now;
    }

    /// Returns how long the run takes on at its pace since its start; `None` if it has made no progress, zero if too
    /// little is known.
    #[must_use]
    pub fn time_left(&self, since: Instant, now: Instant) -> Option<Duration> {
        // The first look comes soon after the start, so little was done before it unless a checkpoint was used.
        let begun = self.first_progress.filter(|first| *first >= FROM_CHECKPOINT).unwrap_or_default();
        let done = self.progress.0.saturating_sub(begun);
        let left = 100 - self.progress.0.min(100);
        let told = self.seen_at.saturating_duration_since(since);
        // Whole percents say little about the pace of a run that has just begun.
        if told < LEAST_TOLD || (done > 0 && done < LEAST_DONE) {
            return Some(Duration::ZERO);
        }
        let then = (done > 0).then(|| told.mul_f64(f64::from(left) / f64::from(done)))?;
        Some(then.saturating_sub(now.saturating_duration_since(self.seen_at)))
    }

    /// Whether a look that was asked at the time and does not name the run proves that it does not run.
    #[must_use]
    pub fn is_absent(&self, asked: Instant) -> bool {
        if self.stop_confirmed.is_some_and(|confirmed| confirmed < asked) {
            return true;
        }
        match self.phase {
            PlacementPhase::Running(confirmed) => confirmed < asked,
            // The look carried a newer token, so an order of the earlier owner is refused from now on.
            PlacementPhase::Inherited => true,
            PlacementPhase::Starting | PlacementPhase::Unsure(_) => false,
        }
    }
}
