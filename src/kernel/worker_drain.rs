use std::collections::{BTreeSet, VecDeque};

use crate::kernel::{JobKind, PlacedTask, ShardState, StopReason, WorkerCommand};
use crate::prelude::*;

/// Tasks moved out of closed zones and leaving workers each second, so that the rest of the fleet and the log
/// are not flooded with starts.
const MOVES_PER_SECOND: u32 = 50;
/// Moves that may add up while nothing has to be moved.
const BURST: u32 = MOVES_PER_SECOND;
/// Time that a task gets to save its progress before it is stopped.
const CHECKPOINT_WAIT: Duration = Duration::from_secs(2);
/// Tasks that should end this soon are left alone.
const ENDS_SOON: Duration = Duration::from_secs(10);
/// Time a service waits for its replacement before it is stopped all the same.
const REPLACEMENT_WAIT: Duration = Duration::from_secs(60);

/// Moves tasks away from closed zones and leaving workers within a budget.
#[derive(Clone, Debug, Default)]
pub struct WorkerDrain {
    services: VecDeque<TaskId>,
    others: VecDeque<TaskId>,
    /// Tasks that are stopped at a time, after a checkpoint or in place of a late replacement.
    due: BTreeSet<(Instant, TaskId)>,
    known: FastSet<TaskId>,
    budget: u32,
    filled: Option<Instant>,
}

impl WorkerDrain {
    /// Queues the tasks of a worker that must be emptied and stops those that have not surely started.
    pub fn add_worker(&mut self, state: &mut ShardState, slot: u32) {
        let Some(worker) = state.fleet.get(slot) else { return };
        for task in worker.tasks.iter().cloned().collect::<Vec<_>>() {
            let Some(placed) = state.tasks.get(&task).filter(|placed| placed.stopping.is_none()) else {
                continue;
            };
            if placed.confirmed_at.is_none() {
                // A start that was not sent yet must not go out.
                state.stop(&task, StopReason::Moved);
            } else if self.known.insert(task.clone()) {
                let queue =
                    if placed.kind == JobKind::Service { &mut self.services } else { &mut self.others };
                queue.push_back(task);
            }
        }
    }

    /// Moves as many tasks as the budget allows, services first.
    pub fn advance(&mut self, state: &mut ShardState, now: Instant) {
        self.fill(now);
        while self.due.first().is_some_and(|(due, _)| *due <= now) {
            let Some((_, task)) = self.due.pop_first() else { return };
            self.known.remove(&task);
            if must_move(state, &task) {
                state.stop(&task, StopReason::Moved);
            }
        }
        let queued = self.services.len() + self.others.len();
        for _ in 0..queued {
            if self.budget == 0 {
                return;
            }
            let Some(task) = self.services.pop_front().or_else(|| self.others.pop_front()) else { return };
            self.move_task(state, task, now);
        }
    }

    /// Tasks that wait to be moved.
    #[must_use]
    pub fn len(&self) -> usize {
        self.services.len() + self.others.len() + self.due.len()
    }

    /// Whether no task waits to be moved.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn fill(&mut self, now: Instant) {
        let Some(filled) = self.filled else {
            (self.filled, self.budget) = (Some(now), BURST);
            return;
        };
        let tokens = now.saturating_duration_since(filled).as_millis() * u128::from(MOVES_PER_SECOND) / 1_000;
        if tokens > 0 {
            let tokens = u32::try_from(tokens).unwrap_or(BURST);
            self.budget = self.budget.saturating_add(tokens).min(BURST);
            self.filled = Some(now);
        }
    }

    fn move_task(&mut self, state: &mut ShardState, task: TaskId, now: Instant) {
        let Some(placed) = state.tasks.get(&task).filter(|_| must_move(state, &task)) else {
            self.known.remove(&task);
            return;
        };
        if placed.expected_end.is_some_and(|end| end > now && end <= now + ENDS_SOON) {
            self.due.insert((now + ENDS_SOON, task));
            return;
        }
        if state.jobs.get(&placed.job).is_some_and(|job| job.inherited) {
            // Other tasks of the job may still be found, so no replacement can be chosen yet.
            self.due.insert((now + ENDS_SOON, task));
            return;
        }
        self.budget -= 1;
        let placed = placed.clone();
        if placed.kind == JobKind::Service {
            let wait = if add_replacement(state, &placed) { REPLACEMENT_WAIT } else { Duration::ZERO };
            self.due.insert((now + wait, task));
            return;
        }
        let command = WorkerCommand::Checkpoint { task: task.clone() };
        state.effects.push(crate::kernel::ScheduleEffect::Command(placed.vm, command));
        self.due.insert((now + CHECKPOINT_WAIT, task));
    }
}

/// Whether the task still is on a worker that must be emptied.
fn must_move(state: &ShardState, task: &TaskId) -> bool {
    let Some(placed) = state.tasks.get(task).filter(|placed| placed.stopping.is_none()) else { return false };
    let worker = state.fleet.slot(&placed.vm).and_then(|slot| state.fleet.get(slot));
    worker.is_some_and(|worker| worker.vm.leaving || !worker.zone_open)
}

/// Adds a task to a service that replaces another one; returns false if the limit of the team leaves no room.
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
