use crate::kernel::{WorkerHealth, WorkerVm};
use crate::prelude::*;

/// A worker in the view of its shard's owner.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the conditions are independent of each other")]
pub struct WorkerState {
    /// The worker as listed.
    pub vm: WorkerVm,
    /// What is taken by starting, running and not-confirmed-stopped tasks.
    pub used: ResourceVector,
    /// Whether the worker has accepted the owner's token.
    pub token_accepted: bool,
    /// When the last sync was accepted.
    pub last_sync: Option<Instant>,
    /// Tasks on the worker.
    pub tasks: FastSet<TaskId>,
    /// Number of the zone within the fleet view.
    pub zone: u32,
    /// Number of the rack within the fleet view.
    pub rack: u32,
    /// Whether the VM list names the worker.
    pub listed: bool,
    /// Whether the bundle lets tasks start in its zone.
    pub zone_open: bool,
    /// Syncs that failed since the last accepted one.
    pub failed_syncs: u32,
    /// When tasks that the worker had at the last sync have surely ended if no further sync is accepted.
    pub lease_end: Option<Instant>,
    /// Whether the worker is kept for a waiting job.
    pub reserved: bool,
    /// Failures of tasks on the worker.
    pub health: WorkerHealth,
    /// Number of the last report, to find tasks that it lacks.
    pub report_sequence: u64,
}

impl WorkerState {
    /// Returns a worker that was not heard yet.
    #[must_use]
    pub fn new(vm: WorkerVm) -> Self {
        Self {
            vm,
            used: ResourceVector::default(),
            token_accepted: false,
            last_sync: None,
            tasks: FastSet::default(),
            zone: 0,
            rack: 0,
            listed: true,
            zone_open: false,
            failed_syncs: 0,
            lease_end: None,
            reserved: false,
            health: WorkerHealth::default(),
            report_sequence: 0,
        }
    }

    /// Returns the free amount.
    #[must_use]
    pub fn free(&self) -> ResourceVector {
        self.vm.capacity.minus(self.used)
    }

    /// Returns why no task may start on the worker now, whatever its size.
    #[must_use]
    pub const fn unavailable_reason(&self) -> Option<&'static str> {
        if !self.listed {
            return Some("not_listed");
        }
        if !self.token_accepted {
            return Some("not_heard");
        }
        if self.vm.leaving {
            return Some("leaving");
        }
        if !self.zone_open {
            return Some("zone_closed");
        }
        if self.failed_syncs > 0 {
            return Some("silent");
        }
        if self.health.on_probation() {
            return Some("probation");
        }
        if self.reserved {
            return Some("reserved");
        }
        None
    }

    /// Returns why a task of the given size may not start on the worker now.
    #[must_use]
    pub fn rejection_reason(&self, need: ResourceVector) -> Option<&'static str> {
        self.unavailable_reason().or_else(|| need.lacking(self.free()))
    }
}
