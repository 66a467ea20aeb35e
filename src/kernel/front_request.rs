use bytes::Bytes;

use crate::prelude::*;

/// A request of a caller, free of any encoding.
#[derive(Clone, Debug)]
pub enum FrontRequest {
    /// Submits a job.
    Submit {
        /// Digest of the key that came with the request.
        key: Option<Sha256Digest>,
        /// The job.
        spec: JobSpec,
    },
    /// Asks for the state of a job; waits up to `wait` for its outcome.
    Inspect {
        /// Digest of the key that came with the request.
        key: Option<Sha256Digest>,
        /// The job.
        job: JobId,
        /// Longest wait for an outcome.
        wait: Duration,
    },
    /// Cancels a job.
    Cancel {
        /// Digest of the key that came with the request.
        key: Option<Sha256Digest>,
        /// The job.
        job: JobId,
    },
    /// Sends a request to a service.
    Call {
        /// Digest of the key that came with the request.
        key: Option<Sha256Digest>,
        /// The team that the request is accounted to.
        team: TeamId,
        /// The service.
        service: ServiceId,
        /// The caller's id, scoped by team.
        request: RequestId,
        /// Whether the request may run more than once.
        idempotent: bool,
        /// Longest time to an answer.
        deadline: Option<Duration>,
        /// The body.
        body: Bytes,
    },
}

impl FrontRequest {
    /// Returns the digest of the key that came with the request.
    #[must_use]
    pub const fn key(&self) -> Option<&Sha256Digest> {
        match self {
            Self::Submit { key, .. }
            | Self::Inspect { key, .. }
            | Self::Cancel { key, .. }
            | Self::Call { key, .. } => key.as_ref(),
        }
    }

    /// Returns the id of the job or request, scoped by team.
    #[must_use]
    pub fn id(&self) -> &str {
        match self {
            Self::Submit { spec, .. } => &spec.id,
            Self::Inspect { job, .. } | Self::Cancel { job, .. } => job,
            Self::Call { request, .. } => request,
        }
    }

    /// Returns the team that the request speaks for.
    #[must_use]
    pub fn team(&self) -> &str {
        match self {
            Self::Submit { spec, .. } => &spec.team,
            Self::Inspect { job, .. } | Self::Cancel { job, .. } => {
                job.split_once('/').map_or("", |(team, _)| team)
            }
            Self::Call { team, .. } => team,
        }
    }
}
