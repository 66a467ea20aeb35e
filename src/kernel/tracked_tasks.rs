//! What the owner of a worker knows of the tasks on it, as far as the time of the next sync depends on it.

use crate::kernel::{TrackedTask, WorkerCommand, WorkerReport};
use crate::prelude::*;

/// Time for which a task counts although no report lists it; reports lag.
const UNLISTED_FOR: Duration = Duration::from_secs(5);

/// Tasks that were started, stopped or reported.
#[derive(Debug, Default)]
pub struct TrackedTasks {
    tasks: FastMap<TaskId, TrackedTask>,
}

impl TrackedTasks {
    /// Notes an answered sync. A command makes its task young again, so that its effect is looked for soon.
    pub fn note(&mut self, commands: &[WorkerCommand], report: &WorkerReport, now: Instant) {
        let listed: FastSet<&TaskId> = report.running.iter().map(|task| &task.task).collect();
        let recent = |tracked: &TrackedTask| now.saturating_duration_since(tracked.since) < UNLISTED_FOR;
        self.tasks.retain(|task, tracked| listed.contains(task) || recent(tracked));
        for task in listed {
            self.tasks.entry(task.clone()).or_insert(TrackedTask { since: now, run_time: None });
        }
        for command in commands {
            let run_time = match command {
                WorkerCommand::Start { run_time, .. } => *run_time,
                WorkerCommand::Stop { .. } => None,
                _ => continue,
            };
            self.tasks.insert(command.task().clone(), TrackedTask { since: now, run_time });
        }
        for end in &report.ended {
            self.tasks.remove(&end.task);
        }
    }

    /// Returns the tasks, in no order.
    pub fn iter(&self) -> impl Iterator<Item = TrackedTask> {
        self.tasks.values().copied()
    }
}
