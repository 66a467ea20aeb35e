use crate::prelude::*;

/// Time over which a team may use up what it did not submit before.
const BURST: Duration = Duration::from_secs(2);

/// How much each team submits, against the jobs per second that it is owed.
#[derive(Clone, Debug, Default)]
pub struct SubmitRate {
    buckets: FastMap<TeamId, (f64, Instant)>,
}

impl SubmitRate {
    /// Counts a job and returns whether the team has submitted more than `per_second` for a while.
    pub fn exceeds(&mut self, team: &TeamId, per_second: u32, now: Instant) -> bool {
        let most = f64::from(per_second) * BURST.as_secs_f64();
        let (tokens, refilled) = self.buckets.entry(team.clone()).or_insert((most, now));
        let since = now.saturating_duration_since(*refilled).as_secs_f64();
        *tokens = (*tokens + since * f64::from(per_second)).min(most);
        *refilled = now;
        if *tokens < 1.0 {
            return true;
        }
        *tokens -= 1.0;
        false
    }
}
