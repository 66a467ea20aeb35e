use super::{MemoryRoom, StateBytes};
use crate::kernel::cell::{CellJob, CellState};
use crate::prelude::*;

/// Part of the memory of a process, as a divisor, that accepted jobs may take. The rest is for running tasks, closed
/// jobs, connections of clients, and the records that are read in a recovery.
const MEMORY_DIVISOR: StateBytes = 3;

/// Part of the limit, as a divisor, from which the processes are told often.
const TIGHT_DIVISOR: StateBytes = 8;

/// Divides the memory for accepted jobs among the teams.
///
/// It answers a flood of jobs that are legal one by one and exceed the memory of the owner together. Half of the memory is
/// open to all; the other half is divided among the teams by their weights, so that the flood of one team leaves room for
/// the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Bytes that all accepted jobs may take together.
    pub limit: StateBytes,
}

impl MemoryBudget {
    /// Returns the budget of a process with this memory.
    #[must_use]
    pub const fn of_process(memory_bytes: u64) -> Self {
        Self { limit: memory_bytes / MEMORY_DIVISOR }
    }

    /// Whether the processes have to be told often how much room is left.
    #[must_use]
    pub fn is_tight(&self, state: &CellState) -> bool {
        open_jobs(state).map(|job| job.waiting_bytes).sum::<StateBytes>() > self.limit / TIGHT_DIVISOR
    }

    /// Returns the room of each team that has open jobs, or a share, and of all other teams.
    #[must_use]
    pub fn rooms(&self, state: &CellState) -> Vec<MemoryRoom> {
        let mut used: FastMap<TeamId, StateBytes> = FastMap::default();
        for job in open_jobs(state) {
            *used.entry(job.spec.team.clone()).or_default() += job.waiting_bytes;
        }
        let weights: StateBytes = state.config.teams.values().map(|team| u64::from(team.weight.max(1))).sum();
        let open = (self.limit / 2).saturating_sub(used.values().sum());
        for team in state.config.teams.keys() {
            used.entry(team.clone()).or_default();
        }
        let rooms = used.into_iter().map(|(team, used)| {
            let weight = state.config.teams.get(&team).map_or(0, |rule| u64::from(rule.weight.max(1)));
            let share = (self.limit / 2).saturating_mul(weight) / weights.max(1);
            MemoryRoom { team: Some(team), bytes: open.max(share.saturating_sub(used)) }
        });
        rooms.chain([MemoryRoom { team: None, bytes: open }]).collect()
    }
}

fn open_jobs(state: &CellState) -> impl Iterator<Item = &CellJob> {
    state.jobs.values().filter(|job| !job.status.is_final())
}
