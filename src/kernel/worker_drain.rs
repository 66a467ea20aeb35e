use std::collections::{BTreeSet, VecDeque};

use crate::kernel::{JobKind, PlacedTask, ShardState, StopReason, WorkerCommand};
use crate::prelude::*;

/// Maximum number of tasks per second that are moved off draining workers, so that the starts of their
/// replacements flood neither the other workers nor the log.
const MOVES_PER_SECOND: u32 = 50;
/// Maximum number of moves that accumulate while no task has to be moved.
const MAX_MOVE_BUDGET: u32 = MOVES_PER_SECOND;
/// Time between the checkpoint request and the stop of a moved task.
const CHECKPOINT_PERIOD: Duration = Duration::from_secs(2);
/// Time after which a task that is not moved is stopped: one that is expected to end within this time, or one
/// of an inherited job, for which no replacement can be chosen yet.
const UNMOVED_STOP_DELAY: Duration = Duration::from_secs(10);
/// Time after which a replica of a service is stopped even if its replacement does not run yet.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Moves tasks off workers that are leaving or in closed zones, at a bounded rate.
#[derive(Clone, Debug, Default)]
pub struct WorkerDrain {
    /// Replicas of services to move; they come first.
    services: VecDeque<TaskId>,
    /// Other tasks to move.
    other_tasks: VecDeque<TaskId>,
    /// Tasks to be stopped at a given time, after a checkpoint or because their replacement is late.
    stop_deadlines: BTreeSet<(Instant, TaskId)>,
    /// All tasks that are queued or have a stop deadline.
    tracked: FastSet<TaskId>,
    /// Number of tasks that may be moved now.
    budget: u32,
    refilled_at: Option<Instant>,
}

impl WorkerDrain {
    /// Queues the tasks of a worker that must be drained, and stops those whose start is not confirmed.
    pub fn add_worker(&mut self, state: &mut ShardState, slot: u32) {
        let Some(worker) = state.fleet.get(slot) else { return };
        for task in worker.tasks.iter().cloned().collect::<Vec<_>>() {
            let Some(placed) = state.tasks.get(&task).filter(|placed| placed.stopping.is_none()) else {
                continue;
            };
            if placed.confirmed_at.is_none() {
                // The stop removes a start that was not sent yet.
                state.stop(&task, StopReason::Moved);
            } else if self.tracked.insert(task.clone()) {
                let queue =
                    if placed.kind == JobKind::Service { &mut self.services } else { &mut self.other_tasks };
                queue.push_back(task);
            }
        }
    }

    /// Moves as many tasks as the budget allows, services first, and stops those whose deadline has passed.
    pub fn advance(&mut self, state: &mut ShardState, now: Instant) {
        self.refill_budget(now);
        while self.stop_deadlines.first().is_some_and(|(due, _)| *due <= now) {
            let Some((_, task)) = self.stop_deadlines.pop_first() else { return };
            self.tracked.remove(&task);
            if must_move(state, &task) {
                state.stop(&task, StopReason::Moved);
            }
        }
        let queued = self.services.len() + self.other_tasks.len();
        for _ in 0..queued {
            if self.budget == 0 {
                return;
            }
            let Some(task) = self.services.pop_front().or_else(|| self.other_tasks.pop_front()) else {
                return;
            };
            self.move_task(state, task, now);
        }
    }

    /// Returns the number of tasks that are still to be moved.
    #[must_use]
    pub fn len(&self) -> usize {
        self.services.len() + self.other_tasks.len() + self.stop_deadlines.len()
    }

    /// Whether no task is left to be moved.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds the moves to the budget that have become available since the last refill.
    fn refill_budget(&mut self, now: Instant) {
        let Some(refilled_at) = self.refilled_at else {
            (self.refilled_at, self.budget) = (Some(now), MAX_MOVE_BUDGET);
            return;
        };
        let tokens =
            now.saturating_duration_since(refilled_at).as_millis() * u128::from(MOVES_PER_SECOND) / 1_000;
        if tokens > 0 {
            let tokens = u32::try_from(tokens).unwrap_or(MAX_MOVE_BUDGET);
            self.budget = self.budget.saturating_add(tokens).min(MAX_MOVE_BUDGET);
            self.refilled_at = Some(now);
        }
    }

    /// Starts to move one task: adds a replacement for a service replica, and asks other tasks for a
    /// checkpoint.
    fn move_task(&mut self, state: &mut ShardState, task: TaskId, now: Instant) {
        let Some(placed) = state.tasks.get(&task).filter(|_| must_move(state, &task)) else {
            self.tracked.remove(&task);
            return;
        };
        if placed.expected_end.is_some_and(|end| end > now && end <= now + UNMOVED_STOP_DELAY) {
            self.stop_deadlines.insert((now + UNMOVED_STOP_DELAY, task));
            return;
        }
        if state.jobs.get(&placed.job).is_some_and(|job| job.inherited) {
            // Other tasks of an inherited job may still be found, so no replacement can be chosen yet.
            self.stop_deadlines.insert((now + UNMOVED_STOP_DELAY, task));
            return;
        }
        self.budget -= 1;
        let placed = placed.clone();
        if placed.kind == JobKind::Service {
            let wait = if add_replacement(state, &placed) { REPLACEMENT_TIMEOUT } else { Duration::ZERO };
            self.stop_deadlines.insert((now + wait, task));
            return;
        }
        let command = WorkerCommand::Checkpoint { task: task.clone() };
        state.effects.push(crate::kernel::ScheduleEffect::Command(placed.vm, command));
        self.stop_deadlines.insert((now + CHECKPOINT_PERIOD, task));
    }
}

/// Whether the task still is on a worker that must be drained, and is not being stopped.
fn must_move(state: &ShardState, task: &TaskId) -> bool {
    let Some(placed) = state.tasks.get(task).filter(|placed| placed.stopping.is_none()) else { return false };
    let worker = state.fleet.slot(&placed.vm).and_then(|slot| state.fleet.get(slot));
    worker.is_some_and(|worker| worker.vm.leaving || !worker.zone_open)
}

/// Adds to a service a task that replaces one of its replicas, unless there is one already. Returns false if
/// the allotment of the team or the state of the job forbids it.
fn add_replacement(state: &mut ShardState, placed: &PlacedTask) -> bool {
    if !state.shares.allows(&placed.team, placed.need) {
        return false;
    }
    let Some(job) = state.jobs.get_mut(&placed.job).filter(|job| job.is_live()) else { return false };
    if job.tasks.iter().any(|task| task.replaces == Some(placed.index)) {
        return true;
    }
    let Ok(index) = u32::try_from(job.tasks.len()) else { return false };
    let replacement = crate::kernel::TaskProgress { replaces: Some(placed.index), ..Default::default() };
    job.tasks.push(replacement);
    job.waiting.insert(index);
    state.queue.add(job);
    true
}
