//! Picks the worker shard of a new job.

use crate::kernel::rendezvous;
use crate::prelude::*;

/// Returns the freer of two shards that hashing gives to the job, or the first if their capacity is not known.
///
/// A repeated submission may pick the other shard; the ledger knows the job by its id.
#[must_use]
pub fn choose(
    spec: &JobSpec,
    shards: &[ShardId],
    free: impl Fn(&ShardId) -> Option<ResourceVector>,
) -> Option<ShardId> {
    let first = rendezvous::pick(&spec.id, shards.iter(), |shard| shard)?;
    let second = rendezvous::pick(&spec.id, shards.iter().filter(|shard| *shard != first), |shard| shard);
    let Some(second) = second else { return Some(first.clone()) };
    let (Some(first_free), Some(second_free)) = (free(first), free(second)) else {
        return Some(first.clone());
    };
    let load = |room: ResourceVector| spec.need.times(u64::from(spec.tasks)).dominant_fraction(room);
    // An amount that fits nowhere has the fraction 0 in a dimension without any capacity.
    let fits = |room: ResourceVector| spec.need.fits(room);
    let better = match (fits(first_free), fits(second_free)) {
        (true, false) => first,
        (false, true) => second,
        _ if load(second_free) < load(first_free) => second,
        _ => first,
    };
    Some(better.clone())
}
