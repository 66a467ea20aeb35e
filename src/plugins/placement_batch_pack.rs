use crate::kernel::{JobKind, PlacementPolicy, PluginEntry, WorkerState};
use crate::prelude::*;

inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "batch_pack",
    kind: JobKind::Batch,
    score
}));

fn score(state: &WorkerState, spec: &JobSpec) -> i64 {
    // Work without accelerators goes to accelerator VMs last, so that it does not fragment them.
    let rest = state.free().minus(spec.need);
    let waste = if spec.need.accelerators == 0 { state.vm.capacity.accelerators } else { 0 };
    -i64::try_from(rest.cores_milli + waste * 1_000_000).unwrap_or(i64::MAX)
}
