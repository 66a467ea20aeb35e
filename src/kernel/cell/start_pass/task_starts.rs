use super::{Candidate, PendingStep, StartPass};
use crate::prelude::*;

impl StartPass<'_> {
    /// Starts waiting tasks on the best workers; returns the number of started tasks.
    pub(super) fn start_tasks(&mut self, pending: &PendingStep<'_>, candidates: &[Candidate]) -> u32 {
        let permitted = self.permitted(pending, candidates);
        let Some((_, _, state)) = self.state.step(pending.key) else { return 0 };
        let due = |index: &u32| self.may_start(pending.key, state, *index);
        let waiting = state.waiting.iter().filter(due);
        let waiting: Vec<u32> = waiting.take(pending.wanted_tasks as usize).collect();
        let mut waiting = waiting.into_iter();
        let mut remaining_counts: Vec<u32> =
            permitted.iter().map(|(candidate, _)| candidate.fitting).collect();
        let mut started = 0;
        // Each round starts one task per worker, so that a wide step spreads over many workers.
        while remaining_counts.iter().any(|count| *count > 0) {
            for (remaining, (candidate, ticket)) in remaining_counts.iter_mut().zip(&permitted) {
                if *remaining == 0 {
                    continue;
                }
                let Some(index) = waiting.next() else { return started };
                *remaining -= 1;
                self.state.start(&pending.key.task(index), candidate.slot, ticket.clone(), self.now);
                started += 1;
            }
        }
        started
    }

    /// Starts all tasks of a gang or none; returns the number of started tasks. If the gang prefers one
    /// rack, tries each rack by itself first, in no particular order, and then all workers together.
    /// Workers without a known rack are tried as one rack.
    pub(super) fn start_gang(&mut self, pending: &PendingStep<'_>, candidates: &[Candidate]) -> u32 {
        let permitted = self.permitted(pending, candidates);
        let same_rack = self.state.step(pending.key).is_some_and(|(_, step, _)| step.same_rack);
        let mut groups: Vec<Vec<&(Candidate, Option<PermitTicket>)>> = Vec::new();
        if same_rack {
            let mut racks: FastMap<Option<RackId>, Vec<&(Candidate, Option<PermitTicket>)>> =
                FastMap::default();
            for entry in &permitted {
                let rack = self.state.worker(entry.0.slot).and_then(|worker| worker.listing.rack.clone());
                racks.entry(rack).or_default().push(entry);
            }
            groups.extend(racks.into_values());
        }
        groups.push(permitted.iter().collect());
        let wanted_tasks = pending.wanted_tasks as usize;
        for group in groups {
            let slots = group.iter().flat_map(|(candidate, ticket)| {
                std::iter::repeat_n((candidate.slot, ticket.clone()), candidate.fitting as usize)
            });
            let slots: Vec<(u32, Option<PermitTicket>)> = slots.take(wanted_tasks).collect();
            if slots.len() == wanted_tasks {
                self.state.start_gang(pending.key, &slots, self.now);
                return pending.wanted_tasks;
            }
        }
        0
    }
}
