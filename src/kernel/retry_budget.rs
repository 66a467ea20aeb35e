/// Token bucket that bounds the extra load of retries to a share of the first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Balance in hundredths of a retry.
    balance_percent: u32,
}

impl RetryBudget {
    /// Retries for each hundred first attempts.
    pub const PERCENT: u32 = 10;
    /// Capacity of the bucket in retries; covers the loss of one endpoint with 8 slots.
    pub const BURST: u32 = 10;

    /// Returns a full budget.
    #[must_use]
    pub const fn new() -> Self {
        Self { balance_percent: Self::BURST * 100 }
    }

    /// Adds the share of a retry that one first attempt allows.
    pub fn deposit(&mut self) {
        self.balance_percent = (self.balance_percent + Self::PERCENT).min(Self::BURST * 100);
    }

    /// Takes one retry out of the budget; returns `false` if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        let left = self.balance_percent.checked_sub(100);
        self.balance_percent = left.unwrap_or(self.balance_percent);
        left.is_some()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
