use bytes::Bytes;

use crate::kernel::{JobOutcome, RequestRefusal};
use crate::prelude::*;

/// The reply to a [`FrontRequest`](crate::kernel::FrontRequest), independent of any encoding.
#[derive(Clone, Debug, PartialEq)]
pub enum FrontReply {
    /// The job was accepted, and its record is in the log.
    Accepted {
        /// Name of the job.
        job: JobId,
        /// Whether the same job had been accepted by an earlier submission.
        repeated: bool,
    },
    /// The state of a job.
    State {
        /// The job as submitted.
        spec: Box<JobSpec>,
        /// Worker shard that places the job.
        shard: ShardId,
        /// Whether cancellation was requested.
        cancelled: bool,
        /// Outcome of the job; `None` while the job is open.
        outcome: Option<JobOutcome>,
    },
    /// The answer of an endpoint to a service request.
    Answer {
        /// HTTP status that the endpoint sent.
        status: u16,
        /// Complete body that the endpoint sent.
        body: Bytes,
    },
    /// The request was refused; says why, and whether it may have run.
    Refused(RequestRefusal),
}
