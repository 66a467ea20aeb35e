/// Token bucket that bounds the extra load of retries to a share of the first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Balance in hundredths of a retry.
    balance_hundredths: u32,
}

impl RetryBudget {
    /// Number of retries that a hundred first attempts allow.
    pub const RETRIES_PER_100_REQUESTS: u32 = 10;
    /// Capacity of the bucket in retries; covers the loss of one endpoint with 8 slots.
    pub const BURST: u32 = 10;

    /// Returns a full budget.
    #[must_use]
    pub const fn new() -> Self {
        Self { balance_hundredths: Self::BURST * 100 }
    }

    /// Adds the share of a retry that one first attempt allows.
    pub fn deposit(&mut self) {
        self.balance_hundredths =
            (self.balance_hundredths + Self::RETRIES_PER_100_REQUESTS).min(Self::BURST * 100);
    }

    /// Takes one retry out of the budget; returns `false` if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        let left = self.balance_hundredths.checked_sub(100);
        self.balance_hundredths = left.unwrap_or(self.balance_hundredths);
        left.is_some()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
