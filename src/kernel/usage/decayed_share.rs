use crate::kernel::usage::UsageDecay;
use crate::prelude::*;

/// Largest average that is kept. A dominant share may be above 1 while a fleet shrinks.
const MAX_SHARE: f64 = 4.0;

/// Exponentially decaying average of the dominant share of a team.
///
/// Times the time constant of the decay, it is the decayed use of the team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayedShare(f64);

impl DecayedShare {
    /// Returns an average that was stored. One that is not a number, or out of range, is bounded.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self(if share.is_nan() { 0.0 } else { share.clamp(0.0, MAX_SHARE) })
    }

    /// Returns the average, from 0 on.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Advances the average by a time in which the team used the dominant share `used`, and of which `kept` is
    /// [`UsageDecay::kept_part`].
    pub fn advance(&mut self, used: f64, kept: f64) {
        *self = Self::new(self.0 * kept + used * (1.0 - kept));
    }

    /// Takes back the use of a run that has used the dominant share `used` for `run_time` until now.
    pub fn refund(&mut self, used: f64, run_time: Duration, decay: UsageDecay) {
        *self = Self::new(self.0 - used * (1.0 - decay.kept_part(run_time)));
    }
}
