use serde::{Deserialize, Serialize};

use crate::kernel::cell::{EndCause, JobSnapshot, JobStatus, TaskKey};
use crate::prelude::*;

/// A decision of the owner, stored in the log of the cell before it takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CellRecord {
    /// A run of a task is started on a worker.
    #[serde(rename = "s")]
    Started(TaskKey, RunNumber, WorkerId),
    /// A run has ended. Its worker drops the end from its reports once this record is stored.
    #[serde(rename = "e")]
    Ended(TaskKey, RunNumber, EndCause, Option<CheckpointId>),
    /// A run has certainly ended, without a report of its worker.
    #[serde(rename = "l")]
    Lost(TaskKey, RunNumber),
    /// A job reached a final state.
    #[serde(rename = "j")]
    Closed(JobId, JobStatus),
    /// Full state of a job, stored before the store drops the earlier records of the job.
    #[serde(rename = "k")]
    Snapshot(Box<JobSnapshot>),
}
