use crate::prelude::*;

/// Time over which a team accumulates unused submissions; bursts of some seconds stay within its rate.
const BURST_WINDOW: Duration = Duration::from_secs(30);

/// Token buckets that compare the submissions of each team with its configured rate.
#[derive(Clone, Debug, Default)]
pub struct SubmitRate {
    buckets: FastMap<TeamId, (f64, Duration)>,
}

impl SubmitRate {
    /// Counts a job that was submitted at the Unix time `submitted_at`. Returns whether the team has been
    /// above the rate of `per_second` jobs for a while.
    ///
    /// The result depends only on submission times and not on when the submissions are read, so that a new
    /// owner that replays them comes to the same result.
    pub fn record_submission(&mut self, team: &TeamId, per_second: u32, submitted_at: Duration) -> bool {
        let max_tokens = f64::from(per_second) * BURST_WINDOW.as_secs_f64();
        let (tokens, refilled) = self.buckets.entry(team.clone()).or_insert((max_tokens, submitted_at));
        let elapsed_seconds = submitted_at.saturating_sub(*refilled).as_secs_f64();
        *tokens = (*tokens + elapsed_seconds * f64::from(per_second)).min(max_tokens);
        *refilled = submitted_at.max(*refilled);
        if *tokens < 1.0 {
            return true;
        }
        *tokens -= 1.0;
        false
    }

    /// Whether a job that the team submits at the Unix time `submitted_at` would be above its rate of
    /// `per_second` jobs.
    #[must_use]
    pub fn is_exhausted(&self, team: &str, per_second: u32, submitted_at: Duration) -> bool {
        let Some((tokens, refilled)) = self.buckets.get(team) else { return false };
        let elapsed_seconds = submitted_at.saturating_sub(*refilled).as_secs_f64();
        tokens + elapsed_seconds * f64::from(per_second) < 1.0
    }
}
