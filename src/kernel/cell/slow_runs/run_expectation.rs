use crate::prelude::*;

/// What an expectation of a run time is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ExpectationSource {
    /// Run times of other tasks of the step, which are ended runs and forecasts.
    #[display("siblings")]
    Siblings,
    /// The estimate of the step and the run times of earlier tasks of its queue.
    #[display("queue")]
    Queue,
}

/// How long a new run of a task is expected to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunExpectation {
    /// Expected run time from start to end.
    pub run_time: Duration,
    /// Run time up to which a run is not slow.
    pub tolerated: Duration,
    /// What the expectation is based on.
    pub source: ExpectationSource,
}
