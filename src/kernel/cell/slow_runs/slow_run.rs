use crate::kernel::cell::ExpectationSource;
use crate::prelude::*;

/// What shows that a run is slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum SlowRunEvidence {
    /// The progress that its worker reports.
    #[display("progress")]
    Progress,
    /// Its run time so far, as the reported progress cannot be relied on or has stopped.
    #[display("elapsed")]
    Elapsed,
    /// A long-running task is not ready, or a gang makes no progress.
    #[display("stalled")]
    Stalled,
}

/// What is done about a slow run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum SlowRunAction {
    /// The run is stopped, and the task starts again once it has ended.
    #[display("restart")]
    Restart,
    /// The run is stopped, and the task starts again without waiting for its end.
    #[display("replace")]
    Replace,
    /// A second run of the task starts, and the first one that is done counts.
    #[display("copy")]
    Copy,
}

/// Why a run counts as slow, for the decision and for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowRun {
    /// What shows that the run is slow.
    pub evidence: SlowRunEvidence,
    /// Time since the run was confirmed.
    pub elapsed: Duration,
    /// Newest reported progress.
    pub percent: u32,
    /// Expected remaining time of the run.
    pub left: Duration,
    /// Expected time until a new run would end, with the time for the restart.
    pub rerun: Duration,
    /// Expected run time of a task of the step.
    pub expected: Duration,
    /// What the expected run time is based on; `None` for stalled runs.
    pub source: Option<ExpectationSource>,
    /// Whether the job misses its objective if the run goes on.
    pub misses_objective: bool,
}
