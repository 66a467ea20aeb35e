use crate::prelude::*;

/// A command for a worker about one task. Repeating a command has no further effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Starts an attempt of a task.
    Start {
        /// Name of the attempt.
        task: TaskId,
        /// Team of the task.
        team: TeamId,
        /// Resources that the task may use.
        need: ResourceVector,
        /// Declared run time; `None` for services, or if none is declared.
        run_time: Option<Duration>,
    },
    /// Stops an attempt of a task.
    Stop {
        /// Name of the attempt.
        task: TaskId,
    },
    /// Asks a task to save a checkpoint.
    Checkpoint {
        /// Name of the attempt.
        task: TaskId,
    },
    /// Limits the processor time of a task.
    Throttle {
        /// Name of the attempt.
        task: TaskId,
        /// Percentage of its declared cores; 100 removes the limit.
        percent: u32,
    },
    /// Confirms that the end of a task was recorded, so that the worker no longer reports it.
    Acknowledge {
        /// Name of the attempt.
        task: TaskId,
    },
}

impl WorkerCommand {
    /// Returns the name of the attempt that the command concerns.
    #[must_use]
    pub const fn task(&self) -> &TaskId {
        match self {
            Self::Start { task, .. }
            | Self::Stop { task }
            | Self::Checkpoint { task }
            | Self::Throttle { task, .. }
            | Self::Acknowledge { task } => task,
        }
    }
}
