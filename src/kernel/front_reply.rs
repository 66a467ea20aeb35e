use bytes::Bytes;

use crate::kernel::{JobOutcome, RequestRefusal};
use crate::prelude::*;

/// The reply to a [`FrontRequest`](crate::kernel::FrontRequest).
#[derive(Clone, Debug, PartialEq)]
pub enum FrontReply {
    /// The job is accepted durably; `repeated` if it was before.
    Accepted {
        /// The job.
        job: JobId,
        /// Whether the same job was accepted before.
        repeated: bool,
    },
    /// The state of a job.
    State {
        /// The job.
        spec: Box<JobSpec>,
        /// Its shard.
        shard: ShardId,
        /// Whether cancelling was asked for.
        cancelled: bool,
        /// The outcome, once there is one.
        outcome: Option<JobOutcome>,
    },
    /// The answer of an endpoint.
    Answer {
        /// Status of the endpoint.
        status: u16,
        /// The whole body.
        body: Bytes,
    },
    /// The request was refused.
    Refused(RequestRefusal),
}
