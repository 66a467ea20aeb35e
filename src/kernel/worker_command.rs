use crate::prelude::*;

/// A command for a worker; commands are idempotent by task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Starts a task.
    Start {
        /// The task.
        task: TaskId,
        /// Its team.
        team: TeamId,
        /// What it may use.
        need: ResourceVector,
        /// Declared run time; `None` for services.
        run_time: Option<Duration>,
    },
    /// Stops a task.
    Stop {
        /// The task.
        task: TaskId,
    },
    /// Asks a task to save its progress.
    Checkpoint {
        /// The task.
        task: TaskId,
    },
    /// Limits the processor time of a task.
    Throttle {
        /// The task.
        task: TaskId,
        /// Percent of its declared cores.
        percent: u32,
    },
    /// Confirms that the end of a task was recorded; the worker forgets it.
    Acknowledge {
        /// The task.
        task: TaskId,
    },
}

impl WorkerCommand {
    /// Returns the task that the command is about.
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
