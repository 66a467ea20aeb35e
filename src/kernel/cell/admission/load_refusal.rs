use crate::prelude::*;

/// Why a job is refused, and when its caller may try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("expected wait {wait:?}, usable wait {usable_wait:?}, estimate {estimate_age:?} old")]
pub struct LoadRefusal {
    /// Expected wait before the first task of the job would start.
    pub wait: Duration,
    /// Longest wait after which the result is still of use to the caller.
    pub usable_wait: Duration,
    /// Time since the process received the estimate.
    pub estimate_age: Duration,
    /// Time after which the caller may try again.
    pub retry_after: Duration,
}
