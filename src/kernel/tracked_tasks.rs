//! Tracks the tasks on a worker from which the time of its next sync is computed.

use crate::kernel::{TrackedTask, WorkerCommand, WorkerReport};
use crate::prelude::*;

/// Time for which a task stays tracked although no report lists it, because reports lag.
const UNLISTED_GRACE: Duration = Duration::from_secs(5);

/// Tasks on one worker that were recently started or stopped, or are reported as running.
#[derive(Debug, Default)]
pub struct TrackedTasks {
    tasks: FastMap<TaskId, TrackedTask>,
}

impl TrackedTasks {
    /// Records an answered sync with the commands that it delivered.
    ///
    /// A start or stop resets the age of its task, so that the next syncs check soon whether it took effect.
    pub fn note(&mut self, commands: &[WorkerCommand], report: &WorkerReport, now: Instant) {
        let listed: FastSet<&TaskId> = report.running.iter().map(|task| &task.task).collect();
        let recent = |tracked: &TrackedTask| now.saturating_duration_since(tracked.since) < UNLISTED_GRACE;
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

    /// Returns the tracked tasks in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = TrackedTask> {
        self.tasks.values().copied()
    }
}
