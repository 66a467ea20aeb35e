use crate::kernel::{JobKind, PlacementCandidate, PlacementPolicy, PluginEntry};

inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "service_spread",
    kind: JobKind::Service,
    spread: true,
    score
}));

/// More than the rest of any worker.
const STEP: i64 = 10_000;

fn score(candidate: &PlacementCandidate) -> i64 {
    let (state, spread) = (candidate.state, candidate.spread);
    let on_worker = i64::from(spread.on_worker(state)) * STEP * 100;
    let in_rack = i64::from(spread.in_rack(state)) * STEP;
    let waste = if candidate.wastes_accelerators() { STEP / 2 } else { 0 };
    candidate.unused_per_mille() - on_worker - in_rack - waste
}
