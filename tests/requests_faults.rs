//! Guards against lost, doubled and wrong answers over real sockets while endpoints, connections and entry
//! processes fail. The counts come only from what callers and endpoints observed.

mod calls;
mod fixture;
mod routing;

use std::time::Duration;

use calls::{CallPlan, count, run_callers};
use godwithaven::tasks::entry::EntryProcess;
use godwithaven_standins::endpoint::{AnswerFault, EndpointCounts, EndpointFaults};
use godwithaven_standins::world::StandinWorld;
use googletest::prelude::*;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Returns a plan of 12 callers with 60 requests each.
const fn plan(seed: u64) -> CallPlan {
    CallPlan {
        callers: 12,
        requests: 60,
        seed,
        short_one_in: u64::MAX,
        give_up_one_in: u64::MAX,
        pause_ms: 40,
    }
}

async fn endpoint_records(world: &StandinWorld) -> Vec<EndpointCounts> {
    let mut records = Vec::new();
    for endpoint in world.endpoints.values() {
        records.push(endpoint.counts().await);
    }
    records
}

async fn start_three_entries(world: &StandinWorld) -> Vec<EntryProcess> {
    let mut entries = Vec::new();
    for (vm, zone) in [("entry-1", "a"), ("entry-2", "b"), ("entry-3", "c")] {
        entries.push(fixture::start_entry(world, vm, zone).await);
    }
    fixture::publish(world, 1, 0, fixture::bundle_text(1, 0)).await;
    for entry in &entries {
        fixture::wait_ready(entry).await;
    }
    entries
}

fn addresses(entries: &[EntryProcess]) -> Vec<String> {
    entries.iter().map(|entry| entry.listen.to_string()).collect()
}

fn answer_faults(answer: AnswerFault, one_in: u32) -> EndpointFaults {
    EndpointFaults { answer, one_in, work_time: Duration::from_millis(20), ..EndpointFaults::default() }
}

/// Starts three entry processes and lets all endpoints answer without faults.
async fn start_without_answer_faults(token: &CancellationToken) -> (StandinWorld, Vec<EntryProcess>) {
    let world = fixture::start_world(token).await;
    let entries = start_three_entries(&world).await;
    for endpoint in world.endpoints.values() {
        endpoint.set_faults(answer_faults(AnswerFault::None, 1)).await;
    }
    (world, entries)
}

/// Guards against faulty answers, silent connections and a killed endpoint that lose, double or falsify an
/// answer, or cut off a caller.
#[gtest]
#[actix_rt::test]
async fn no_answer_is_lost_doubled_or_wrong_while_endpoints_and_connections_fail() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entries = start_three_entries(&world).await;
    let (_sender, receiver) = watch::channel(addresses(&entries));
    let kinds = [AnswerFault::WrongId, AnswerFault::Truncated, AnswerFault::Duplicated, AnswerFault::Lost];
    for (index, answer) in kinds.into_iter().enumerate() {
        world.endpoints[&format!("planner-{index}")].set_faults(answer_faults(answer, 5)).await;
    }
    world.endpoints["planner-4"].set_faults(answer_faults(AnswerFault::Refused, 3)).await;

    // Act
    let running = actix_rt::spawn(run_callers(receiver, plan(1)));
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        world.endpoints["planner-5"].silence_connections();
        world.endpoints["planner-4"].silence_connections();
    }
    world.endpoints["planner-3"].kill();
    world.unlist("planner-3");
    let calls = running.await.unwrap();
    let counts = count(&calls, &endpoint_records(&world).await);

    // Assert
    println!("{counts:?}");
    expect_that!((counts.lost, counts.doubled, counts.wrong), eq((0, 0, 0)));
    expect_that!((counts.false_not_run, counts.over_slots, counts.cut), eq((0, 0, 0)));
    expect_that!(counts.answered, ge(600));
    for entry in entries {
        entry.stop().await;
    }
    token.cancel();
}

/// Guards against lost, doubled and wrong answers when owners of partitions are killed and other processes
/// claim their partitions.
#[gtest]
#[actix_rt::test]
async fn no_answer_is_lost_doubled_or_wrong_while_owners_are_killed() {
    // Arrange
    let token = CancellationToken::new();
    let (world, mut entries) = start_without_answer_faults(&token).await;
    let (sender, receiver) = watch::channel(addresses(&entries));

    // Act
    let running = actix_rt::spawn(run_callers(receiver, plan(2)));
    for vm in ["entry-1", "entry-2"] {
        tokio::time::sleep(Duration::from_millis(600)).await;
        entries.remove(0).kill();
        world.unlist(vm);
        sender.send_replace(addresses(&entries));
        entries.push(fixture::start_entry(&world, &format!("{vm}-new"), "a").await);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        sender.send_replace(addresses(&entries));
    }
    let calls = running.await.unwrap();
    let counts = count(&calls, &endpoint_records(&world).await);

    // Assert
    println!("{counts:?}");
    expect_that!((counts.lost, counts.doubled, counts.wrong), eq((0, 0, 0)));
    expect_that!((counts.false_not_run, counts.over_slots), eq((0, 0)));
    expect_that!(counts.answered, ge(550));
    for entry in entries {
        entry.stop().await;
    }
    token.cancel();
}

/// Guards against requests that are refused, cut off or left without a known outcome by a rolling replacement
/// of all entry processes.
#[gtest]
#[actix_rt::test]
async fn a_graceful_stop_of_each_process_in_turn_interrupts_no_request() {
    // Arrange
    let token = CancellationToken::new();
    let (world, mut entries) = start_without_answer_faults(&token).await;
    let (sender, receiver) = watch::channel(addresses(&entries));

    // Act
    let running = actix_rt::spawn(run_callers(receiver, plan(3)));
    for vm in ["entry-1", "entry-2", "entry-3"] {
        entries.push(fixture::start_entry(&world, &format!("{vm}-new"), "a").await);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let stopping = entries.remove(0);
        sender.send_replace(addresses(&entries));
        // The load balancer sends no new requests to it, but earlier ones may still be on their way.
        tokio::time::sleep(Duration::from_millis(200)).await;
        stopping.stop().await;
        world.unlist(vm);
    }
    let calls = running.await.unwrap();
    let counts = count(&calls, &endpoint_records(&world).await);

    // Assert
    println!("{counts:?}");
    expect_that!((counts.lost, counts.doubled, counts.wrong), eq((0, 0, 0)));
    expect_that!((counts.false_not_run, counts.over_slots, counts.cut), eq((0, 0, 0)));
    expect_that!((counts.answered, counts.unknown), eq((720, 0)));
    for entry in entries {
        entry.stop().await;
    }
    token.cancel();
}
