use crate::kernel::cell::{CellWorker, StepSpec};
use crate::prelude::*;

/// What keeps a task of a step from a worker; the first that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum WorkerFit {
    /// A task fits now.
    #[display("fits")]
    Fits,
    /// The worker does not answer.
    #[display("silent")]
    Silent,
    /// Its zone is out of service.
    #[display("zone_closed")]
    ZoneClosed,
    /// It is about to leave.
    #[display("leaving")]
    Leaving,
    /// Tasks of several jobs failed on it.
    #[display("suspended")]
    Suspended,
    /// It lacks the label of the step.
    #[display("label")]
    Label,
    /// The task is larger than the whole worker.
    #[display("too_small")]
    TooSmall,
    /// The free capacity lacks room.
    #[display("no_room")]
    NoRoom,
}

impl WorkerFit {
    /// Returns what keeps a task of the step from the worker at `now`.
    #[must_use]
    pub fn of(worker: &CellWorker, step: &StepSpec, now: Instant) -> Self {
        let need = step.occupied_capacity();
        if !worker.responsive {
            Self::Silent
        } else if !worker.zone_open {
            Self::ZoneClosed
        } else if worker.listing.draining {
            Self::Leaving
        } else if !worker.is_schedulable(now) {
            Self::Suspended
        } else if !worker.has_required_label(step) {
            Self::Label
        } else if !need.fits(worker.listing.capacity) {
            Self::TooSmall
        } else if !need.fits(worker.free()) {
            Self::NoRoom
        } else {
            Self::Fits
        }
    }
}
