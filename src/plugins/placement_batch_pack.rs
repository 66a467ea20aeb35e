//! Placement policy for batch jobs: packs tasks on the workers with the least room left.

use crate::kernel::{JobKind, PlacementCandidate, PlacementPolicy, PluginEntry};

inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "batch_pack",
    kind: JobKind::Batch,
    spread: false,
    score
}));

/// Score penalty of a worker with accelerators for a task that needs none; more than the unused part
/// ([`PlacementCandidate::unused_per_mille`]) of any worker.
const ACCELERATOR_WASTE_PENALTY: i64 = 10_000;

fn score(candidate: &PlacementCandidate) -> i64 {
    // Tasks without accelerators are placed on accelerator VMs last, so that they do not fragment those VMs.
    let penalty = if candidate.wastes_accelerators() { ACCELERATOR_WASTE_PENALTY } else { 0 };
    -candidate.unused_per_mille() - penalty
}
