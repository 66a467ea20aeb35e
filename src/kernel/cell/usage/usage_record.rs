use serde::{Deserialize, Serialize};

use crate::kernel::{DecayedShare, ShareAccounting};
use crate::prelude::*;

/// Largest number of teams in a record; those with the most use are kept.
const MAX_TEAMS: usize = 1_000;
/// Parts into which a dominant share of 1 is divided.
const PARTS: f64 = 1e9;

/// Past use of all teams at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Unix time of the record in milliseconds.
    #[serde(rename = "t")]
    pub unix_ms: u64,
    /// Decayed average of the dominant share of each team, in billionths.
    #[serde(rename = "u")]
    pub teams: Vec<(TeamId, u32)>,
}

impl UsageRecord {
    /// Returns the record of the present account. Teams with hardly any use are left out.
    #[must_use]
    pub fn of(shares: &ShareAccounting, unix_time: Duration) -> Self {
        let uses = shares.past_uses().map(|(team, past_use)| (team.clone(), to_parts(past_use)));
        let mut teams: Vec<(TeamId, u32)> = uses.filter(|(_, parts)| *parts > 0).collect();
        teams.sort_unstable_by(|left, right| right.1.cmp(&left.1).then_with(|| left.0.cmp(&right.0)));
        teams.truncate(MAX_TEAMS);
        Self { unix_ms: u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX), teams }
    }

    /// Replaces the account by the recorded one, decayed for the time since. A clock that is behind that of the
    /// record adds nothing, and one that is ahead takes no more than the decay of `max_age`.
    pub fn restore(&self, shares: &mut ShareAccounting, unix_time: Duration, max_age: Duration) {
        let age = unix_time.saturating_sub(Duration::from_millis(self.unix_ms)).min(max_age);
        let kept = shares.decay().kept_part(age);
        let teams = self.teams.iter().take(MAX_TEAMS);
        shares.restore_past_uses(
            teams.map(|(team, parts)| (team.clone(), DecayedShare::new(f64::from(*parts) / PARTS * kept))),
        );
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an average is from 0 to 4, and a larger value saturates"
)]
fn to_parts(past_use: DecayedShare) -> u32 {
    (past_use.get() * PARTS) as u32
}
