//! Placement policy for batch jobs: packs tasks on the workers with the least room left.

use crate::kernel::{JobKind, PlacementPolicy, PluginEntry};
use crate::plugins::packing_score::packing_score;

inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "batch_pack",
    kind: JobKind::Batch,
    spread: false,
    score: packing_score,
}));
