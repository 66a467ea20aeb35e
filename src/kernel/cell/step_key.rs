use serde::{Deserialize, Serialize};

use crate::kernel::cell::TaskKey;
use crate::prelude::*;

/// Identifies one step of one occurrence of a job.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Number of the occurrence, 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step in the job's specification.
    pub step: u32,
}

impl StepKey {
    /// Parses `job.occurrence.step`; returns `None` if the text has another form.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (rest, step) = text.rsplit_once('.')?;
        let (job, occurrence) = rest.rsplit_once('.')?;
        Some(Self { job: job.into(), occurrence: occurrence.parse().ok()?, step: step.parse().ok()? })
    }

    /// Returns the key of the task with this index in the step.
    #[must_use]
    pub fn task(&self, index: u32) -> TaskKey {
        TaskKey { step: self.clone(), index }
    }
}
