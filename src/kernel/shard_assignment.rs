//! Assigns shards to entry processes.

use std::collections::BTreeMap;

use crate::kernel::rendezvous;
use crate::prelude::*;

/// Returns the process that should own each shard.
///
/// Uses rendezvous hashing with bounded loads, because plain rendezvous hashing does not bound the load of a
/// process: a process gets at most 5/4 of the mean number of worker shards, and at most 5/4 of the mean
/// number of service partitions.
///
/// The worker shards of a region are assigned to the processes of that region if there are any, so that
/// worker syncs do not cross regions. There the bound is the mean, rounded up, because few processes share a
/// region and syncs are most of their traffic.
///
/// Worker shards are named `region/index`. `region_of` returns the region of a process,
/// `None` if it is not known.
#[must_use]
pub fn assign_owners<'a>(
    shards: &[ShardId],
    processes: &'a [ProcessId],
    region_of: impl Fn(&ProcessId) -> Option<&'a RegionId>,
) -> FastMap<ShardId, ProcessId> {
    let (services, workers): (Vec<&ShardId>, Vec<&ShardId>) =
        shards.iter().partition(|shard| shard.starts_with("service:"));
    let mut processes_by_region: BTreeMap<&str, Vec<&ProcessId>> = BTreeMap::new();
    for process in processes {
        if let Some(region) = region_of(process) {
            processes_by_region.entry(region).or_default().push(process);
        }
    }
    let mut shards_by_region: BTreeMap<Option<&str>, Vec<&ShardId>> = BTreeMap::new();
    for shard in workers {
        let region = shard.rsplit_once('/').map(|(region, _)| region);
        shards_by_region
            .entry(region.filter(|region| processes_by_region.contains_key(region)))
            .or_default()
            .push(shard);
    }
    let all: Vec<&ProcessId> = processes.iter().collect();
    let mut owners = FastMap::default();
    for (region, group) in shards_by_region {
        match region.and_then(|region| processes_by_region.get(region)) {
            Some(candidates) => {
                let mean = group.len().div_ceil(candidates.len());
                assign_bounded(group, candidates, mean, &mut owners);
            }
            None => assign_with_slack(group, &all, &mut owners),
        }
    }
    assign_with_slack(services, &all, &mut owners);
    owners
}

/// Assigns a group of shards so that no process gets more than 5/4 of the mean.
fn assign_with_slack(
    group: Vec<&ShardId>,
    processes: &[&ProcessId],
    owners: &mut FastMap<ShardId, ProcessId>,
) {
    let max_load = (group.len() * 5).div_ceil(4 * processes.len().max(1));
    assign_bounded(group, processes, max_load, owners);
}

/// Assigns a group of shards by rendezvous hashing so that no process gets more than `max_load`.
fn assign_bounded(
    mut group: Vec<&ShardId>,
    processes: &[&ProcessId],
    max_load: usize,
    owners: &mut FastMap<ShardId, ProcessId>,
) {
    group.sort_unstable();
    let mut load: FastMap<&ProcessId, usize> = FastMap::default();
    for shard in group {
        let below_bound =
            processes.iter().filter(|process| load.get(**process).is_none_or(|held| *held < max_load));
        let Some(owner) = rendezvous::pick(shard, below_bound, |process| process) else { continue };
        *load.entry(owner).or_default() += 1;
        owners.insert(shard.clone(), (*owner).clone());
    }
}
