//! Divides shards among entry processes.

use crate::kernel::rendezvous;
use crate::prelude::*;

/// Returns the process that should own each shard.
///
/// Rendezvous hashing with bounded load: no process gets more than 5/4 of the mean of worker shards, nor of
/// service partitions; plain hashing bounds no process.
#[must_use]
pub fn divide(shards: &[ShardId], processes: &[ProcessId]) -> FastMap<ShardId, ProcessId> {
    let mut owners = FastMap::default();
    let (services, workers): (Vec<&ShardId>, Vec<&ShardId>) =
        shards.iter().partition(|shard| shard.starts_with("service:"));
    for mut part in [workers, services] {
        part.sort_unstable();
        let most = (part.len() * 5).div_ceil(4 * processes.len().max(1));
        let mut load: FastMap<&ProcessId, usize> = FastMap::default();
        for shard in part {
            let open = processes.iter().filter(|process| load.get(process).is_none_or(|held| *held < most));
            let Some(owner) = rendezvous::pick(shard, open, |process| process) else { continue };
            *load.entry(owner).or_default() += 1;
            owners.insert(shard.clone(), owner.clone());
        }
    }
    owners
}
