use crate::kernel::{JobKind, WorkerVm};
use crate::prelude::*;

/// How many workers of each capacity each shard has, from the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardCapacities {
    counts: FastMap<ShardId, FastMap<ResourceVector, u64>>,
}

impl ShardCapacities {
    /// Counts the workers that do not leave.
    #[must_use]
    pub fn new(workers: &[WorkerVm], shards_per_region: u32) -> Self {
        let mut counts: FastMap<ShardId, FastMap<ResourceVector, u64>> = FastMap::default();
        for worker in workers.iter().filter(|worker| !worker.leaving) {
            let capacities = counts.entry(worker.shard(shards_per_region)).or_default();
            *capacities.entry(worker.capacity).or_default() += 1;
        }
        Self { counts }
    }

    /// Returns the shards that have workers, in no order.
    pub fn shards(&self) -> impl Iterator<Item = &ShardId> {
        self.counts.keys()
    }

    /// Returns the counts of all shards but one.
    #[must_use]
    pub fn without(&self, shard: &ShardId) -> Self {
        let mut counts = self.counts.clone();
        counts.remove(shard);
        Self { counts }
    }

    /// Whether the empty workers of a shard hold a task of the job, or all tasks of a gang job at once.
    #[must_use]
    pub fn can_fit(&self, shard: &ShardId, spec: &JobSpec) -> bool {
        let needed = if spec.kind == JobKind::Gang { u64::from(spec.tasks) } else { 1 };
        let held = self.counts.get(shard).map_or(0, |capacities| {
            capacities
                .iter()
                .map(|(capacity, count)| spec.need.count_in(*capacity).saturating_mul(*count))
                .sum()
        });
        held >= needed
    }
}
