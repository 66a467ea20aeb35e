//! Simulated workers of a replay.

use super::*;

/// What happens to the syncs of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncLink {
    /// They take effect and are answered at once.
    Prompt,
    /// They take effect at once and are answered after this many steps.
    Delayed(u32),
    /// They neither take effect nor are answered.
    RequestLost,
    /// They take effect, but the answers are lost.
    AnswerLost,
}

/// A running attempt of a task.
pub(super) struct ReplayTask {
    pub(super) team: TeamId,
    pub(super) need: ResourceVector,
    pub(super) key: (JobId, u32),
    /// Progress at `since`.
    pub(super) done: Duration,
    /// When the progress was last computed, at the start or a change of the throttle.
    pub(super) since: Instant,
    /// Actual run time; `None` for services.
    pub(super) true_run_time: Option<Duration>,
    /// Percentage of processor time that the throttle leaves.
    pub(super) percent: u32,
    pub(super) checkpointed: bool,
}

impl ReplayTask {
    /// Returns the progress at `now`, in run time without a throttle.
    pub(super) fn progress(&self, now: Instant) -> Duration {
        self.done + now.duration_since(self.since) * self.percent / 100
    }
}

/// A sync that has not been answered.
pub(super) struct PendingSync {
    /// When the answer arrives or the sync times out.
    pub(super) due: Instant,
    /// Report in the answer; `None` if no answer arrives.
    pub(super) report: Option<WorkerReport>,
    /// Attempts whose starts and stops the sync carries.
    pub(super) carried: Vec<TaskId>,
}

/// A simulated worker.
#[expect(clippy::struct_excessive_bools, reason = "they are independent")]
pub struct ReplayWorker {
    /// The worker as the VM list shows it.
    pub vm: WorkerVm,
    /// Whether it is on the VM list.
    pub listed: bool,
    /// What happens to its syncs.
    pub link: SyncLink,
    /// Whether every task that it starts fails.
    pub fails_tasks: bool,
    pub(super) alive: bool,
    /// Whether the current owner syncs with it.
    pub(super) owned: bool,
    /// Whether it has answered the current owner.
    pub(super) synced: bool,
    pub(super) running: BTreeMap<TaskId, ReplayTask>,
    pub(super) ended: BTreeMap<TaskId, TaskEnd>,
    /// Attempts that it was told to start since it last failed; it starts each only once.
    pub(super) seen_starts: FastSet<TaskId>,
    pub(super) lease_end: Option<Instant>,
    pub(super) used: ResourceVector,
    /// Needs of the attempts assigned to it: starting, running and not yet stopped ones.
    pub(super) assigned: ResourceVector,
    /// Commands that no answered sync has carried, and whether a sync has carried them.
    pub(super) commands: Vec<(WorkerCommand, bool)>,
    /// Attempts whose starts were withdrawn; the decider has not been told yet.
    pub(super) withdrawn: Vec<TaskId>,
    /// End of the lease that the first failed sync since the last answer may have granted.
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
        fails_tasks: false,
        alive: true,
        owned: false,
        synced: false,
        running: BTreeMap::new(),
        ended: BTreeMap::new(),
        seen_starts: FastSet::default(),
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
