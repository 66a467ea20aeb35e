//! Workers of a replay as they really are.

use super::*;

/// What happens to the syncs of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncLink {
    /// They are answered at once.
    Prompt,
    /// They take effect at once and are answered after this many steps.
    Late(u32),
    /// They neither take effect nor are answered.
    Cut,
    /// They take effect but are not answered.
    Mute,
}

/// A running attempt of a task.
pub(super) struct ReplayTask {
    pub(super) team: TeamId,
    pub(super) need: ResourceVector,
    pub(super) key: (JobId, u32),
    /// Progress at `since`.
    pub(super) done: Duration,
    pub(super) since: Instant,
    /// `None` for services.
    pub(super) length: Option<Duration>,
    pub(super) percent: u32,
    pub(super) checkpointed: bool,
}

impl ReplayTask {
    pub(super) fn progress(&self, now: Instant) -> Duration {
        self.done + now.duration_since(self.since) * self.percent / 100
    }
}

pub(super) struct PendingSync {
    pub(super) due: Instant,
    pub(super) report: Option<WorkerReport>,
    /// Tasks whose starts and stops it carries.
    pub(super) carried: Vec<TaskId>,
}

/// A worker as it really is.
#[expect(clippy::struct_excessive_bools, reason = "they are independent")]
pub struct ReplayWorker {
    /// The worker as listed.
    pub vm: WorkerVm,
    /// Whether the VM list shows it.
    pub listed: bool,
    /// What happens to its syncs.
    pub link: SyncLink,
    /// Whether it fails everything that it starts.
    pub fails: bool,
    pub(super) alive: bool,
    /// Whether the owner syncs with it.
    pub(super) owned: bool,
    /// Whether the present owner got an answer of it.
    pub(super) heard: bool,
    pub(super) running: BTreeMap<TaskId, ReplayTask>,
    pub(super) ended: BTreeMap<TaskId, TaskEnd>,
    pub(super) known: FastSet<TaskId>,
    pub(super) lease_end: Option<Instant>,
    pub(super) used: ResourceVector,
    /// What is assigned: starting, running and not stopped.
    pub(super) assigned: ResourceVector,
    /// Commands that no answered sync carried, and whether a sync carried them.
    pub(super) commands: Vec<(WorkerCommand, bool)>,
    pub(super) withdrawn: Vec<TaskId>,
    /// End of the lease that the first of the failed syncs may have granted.
    pub(super) granted_until: Option<Instant>,
    pub(super) in_flight: Option<PendingSync>,
    pub(super) next_sync: Instant,
    pub(super) last_answer: Option<WorkerReport>,
}

/// Returns a listed worker on which nothing runs.
pub(super) fn new_worker(vm: WorkerVm, now: Instant) -> ReplayWorker {
    ReplayWorker {
        vm,
        listed: true,
        link: SyncLink::Prompt,
        fails: false,
        alive: true,
        owned: false,
        heard: false,
        running: BTreeMap::new(),
        ended: BTreeMap::new(),
        known: FastSet::default(),
        lease_end: None,
        used: ResourceVector::default(),
        assigned: ResourceVector::default(),
        commands: Vec::new(),
        withdrawn: Vec::new(),
        granted_until: None,
        in_flight: None,
        next_sync: now,
        last_answer: None,
    }
}
