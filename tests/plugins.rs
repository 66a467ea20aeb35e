//! Guards against plug-ins that the linker drops, and against bundles that name unknown plug-ins.

mod fixture;

use godwithaven::kernel::{JobKind, PlacementCandidate, PlacementPolicy, PluginEntry, PluginRegistry};
use godwithaven::plugins::bundle_toml::{self, BundleContext};
use godwithaven::tasks::adapter::AdapterEntry;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

use fixture::BLUE_KEY;

// A policy that is registered outside of the library. It prefers accelerator VMs, which the policies of the
// library avoid for tasks that need no accelerators.
godwithaven::inventory::submit!(PluginEntry::Placement(PlacementPolicy {
    name: "batch_on_accelerators",
    kind: JobKind::Batch,
    spread: false,
    score: accelerator_count,
}));

fn accelerator_count(candidate: &PlacementCandidate) -> i64 {
    i64::try_from(candidate.state.vm.capacity.accelerators).unwrap_or(i64::MAX)
}

#[gtest]
fn every_plugin_of_the_library_is_linked() -> Result<()> {
    // Act
    let registry = PluginRegistry::collect();
    let kinds: Vec<&str> = AdapterEntry::list().into_iter().map(|(kind, _)| kind).collect();

    // Assert
    for name in ["batch_pack", "gang_reserve", "service_spread", "batch_on_accelerators"] {
        expect_that!(registry.placements.contains_key(name), eq(true), "placement policy {name}");
    }
    for name in ["least_wait", "round_robin"] {
        expect_that!(registry.routings.contains_key(name), eq(true), "routing policy {name}");
    }
    let checks: Vec<&str> = registry.admissions.iter().map(|check| check.name).collect();
    expect_that!(checks, superset_of([&"team_key", &"known_target"]));
    verify_that!(kinds, superset_of([&"directory", &"endpoint", &"front", &"log", &"worker"]))
}

#[gtest]
fn a_bundle_with_an_unknown_policy_is_refused_with_the_known_names() -> Result<()> {
    // Arrange
    let text = fixture::bundle_text(1, 0) + "[placement]\nbatch = \"batch_best\"\n";

    let registry = PluginRegistry::collect();
    let context = BundleContext { registry: &registry, known_zones: None, default_signer_count: Some(1) };

    // Act
    let fault = bundle_toml::parse(&text, &context).err().unwrap_or_default();

    // Assert
    expect_that!(fault, contains_substring("batch_best"));
    verify_that!(fault, contains_substring("batch_on_accelerators"))
}

#[gtest]
#[actix_rt::test]
async fn a_policy_from_outside_the_library_places_a_job() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    let text = fixture::bundle_text(1, 0).replace("shards_per_region = 2", "shards_per_region = 1");
    let text = text + "[placement]\nbatch = \"batch_on_accelerators\"\n";
    fixture::publish(&world, 1, 0, text).await;
    fixture::wait_ready(&entry).await;

    // Act
    let (status, _) = fixture::submit(&entry, BLUE_KEY, &fixture::batch_job("blue", "outside", 1)).await;
    let state = fixture::wait_job(&entry, BLUE_KEY, "blue/outside").await;

    // Assert
    expect_that!(status, eq(202));
    expect_that!(state["outcome"]["finished"].as_array().map(Vec::len), some(eq(1)));
    let records = world.workers.records().await;
    let accelerators = records.first().map(|record| world.facts.capacity[&record.vm][2]);
    expect_that!(accelerators, some(eq(8)));
    entry.stop().await;
    token.cancel();
}
