use crate::prelude::*;

/// Time over which a team may use up what it did not submit before; bursts of some seconds are owed service.
const BURST: Duration = Duration::from_secs(30);

/// How much each team submits, against the jobs per second that it is owed.
#[derive(Clone, Debug, Default)]
pub struct SubmitRate {
    buckets: FastMap<TeamId, (f64, Duration)>,
}

impl SubmitRate {
    /// Counts a job that was submitted at a time since 1970, and returns whether the team has submitted more than
    /// `per_second` for a while.
    ///
    /// It goes by the time of the submission, so that a new owner comes to the same result.
    pub fn record_submission(&mut self, team: &TeamId, per_second: u32, at: Duration) -> bool {
        let most = f64::from(per_second) * BURST.as_secs_f64();
        let (tokens, refilled) = self.buckets.entry(team.clone()).or_insert((most, at));
        let since = at.saturating_sub(*refilled).as_secs_f64();
        *tokens = (*tokens + since * f64::from(per_second)).min(most);
        *refilled = at.max(*refilled);
        if *tokens < 1.0 {
            return true;
        }
        *tokens -= 1.0;
        false
    }
}
