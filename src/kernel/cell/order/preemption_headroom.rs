use crate::prelude::*;

/// Time in which the headroom that a preemption adds falls to half.
const HEADROOM_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Divisor of a team's limit that gives the largest headroom, so that batch work goes on under steady urgent
/// load.
const MAX_HEADROOM_DIVISOR: u64 = 10;

/// The part of its limit that each team keeps free for tasks of queues of priority 0, gangs and long-running
/// tasks.
///
/// A batch task that starts right before further urgent tasks of its team arrive would soon be preempted. So
/// after a preemption in favour of a more urgent task of the same team, the team keeps the resources of the
/// preempted task free. This headroom decays over time and is at most a small part of the limit.
#[derive(Clone, Debug, Default)]
pub struct PreemptionHeadroom {
    teams: FastMap<TeamId, (ResourceVector, Instant)>,
}

impl PreemptionHeadroom {
    /// Adds headroom for a preempted task that uses `need`.
    pub fn record_preemption(&mut self, team: &TeamId, need: ResourceVector, now: Instant) {
        let headroom = self.decayed_amount(team, now).plus(need);
        self.teams.insert(team.clone(), (headroom, now));
    }

    /// Returns the present headroom of a team, which is at most a small part of its limit.
    #[must_use]
    pub fn amount(&self, team: &str, limit: ResourceVector, now: Instant) -> ResourceVector {
        let max_headroom = limit.zip(ResourceVector::default(), |limit, _| limit / MAX_HEADROOM_DIVISOR);
        self.decayed_amount(team, now).min(max_headroom)
    }

    fn decayed_amount(&self, team: &str, now: Instant) -> ResourceVector {
        let Some((amount, at)) = self.teams.get(team) else { return ResourceVector::default() };
        let half_lives = now.saturating_duration_since(*at).as_secs_f64() / HEADROOM_HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        amount.zip(ResourceVector::default(), |amount, _| scale(amount, factor))
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "amounts stay far below 2^52"
)]
fn scale(amount: u64, factor: f64) -> u64 {
    (amount as f64 * factor) as u64
}
