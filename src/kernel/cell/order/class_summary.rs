use crate::kernel::cell::StepClass;

/// Number of ready steps by class, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassSummary {
    /// Long-running steps with a task that has to be back.
    pub restart: usize,
    /// Steps of jobs that are of use to their callers.
    pub useful: usize,
    /// Steps of jobs above the rate of their team.
    pub excess: usize,
    /// Steps of jobs that are too late to be of use.
    pub expired: usize,
}

impl ClassSummary {
    /// Returns the counts of the classes.
    #[must_use]
    pub fn of(classes: impl Iterator<Item = StepClass>) -> Self {
        classes.fold(Self::default(), |mut counts, class| {
            let count = match class {
                StepClass::Restart => &mut counts.restart,
                StepClass::Useful => &mut counts.useful,
                StepClass::Excess => &mut counts.excess,
                StepClass::Expired => &mut counts.expired,
            };
            *count += 1;
            counts
        })
    }

    /// Returns the counts with the names under which they are exported.
    #[must_use]
    pub const fn by_name(&self) -> [(&'static str, usize); 4] {
        [
            ("restart", self.restart),
            ("useful", self.useful),
            ("excess", self.excess),
            ("expired", self.expired),
        ]
    }
}
