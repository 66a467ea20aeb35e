use crate::platform::WorkerAction;

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRequest {
    /// Fencing token of the caller.
    pub token: u64,
    /// New end of the lease on the worker's clock, in milliseconds; `None` does not renew it.
    pub until_ms: Option<u64>,
    /// What the call asks for.
    pub action: WorkerAction,
}
