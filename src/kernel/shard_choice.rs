//! Chooses the worker shard of a new job.

use crate::kernel::rendezvous;
use crate::prelude::*;

/// Chooses between the two shards that rendezvous hashing ranks highest for the job. Returns the one with
/// room for a task if only one has it, otherwise the one of whose free capacity the job takes the smaller
/// fraction. Returns the first if the free capacity of either is not known, and `None` if there are no
/// shards.
///
/// `free` returns the free capacity of a shard. A repeated submission may get the other shard; the ledger
/// recognises the job by its id.
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
    let fraction_of_free =
        |free: ResourceVector| spec.need.times(u64::from(spec.tasks)).dominant_fraction(free);
    // `dominant_fraction` is 0 in a dimension without capacity, so whether a task fits is compared first.
    let fits = |free: ResourceVector| spec.need.fits(free);
    let chosen = match (fits(first_free), fits(second_free)) {
        (true, false) => first,
        (false, true) => second,
        _ if fraction_of_free(second_free) < fraction_of_free(first_free) => second,
        _ => first,
    };
    Some(chosen.clone())
}
