use crate::platform::RunsReport;

/// What a worker did with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOutcome {
    /// The worker carried out the start or stop.
    Accepted,
    /// The worker refused the call, for this reason; the reason `fence` means that the call had no effect.
    Refused(&'static str),
    /// The worker reports its runs.
    Reported(RunsReport),
}
