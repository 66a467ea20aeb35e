use std::collections::{BTreeMap, BTreeSet};

use crate::kernel::{JobKind, JobProgress, PriorityClass, ShareAccounting};
use crate::prelude::*;

/// Set-aside classes that are tried in vain in one call for workers that gained room.
const OFFERS: usize = 64;
/// Classes of one team and priority that are compared with the room of one worker.
const COMPARED_PER_WORKER: usize = 64;

/// Classes that are compared with the room of workers in one call, so that many classes do not make it long.
const COMPARED_PER_CALL: usize = 4_096;

/// Number of a class of waiting tasks.
pub type ClassId = u64;

/// Tasks with the same key fit on the same workers, under the same limits and into the same gaps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClassKey {
    /// The team.
    pub team: TeamId,
    /// The kind of job.
    pub kind: JobKind,
    /// The priority.
    pub priority: PriorityClass,
    /// What each task needs.
    pub need: ResourceVector,
    /// Tasks that must start together; 1 if the kind is not `gang`.
    pub gang_size: u32,
    /// Binary digits of the declared run time in seconds, as short work may use the gaps of a reservation.
    pub run_time_log2: u32,
}

impl ClassKey {
    /// Returns the class of the waiting tasks of a job.
    #[must_use]
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            team: spec.team.clone(),
            kind: spec.kind,
            priority: spec.priority,
            need: spec.need,
            gang_size: if spec.kind == JobKind::Gang { spec.tasks } else { 1 },
            run_time_log2: spec
                .run_time
                .map_or(u32::MAX, |run_time| run_time.as_secs().checked_ilog2().map_or(0, |log| log + 1)),
        }
    }
}

/// Why no task of a class can be placed until something changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum WaitReason {
    /// No worker has room.
    #[display("fits_nowhere")]
    FitsNowhere,
    /// The allotment of the team is used up.
    #[display("over_limit")]
    OverLimit,
    /// Another gang job holds the reservation.
    #[display("reserved")]
    Reserved,
    /// A gang job that would bring its team far above its fair part.
    #[display("above_share")]
    AboveShare,
}

/// Jobs whose waiting tasks are alike, in the order of submission.
#[derive(Clone, Debug)]
pub struct WaitClass {
    /// What they have in common.
    pub key: ClassKey,
    /// Jobs by order of submission.
    pub jobs: BTreeMap<u64, JobId>,
    /// Why the class waits; `None` if it is to be tried.
    pub blocked: Option<WaitReason>,
}

/// What was done for freed workers in one call, to bound it.
#[derive(Clone, Debug, Default)]
pub struct RetryScan {
    /// Classes that were tried and fit nowhere.
    pub rejected_classes: FastSet<ClassId>,
    /// Classes that were compared with the room of a worker.
    pub classes_compared: usize,
}

/// Waiting jobs of a shard, by team and class.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    classes: FastMap<ClassId, WaitClass>,
    by_key: FastMap<ClassKey, ClassId>,
    /// Classes to be tried, by team, in order.
    ready: FastMap<TeamId, BTreeSet<(PriorityClass, u64, ClassId)>>,
    /// Classes that no worker has room for, by cores of one task.
    unschedulable: BTreeMap<(PriorityClass, TeamId), BTreeSet<(u64, ClassId)>>,
    /// Classes over the allotment of their team.
    limited: FastMap<TeamId, BTreeSet<ClassId>>,
    /// Classes that wait for the reservation of another job.
    reserved: FastSet<ClassId>,
    next: ClassId,
}

impl WaitQueue {
    /// Adds a job with waiting tasks; one that is there already stays.
    pub fn add(&mut self, job: &JobProgress) {
        let key = ClassKey::of(&job.spec);
        let id = *self.by_key.entry(key.clone()).or_insert_with(|| {
            self.next += 1;
            self.classes.insert(self.next, WaitClass { key, jobs: BTreeMap::new(), blocked: None });
            self.next
        });
        self.change_jobs(id, |jobs| {
            jobs.insert(job.sequence, job.spec.id.clone());
        });
    }

    /// Takes a job out.
    pub fn remove(&mut self, job: &JobProgress) {
        let Some(id) = self.by_key.get(&ClassKey::of(&job.spec)).copied() else { return };
        self.change_jobs(id, |jobs| {
            jobs.remove(&job.sequence);
        });
    }

    /// Returns the class to try next: urgent ones first, then the team with the lowest share, then the oldest.
    #[must_use]
    pub fn next(&self, shares: &ShareAccounting) -> Option<ClassId> {
        let heads = self.ready.iter().filter_map(|(team, classes)| Some((team, classes.first()?)));
        let best = heads.min_by(|(team, head), (other_team, other)| {
            let by_share = || shares.score(team).total_cmp(&shares.score(other_team));
            head.0.cmp(&other.0).then_with(by_share).then(head.1.cmp(&other.1))
        });
        best.map(|(_, head)| head.2)
    }

    /// Returns a class.
    #[must_use]
    pub fn get(&self, id: ClassId) -> Option<&WaitClass> {
        self.classes.get(&id)
    }

    /// Returns the class of a job.
    #[must_use]
    pub fn class_of(&self, spec: &JobSpec) -> Option<(ClassId, &WaitClass)> {
        let id = *self.by_key.get(&ClassKey::of(spec))?;
        Some((id, self.classes.get(&id)?))
    }

    /// Returns all classes.
    pub fn iter(&self) -> impl Iterator<Item = (ClassId, &WaitClass)> {
        self.classes.iter().map(|(id, class)| (*id, class))
    }

