use tonic::Status;

use crate::kernel::cell::JobStatus;
use crate::proto::cell::JobState;
use crate::tasks::cell::owner::JobAnswer;

pub(super) fn encode_job_state(answer: JobAnswer) -> Result<JobState, Status> {
    match answer {
        JobAnswer::Known(JobStatus::Queued) => Ok(JobState::Queued),
        JobAnswer::Known(JobStatus::Running) => Ok(JobState::Running),
        JobAnswer::Known(JobStatus::Completed) => Ok(JobState::Completed),
        JobAnswer::Known(JobStatus::Failed) => Ok(JobState::Failed),
        JobAnswer::Known(JobStatus::Cancelled) => Ok(JobState::Cancelled),
        JobAnswer::Missing => Ok(JobState::Missing),
        JobAnswer::SubmissionsStale => Err(Status::unavailable("owner is recovering")),
    }
}

pub(super) const fn decode_job_state(state: JobState) -> JobAnswer {
    match state {
        JobState::Queued => JobAnswer::Known(JobStatus::Queued),
        JobState::Running => JobAnswer::Known(JobStatus::Running),
        JobState::Completed => JobAnswer::Known(JobStatus::Completed),
        JobState::Failed => JobAnswer::Known(JobStatus::Failed),
        JobState::Cancelled => JobAnswer::Known(JobStatus::Cancelled),
        JobState::Missing => JobAnswer::Missing,
        JobState::Unspecified => JobAnswer::SubmissionsStale,
    }
}
