/// The runs that a worker reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunsReport {
    /// Incarnation of the worker: its start in Unix milliseconds.
    pub born: u64,
    /// Task and run number of each running run.
    pub running: Vec<(String, u64)>,
    /// Number, task, run number and cause of each end that is not yet acknowledged.
    pub finished: Vec<(u64, String, u64, &'static str)>,
}
