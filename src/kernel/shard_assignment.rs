//! Divides shards among entry processes.

use std::collections::BTreeMap;

use crate::kernel::rendezvous;
use crate::prelude::*;

/// Returns the process that should own each shard.
///
/// Rendezvous hashing with bounded load: no process gets more than 5/4 of the mean of worker shards, nor of
/// service partitions; plain hashing bounds no process. The worker shards of a region are divided among the
/// processes of that region if there are any, so that syncs do not cross regions; none of
/// these gets more than the mean, as few processes share a region and syncs are most of their traffic. Worker
/// shards are named `region/number`; `region` gives the region of a process, if it is known.
#[must_use]
pub fn assign_owners<'a>(
    shards: &[ShardId],
    processes: &'a [ProcessId],
    region: impl Fn(&ProcessId) -> Option<&'a RegionId>,
) -> FastMap<ShardId, ProcessId> {
    let (services, workers): (Vec<&ShardId>, Vec<&ShardId>) =
        shards.iter().partition(|shard| shard.starts_with("service:"));
    let mut local: BTreeMap<&str, Vec<&ProcessId>> = BTreeMap::new();
    for process in processes {
        if let Some(region) = region(process) {
            local.entry(region).or_default().push(process);
        }
    }
    let mut parts: BTreeMap<Option<&str>, Vec<&ShardId>> = BTreeMap::new();
    for shard in workers {
        let region = shard.rsplit_once('/').map(|(region, _)| region);
        parts.entry(region.filter(|region| local.contains_key(region))).or_default().push(shard);
    }
    let all: Vec<&ProcessId> = processes.iter().collect();
    let mut owners = FastMap::default();
    for (region, part) in parts {
        match region.and_then(|region| local.get(region)) {
            Some(candidates) => {
                let mean = part.len().div_ceil(candidates.len());
                spread(part, candidates, mean, &mut owners);
            }
            None => spread_loosely(part, &all, &mut owners),
        }
    }
    spread_loosely(services, &all, &mut owners);
    owners
}

fn spread_loosely(part: Vec<&ShardId>, processes: &[&ProcessId], owners: &mut FastMap<ShardId, ProcessId>) {
    let most = (part.len() * 5).div_ceil(4 * processes.len().max(1));
    spread(part, processes, most, owners);
}

fn spread(
    mut part: Vec<&ShardId>,
    processes: &[&ProcessId],
    most: usize,
    owners: &mut FastMap<ShardId, ProcessId>,
) {
    part.sort_unstable();
    let mut load: FastMap<&ProcessId, usize> = FastMap::default();
    for shard in part {
        let open = processes.iter().filter(|process| load.get(**process).is_none_or(|held| *held < most));
        let Some(owner) = rendezvous::pick(shard, open, |process| process) else { continue };
        *load.entry(owner).or_default() += 1;
        owners.insert(shard.clone(), (*owner).clone());
    }
}
