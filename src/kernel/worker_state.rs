use crate::kernel::WorkerVm;
use crate::prelude::*;

/// A worker in the view of its shard's owner.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// The worker as listed.
    pub vm: WorkerVm,
    /// What is taken by starting, running and not-confirmed-stopped tasks.
    pub used: ResourceVector,
    /// Whether the worker has accepted the owner's token.
    pub heard: bool,
    /// When the last sync was accepted.
    pub last_sync: Option<Instant>,
    /// Tasks on the worker.
    pub tasks: FastSet<TaskId>,
}

impl WorkerState {
    /// Returns a worker that was not heard yet.
    #[must_use]
    pub fn new(vm: WorkerVm) -> Self {
        Self { vm, used: ResourceVector::default(), heard: false, last_sync: None, tasks: FastSet::default() }
    }

    /// Returns the free amount.
    #[must_use]
    pub fn free(&self) -> ResourceVector {
        self.vm.capacity.minus(self.used)
    }
}
