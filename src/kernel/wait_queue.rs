use std::collections::{BTreeMap, BTreeSet};

use crate::kernel::{JobKind, JobProgress, PriorityClass, ShareAccounting};
use crate::prelude::*;

/// Maximum number of classes that are retried for freed workers and rejected in one call, and maximum number
/// of classes that one call of [`WaitQueue::unblock_next`] unblocks.
const MAX_RETRIED_CLASSES: usize = 64;
/// Maximum number of classes of one team and priority that are compared with the free capacity of one worker.
const MAX_COMPARED_PER_TEAM: usize = 64;

/// Maximum number of classes that are compared with the free capacity of workers in one call, so that a large
/// number of classes does not make the call slow.
const MAX_COMPARED_PER_CALL: usize = 4_096;

/// Number of a class of waiting tasks, unique within a queue.
pub type ClassId = u64;

/// What the waiting tasks of a class have in common.
///
/// Tasks with the same key fit the same workers, count against the same limits and can be backfilled on the
/// same reserved workers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClassKey {
    /// Team whose allotment and share the tasks count against.
    pub team: TeamId,
    /// Kind of their jobs, which selects the placement policy.
    pub kind: JobKind,
    /// Priority of their jobs.
    pub priority: PriorityClass,
    /// Resources that each task needs.
    pub need: ResourceVector,
    /// Number of tasks that must start together; 1 unless `kind` is [`JobKind::Gang`].
    pub gang_size: u32,
    /// Bit length of the declared run time in seconds, or `u32::MAX` if none is declared. It separates short
    /// tasks, which can be backfilled on reserved workers.
    pub run_time_bits: u32,
}

impl ClassKey {
    /// Returns the key of the class to which the waiting tasks of a job belong.
    #[must_use]
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            team: spec.team.clone(),
            kind: spec.kind,
            priority: spec.priority,
            need: spec.need,
            gang_size: if spec.kind == JobKind::Gang { spec.tasks } else { 1 },
            run_time_bits: spec
                .run_time
                .map_or(u32::MAX, |run_time| run_time.as_secs().checked_ilog2().map_or(0, |log| log + 1)),
        }
    }
}

/// Why a class is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum WaitReason {
    /// No worker has enough free capacity now.
    #[display("fits_nowhere")]
    FitsNowhere,
    /// Its tasks would exceed the allotment of the team.
    #[display("over_limit")]
    OverLimit,
    /// Another gang job holds the reservation of the shard.
    #[display("reserved")]
    Reserved,
    /// Starting the gang job would take its team too far above its fair share.
    #[display("above_share")]
    AboveShare,
}

/// A class of jobs whose waiting tasks have the same key.
#[derive(Clone, Debug)]
pub struct WaitClass {
    /// What the waiting tasks have in common.
    pub key: ClassKey,
    /// Jobs by sequence number, that is in order of submission.
    pub jobs: BTreeMap<u64, JobId>,
    /// Why the class is blocked; `None` if it is ready to be tried.
    pub blocked: Option<WaitReason>,
}

/// Work done in one call to find blocked classes for freed workers; it bounds that work.
#[derive(Clone, Debug, Default)]
pub struct RetryScan {
    /// Classes that were retried and for which no worker has enough free capacity.
    pub rejected_classes: FastSet<ClassId>,
    /// Number of classes that were compared with the free capacity of a worker.
    pub classes_compared: usize,
}

/// Jobs of a shard with waiting tasks, grouped by class.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    classes: FastMap<ClassId, WaitClass>,
    by_key: FastMap<ClassKey, ClassId>,
    /// Ready classes by team, in order of priority and submission.
    ready: FastMap<TeamId, BTreeSet<(PriorityClass, u64, ClassId)>>,
    /// Classes blocked with [`WaitReason::FitsNowhere`], by the cores that one task needs.
    unschedulable: BTreeMap<(PriorityClass, TeamId), BTreeSet<(u64, ClassId)>>,
    /// Classes blocked with [`WaitReason::OverLimit`].
    over_limit: FastMap<TeamId, BTreeSet<ClassId>>,
    /// Classes blocked with [`WaitReason::Reserved`].
    reserved: FastSet<ClassId>,
    /// Number of the class created last.
    last_id: ClassId,
}

