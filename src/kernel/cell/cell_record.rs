use serde::{Deserialize, Serialize};

use crate::kernel::cell::{EndCause, JobSnapshot, JobStatus, TaskKey, UsageRecord, WorkerFence};
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
    /// A run has certainly ended, or will certainly never start, without a report of its worker: the worker
    /// refused the start, for example, or its lease has expired.
    #[serde(rename = "l")]
    Lost(TaskKey, RunNumber),
    /// How long each of these workers, which do not answer, may hold a lease from now on. `None` once a worker
    /// answers again; its lease is renewed only after that is stored.
    #[serde(rename = "b")]
    LeaseBounds(Vec<(WorkerId, Option<Duration>)>),
    /// How long each of these workers, of which no incarnation has answered the owner, may hold a lease that a call for a
    /// former incarnation has granted to the listed one. Releases that do not know it pass it over.
    #[serde(rename = "g")]
    FormerBounds(Vec<(WorkerId, WorkerIncarnation, Duration)>),
    /// A job reached a final state.
    #[serde(rename = "j")]
    Closed(JobId, JobStatus),
    /// State of a job that a new owner needs, stored before the store drops the earlier records of the job.
    /// Backoffs, permits and averages of run times are not part of it.
    #[serde(rename = "k")]
    Snapshot(Box<JobSnapshot>),
    /// Past use of all teams. Releases that do not know it pass it over.
    #[serde(rename = "u")]
    Usage(UsageRecord),
    /// Workers that refuse calls for their former incarnations. Releases that do not know it, or that record the age of
    /// the incarnation in place of its clock, pass it over.
    #[serde(rename = "f")]
    Fences(Vec<(WorkerId, WorkerFence)>),
}
