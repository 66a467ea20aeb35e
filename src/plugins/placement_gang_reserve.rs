use crate::kernel::{JobKind, PlacementCandidate, PlacementPolicy, PluginEntry};

inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "gang_reserve",
    kind: JobKind::Gang,
    spread: false,
    score
}));

/// More than the rest of any worker.
const WASTE: i64 = 10_000;

fn score(candidate: &PlacementCandidate) -> i64 {
    let waste = if candidate.wastes_accelerators() { WASTE } else { 0 };
    -candidate.unused_per_mille() - waste
}
