use crate::kernel::cell::CommandOutcome;
use crate::prelude::*;

/// Why a run counts as ended without a report of its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LossCause {
    /// A complete report of its worker lacks the run.
    #[display("absent_from_report")]
    AbsentFromReport,
    /// The lease of its worker has expired.
    #[display("lease_expired")]
    LeaseExpired,
    /// The start command was refused or not sent.
    #[display("start_{_0}")]
    StartFailed(CommandOutcome),
    /// Another incarnation of its worker has answered a command.
    #[display("worker_replaced")]
    WorkerReplaced,
}

/// How the owner learned of the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum EndSource {
    /// The worker reported the end of the current run of the task.
    #[display("reported")]
    Reported,
    /// The worker reported the end of a run that had been marked as lost.
    #[display("late_report")]
    LateReport,
    /// The worker reported the end of a run beside the current run of the task.
    #[display("copy")]
    Copy,
    /// The run counts as ended without a report of its end.
    #[display("{_0}")]
    Lost(LossCause),
}

/// Circumstances of the end of a run, for logs; its record does not contain them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Worker that reported the end; for a lost run, the worker that it was placed on.
    pub worker: WorkerId,
    /// How the owner learned of the end.
    pub source: EndSource,
}
