use crate::kernel::cell::{CommandOutcome, LossCause};
use crate::prelude::*;

/// Time after the decision within which the record of a start has to be stored and its command sent.
pub const COMMAND_VALIDITY: Duration = Duration::from_millis(800);
/// Time after which the stop of a run is sent again if it is not confirmed, as a command may get lost.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(400);

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
    /// Progress, and when it was reported, from which the pace of the run is counted; `None` if it is counted from
    /// the start of the run.
    pub progress_base: Option<(u32, Instant)>,
    /// Whether the reported progress went back at some time, so that it says nothing.
    pub progress_doubtful: bool,
    /// Whether the worker was asked for the progress of the run out of turn.
    pub looked_at: bool,
    /// Whether the run began with work done before, by a checkpoint or under an earlier owner.
    pub resumed: bool,
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
            progress_base: None,
            progress_doubtful: false,
            looked_at: false,
            resumed: matches!(phase, PlacementPhase::Inherited),
            reported_at: now,
        }
    }

    /// Applies the outcome of the start command; returns the cause of the loss if the run never starts.
    #[must_use]
    pub const fn apply_start_outcome(&mut self, outcome: CommandOutcome, now: Instant) -> Option<LossCause> {
        match outcome {
            CommandOutcome::Accepted => self.phase = PlacementPhase::Running(now),
            CommandOutcome::Unknown => self.phase = PlacementPhase::Unanswered(now),
            // `Fenced` ends the term of this owner. On `Replaced`, the runs on the worker are already marked
            // as lost.
            CommandOutcome::Fenced | CommandOutcome::Replaced => {}
            CommandOutcome::NoPermit
            | CommandOutcome::NoRoom
            | CommandOutcome::Refused
            | CommandOutcome::NotSent => return Some(LossCause::StartFailed(outcome)),
        }
        None
    }

    /// Records the progress in a report of the worker.
    pub fn note_progress(&mut self, percent: u32, now: Instant) {
        if self.resumed {
            self.progress_base.get_or_insert((percent, now));
        }
        self.progress_doubtful |= percent < self.progress.0;
        if self.progress.0 != percent {
            self.progress = (percent, now);
        }
        self.reported_at = now;
    }

    /// Notes that a command to stop the run is sent now; returns its reason and whether it is the first one.
    /// `None` if no command is due: the stop is confirmed or was sent less than `STOP_RETRY_INTERVAL` ago.
    pub fn request_stop(&mut self, reason: &'static str, now: Instant) -> Option<(&'static str, bool)> {
        let due =
            self.stop_sent.is_none_or(|sent| now.saturating_duration_since(sent) >= STOP_RETRY_INTERVAL);
        if self.stop_confirmed.is_some() || !due {
            return None;
        }
        self.stop_sent = Some(now);
        let first = self.stop_reason.is_none();
        Some((*self.stop_reason.get_or_insert(reason), first))
    }

    /// Whether the worker has confirmed the run to this owner.
    #[must_use]
    pub const fn is_confirmed(&self) -> bool {
        self.confirmed_at().is_some()
    }

    /// Returns when the worker confirmed the run to this owner.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Instant> {
        match self.phase {
            PlacementPhase::Running(confirmed_at) => Some(confirmed_at),
            _ => None,
        }
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
