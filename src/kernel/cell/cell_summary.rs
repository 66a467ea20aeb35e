use crate::kernel::cell::{
    CellState, ClassSummary, IdleAccelerators, PermitSkipCounts, PlacementPhase, QueuePermitStats,
    StepRanking, StepWait,
};
use crate::prelude::*;

/// Load of the workers of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolSummary {
    /// Number of listed workers.
    pub listed: usize,
    /// Number of workers on which tasks may start.
    pub schedulable: usize,
    /// Total capacity of the listed workers.
    pub capacity: ResourceVector,
    /// Capacity that placed tasks occupy.
    pub used: ResourceVector,
}

/// Number of ready steps by the reason why their tasks wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitSummary {
    /// Steps that wait for the limit of their team.
    pub team_limit: usize,
    /// Steps that no worker can run.
    pub worker: usize,
    /// Steps that wait for a permit.
    pub permit: usize,
    /// Steps that wait for room.
    pub room: usize,
}

/// Load of a cell at one moment, for logs and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellSummary {
    /// Number of jobs that are not in a final state.
    pub open_jobs: usize,
    /// Number of open jobs that were submitted above the rate of their team.
    pub excess_jobs: usize,
    /// Number of steps with complete dependencies and tasks that wait to be placed.
    pub ready_steps: usize,
    /// Number of ready steps with an open permit request to the advisor.
    pub requesting_steps: usize,
    /// Number of ready steps by the reason why they send no permit request.
    pub permit_skips: PermitSkipCounts,
    /// Number of processes that send permit requests.
    pub advisor_proxies: usize,
    /// Decision time of the open permit requests.
    pub open_decision_time: Duration,
    /// Free accelerators for want of permits.
    pub idle_accelerators: IdleAccelerators,
    /// Permit requests and answers of each queue, sorted by its name.
    pub queues: Vec<(QueueId, QueuePermitStats)>,
    /// Number of ready steps by wait reason.
    pub waits: WaitSummary,
    /// Number of ready steps by class.
    pub classes: ClassSummary,
    /// Number of ready steps whose job has no estimate from which its lateness can be told.
    pub unestimated_steps: usize,
    /// Number of tasks in ready steps that wait to be placed.
    pub waiting_tasks: usize,
    /// Number of placed tasks.
    pub placed_tasks: usize,
    /// Number of placed tasks that their worker has not confirmed as running.
    pub unconfirmed_tasks: usize,
    /// Load by service, sorted by the name of the service.
    pub pools: Vec<(ServiceId, PoolSummary)>,
}

impl CellSummary {
    /// Returns the load of a cell at `now`.
    #[must_use]
    pub fn of(state: &CellState, now: Instant) -> Self {
        let ranking = StepRanking { state };
        let steps = state.ready.all().filter_map(|(_, key)| state.step(key));
        let unestimated = steps.clone().filter(|(spec, ..)| !ranking.has_usable_estimate(spec));
        let unestimated_steps = unestimated.count();
        let steps: Vec<_> = steps.map(|(_, _, step)| step).collect();
        let unconfirmed = |phase: PlacementPhase| !matches!(phase, PlacementPhase::Running(_));
        let count = |wait: StepWait| steps.iter().filter(|step| step.wait_reason == Some(wait)).count();
        let mut pools: Vec<(ServiceId, PoolSummary)> = state
            .pools
            .services()
            .map(|(service, slots)| (service.clone(), Self::pool(state, slots, now)))
            .collect();
        pools.sort_by(|(left, _), (right, _)| left.cmp(right));
        Self {
            open_jobs: state.jobs.values().filter(|job| !job.status.is_final()).count(),
            excess_jobs: state.jobs.values().filter(|job| job.excess && !job.status.is_final()).count(),
            ready_steps: steps.len(),
            requesting_steps: steps.iter().filter(|step| step.permit_cache.has_open_request()).count(),
            permit_skips: PermitSkipCounts::of(steps.iter().filter_map(|step| step.permit_skip)),
            advisor_proxies: state.permit_load.proxies(),
            open_decision_time: state.permit_load.open_decision_time(),
            idle_accelerators: IdleAccelerators::of(state, now),
            queues: state.permit_stats.sorted(),
            waits: WaitSummary {
                team_limit: count(StepWait::TeamLimit),
                worker: count(StepWait::Worker),
                permit: count(StepWait::Permit),
                room: count(StepWait::Room),
            },
            classes: ClassSummary::of(state.ready.all().map(|(rank, _)| rank.class)),
            unestimated_steps,
            waiting_tasks: steps.iter().map(|step| step.waiting.len()).sum(),
            placed_tasks: state.placements.len(),
            unconfirmed_tasks: state
                .placements
                .values()
                .filter(|placement| unconfirmed(placement.phase))
                .count(),
            pools,
        }
    }

    fn pool(state: &CellState, slots: &[u32], now: Instant) -> PoolSummary {
        let workers = slots.iter().filter_map(|slot| state.worker(*slot));
        workers.fold(PoolSummary::default(), |sum, worker| PoolSummary {
            listed: sum.listed + 1,
            schedulable: sum.schedulable + usize::from(worker.is_schedulable(now)),
            capacity: sum.capacity.plus(worker.listing.capacity),
            used: sum.used.plus(worker.used),
        })
    }
}
