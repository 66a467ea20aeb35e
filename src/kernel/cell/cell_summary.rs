use crate::kernel::cell::{CellState, PlacementPhase, StepWait};
use crate::prelude::*;

/// Load of the workers of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolSummary {
    /// Listed workers.
    pub listed: usize,
    /// Workers on which tasks may start.
    pub open: usize,
    /// What they hold.
    pub capacity: ResourceVector,
    /// What their tasks take.
    pub used: ResourceVector,
}

/// Load of a cell at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellSummary {
    /// Jobs that are not in a final state.
    pub open_jobs: usize,
    /// Open jobs of teams that had submitted more than they are owed.
    pub excess_jobs: usize,
    /// Steps with tasks that wait to be placed.
    pub ready_steps: usize,
    /// Those of them whose question to the advisor is open.
    pub asking_steps: usize,
    /// Ready steps that wait for the limit of their team, a permit and room.
    pub waits: (usize, usize, usize),
    /// Tasks that wait to be placed.
    pub waiting_tasks: usize,
    /// Placed tasks.
    pub placed_tasks: usize,
    /// Placed tasks that no worker has confirmed.
    pub unconfirmed_tasks: usize,
    /// Load by service.
    pub pools: Vec<(ServiceId, PoolSummary)>,
}

impl CellSummary {
    /// Summarises a cell.
    #[must_use]
    pub fn of(state: &CellState, now: Instant) -> Self {
        let steps = state.ready.iter().filter_map(|(_, key)| state.step(key));
        let steps: Vec<_> = steps.map(|(_, _, step)| step).collect();
        let unconfirmed = |phase: PlacementPhase| !matches!(phase, PlacementPhase::Running(_));
        let count = |wait: StepWait| steps.iter().filter(|step| step.wait == Some(wait)).count();
        let mut pools: Vec<(ServiceId, PoolSummary)> = state
            .pools
            .iter()
            .map(|(service, slots)| (service.clone(), Self::pool(state, slots, now)))
            .collect();
        pools.sort_by(|(left, _), (right, _)| left.cmp(right));
        Self {
            open_jobs: state.jobs.values().filter(|job| !job.status.is_final()).count(),
            excess_jobs: state.jobs.values().filter(|job| job.excess && !job.status.is_final()).count(),
            ready_steps: steps.len(),
            asking_steps: steps.iter().filter(|step| step.permits.is_asking()).count(),
            waits: (count(StepWait::TeamLimit), count(StepWait::Permit), count(StepWait::Room)),
            waiting_tasks: steps.iter().map(|step| step.waiting.len()).sum(),
            placed_tasks: state.placements.len(),
            unconfirmed_tasks: state.placements.values().filter(|known| unconfirmed(known.phase)).count(),
            pools,
        }
    }

    fn pool(state: &CellState, slots: &[u32], now: Instant) -> PoolSummary {
        let workers = slots.iter().filter_map(|slot| state.worker(*slot));
        workers.fold(PoolSummary::default(), |sum, worker| PoolSummary {
            listed: sum.listed + 1,
            open: sum.open + usize::from(worker.is_schedulable(now)),
            capacity: sum.capacity.plus(worker.listing.capacity),
            used: sum.used.plus(worker.used),
        })
    }
}