impl WaitQueue {
    /// Adds a job with waiting tasks; does nothing if it is queued already.
    pub fn add(&mut self, job: &JobProgress) {
        let key = ClassKey::of(&job.spec);
        let id = *self.by_key.entry(key.clone()).or_insert_with(|| {
            self.last_id += 1;
            self.classes.insert(self.last_id, WaitClass { key, jobs: BTreeMap::new(), blocked: None });
            self.last_id
        });
        self.change_jobs(id, |jobs| {
            jobs.insert(job.sequence, job.spec.id.clone());
        });
    }

    /// Removes a job.
    pub fn remove(&mut self, job: &JobProgress) {
        let Some(id) = self.by_key.get(&ClassKey::of(&job.spec)).copied() else { return };
        self.change_jobs(id, |jobs| {
            jobs.remove(&job.sequence);
        });
    }

    /// Returns the ready class to try next: urgent ones first, then that of the team with the lowest
    /// [`ShareAccounting::score`], then the oldest.
    #[must_use]
    pub fn next(&self, shares: &ShareAccounting) -> Option<ClassId> {
        let heads = self.ready.iter().filter_map(|(team, classes)| Some((team, classes.first()?)));
        let best = heads.min_by(|(team, head), (other_team, other)| {
            let by_score = || shares.score(team).total_cmp(&shares.score(other_team));
            head.0.cmp(&other.0).then_with(by_score).then(head.1.cmp(&other.1))
        });
        best.map(|(_, head)| head.2)
    }

    /// Returns a class by its number.
    #[must_use]
    pub fn get(&self, id: ClassId) -> Option<&WaitClass> {
        self.classes.get(&id)
    }

    /// Returns the class to which the waiting tasks of a job belong.
    #[must_use]
    pub fn class_of(&self, spec: &JobSpec) -> Option<(ClassId, &WaitClass)> {
        let id = *self.by_key.get(&ClassKey::of(spec))?;
        Some((id, self.classes.get(&id)?))
    }

