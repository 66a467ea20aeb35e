use crate::kernel::cell::{EndedRun, SlowRun, SlowRunAction, StepKey, TaskKey};
use crate::prelude::*;

/// An observation of the scheduler that changes nothing, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellNotice {
    /// A worker reported the end of a run that is not current. The end is acknowledged without a record.
    EndIgnored {
        /// Worker that reported the end.
        worker: WorkerId,
        /// Incarnation of the worker.
        incarnation: WorkerIncarnation,
        /// The reported end.
        end: EndedRun,
        /// Whether this owner knows the job of the run.
        job_known: bool,
        /// Newest run of the task that this owner knows, zero before the first; `None` if it keeps no state of the
        /// task, as the job is unknown or the occurrence is complete.
        last_run: Option<RunNumber>,
    },
    /// A run is stopped, so that its task starts again, as it is far slower than a new run would be.
    SlowRun {
        /// Worker that executes the run.
        worker: WorkerId,
        /// Task that the run belongs to.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Why the run counts as slow.
        slow: SlowRun,
        /// What is done about it.
        action: SlowRunAction,
    },
    /// A team is far above its weighted share of what runs while others wait, or no longer so.
    ShareStandingChanged {
        /// The team.
        team: TeamId,
        /// Whether it is far above its share now.
        above: bool,
        /// Resources of its placed tasks.
        used: ResourceVector,
    },
    /// The lease of a worker that does not answer has expired.
    LeaseExpired {
        /// The worker.
        worker: WorkerId,
        /// Number of its runs that are marked as lost.
        tasks: usize,
    },
    /// A step was ranked behind waiting steps of other teams because of the past use of its team.
    MovedBack {
        /// The step.
        step: StepKey,
        /// Its team.
        team: TeamId,
        /// By how much later it ranks.
        correction: Duration,
        /// Number of the steps that it was ranked behind.
        steps: usize,
    },
}
