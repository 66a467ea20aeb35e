/// Bounds the extra requests that retries cause, as a share of the requests that arrive.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent_left: u32,
}

impl RetryBudget {
    /// Extra attempts for each hundred first attempts.
    pub const PERCENT: u32 = 10;
    /// Most retries that an idle service saves up; covers the loss of one endpoint with 8 slots.
    pub const BURST: u32 = 10;

    /// Returns a budget with one burst.
    #[must_use]
    pub const fn new() -> Self {
        Self { percent_left: Self::BURST * 100 }
    }

    /// Adds the share that one first attempt earns.
    pub fn earn(&mut self) {
        self.percent_left = (self.percent_left + Self::PERCENT).min(Self::BURST * 100);
    }

    /// Spends one retry; `false` if the budget is used up.
    pub fn spend(&mut self) -> bool {
        let left = self.percent_left.checked_sub(100);
        self.percent_left = left.unwrap_or(self.percent_left);
        left.is_some()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
