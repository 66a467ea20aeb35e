use std::collections::BTreeSet;
use std::ops::RangeBounds;

use crate::kernel::cell::{StepKey, StepRank};

/// A ready step with its rank; the order of these is the order of starts.
pub type RankedStep = (StepRank, StepKey);

/// The ready steps: those with complete dependencies and tasks that wait to be placed.
///
/// Steps that no listed worker could ever run stand aside, so that start passes do not look at them. What may change
/// that, which is the list of workers, the configuration or the end of a run of the step, brings them back.
#[derive(Clone, Debug, Default)]
pub struct ReadySteps {
    order: BTreeSet<RankedStep>,
    aside: BTreeSet<RankedStep>,
}

impl ReadySteps {
    /// Adds a step to the order of starts.
    pub fn insert(&mut self, step: RankedStep) {
        self.order.insert(step);
    }

    /// Removes a step.
    pub fn remove(&mut self, step: &RankedStep) {
        if !self.order.remove(step) {
            self.aside.remove(step);
        }
    }

    /// Replaces the rank of a step that may stand aside.
    pub fn replace_rank(&mut self, step: &RankedStep, rank: StepRank) {
        let set = if self.aside.contains(step) { &mut self.aside } else { &mut self.order };
        if set.remove(step) {
            set.insert((rank, step.1.clone()));
        }
    }

    /// Takes a step out of the order of starts.
    pub fn set_aside(&mut self, step: &RankedStep) {
        if let Some(step) = self.order.take(step) {
            self.aside.insert(step);
        }
    }

    /// Brings a step back into the order of starts if it stands aside.
    pub fn bring_back(&mut self, step: &RankedStep) {
        if let Some(step) = self.aside.take(step) {
            self.order.insert(step);
        }
    }

    /// Brings all steps back into the order of starts.
    pub fn bring_all_back(&mut self) {
        self.order.append(&mut self.aside);
    }

    /// Returns the steps in the order of starts.
    #[must_use]
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &RankedStep> + Clone {
        self.order.iter()
    }

    /// Returns all steps, those that stand aside last.
    pub fn all(&self) -> impl Iterator<Item = &RankedStep> + Clone {
        self.order.iter().chain(&self.aside)
    }

    /// Returns the steps of a part of the order of starts.
    pub fn range(&self, range: impl RangeBounds<RankedStep>) -> impl Iterator<Item = &RankedStep> {
        self.order.range(range)
    }

    /// Returns the first step in the order of starts.
    #[must_use]
    pub fn first(&self) -> Option<&RankedStep> {
        self.order.first()
    }

    /// Returns the number of steps in the order of starts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no step is in the order of starts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the number of steps that stand aside.
    #[must_use]
    pub fn aside_len(&self) -> usize {
        self.aside.len()
    }
}
