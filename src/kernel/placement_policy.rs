use crate::kernel::{JobKind, WorkerState};
use crate::prelude::*;

/// A placement policy plug-in: chooses among the workers on which a task fits.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// Name in the bundle.
    pub name: &'static str,
    /// The kind of job that it places.
    pub kind: JobKind,
    /// Scores a worker on which the task fits; the highest score wins.
    pub score: fn(&WorkerState, &JobSpec) -> i64,
}