    /// Returns all classes in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (ClassId, &WaitClass)> {
        self.classes.iter().map(|(id, class)| (*id, class))
    }

    /// Returns the classes for which no worker has enough free capacity, urgent ones first.
    pub fn unschedulable(&self) -> impl Iterator<Item = (ClassId, &WaitClass)> {
        let classes = self.unschedulable.values().flatten();
        classes.filter_map(|(_, id)| Some((*id, self.classes.get(id)?)))
    }

    /// Blocks a class until [`Self::unblock`].
    pub fn block(&mut self, id: ClassId, reason: WaitReason) {
        let Some(class) = self.classes.get_mut(&id) else { return };
        if let Some((priority, sequence)) = order_key(class)
            && let Some(ready) = self.ready.get_mut(&class.key.team)
        {
            ready.remove(&(priority, sequence, id));
        }
        class.blocked = Some(reason);
        match reason {
            WaitReason::FitsNowhere => {
                let by_cores =
                    self.unschedulable.entry((class.key.priority, class.key.team.clone())).or_default();
                by_cores.insert((class.key.need.cores_milli, id));
            }
            WaitReason::OverLimit => {
                self.over_limit.entry(class.key.team.clone()).or_default().insert(id);
            }
            // In its rounds, the reclaim planner unblocks the entitled class furthest below its fair share,
            // unless a reservation with preemption is held.
            WaitReason::AboveShare => {}
            WaitReason::Reserved => {
                self.reserved.insert(id);
            }
        }
    }

    /// Makes a blocked class ready again.
    pub fn unblock(&mut self, id: ClassId) {
        let Some(class) = self.classes.get_mut(&id) else { return };
        if class.blocked.take().is_none() {
            return;
        }
        let team_key = (class.key.priority, class.key.team.clone());
        if let Some(by_cores) = self.unschedulable.get_mut(&team_key) {
            by_cores.remove(&(class.key.need.cores_milli, id));
            if by_cores.is_empty() {
                self.unschedulable.remove(&team_key);
            }
        }
        self.reserved.remove(&id);
        if let Some(over_limit) = self.over_limit.get_mut(&class.key.team) {
            over_limit.remove(&id);
        }
        if let Some((priority, sequence)) = order_key(class) {
            self.ready.entry(class.key.team.clone()).or_default().insert((priority, sequence, id));
        }
    }

    /// Whether the class exists and is not blocked.
    #[must_use]
    pub fn is_ready(&self, id: ClassId) -> bool {
        self.classes.get(&id).is_some_and(|class| class.blocked.is_none())
    }

    /// Returns the best class that fits into `free` and was not rejected: urgent ones first, then by the
    /// score of the team, lowest first, then the oldest.
    ///
    /// The flag tells whether classes were skipped to bound the work.
    #[must_use]
    pub fn best_fitting(
        &self,
        free: ResourceVector,
        shares: &ShareAccounting,
        scan: &mut RetryScan,
    ) -> (Option<ClassId>, bool) {
        if scan.rejected_classes.len() >= MAX_RETRIED_CLASSES
            || scan.classes_compared >= MAX_COMPARED_PER_CALL
        {
            return (None, true);
        }
        let mut teams: Vec<_> = self
            .unschedulable
            .iter()
            .map(|((priority, team), by_cores)| (*priority, shares.score(team), by_cores))
            .collect();
        teams.sort_unstable_by(|(priority, score, _), (other_priority, other, _)| {
            priority.cmp(other_priority).then_with(|| score.total_cmp(other))
        });
        let mut truncated = false;
        for (_, _, by_cores) in teams {
            let range = by_cores.range(..=(free.cores_milli, ClassId::MAX)).rev();
            let not_rejected = range.filter(|(_, id)| !scan.rejected_classes.contains(id));
            let compared: Vec<&WaitClass> =
                not_rejected.take(MAX_COMPARED_PER_TEAM).filter_map(|(_, id)| self.classes.get(id)).collect();
            scan.classes_compared += compared.len();
            truncated |= compared.len() >= MAX_COMPARED_PER_TEAM;
            let fitting = compared.into_iter().filter(|class| class.key.need.fits(free));
            let oldest = fitting.min_by_key(|class| order_key(class));
            if let Some(id) = oldest.and_then(|class| self.by_key.get(&class.key)) {
                return (Some(*id), truncated);
            }
        }
        (None, truncated)
    }

    /// Unblocks the next batch of classes after `from` for which no worker had enough free capacity. Returns
    /// where the next call continues, or `None` at the end.
    pub fn unblock_next(&mut self, from: ClassId) -> Option<ClassId> {
        let mut ids: Vec<ClassId> = self.unschedulable().map(|(id, _)| id).filter(|id| *id > from).collect();
        ids.sort_unstable();
        ids.truncate(MAX_RETRIED_CLASSES);
        for id in &ids {
            self.unblock(*id);
        }
        ids.last().copied()
    }

    /// Unblocks the classes of a team that are blocked with [`WaitReason::OverLimit`].
    pub fn unblock_team(&mut self, team: &TeamId) {
        for id in self.over_limit.remove(team).unwrap_or_default() {
            self.unblock(id);
        }
    }

    /// Unblocks the classes that wait for another gang job to give up its reservation.
    pub fn unblock_reserved(&mut self) {
        for id in std::mem::take(&mut self.reserved) {
            self.unblock(id);
        }
    }

    /// Unblocks all classes.
    pub fn unblock_all(&mut self) {
        for id in self.classes.keys().copied().collect::<Vec<_>>() {
            self.unblock(id);
        }
    }

    fn change_jobs(&mut self, id: ClassId, change: impl FnOnce(&mut BTreeMap<u64, JobId>)) {
        let Some(class) = self.classes.get_mut(&id) else { return };
        let before = order_key(class);
        change(&mut class.jobs);
        let after = order_key(class);
        if before != after && class.blocked.is_none() {
            let ready = self.ready.entry(class.key.team.clone()).or_default();
            if let Some((priority, sequence)) = before {
                ready.remove(&(priority, sequence, id));
            }
            if let Some((priority, sequence)) = after {
                ready.insert((priority, sequence, id));
            }
            if ready.is_empty() {
                self.ready.remove(&class.key.team);
            }
        }
        if after.is_none() {
            self.unblock(id);
            if let Some(class) = self.classes.remove(&id) {
                self.by_key.remove(&class.key);
            }
        }
    }
}

/// Returns the priority and the sequence number of the oldest job of a class, by which classes of a team are
/// ordered.
fn order_key(class: &WaitClass) -> Option<(PriorityClass, u64)> {
    class.jobs.first_key_value().map(|(sequence, _)| (class.key.priority, *sequence))
}
