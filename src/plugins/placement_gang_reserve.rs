//! Placement policy for gang jobs: packs tasks on the workers with the least room left and scores workers as
//! `batch_pack` does. The reservation of workers for a waiting gang is not part of the policy; see
//! [`GangReservation`](crate::kernel::GangReservation).

use crate::kernel::{JobKind, PlacementPolicy, PluginEntry};
use crate::plugins::packing_score::packing_score;

inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "gang_reserve",
    kind: JobKind::Gang,
    spread: false,
    score: packing_score,
}));
