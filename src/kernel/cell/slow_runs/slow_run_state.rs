use crate::kernel::cell::{DiscardBudget, RunTimeProfile, StopCost};
use crate::prelude::*;

/// What an owner has learned about run times, and what it has thrown away to restart slow runs.
#[derive(Clone, Debug, Default)]
pub struct SlowRunState {
    /// Ratios of the run time of tasks to their estimate, by queue.
    pub estimate_profiles: FastMap<QueueId, RunTimeProfile>,
    /// Ratios of the run time of tasks to the median of their step, by queue.
    pub sibling_profiles: FastMap<QueueId, RunTimeProfile>,
    /// Work thrown away, by service.
    pub budgets: FastMap<ServiceId, DiscardBudget>,
    /// Cost of a restart.
    pub stop_cost: StopCost,
}
