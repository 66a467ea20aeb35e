use crate::kernel::{RequestRefusal, RouteRequest};
use crate::prelude::*;

/// Stage of a request in its life in the router.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestStage {
    /// Open: its intent was sent to the log and has not been applied yet.
    IntentPending,
    /// Ended: refused as not run before its intent was applied; the intent may still be recorded.
    RefusedIntentPending,
    /// Ended: refused as not run, with its intent recorded. It was never started, so a
    /// repeated arrival may run.
    RefusedIntentRecorded,
    /// Open: waits for an endpoint with a free slot.
    Queued,
    /// Open: waits until this time before it may be sent again.
    Delayed(Instant),
    /// Open: an attempt was sent to an endpoint and has not ended.
    InFlight,
    /// Ended: its answer is retained for repeated arrivals.
    Answered,
    /// Ended: refused after an attempt that may have run, so it must not run again.
    MayHaveRun(RequestRefusal),
}

/// A request that is open or retained in a service router.
#[derive(Clone, Debug)]
pub struct RequestState {
    /// The request, with the latest deadline of its callers.
    pub request: RouteRequest,
    /// Current stage.
    pub stage: RequestStage,
    /// Order of admission within the router; tells this admission of the id from earlier ones.
    pub sequence: u64,
    /// Number of attempts that ended without an answer.
    pub failures: u32,
    /// Whether a caller still waits for the result.
    pub has_callers: bool,
    /// Whether an attempt may have run on its endpoint.
    pub may_have_run: bool,
}

impl RequestState {
    /// Returns the state of a request that has just arrived.
    #[must_use]
    pub const fn new(request: RouteRequest, stage: RequestStage, sequence: u64) -> Self {
        Self { request, stage, sequence, failures: 0, has_callers: true, may_have_run: false }
    }

    /// Whether the request has not ended; open requests count against the bound of their team.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(
            self.stage,
            RequestStage::IntentPending
                | RequestStage::Queued
                | RequestStage::Delayed(_)
                | RequestStage::InFlight
        )
    }

    /// Describes the current stage for operators.
    #[must_use]
    pub fn explain(&self) -> String {
        match &self.stage {
            RequestStage::IntentPending => "waits for its intent record".into(),
            RequestStage::RefusedIntentPending => "refused before its intent was recorded".into(),
            RequestStage::RefusedIntentRecorded => "refused before it was started".into(),
            RequestStage::Queued => "waits for a free slot".into(),
            RequestStage::Delayed(_) => format!("waits to be sent again after {} failures", self.failures),
            RequestStage::InFlight => "runs on an endpoint".into(),
            RequestStage::Answered => "answered".into(),
            RequestStage::MayHaveRun(refusal) => format!("refused: {refusal}"),
        }
    }
}
