use crate::kernel::{
    ClassId, ClassKey, GangReservation, JobKind, PlacementPolicy, PluginRegistry, RetryScan, ShardState,
    SpreadCount, WaitReason, WorkerState,
};
use crate::prelude::*;

/// Maximum number of classes tried in one call. At tens of microseconds each, a call stays far below 10 ms.
const MAX_CLASSES_TRIED: u32 = 256;
/// Number of started tasks after which a call tries no further class. The last gang job may exceed it.
const MAX_TASKS_STARTED: u32 = 256;

/// One bounded pass over the waiting classes that places as many tasks as possible.
pub struct PlacementPass<'a> {
    /// State of the shard, which the pass changes.
    pub state: &'a mut ShardState,
    /// Reservation of workers for a gang job.
    pub gang: &'a mut GangReservation,
    /// Registry in which the placement policies are looked up.
    pub registry: &'a PluginRegistry,
    /// Policy bundle in force; it selects the placement policies.
    pub bundle: &'a PolicyBundle,
    /// Current time.
    pub now: Instant,
}

impl PlacementPass<'_> {
    /// Places tasks and returns whether the bounds of the pass left classes untried.
    pub fn run(&mut self) -> bool {
        let mut freed = self.take_freed_workers();
        let (mut unblocked, mut scan, mut partly_compared_workers) = (None, RetryScan::default(), Vec::new());
        let (mut tries, mut starts) = (0, 0);
        while tries < MAX_CLASSES_TRIED && starts < MAX_TASKS_STARTED {
            // Retries one blocked class at a time until no freed worker has room for another one.
            if unblocked.is_none_or(|id| !self.state.queue.is_ready(id)) {
                scan.rejected_classes.extend(unblocked);
                unblocked = self.unblock_best_fitting(&mut freed, &mut scan, &mut partly_compared_workers);
            }
            let Some(id) = self.state.queue.next(&self.state.shares) else { break };
            tries += 1;
            starts += self.try_class(id);
        }
        let workers_left = !freed.is_empty();
        self.state.fleet.freed.extend(freed);
        if starts > 0 {
            // The room that remains on these workers may fit classes that a bounded comparison skipped.
            self.state.fleet.freed.extend(&partly_compared_workers);
        } else if !partly_compared_workers.is_empty() {
            // Class ids start at 1, so 0 retries all classes.
            self.state.retry_cursor = Some(0);
        }
        workers_left
            || tries >= MAX_CLASSES_TRIED
            || starts >= MAX_TASKS_STARTED
            || starts > 0 && !partly_compared_workers.is_empty()
    }

    /// Takes the list of workers that gained room. If reserved workers did, the gang job that holds them is
    /// retried.
    fn take_freed_workers(&mut self) -> Vec<u32> {
        let mut freed = std::mem::take(&mut self.state.fleet.freed);
        let reserved = std::mem::take(&mut self.state.fleet.reserved_freed);
        let Some(held) = self.gang.held().filter(|_| !reserved.is_empty()) else { return freed };
        if self.now < held.ready_at {
            // Short tasks may be backfilled until the reserved workers are needed.
            freed.extend(reserved);
        }
        if let Some(job) = self.state.jobs.get(&held.job)
            && let Some((id, _)) = self.state.queue.class_of(&job.spec)
        {
            self.state.queue.unblock(id);
        }
        freed
    }

    /// Unblocks the best class that may fit on a freed worker and was not rejected in this pass.
    ///
    /// Workers that fit no class are removed from the list. If a bounded comparison skipped classes for such
    /// a worker, it is added to `partly_compared_workers`.
    fn unblock_best_fitting(
        &mut self,
        freed: &mut Vec<u32>,
        scan: &mut RetryScan,
        partly_compared_workers: &mut Vec<u32>,
    ) -> Option<ClassId> {
        while let Some(slot) = freed.last().copied() {
            let free = self.state.fleet.get(slot).map(WorkerState::free).unwrap_or_default();
            let (class, classes_skipped) = self.state.queue.best_fitting(free, &self.state.shares, scan);
            if let Some(id) = class {
                self.state.queue.unblock(id);
                return Some(id);
            }
            if classes_skipped {
                partly_compared_workers.push(slot);
            }
            freed.pop();
        }
        None
    }

    /// Tries to place the oldest job of a class and returns the number of started tasks; blocks the class if
    /// there are none.
    fn try_class(&mut self, id: ClassId) -> u32 {
        self.state.classes_tried += 1;
        let Some(class) = self.state.queue.get(id) else { return 0 };
        let key = class.key.clone();
        let Some(job) = class.jobs.values().next().cloned() else { return 0 };
        let started = self.try_job(&job, &key, id);
        match started {
            Ok(count) => count,
            Err(reason) => {
                self.state.queue.block(id, reason);
                0
            }
        }
    }

    fn try_job(&mut self, id: &JobId, key: &ClassKey, class: ClassId) -> Result<u32, WaitReason> {
        let Some(job) = self.state.jobs.get(id) else { return Err(WaitReason::FitsNowhere) };
        let waiting = u32::try_from(job.waiting.len()).unwrap_or(u32::MAX);
        let Some(index) = job.waiting.first().copied() else { return Err(WaitReason::FitsNowhere) };
        let tasks_to_start = if key.kind == JobKind::Gang { waiting } else { 1 };
        if !self.state.shares.allows(&key.team, key.need.times(u64::from(tasks_to_start))) {
            return Err(WaitReason::OverLimit);
        }
        let Some(policy) = self.registry.placement(self.bundle, key.kind) else {
            // There is no wait reason for a missing plug-in, so the class waits as if no worker had room.
            return Err(WaitReason::FitsNowhere);
        };
        if key.kind == JobKind::Gang {
            return self.try_gang(id, key, tasks_to_start, &policy);
        }
        self.try_task(id, index, key, class, &policy)
    }

    fn try_task(
        &mut self,
        id: &JobId,
        index: u32,
        key: &ClassKey,
        class: ClassId,
        policy: &PlacementPolicy,
    ) -> Result<u32, WaitReason> {
        let empty = SpreadCount::default();
        let spread = self.state.jobs.get(id).map_or(&empty, |job| &job.spread);
        let choice = self.state.fleet.choose(key.need, policy, spread);
        if choice.search_truncated && choice.slot.is_none() {
            self.state.truncated_classes.push(class);
        }
        let Some(slot) = choice.slot.or_else(|| self.find_backfill_worker(id, key)) else {
            return Err(WaitReason::FitsNowhere);
        };
        self.state.start(id, index, slot, policy.name, choice.rejected, self.now);
        Ok(1)
    }

    /// Returns a reserved worker on which a short batch task ends before the reservation needs it.
    fn find_backfill_worker(&self, id: &JobId, key: &ClassKey) -> Option<u32> {
        let job = self.state.jobs.get(id).filter(|job| job.spec.kind == JobKind::Batch)?;
        let run_time = self.state.run_times.estimate(&key.team, job.spec.run_time?);
        self.gang.backfill(self.state, key.need, run_time, self.now)
    }

    fn is_entitled(&self, id: &JobId) -> bool {
        self.state.jobs.get(id).is_some_and(|job| self.gang.is_entitled(self.state, job, self.now))
    }

    fn try_gang(
        &mut self,
        id: &JobId,
        key: &ClassKey,
        tasks_to_start: u32,
        policy: &PlacementPolicy,
    ) -> Result<u32, WaitReason> {
        if !self.is_entitled(id) && self.gang.defer(id, self.now) {
            // The fair shares may have been computed before the job arrived.
            self.state.update_fair_shares();
        }
        if !self.is_entitled(id) {
            return Err(WaitReason::AboveShare);
        }
        let reserved = self.gang.workers_of(id, self.state);
        let Some(slots) = self.state.fleet.choose_for_gang(key.need, tasks_to_start, &reserved) else {
            let Some(spec) = self.state.jobs.get(id).map(|job| job.spec.clone()) else {
                return Err(WaitReason::FitsNowhere);
            };
            let holds_reservation = self.gang.reserve(self.state, &spec, tasks_to_start, self.now);
            let any_reservation = self.gang.held().is_some();
            return Err(if holds_reservation || !any_reservation {
                WaitReason::FitsNowhere
            } else {
                WaitReason::Reserved
            });
        };
        let indices: Vec<u32> =
            self.state.jobs.get(id).map(|job| job.waiting.iter().copied().collect()).unwrap_or_default();
        self.gang.record_start(id, self.now);
        for (index, slot) in indices.into_iter().zip(slots) {
            self.state.start(id, index, slot, policy.name, Vec::new(), self.now);
        }
        if self.gang.held().is_some_and(|held| held.job == *id) {
            self.gang.release(self.state);
        }
        Ok(tasks_to_start)
    }
}
