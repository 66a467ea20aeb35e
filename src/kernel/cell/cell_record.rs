use serde::{Deserialize, Serialize};

use crate::kernel::cell::{EndCause, JobSnapshot, JobStatus, TaskKey};
use crate::prelude::*;

/// A decision of the owner, recorded before it takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CellRecord {
    /// A task is started on a worker.
    #[serde(rename = "s")]
    Started(TaskKey, RunNumber, WorkerId),
    /// A run ended; its worker forgets the end once this is recorded.
    #[serde(rename = "e")]
    Ended(TaskKey, RunNumber, EndCause, Option<CheckpointId>),
    /// A run has surely ended without a report of its worker.
    #[serde(rename = "l")]
    Lost(TaskKey, RunNumber),
    /// A job reached a final state.
    #[serde(rename = "j")]
    Closed(JobId, JobStatus),
    /// All that is known of a job, before the store drops the earlier records of it.
    #[serde(rename = "k")]
    Snapshot(Box<JobSnapshot>),
}
