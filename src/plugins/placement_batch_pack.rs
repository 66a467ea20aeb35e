use crate::kernel::{JobKind, PlacementCandidate, PlacementPolicy, PluginEntry};

inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "batch_pack",
    kind: JobKind::Batch,
    spread: false,
    score
}));

/// More than the rest of any worker.
const WASTE: i64 = 10_000;

fn score(candidate: &PlacementCandidate) -> i64 {
    // Work without accelerators goes to accelerator VMs last, so that it does not fragment them.
    let waste = if candidate.wastes_accelerators() { WASTE } else { 0 };
    -candidate.unused_per_mille() - waste
}
