//! Score of the placement policies that pack tasks on the workers with the least room left.

use crate::kernel::PlacementCandidate;

/// Score penalty of a worker with accelerators for a task that needs none; more than the unused part
/// ([`PlacementCandidate::unused_per_mille`]) of any worker.
const ACCELERATOR_WASTE_PENALTY: i64 = 10_000;

/// Returns the score of a worker; the less room it has left, the higher.
pub fn packing_score(candidate: &PlacementCandidate) -> i64 {
    // Tasks without accelerators are placed on accelerator VMs last, so that they do not fragment those VMs.
    let penalty = if candidate.wastes_accelerators() { ACCELERATOR_WASTE_PENALTY } else { 0 };
    -candidate.unused_per_mille() - penalty
}
