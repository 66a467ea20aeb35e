use serde::{Deserialize, Serialize};

use crate::kernel::ShardState;
use crate::prelude::*;

/// Summary of a shard for operators, as its owner knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSummary {
    /// Name of the shard.
    pub shard: ShardId,
    /// Number of listed workers.
    pub workers: u32,
    /// Number of listed workers that have accepted a sync of this owner.
    pub workers_heard: u32,
    /// Number of workers that are not on the VM list and may still run tasks.
    pub workers_unlisted: u32,
    /// Total capacity of the listed workers.
    pub capacity: ResourceVector,
    /// Resources of the listed workers that are allocated to tasks.
    pub used: ResourceVector,
    /// Number of tasks that wait for placement or back off.
    pub waiting: u32,
    /// Resources allocated to the tasks of each team.
    pub used_by_team: Vec<(TeamId, ResourceVector)>,
    /// Allotment of each team in this shard.
    pub allotments: Vec<(TeamId, ResourceVector)>,
}

impl ShardSummary {
    /// Summarises the state of a shard.
    #[must_use]
    pub fn of(shard: ShardId, state: &ShardState) -> Self {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let workers = || state.fleet.iter().map(|(_, worker)| worker).filter(|worker| worker.listed);
        let used = workers().fold(ResourceVector::default(), |sum, worker| sum.plus(worker.used));
        let capacity = workers().fold(ResourceVector::default(), |sum, worker| sum.plus(worker.vm.capacity));
        let waiting = state.jobs.values().map(|job| job.waiting.len() + job.backing_off.len()).sum();
        Self {
            shard,
            workers: count(workers().count()),
            workers_heard: count(workers().filter(|worker| worker.synced).count()),
            workers_unlisted: count(state.fleet.iter().filter(|(_, worker)| !worker.listed).count()),
            capacity,
            used,
            waiting: count(waiting),
            used_by_team: state.shares.iter().map(|(team, used, _)| (team.clone(), used)).collect(),
            allotments: state.shares.iter().map(|(team, _, allotment)| (team.clone(), allotment)).collect(),
        }
    }
}
