use serde::{Deserialize, Serialize};

use crate::kernel::{ExecutionStatus, RefusalReason};
use crate::prelude::*;

/// A refusal as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{code}: {message} ({run})")]
pub struct RequestRefusal {
    /// Stable machine-readable code.
    pub code: RefusalReason,
    /// One sentence for a person.
    pub message: String,
    /// Whether the work was run.
    pub run: ExecutionStatus,
    /// How long to wait before trying again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Returns a refusal of work that has not run and will not run.
    #[must_use]
    pub fn not_run(code: RefusalReason, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), run: ExecutionStatus::NotRun, retry_after: None }
    }

    /// Returns a refusal where it is not known whether the work ran.
    #[must_use]
    pub fn may_have_run(code: RefusalReason, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), run: ExecutionStatus::MayHaveRun, retry_after: None }
    }

    /// Returns the refusal with a time to wait before trying again.
    #[must_use]
    pub const fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
