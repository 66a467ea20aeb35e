//! Guards against tasks that run twice or end too early because an owner of worker shards is cut off from the
//! log.

mod fixture;

#[path = "fixture/faults.rs"]
mod faults;

use std::time::Duration;

use fixture::BLUE_KEY;
use godwithaven::tasks::entry::EntryProcess;
use godwithaven_standins::directory::{DirectoryStandin, ListedVm};
use godwithaven_standins::invariant::{self, TaskEvent};
use godwithaven_standins::logservice::{LogFaults, LogStandin};
use godwithaven_standins::relay::{RelayMode, RelayStandin};
use godwithaven_standins::world::StandinWorld;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

/// An entry process with a VM list and a listener of the log of its own; other processes reach it over a
/// relay.
struct IsolatedEntry {
    process: EntryProcess,
    list: DirectoryStandin,
    log: LogStandin,
    relay: RelayStandin,
}

/// Starts an entry process whose VM list is empty at first.
async fn start_isolated(world: &StandinWorld, vm: &str, token: &CancellationToken) -> IsolatedEntry {
    let list = DirectoryStandin::start("127.0.0.1:0", token.child_token()).await.unwrap();
    let log = world.log.add_listener(token.child_token()).await.unwrap();
    let mut settings = fixture::settings(world, vm, "a");
    settings.directory = list.address.to_string();
    settings.log = log.address.to_string();
    let process = EntryProcess::start(settings).await.unwrap();
    let relay = RelayStandin::start(process.peer_listen, token.child_token()).await.unwrap();
    world.list_entry(vm, "a", &relay.address.to_string());
    IsolatedEntry { process, list, log, relay }
}

/// Returns the VM list with other addresses for the workers of zone `a` and for those of the other zones.
fn list_with(world: &StandinWorld, zone_a: &str, other_zones: &str) -> Vec<ListedVm> {
    let mut vms = Vec::new();
    world.directory.change(|listed| vms.clone_from(listed));
    for vm in vms.iter_mut().filter(|vm| vm.role == "worker") {
        vm.address = if vm.zone == "a" { zone_a.into() } else { other_zones.into() };
    }
    vms
}

/// Submits a job with two tasks that run for this long, and waits until both run.
async fn run_long_job(world: &StandinWorld, entry: &EntryProcess, run_ms: u32) {
    let mut job = fixture::batch_job("blue", "long", 2);
    job["run_ms"] = run_ms.into();
    expect_that!(fixture::submit(entry, BLUE_KEY, &job).await.0, eq(202));
    while world.workers.running().await.len() < 2 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Number of starts of tasks, and of ends of tasks because the lease of the worker was over.
async fn starts_and_lapses(world: &StandinWorld) -> (usize, usize) {
    let records = world.workers.records().await;
    let is_start = |event: &TaskEvent| matches!(event, TaskEvent::Started { .. });
    let starts = records.iter().filter(|record| is_start(&record.event)).count();
    let lapses = records.iter().filter(|record| record.event == TaskEvent::Ended("lapsed".into()));
    (starts, lapses.count())
}

/// Guards against an owner that renews the leases of workers although its successor, which does not reach
/// these workers, starts their tasks elsewhere.
#[gtest]
#[actix_rt::test]
async fn an_owner_cut_off_from_log_and_peers_lets_leases_expire() {
    // Arrange: the first process runs tasks in zone `a`, which the second one does not reach.
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let direct = world.workers.address.to_string();
    let far = RelayStandin::start(world.workers.address, token.child_token()).await.unwrap();
    let first = start_isolated(&world, "entry-1", &token).await;
    let only_zone_a = list_with(&world, &direct, "").into_iter().filter(|vm| !vm.address.is_empty());
    first.list.change(|listed| listed.extend(only_zone_a));
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&first.process).await;
    run_long_job(&world, &first.process, 60_000).await;
    let second = start_isolated(&world, "entry-2", &token).await;
    first.list.change(|listed| *listed = list_with(&world, &direct, &far.address.to_string()));
    second.list.change(|listed| *listed = list_with(&world, "127.0.0.1:1", &direct));
    fixture::wait_ready(&second.process).await;

    // Act: the first process reaches nothing but zone `a`.
    first.log.set_faults(faults::LOG_DOWN);
    for relay in [&first.relay, &second.relay, &far] {
        relay.set_mode(RelayMode::Cut);
    }
    faults::sleep_seconds(20).await;

    // Assert: the second process has started both tasks again, after their first runs had ended.
    let violations = invariant::check(&world.workers.records().await, &world.facts);
    expect_that!(violations.doubled, eq(0));
    expect_that!(starts_and_lapses(&world).await, eq((4, 2)));
    token.cancel();
}

/// Guards against an outage of the log that ends running tasks although all entry processes hear each other.
#[gtest]
#[actix_rt::test]
async fn running_tasks_outlast_an_outage_of_the_log() {
    // Arrange
    let token = CancellationToken::new();
    let (world, entries) = faults::start_world_and_entries(&token).await;
    run_long_job(&world, &entries[0], 17_000).await;

    // Act: the outage lasts longer than the lease of 3 s and the time for which an owner may grant leases.
    world.log.set_faults(faults::LOG_DOWN);
    faults::sleep_seconds(16).await;
    world.log.set_faults(LogFaults::default());
    let state = fixture::wait_job(&entries[1], BLUE_KEY, "blue/long").await;

    // Assert
    expect_true!(state["outcome"]["finished"].is_array());
    expect_that!(starts_and_lapses(&world).await, eq((2, 0)));
    token.cancel();
}

/// Guards against a new owner that starts tasks elsewhere which still run on a worker that has left the VM
/// list: the former owner went on syncing with it.
#[gtest]
#[actix_rt::test]
async fn tasks_on_an_unlisted_worker_are_not_started_twice() {
    // Arrange: a lease that is longer than the time in which a killed owner is replaced.
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let owner = start_with_long_lease(&world, "entry-1").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&owner).await;
    run_long_job(&world, &owner, 60_000).await;

    // Act: the workers leave the list and run on, another process starts, and the owner is killed.
    for (worker, _) in world.workers.running().await {
        world.unlist(&worker);
    }
    faults::sleep_seconds(2).await;
    let successor = start_with_long_lease(&world, "entry-2").await;
    fixture::wait_ready(&successor).await;
    faults::sleep_seconds(2).await;
    world.unlist("entry-1");
    owner.kill();
    faults::sleep_seconds(20).await;

    // Assert: both tasks have started again, after their first runs had ended.
    let violations = invariant::check(&world.workers.records().await, &world.facts);
    expect_that!(violations.doubled, eq(0));
    expect_that!(starts_and_lapses(&world).await, eq((4, 2)));
    token.cancel();
}

/// Starts an entry process that grants leases of 6 s.
async fn start_with_long_lease(world: &StandinWorld, vm: &str) -> EntryProcess {
    let mut settings = fixture::settings(world, vm, "a");
    settings.lease = Duration::from_secs(6);
    let entry = EntryProcess::start(settings).await.unwrap();
    world.list_entry(vm, "a", &entry.peer_listen.to_string());
    entry
}
