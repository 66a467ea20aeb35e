use crate::platform::WorkerOutcome;

/// The answer of a worker to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerAnswer {
    /// Milliseconds on the worker's clock.
    pub clock_ms: u64,
    /// What the worker did.
    pub outcome: WorkerOutcome,
}
