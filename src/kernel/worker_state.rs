use crate::kernel::{WorkerHealth, WorkerVm};
use crate::prelude::*;

/// State of a worker as the owner of its shard knows it.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the conditions are independent of each other")]
pub struct WorkerState {
    /// The VM as the VM list last described it.
    pub vm: WorkerVm,
    /// Resources of the tasks whose end is not confirmed: starting, running and stopping ones.
    pub used: ResourceVector,
    /// Whether the worker has accepted a sync of this owner, and with it the fencing token.
    pub synced: bool,
    /// When the worker last accepted a sync; `None` before the first one.
    pub last_sync: Option<Instant>,
    /// Tasks on the worker whose end is not confirmed.
    pub tasks: FastSet<TaskId>,
    /// Number of its zone within the fleet view.
    pub zone: u32,
    /// Number of its rack within the fleet view.
    pub rack: u32,
    /// Whether the last VM list contained the worker.
    pub listed: bool,
    /// Whether the policy bundle allows tasks to start in its zone.
    pub zone_open: bool,
    /// Number of syncs that failed since the last accepted one.
    pub failed_syncs: u32,
    /// When the lease has certainly expired if no further sync is accepted, so that no task runs any more;
    /// `None` if the worker holds no lease.
    pub lease_end: Option<Instant>,
    /// Whether the worker is reserved for waiting tasks.
    pub reserved: bool,
    /// Recent failures of tasks on the worker, and its probation.
    pub health: WorkerHealth,
    /// Sequence number of the last report. Tasks with a lower one are missing from that report.
    pub report_sequence: u64,
}

impl WorkerState {
    /// Returns the state of a listed worker that has not been synced yet.
    #[must_use]
    pub fn new(vm: WorkerVm) -> Self {
        Self {
            vm,
            used: ResourceVector::default(),
            synced: false,
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

    /// Returns the free capacity.
    #[must_use]
    pub fn free(&self) -> ResourceVector {
        self.vm.capacity.minus(self.used)
    }

    /// Returns why no task of any size may start on the worker now; `None` if tasks may start.
    #[must_use]
    pub const fn unavailable_reason(&self) -> Option<&'static str> {
        if !self.listed {
            return Some("not_listed");
        }
        if !self.synced {
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
        // Checked last, because gang reservations rely on `reserved` being the only reason.
        if self.reserved {
            return Some("reserved");
        }
        None
    }

    /// Returns why a task that needs `need` may not start on the worker now; `None` if it may.
    #[must_use]
    pub fn rejection_reason(&self, need: ResourceVector) -> Option<&'static str> {
        self.unavailable_reason().or_else(|| need.lacking(self.free()))
    }
}
