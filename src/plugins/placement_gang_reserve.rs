//! Placement policy for gang jobs: packs tasks on the workers with the least room left and scores workers as
//! `batch_pack` does. The reservation of workers for a waiting gang is not part of the policy; see
//! [`GangReservation`](crate::kernel::GangReservation).

use crate::kernel::{JobKind, PlacementCandidate, PlacementPolicy, PluginEntry};

inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "gang_reserve",
    kind: JobKind::Gang,
    spread: false,
    score
}));

/// Score penalty of a worker with accelerators for a task that needs none; more than the unused part
/// ([`PlacementCandidate::unused_per_mille`]) of any worker.
const ACCELERATOR_WASTE_PENALTY: i64 = 10_000;

fn score(candidate: &PlacementCandidate) -> i64 {
    let penalty = if candidate.wastes_accelerators() { ACCELERATOR_WASTE_PENALTY } else { 0 };
    -candidate.unused_per_mille() - penalty
}
