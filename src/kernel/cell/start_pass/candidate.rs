use std::cmp::Reverse;

/// A worker that may run tasks of a step according to its labels, its capacity and the configuration.
///
/// The derived order puts the best worker first, so the order of the fields matters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    /// Whether a slow run was stopped on the worker a short time ago; such workers come last.
    pub(super) had_recent_slow_run: bool,
    /// Whether the worker is outside the preferred rack of the step; those on that rack come first.
    pub(super) off_rack: bool,
    /// Whether tasks of the queue take longer on the worker than elsewhere; false for steps that are not urgent.
    pub(super) slow_for_queue: bool,
    /// Free part of the capacity in thousandths, negated for steps with accelerators.
    pub(super) score: Reverse<i64>,
    pub(super) slot: u32,
    /// Tasks that could start now, by the free capacity that is not reserved and the limit per worker.
    pub(super) fitting: u32,
    /// Tasks of the step that the limit per worker still allows.
    pub(super) allowed_by_worker_limit: u32,
}
