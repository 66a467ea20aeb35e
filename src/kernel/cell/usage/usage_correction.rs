use crate::prelude::*;

/// Interval between two comparisons of the teams.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two log lines about a changed order.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Largest correction, as a divisor of the latency objective of a job.
const MAX_CORRECTION_DIVISOR: u32 = 4;
/// Multiple of its correction that a step must have left until its latest start. With less, it ranks by its own
/// latest start, so that it keeps the time to start before it.
const MIN_SLACK_CORRECTIONS: u32 = 2;

/// By how much the order of starts is corrected for past use, by team, and how often that changed it.
#[derive(Clone, Debug, Default)]
pub struct UsageCorrection {
    /// Part of the largest correction, from 0 to 1; teams without a correction are left out.
    teams: FastMap<TeamId, f64>,
    /// Steps that a correction has put behind waiting steps of other teams.
    moved_back: FastMap<TeamId, u64>,
    refreshed_at: Option<Instant>,
    noticed_at: Option<Instant>,
}

impl UsageCorrection {
    /// Whether the teams have to be compared again.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        self.refreshed_at.is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_INTERVAL)
    }

    /// Sets the corrections, as
    /// [`TeamStanding::corrections`](crate::kernel::cell::TeamStanding::corrections) gives them.
    pub fn set(&mut self, teams: FastMap<TeamId, f64>, now: Instant) {
        (self.teams, self.refreshed_at) = (teams, Some(now));
    }

    /// Counts a step that its correction has put behind steps of other teams; returns whether that is logged.
    pub fn count_moved_back(&mut self, team: &TeamId, now: Instant) -> bool {
        *self.moved_back.entry(team.clone()).or_default() += 1;
        let due = self.noticed_at.is_none_or(|at| now.saturating_duration_since(at) >= NOTICE_INTERVAL);
        if due {
            self.noticed_at = Some(now);
        }
        due
    }

    /// Returns how many steps of a team were put behind steps of other teams in this term.
    #[must_use]
    pub fn moved_back(&self, team: &str) -> u64 {
        self.moved_back.get(team).copied().unwrap_or_default()
    }

    /// Returns the correction of a team as a part of the latency objective.
    #[must_use]
    pub fn objective_part(&self, team: &str) -> f64 {
        self.teams.get(team).copied().unwrap_or_default() / f64::from(MAX_CORRECTION_DIVISOR)
    }

    /// Returns by how much later than its latest start a step ranks that has `slack` left until then; `objective`
    /// is the latency objective of its job.
    #[must_use]
    pub fn of(&self, team: &str, objective: Duration, slack: Duration) -> Duration {
        let part = self.objective_part(team);
        let correction = Duration::try_from_secs_f64(objective.as_secs_f64() * part).unwrap_or_default();
        if slack >= correction * MIN_SLACK_CORRECTIONS { correction } else { Duration::ZERO }
    }
}
