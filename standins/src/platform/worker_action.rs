use std::time::Duration;

/// What a call asks of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAction {
    /// Starts a run of a task, which lasts for this time.
    Start(String, u64, Duration),
    /// Stops a run of a task, and refuses it and lower ones from then on.
    Stop(String, u64),
    /// Forgets the ends up to this number, and reports the runs.
    Report(u64),
}