    /// Returns the classes that no worker has room for, urgent ones first.
    pub fn unschedulable(&self) -> impl Iterator<Item = (ClassId, &WaitClass)> {
        let classes = self.unschedulable.values().flatten();
        classes.filter_map(|(_, id)| Some((*id, self.classes.get(id)?)))
    }

    /// Sets a class aside until [`Self::unblock`].
    pub fn block(&mut self, id: ClassId, reason: WaitReason) {
        let Some(class) = self.classes.get_mut(&id) else { return };
        if let Some((priority, sequence)) = head(class)
            && let Some(ready) = self.ready.get_mut(&class.key.team)
        {
            ready.remove(&(priority, sequence, id));
        }
        class.blocked = Some(reason);
        match reason {
            WaitReason::FitsNowhere => {
                let same =
                    self.unschedulable.entry((class.key.priority, class.key.team.clone())).or_default();
                same.insert((class.key.need.cores_milli, id));
            }
            WaitReason::OverLimit => {
                self.limited.entry(class.key.team.clone()).or_default().insert(id);
            }
            // The planner looks at these classes in each round.
            WaitReason::AboveShare => {}
            WaitReason::Reserved => {
                self.reserved.insert(id);
            }
        }
    }

    /// Lets a class be tried again.
    pub fn unblock(&mut self, id: ClassId) {
        let Some(class) = self.classes.get_mut(&id) else { return };
        if class.blocked.take().is_none() {
            return;
        }
        let owner = (class.key.priority, class.key.team.clone());
        if let Some(same) = self.unschedulable.get_mut(&owner) {
            same.remove(&(class.key.need.cores_milli, id));
            if same.is_empty() {
                self.unschedulable.remove(&owner);
            }
        }
        self.reserved.remove(&id);
        if let Some(limited) = self.limited.get_mut(&class.key.team) {
            limited.remove(&id);
        }
        if let Some((priority, sequence)) = head(class) {
            self.ready.entry(class.key.team.clone()).or_default().insert((priority, sequence, id));
        }
    }

    /// Whether a class is to be tried.
    #[must_use]
    pub fn is_ready(&self, id: ClassId) -> bool {
        self.classes.get(&id).is_some_and(|class| class.blocked.is_none())
    }

    /// Returns the first class that may take `free` and was not refused: urgent ones first, then by share, then the
    /// oldest, and whether classes were left out to bound the work.
    #[must_use]
    pub fn best_fitting(
        &self,
        free: ResourceVector,
        shares: &ShareAccounting,
        scan: &mut RetryScan,
    ) -> (Option<ClassId>, bool) {
        if scan.rejected_classes.len() >= OFFERS || scan.classes_compared >= COMPARED_PER_CALL {
            return (None, true);
        }
        let mut owners: Vec<_> = self
            .unschedulable
            .iter()
            .map(|((priority, team), same)| (*priority, shares.score(team), same))
            .collect();
        owners.sort_unstable_by(|(priority, score, _), (other_priority, other, _)| {
            priority.cmp(other_priority).then_with(|| score.total_cmp(other))
        });
        let mut cut = false;
        for (_, _, same) in owners {
            let range = same.range(..=(free.cores_milli, ClassId::MAX)).rev();
            let open = range.filter(|(_, id)| !scan.rejected_classes.contains(id));
            let compared: Vec<&WaitClass> =
                open.take(COMPARED_PER_WORKER).filter_map(|(_, id)| self.classes.get(id)).collect();
            scan.classes_compared += compared.len();
            cut |= compared.len() >= COMPARED_PER_WORKER;
            let fitting = compared.into_iter().filter(|class| class.key.need.fits(free));
            let oldest = fitting.min_by_key(|class| head(class));
            if let Some(id) = oldest.and_then(|class| self.by_key.get(&class.key)) {
                return (Some(*id), cut);
            }
        }
        (None, cut)
    }

    /// Lets the next classes after `from` be tried again; returns where to go on, `None` at the end.
    pub fn unblock_next(&mut self, from: ClassId) -> Option<ClassId> {
        let mut ids: Vec<ClassId> = self.unschedulable().map(|(id, _)| id).filter(|id| *id > from).collect();
        ids.sort_unstable();
        ids.truncate(OFFERS);
        for id in &ids {
            self.unblock(*id);
        }
        ids.last().copied()
    }

    /// Lets the classes of a team be tried again that were over its allotment.
    pub fn unblock_team(&mut self, team: &TeamId) {
        for id in self.limited.remove(team).unwrap_or_default() {
            self.unblock(id);
        }
    }

    /// Lets the classes be tried again that waited for the reservation of another job.
    pub fn unblock_reserved(&mut self) {
        for id in std::mem::take(&mut self.reserved) {
            self.unblock(id);
        }
    }

    /// Lets all classes be tried again.
    pub fn unblock_all(&mut self) {
        for id in self.classes.keys().copied().collect::<Vec<_>>() {
            self.unblock(id);
        }
    }

    fn change_jobs(&mut self, id: ClassId, change: impl FnOnce(&mut BTreeMap<u64, JobId>)) {
        let Some(class) = self.classes.get_mut(&id) else { return };
        let before = head(class);
        change(&mut class.jobs);
        let after = head(class);
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

fn head(class: &WaitClass) -> Option<(PriorityClass, u64)> {
    class.jobs.first_key_value().map(|(sequence, _)| (class.key.priority, *sequence))
}
