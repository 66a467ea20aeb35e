use std::ops::Range;

use crate::kernel::cell::TaskState;

/// State of a task that was never started.
static UNBEGUN: TaskState = TaskState::unbegun();

/// State of the tasks of a step, by index. Tasks behind the last one that was started take no memory, so that accepted
/// work costs little before it runs.
#[derive(Clone, Debug, Default)]
pub struct TaskTable {
    begun: Vec<TaskState>,
    count: usize,
}

impl TaskTable {
    /// Returns the state of `count` tasks, none of which has started.
    #[must_use]
    pub fn new(count: u32) -> Self {
        Self { begun: Vec::new(), count: count as usize }
    }

    /// Returns the number of tasks.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether there is no task.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the state of a task; `None` if there is no such task.
    #[must_use]
    pub fn get(&self, index: u32) -> Option<&TaskState> {
        let known = || self.begun.get(index as usize).unwrap_or(&UNBEGUN);
        ((index as usize) < self.count).then(known)
    }

    /// Returns the state of a task for modification; `None` if there is no such task.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut TaskState> {
        let index = index as usize;
        if index >= self.count {
            return None;
        }
        if self.begun.len() <= index {
            self.begun.resize_with(index + 1, TaskState::default);
        }
        self.begun.get_mut(index)
    }

    /// Returns the state of the tasks up to the last one that was started.
    pub fn begun(&self) -> impl Iterator<Item = &TaskState> {
        self.begun.iter()
    }

    /// Returns the indices of these tasks. No other task is placed.
    #[must_use]
    pub fn begun_indices(&self) -> Range<u32> {
        0..u32::try_from(self.begun.len()).unwrap_or(u32::MAX)
    }

    /// Returns the state of all tasks for modification.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut TaskState> {
        self.begun.resize_with(self.count, TaskState::default);
        self.begun.iter_mut()
    }
}
