use serde::{Deserialize, Serialize};

use crate::kernel::cell::StepKey;

/// Identifies one task of a job.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// Step that the task belongs to.
    pub step: StepKey,
    /// Index of the task in its step.
    pub index: u32,
}

impl TaskKey {
    /// Parses `job.occurrence.step.index`; returns `None` if the text has another form.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (step, index) = text.rsplit_once('.')?;
        Some(Self { step: StepKey::parse(step)?, index: index.parse().ok()? })
    }
}
