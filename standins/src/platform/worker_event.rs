/// Start or end of a run, the acknowledgement of an end, the expiry of the lease or a restart, as the worker
/// observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A run started: worker, task and run number.
    Started(String, String, u64),
    /// A run ended: worker, task, run number and whether it completed its work.
    Ended(String, String, u64, bool),
    /// An owner has recorded the end of a run: worker, task and run number.
    Acknowledged(String, String, u64),
    /// The lease of a worker expired.
    Lapsed(String),
    /// A worker restarted, after its runs ended.
    Restarted(String),
}
