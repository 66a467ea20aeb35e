use crate::kernel::{JobKind, PlacementPolicy, PluginEntry, WorkerState};
use crate::prelude::*;

inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "gang_reserve",
    kind: JobKind::Gang,
    score
}));

fn score(state: &WorkerState, spec: &JobSpec) -> i64 {
    let rest = state.free().minus(spec.need);
    let waste = if spec.need.accelerators == 0 { state.vm.capacity.accelerators } else { rest.accelerators };
    -i64::try_from(rest.cores_milli + waste * 1_000_000).unwrap_or(i64::MAX)
}
