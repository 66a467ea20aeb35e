//! The answer of a worker to a command, with what the link knew when it sent the command.

use crate::kernel::cell::{CellEvent, CommandOutcome, KnownWorker, StartCommand, StopCommand};
use crate::tasks::cell::ports::CommandAnswer;

/// A command to a worker.
pub(super) enum LinkCommand {
    Start(StartCommand),
    Stop(StopCommand),
}

impl LinkCommand {
    /// Returns the name of the command in metrics.
    pub(super) const fn kind(&self) -> &'static str {
        match self {
            Self::Start(_) => "start",
            Self::Stop(_) => "stop",
        }
    }

    /// Returns the event that tells the scheduler the outcome of the command.
    pub(super) fn into_event(self, outcome: CommandOutcome) -> CellEvent {
        match self {
            Self::Start(StartCommand { task, run, worker, .. }) => {
                CellEvent::StartAnswered(task, run, worker, outcome)
            }
            Self::Stop(StopCommand { task, run, worker, .. }) => {
                CellEvent::StopAnswered(task, run, worker, outcome)
            }
        }
    }
}

/// A command and the worker's answer to it.
pub(super) struct LinkAnswer {
    pub(super) command: LinkCommand,
    pub(super) answer: CommandAnswer,
    pub(super) known: KnownWorker,
}
