use crate::kernel::{
    ClassId, ClassKey, GangReservation, JobKind, PlacementPolicy, PluginRegistry, RetryScan, ShardState,
    SpreadCount, WaitReason, WorkerState,
};
use crate::prelude::*;

/// Classes that are tried in one call; at tens of microseconds each, a call stays far below 10 ms.
const TRIES: u32 = 256;
/// Tasks that are started in one call, apart from the last gang job.
const STARTS: u32 = 256;

/// One bounded round of placing waiting tasks.
pub struct PlacementPass<'a> {
    /// The state.
    pub state: &'a mut ShardState,
    /// Workers kept for a gang job.
    pub gang: &'a mut GangReservation,
    /// The plug-ins.
    pub registry: &'a PluginRegistry,
    /// The bundle in force.
    pub bundle: &'a PolicyBundle,
    /// The time.
    pub now: Instant,
}

impl PlacementPass<'_> {
    /// Places tasks and returns whether classes were left to be tried.
    pub fn run(&mut self) -> bool {
        let mut offers = self.take_offers();
        let (mut offered, mut scan, mut cut) = (None, RetryScan::default(), Vec::new());
        let (mut tries, mut starts) = (0, 0);
        while tries < TRIES && starts < STARTS {
            // One set-aside class at a time joins those to be tried, until the freed workers are used up.
            if offered.is_none_or(|id| !self.state.queue.is_ready(id)) {
                scan.rejected_classes.extend(offered);
                offered = self.offer(&mut offers, &mut scan, &mut cut);
            }
            let Some(id) = self.state.queue.next(&self.state.shares) else { break };
            tries += 1;
            starts += self.try_class(id);
        }
        let left = !offers.is_empty();
        self.state.fleet.freed.extend(offers);
        if starts > 0 {
            // What the started tasks left may have room for classes that were left out.
            self.state.fleet.freed.extend(&cut);
        } else if !cut.is_empty() {
            self.state.retry_cursor = Some(0);
        }
        left || tries >= TRIES || starts >= STARTS || starts > 0 && !cut.is_empty()
    }

    /// Returns the workers that gained room, and lets the gang job be tried again whose workers did.
    fn take_offers(&mut self) -> Vec<u32> {
        let mut offers = std::mem::take(&mut self.state.fleet.freed);
        let kept = std::mem::take(&mut self.state.fleet.reserved_freed);
        let Some(held) = self.gang.held().filter(|_| !kept.is_empty()) else { return offers };
        if self.now < held.ready_at {
            // Short work may fit into the gap.
            offers.extend(kept);
        }
        if let Some(job) = self.state.jobs.get(&held.job)
            && let Some((id, _)) = self.state.queue.class_of(&job.spec)
        {
            self.state.queue.unblock(id);
        }
        offers
    }

    /// Lets the first class be tried again that may fit on a freed worker and was not refused.
    ///
    /// Workers for which no class is left are taken out; those for which some were left out go to `cut`.
    fn offer(&mut self, offers: &mut Vec<u32>, scan: &mut RetryScan, cut: &mut Vec<u32>) -> Option<ClassId> {
        while let Some(slot) = offers.last().copied() {
            let free = self.state.fleet.get(slot).map(WorkerState::free).unwrap_or_default();
            let (class, more) = self.state.queue.best_fitting(free, &self.state.shares, scan);
            if let Some(id) = class {
                self.state.queue.unblock(id);
                return Some(id);
            }
            if more {
                cut.push(slot);
            }
            offers.pop();
        }
        None
    }

    /// Tries the oldest job of a class and returns how many tasks started; sets the class aside if none did.
    fn try_class(&mut self, id: ClassId) -> u32 {
        self.state.tried += 1;
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
        let gang_size = if key.kind == JobKind::Gang { waiting } else { 1 };
        if !self.state.shares.allows(&key.team, key.need.times(u64::from(gang_size))) {
            return Err(WaitReason::OverLimit);
        }
        let Some(policy) = self.registry.placement(self.bundle, key.kind) else {
            return Err(WaitReason::FitsNowhere);
        };
        if key.kind == JobKind::Gang {
            return self.try_gang(id, key, gang_size, &policy);
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
        let Some(slot) = choice.slot.or_else(|| self.find_gap(id, key)) else {
            return Err(WaitReason::FitsNowhere);
        };
        self.state.start(id, index, slot, policy.name, choice.rejected, self.now);
        Ok(1)
    }

    /// Returns a reserved worker for short work.
    fn find_gap(&self, id: &JobId, key: &ClassKey) -> Option<u32> {
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
        gang_size: u32,
        policy: &PlacementPolicy,
    ) -> Result<u32, WaitReason> {
        if !self.is_entitled(id) && self.gang.defer(id, self.now) {
            // The last division may be older than the job.
            self.state.divide_shares();
        }
        if !self.is_entitled(id) {
            return Err(WaitReason::AboveShare);
        }
        let kept = self.gang.workers_of(id, self.state);
        let Some(slots) = self.state.fleet.choose_all(key.need, gang_size, &kept) else {
            let Some(spec) = self.state.jobs.get(id).map(|job| job.spec.clone()) else {
                return Err(WaitReason::FitsNowhere);
            };
            let holds = self.gang.reserve(self.state, &spec, gang_size, self.now);
            let other = self.gang.held().is_some();
            return Err(if holds || !other { WaitReason::FitsNowhere } else { WaitReason::Reserved });
        };
        let indices: Vec<u32> =
            self.state.jobs.get(id).map(|job| job.waiting.iter().copied().collect()).unwrap_or_default();
        self.gang.note_start(id, self.now);
        for (index, slot) in indices.into_iter().zip(slots) {
            self.state.start(id, index, slot, policy.name, Vec::new(), self.now);
        }
        if self.gang.held().is_some_and(|held| held.job == *id) {
            self.gang.release(self.state);
        }
        Ok(gang_size)
    }
}
