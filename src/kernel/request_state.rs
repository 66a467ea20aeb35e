use crate::kernel::{RequestRefusal, RouteRequest};
use crate::prelude::*;

/// How far a request has come.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestStage {
    /// Its intent is being recorded.
    IntentPending,
    /// Refused as not run while its intent was being recorded.
    RefusedIntentPending,
    /// Refused as not run after its intent was folded; it was never started, so it may still run.
    RefusedIntentRecorded,
    /// Waits for a slot.
    Queued,
    /// Waits for the time at which it may be sent again.
    Delayed(Instant),
    /// Was sent to an endpoint.
    InFlight,
    /// Its answer is kept.
    Answered,
    /// May have run, and must not run again.
    MayHaveRun(RequestRefusal),
}

/// A request that a service router remembers.
#[derive(Clone, Debug)]
pub struct RequestState {
    /// The request.
    pub request: RouteRequest,
    /// How far it has come.
    pub stage: RequestStage,
    /// Order of arrival.
    pub sequence: u64,
    /// Attempts that ended without an answer.
    pub failures: u32,
    /// Whether a caller waits for it.
    pub has_callers: bool,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
}

impl RequestState {
    /// Returns the state of a request that has just arrived.
    #[must_use]
    pub const fn new(request: RouteRequest, stage: RequestStage, sequence: u64) -> Self {
        Self { request, stage, sequence, failures: 0, has_callers: true, may_have_run: false }
    }

    /// Whether it counts against the bound of its team.
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

    /// Explains the present stage to an operator.
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
