use bytes::Bytes;

use crate::prelude::*;

/// A request of a caller to an entry process, independent of any encoding.
#[derive(Clone, Debug)]
pub enum FrontRequest {
    /// Submits a job.
    Submit {
        /// Digest of the key that came with the request.
        key: Option<Sha256Digest>,
        /// The job to run.
        spec: JobSpec,
    },
    /// Queries the state of a job, waiting up to `wait` for its outcome.
    Inspect {
        /// Digest of the key that came with the request.
        key: Option<Sha256Digest>,
        /// Name of the job.
        job: JobId,
        /// Maximum time to wait for an outcome before the current state is returned.
        wait: Duration,
    },
    /// Requests the cancellation of a job.
    Cancel {
        /// Digest of the key that came with the request.
        key: Option<Sha256Digest>,
        /// Name of the job.
        job: JobId,
    },
    /// Sends a request to a service.
    Call {
        /// Digest of the key that came with the request.
        key: Option<Sha256Digest>,
        /// Team that the request is accounted to.
        team: TeamId,
        /// Service to call.
        service: ServiceId,
        /// Request id chosen by the caller, scoped by team.
        request: RequestId,
        /// Whether the request may safely run more than once.
        idempotent: bool,
        /// Maximum time to an answer; `None` if the caller gave none.
        deadline: Option<Duration>,
        /// Request body, passed to the endpoint unchanged.
        body: Bytes,
    },
}

impl FrontRequest {
    /// Returns the digest of the key that came with the request, `None` if there was no key.
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

    /// Returns the team that the request acts for; empty if a job name has no team.
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
