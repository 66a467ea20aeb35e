use crate::prelude::*;

/// Time constant of the decay in the shards of the product, after which past use has lost 1 - 1/e of its weight.
/// It is long enough to compensate a team for a wait of minutes, and short enough that a burst in the morning
/// has no effect at noon.
const SHARD_TIME_CONSTANT: Duration = Duration::from_secs(600);

/// Speed at which past use loses its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageDecay {
    time_constant_seconds: f64,
}

impl Default for UsageDecay {
    fn default() -> Self {
        Self { time_constant_seconds: SHARD_TIME_CONSTANT.as_secs_f64() }
    }
}

impl UsageDecay {
    /// Returns the decay with which use loses half of its weight in `half_life`, which is at least 1 s.
    #[must_use]
    pub fn with_half_life(half_life: Duration) -> Self {
        let half_life = half_life.max(Duration::from_secs(1));
        Self { time_constant_seconds: half_life.as_secs_f64() / std::f64::consts::LN_2 }
    }

    /// Returns the part of its weight that use keeps for `elapsed`.
    #[must_use]
    pub fn kept_part(&self, elapsed: Duration) -> f64 {
        (-elapsed.as_secs_f64() / self.time_constant_seconds).exp()
    }
}
