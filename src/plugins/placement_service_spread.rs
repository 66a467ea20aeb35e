//! Placement policy for services: spreads the tasks of a job over workers and racks, emptiest workers first.

use crate::kernel::{JobKind, PlacementCandidate, PlacementPolicy, PluginEntry};

inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "service_spread",
    kind: JobKind::Service,
    spread: true,
    score
}));

/// Score penalty for each task of the job in the same rack, more than the unused part
/// ([`PlacementCandidate::unused_per_mille`]) of any worker.
const SAME_RACK_PENALTY: i64 = 10_000;

fn score(candidate: &PlacementCandidate) -> i64 {
    let (state, spread) = (candidate.state, candidate.spread);
    // One task of the job on the worker outweighs 100 in its rack. Wasted accelerators count less than one
    // task in the rack and more than the unused part of any worker, which is at most 3000.
    let on_worker = i64::from(spread.on_worker(state)) * SAME_RACK_PENALTY * 100;
    let in_rack = i64::from(spread.in_rack(state)) * SAME_RACK_PENALTY;
    let accelerator_waste = if candidate.wastes_accelerators() { SAME_RACK_PENALTY / 2 } else { 0 };
    candidate.unused_per_mille() - on_worker - in_rack - accelerator_waste
}
