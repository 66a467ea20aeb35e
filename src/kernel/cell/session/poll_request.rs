use crate::prelude::*;

/// A request to a worker to report its runs; it also renews the lease of the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Fencing token of the owner.
    pub token: FencingToken,
    /// Number of the last ended run that is recorded, so that the worker need not report it again.
    pub acknowledged: TaskEndNumber,
    /// New expiry of the lease on the worker's clock; `None` leaves it unchanged.
    pub lease: Option<WorkerTime>,
    /// How long the worker may hold the poll open while no run ends.
    pub wait: Duration,
}
