use crate::prelude::*;

/// What a new job would wait for most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
pub enum WaitCause {
    /// Room on the workers of its service.
    #[default]
    #[display("room")]
    Room,
    /// Decisions of the placement advisor.
    #[display("advisor")]
    Advisor,
    /// The limit of its team.
    #[display("team_limit")]
    TeamLimit,
    /// Jobs of its queue and team start more slowly than they arrive, for another reason.
    #[display("start_rate")]
    StartRate,
}

/// How long a new job is expected to wait before its first task starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedWait {
    /// The expected time.
    pub time: Duration,
    /// What the job would wait for most.
    pub cause: WaitCause,
}

impl ExpectedWait {
    /// Returns the longest of the waits in seconds, with its cause. The waits overlap, so that their sum would
    /// be too long. A value that is no time counts as none.
    #[must_use]
    pub fn longest(waits: [(f64, WaitCause); 3]) -> Self {
        let waits = waits.map(|(seconds, cause)| Self {
            time: Duration::try_from_secs_f64(seconds).unwrap_or_default(),
            cause,
        });
        waits
            .into_iter()
            .reduce(|longest, wait| if wait.time > longest.time { wait } else { longest })
            .unwrap_or_default()
    }
}
