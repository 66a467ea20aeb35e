use crate::kernel::{JobKind, WorkerVm};
use crate::prelude::*;

/// Number of workers of each capacity in each shard, according to the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardCapacities {
    counts: FastMap<ShardId, FastMap<ResourceVector, u64>>,
}

impl ShardCapacities {
    /// Counts the workers that are not leaving.
    #[must_use]
    pub fn new(workers: &[WorkerVm], shards_per_region: u32) -> Self {
        let mut counts: FastMap<ShardId, FastMap<ResourceVector, u64>> = FastMap::default();
        for worker in workers.iter().filter(|worker| !worker.leaving) {
            let capacities = counts.entry(worker.shard(shards_per_region)).or_default();
            *capacities.entry(worker.capacity).or_default() += 1;
        }
        Self { counts }
    }

    /// Returns the shards that have workers, in no particular order.
    pub fn shards(&self) -> impl Iterator<Item = &ShardId> {
        self.counts.keys()
    }

    /// Returns a copy without the given shard.
    #[must_use]
    pub fn without(&self, shard: &ShardId) -> Self {
        let mut counts = self.counts.clone();
        counts.remove(shard);
        Self { counts }
    }

    /// Whether the workers of a shard, if they were empty, could hold one task of the job, or all tasks of a
    /// gang job at once.
    #[must_use]
    pub fn can_fit(&self, shard: &ShardId, spec: &JobSpec) -> bool {
        let needed = if spec.kind == JobKind::Gang { u64::from(spec.tasks) } else { 1 };
        let available = self.counts.get(shard).map_or(0, |capacities| {
            capacities
                .iter()
                .map(|(capacity, count)| spec.need.count_in(*capacity).saturating_mul(*count))
                .sum()
        });
        available >= needed
    }
}
