use crate::kernel::cell::{
    CellEffect, CellState, CellWorker, FORMER_CALL_TIME, FormerLease, PlacementPhase, WorkerListing,
    WorkerPools,
};
use crate::prelude::*;

/// Applies the platform's list of workers to the cell.
pub struct ListingUpdate<'a> {
    /// State of the cell that the list changes.
    pub state: &'a mut CellState,
    /// Time at which the list is applied.
    pub now: Instant,
}

impl ListingUpdate<'_> {
    /// Applies the platform's list of workers, which holds all of its entries.
    pub fn apply(mut self, listings: Vec<WorkerListing>) {
        let listed_workers: FastSet<WorkerId> =
            listings.iter().map(|listing| listing.worker.clone()).collect();
        for worker in &mut self.state.workers {
            worker.listed &= listed_workers.contains(&worker.listing.worker);
        }
        self.state.workers_listed = true;
        self.state.pools = WorkerPools::default();
        self.state.capacity = ResourceVector::default();
        for listing in listings {
            self.apply_listing(listing);
        }
        self.state.ready.bring_all_back();
    }

    fn apply_listing(&mut self, listing: WorkerListing) {
        let slot = self.state.slot(&listing.worker).unwrap_or_else(|| {
            let lease_expires_at = self.state.inherited_leases_expire_by(self.now);
            self.state.add_worker(CellWorker::new(listing.clone(), lease_expires_at, self.now))
        });
        let zone_open = !self.state.closed_zones.contains(&listing.zone);
        self.state.capacity = self.state.capacity.plus(listing.capacity);
        self.state.pools.add(slot, &listing);
        let Some(worker) = self.state.worker_mut(slot) else { return };
        worker.listed = true;
        worker.zone_open = zone_open;
        let address_changed = worker.listing.address != listing.address;
        let incarnation_changed = worker.listing.incarnation != listing.incarnation;
        worker.listing = listing.clone();
        if incarnation_changed || !worker.watched {
            self.bound_former_lease(slot);
        }
        let Some(worker) = self.state.worker_mut(slot) else { return };
        if !worker.watched || address_changed {
            if worker.polled_at.is_none() {
                worker.former_incarnation = listing.incarnation;
            }
            worker.watched = true;
            worker.renewable = false;
            self.state.effects.push(CellEffect::Watch(listing));
            self.await_no_answers(slot);
        }
    }

    /// Bounds the leases that calls for a former incarnation may have granted to the listed one, which has not
    /// answered this owner yet. This owner knows the runs that the listed incarnation cannot have: those that the
    /// former one has confirmed.
    fn bound_former_lease(&mut self, slot: u32) {
        let calls_end_by = self.state.inherited_leases.map_or(self.now, |leases| leases.calls_end_by);
        let (rule, now) = (self.state.restart_rule, self.now);
        let has_open_starts = self.has_open_starts(slot);
        let Some(worker) = self.state.worker_mut(slot) else { return };
        let Some(started) = worker.newly_listed() else { return };
        let is_fenced = worker.fence.is_some_and(|fence| fence.incarnation == started);
        let expires_by = match worker.polled_at {
            // The worker refused such calls before the recovery, and its clock is at least that of its entry.
            None if is_fenced => {
                let clock = worker.listing.clock.unwrap_or_default();
                let lease = rule.former_lease(started, clock, worker.fence);
                (!lease.is_zero()).then_some(now + lease)
            }
            // An owner that no incarnation has answered sends no call that grants a lease, so that the bound of the
            // owner before still holds.
            None => {
                let recorded = worker.recorded_former_bound.filter(|(listed, _)| *listed == started);
                let longest = calls_end_by + rule.unfenced_lease();
                Some(recorded.map_or(longest, |(_, expires_by)| expires_by.min(longest)))
            }
            Some(_) if has_open_starts => Some(now + FORMER_CALL_TIME + rule.unfenced_lease()),
            Some(_) => None,
        };
        worker.former_lease = expires_by.map(|expires_by| FormerLease { expires_by, gone_before: Some(now) });
    }

    /// Returns whether a start on the worker is not answered yet.
    fn has_open_starts(&self, slot: u32) -> bool {
        let Some(worker) = self.state.worker(slot) else { return false };
        let tasks = worker.tasks.iter().filter_map(|task| self.state.placements.get(task));
        let copies = worker.copies.iter().filter_map(|copy| self.state.copies.get(copy));
        tasks.chain(copies).any(|run| !run.is_confirmed())
    }

    /// Counts starts on a worker without an answer as unanswered: the link that waits for the answers is
    /// replaced.
    fn await_no_answers(&mut self, slot: u32) {
        let runs = self.state.placements.values_mut().chain(self.state.copies.values_mut());
        let starting =
            runs.filter(|placement| placement.slot == slot && placement.phase == PlacementPhase::Starting);
        starting.for_each(|placement| placement.phase = PlacementPhase::Unanswered(self.now));
    }
}
