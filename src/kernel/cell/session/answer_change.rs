use crate::kernel::cell::WorkerFence;
use crate::prelude::*;

/// What the answer to a poll tells of the incarnation that gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerChange {
    /// The incarnation that gave the answer before; `None` for the first answer.
    pub previous: Option<WorkerIncarnation>,
    /// Whether this answer is the first of its incarnation to tell that calls for former ones may be carried out.
    pub is_unfenced: bool,
    /// Set if the worker has refused calls for its former incarnations since this answer.
    pub fence: Option<WorkerFence>,
}
