use std::collections::BTreeSet;
use std::fmt::{self, Debug, Formatter};
use std::ops::Range;

/// Indices of the tasks of a step that wait to be placed. Tasks behind the last one that was placed are kept as a range.
#[derive(Clone, Default)]
pub struct WaitingTasks {
    /// Tasks before the range.
    single: BTreeSet<u32>,
    /// Tasks that were never placed.
    unplaced: Range<u32>,
}

impl WaitingTasks {
    /// Returns the state of a step of `count` tasks that all wait.
    #[must_use]
    pub const fn all(count: u32) -> Self {
        Self { single: BTreeSet::new(), unplaced: 0..count }
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.single.len() + self.unplaced.len()
    }

    /// Whether no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.single.is_empty() && self.unplaced.is_empty()
    }

    /// Whether a task waits.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        self.unplaced.contains(&index) || self.single.contains(&index)
    }

    /// Returns the waiting tasks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.single.iter().copied().chain(self.unplaced.clone())
    }

    /// Returns the waiting tasks that may have been placed before, in ascending order.
    pub fn single(&self) -> impl Iterator<Item = u32> {
        self.single.iter().copied()
    }

    /// Returns the number of tasks that were never placed.
    #[must_use]
    pub fn unplaced_len(&self) -> usize {
        self.unplaced.len()
    }

    /// Lets a task wait.
    pub fn insert(&mut self, index: u32) {
        if !self.unplaced.contains(&index) {
            self.single.insert(index);
        }
    }

    /// Lets a task wait no longer.
    pub fn remove(&mut self, index: u32) {
        if self.unplaced.contains(&index) {
            self.single.extend(self.unplaced.start..index);
            self.unplaced.start = index + 1;
        } else {
            self.single.remove(&index);
        }
    }

    /// Lets no task wait.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

impl Debug for WaitingTasks {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_set().entries(self.iter()).finish()
    }
}
