use crate::prelude::*;

/// What an owner knew of a worker when it sent a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownWorker {
    /// The incarnation that gave the last answer to a poll; `None` before the first.
    pub incarnation: Option<WorkerIncarnation>,
    /// The worker's clock in that answer.
    pub clock: Option<WorkerTime>,
    /// Fencing token of the command.
    pub token: FencingToken,
}
