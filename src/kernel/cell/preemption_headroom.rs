use crate::prelude::*;

/// Time in which the headroom that a yield asks for falls to half.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Divides the limit of a team into the largest part that is kept free, so that batch work goes on under steady load.
const LARGEST_PART: u64 = 10;

/// Parts of the limits of teams that are kept for urgent tasks.
///
/// Tasks that start where urgent ones are about to follow only yield to them again, so a team whose tasks yielded a
/// short time ago keeps as much free for a while.
#[derive(Clone, Debug, Default)]
pub struct PreemptionHeadroom {
    teams: FastMap<TeamId, (ResourceVector, Instant)>,
}

impl PreemptionHeadroom {
    /// Notes that a task that uses `need` yields.
    pub fn note(&mut self, team: &TeamId, need: ResourceVector, now: Instant) {
        let kept = self.asked(team, now).plus(need);
        self.teams.insert(team.clone(), (kept, now));
    }

    /// Returns how much of its limit a team keeps free for urgent tasks, at most a small part of it.
    #[must_use]
    pub fn kept(&self, team: &str, limit: ResourceVector, now: Instant) -> ResourceVector {
        let most = limit.zip(ResourceVector::default(), |limit, _| limit / LARGEST_PART);
        self.asked(team, now).min(most)
    }

    fn asked(&self, team: &str, now: Instant) -> ResourceVector {
        let Some((amount, at)) = self.teams.get(team) else { return ResourceVector::default() };
        let halves = now.saturating_duration_since(*at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let part = 0.5_f64.powf(halves);
        amount.zip(ResourceVector::default(), |amount, _| scale(amount, part))
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "amounts stay far below 2^52"
)]
fn scale(amount: u64, part: f64) -> u64 {
    (amount as f64 * part) as u64
}
