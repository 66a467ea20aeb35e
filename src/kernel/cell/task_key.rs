use serde::{Deserialize, Serialize};

use crate::kernel::cell::StepKey;

/// Names one task of a job.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// Index in the step.
    pub index: u32,
}

impl TaskKey {
    /// Reads `job.occurrence.step.index`; `None` if the text has another form.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (step, index) = text.rsplit_once('.')?;
        Some(Self { step: StepKey::parse(step)?, index: index.parse().ok()? })
    }
}
