use crate::kernel::cell::{QueueRule, StepKey, StepRank, TaskRank};
use crate::prelude::*;

/// A step that the pass tries to place.
pub(super) struct PendingStep<'a> {
    pub(super) key: &'a StepKey,
    /// Rank at which the step is tried in this pass.
    pub(super) rank: StepRank,
    pub(super) rule: QueueRule,
    pub(super) task_rank: TaskRank,
    /// Capacity that one task occupies.
    pub(super) task_capacity: ResourceVector,
    /// Number of tasks to start, as far as the limit of the team allows.
    pub(super) wanted_tasks: u32,
    /// Whether less urgent tasks may be preempted for the step now.
    pub(super) may_preempt: bool,
    /// Number of the step among those with the same demand that were blocked in this pass, from 1, if it is
    /// blocked itself.
    pub(super) position: usize,
    /// Whether the step comes after the blocked ones that each pass tries. It then asks for permits only while the
    /// advisor has time.
    pub(super) in_turn: bool,
}
