use crate::kernel::{JobKind, PlacementPolicy, PluginEntry, WorkerState};
use crate::prelude::*;

inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "service_spread",
    kind: JobKind::Service,
    score
}));

fn score(state: &WorkerState, spec: &JobSpec) -> i64 {
    let mates = state.tasks.iter().filter(|task| task.starts_with(&*spec.id)).count();
    let free = i64::try_from(state.free().cores_milli).unwrap_or(i64::MAX / 2);
    free - i64::try_from(mates).unwrap_or(0) * 1_000_000_000
}
