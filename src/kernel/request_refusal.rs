use serde::{Deserialize, Serialize};

use crate::kernel::{ExecutionStatus, RefusalReason};
use crate::prelude::*;

/// A refusal as it is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{code}: {message} ({run})")]
pub struct RequestRefusal {
    /// Stable machine-readable code.
    pub code: RefusalReason,
    /// Reason in one sentence, for people.
    pub message: String,
    /// Whether the work may have run, so whether a repeat is safe.
    pub run: ExecutionStatus,
    /// Time that the caller should wait before it tries again; `None` if no time is suggested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// Returns a refusal of work that has not run and will not run, without a retry time.
    #[must_use]
    pub fn not_run(code: RefusalReason, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), run: ExecutionStatus::NotRun, retry_after: None }
    }

    /// Returns a refusal of work that may have run, without a retry time.
    #[must_use]
    pub fn may_have_run(code: RefusalReason, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), run: ExecutionStatus::MayHaveRun, retry_after: None }
    }

    /// Returns the refusal with the time that the caller should wait before it tries again.
    #[must_use]
    pub const fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
