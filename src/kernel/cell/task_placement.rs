use crate::prelude::*;

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
        }
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
