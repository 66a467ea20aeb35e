//! Tests of the search for a worker with room.

mod fixture_placement;

use fixture_placement::worker;
use godwithaven::kernel::{
    FleetView, JobKind, PlacementPolicy, PluginRegistry, PolicyBundle, ResourceVector, SpreadCount,
};
use googletest::prelude::*;

const NEED: ResourceVector = ResourceVector::new(40_000, 100_000, 0);

/// Returns a view of workers with these capacities that have answered a sync.
fn fleet(capacities: &[ResourceVector]) -> FleetView {
    let mut fleet = FleetView::default();
    for capacity in capacities {
        // Multiples of 12 put all workers in one zone and give each its own rack.
        let number = fleet.iter().count() * 12;
        let slot = fleet.upsert(worker(number, *capacity), true);
        fleet.update(slot, |state| state.synced = true);
    }
    fleet
}

fn pack_policy() -> PlacementPolicy {
    let registry = PluginRegistry::collect();
    let policies = PolicyBundle::default();
    registry.placement(&policies, JobKind::Batch).expect("a policy is linked")
}

/// Guards against workers with room that a search passes over, because misses among smaller workers count as
/// misses among theirs.
#[gtest]
fn misses_in_one_bucket_do_not_skip_the_next() -> Result<()> {
    let too_few_cores = ResourceVector::new(33_000, 130_000, 0);
    let too_little_memory = ResourceVector::new(70_000, 70_000, 0);
    let fitting = ResourceVector::new(70_000, 110_000, 0);
    let mut capacities = vec![too_few_cores; 7];
    capacities.extend([too_little_memory, fitting]);
    let mut fleet = fleet(&capacities);

    let choice = fleet.choose(NEED, &pack_policy(), &SpreadCount::default());

    verify_that!(choice.slot, some(eq(8)))
}
