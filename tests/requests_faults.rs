//! Guards against lost, doubled and wrong answers over real sockets while endpoints, connections and entry
//! processes fail; counts only what callers and endpoints saw.

mod fixture;
mod routing;

use std::collections::HashMap;
use std::time::Duration;

use awc::Client;
use fixture::BLUE_KEY;
use godwithaven::tasks::entry::EntryProcess;
use godwithaven_standins::endpoint::{AnswerFault, EndpointFaults, EndpointRecord};
use godwithaven_standins::world::StandinWorld;
use googletest::prelude::*;
use serde_json::Value;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Requests that each caller sends, one after the other.
const REQUESTS: u64 = 60;
/// Callers that send at once.
const CALLERS: u64 = 12;
/// Times that a caller sends one id.
const TRIES: u32 = 12;

/// What a caller learned of one id.
#[derive(Clone, Debug, Default, PartialEq)]
struct CallRecord {
    idempotent: bool,
    answers: Vec<String>,
    last_not_run: bool,
    may_have_run: bool,
    cut: u32,
}

/// Counts of broken promises, and of what makes the run meaningful.
#[derive(Debug, Default, PartialEq)]
struct FaultCounts {
    lost: u32,
    doubled: u32,
    wrong: u32,
    false_not_run: u32,
    over_slots: u32,
    answered: u32,
    unknown: u32,
    refused: u32,
    cut: u32,
}

/// Addresses of the running entry processes.
type Addresses = watch::Receiver<Vec<String>>;

async fn send(address: &str, id: &str, idempotent: bool) -> Option<(u16, String)> {
    let request = Client::default()
        .post(format!("http://{address}/v1/services/planner/requests"))
        .timeout(Duration::from_secs(15))
        .insert_header(("x-team", "blue"))
        .insert_header(("x-team-key", BLUE_KEY))
        .insert_header(("x-request-id", id))
        .insert_header(("x-deadline-ms", "4000"))
        .insert_header(("x-idempotent", if idempotent { "true" } else { "false" }));
    let mut response = request.send_body(format!("body of {id}")).await.ok()?;
    let body = response.body().await.ok()?;
    Some((response.status().as_u16(), String::from_utf8_lossy(&body).into_owned()))
}

/// Sends one id until there is an answer or nothing more can be learned.
async fn call(addresses: &Addresses, id: &str, idempotent: bool, turn: u64) -> CallRecord {
    let mut record = CallRecord { idempotent, ..CallRecord::default() };
    for attempt in 0..TRIES {
        let known = addresses.borrow().clone();
        let index = usize::try_from(turn + u64::from(attempt)).unwrap_or(0) % known.len();
        let Some((status, body)) = send(&known[index], id, idempotent).await else {
            // The entry process ended, so the caller does not know.
            record.cut += 1;
            record.last_not_run = false;
            continue;
        };
        let refusal: Value = serde_json::from_str(&body).unwrap_or_default();
        let run = refusal["run"].as_str().unwrap_or("ran");
        record.last_not_run = run == "not_run";
        if run == "ran" && status == 200 {
            record.answers.push(body);
            // A repeat must give the same answer or say that it is not known.
            if record.answers.len() > 1 || !turn.is_multiple_of(4) {
                break;
            }
            continue;
        }
        record.may_have_run |= run == "may_have_run";
        if run == "may_have_run" && (!idempotent || !record.answers.is_empty()) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    record
}

async fn run_caller(addresses: Addresses, caller: u64, seed: u64) -> HashMap<String, CallRecord> {
    let mut random = seed * 1_000 + caller + 1;
    let mut records = HashMap::new();
    for number in 0..REQUESTS {
        let pick = routing::next_random(&mut random);
        let id = format!("s{seed}-c{caller}-{number}");
        records.insert(id.clone(), call(&addresses, &id, pick.is_multiple_of(3), pick >> 8).await);
        tokio::time::sleep(Duration::from_millis(pick % 40)).await;
    }
    records
}

/// Runs all callers to their end.
async fn run_callers(addresses: Addresses, seed: u64) -> HashMap<String, CallRecord> {
    let callers = (0..CALLERS).map(|caller| actix_rt::spawn(run_caller(addresses.clone(), caller, seed)));
    let mut records = HashMap::new();
    for caller in callers.collect::<Vec<_>>() {
        records.extend(caller.await.unwrap());
    }
    records
}

async fn endpoint_records(world: &StandinWorld) -> Vec<EndpointRecord> {
    let mut records = Vec::new();
    for endpoint in world.endpoints.values() {
        records.push(endpoint.record().await);
    }
    records
}

fn count(calls: &HashMap<String, CallRecord>, endpoints: &[EndpointRecord]) -> FaultCounts {
    let mut counts = FaultCounts::default();
    for (id, call) in calls {
        let key = format!("blue/{id}");
        let runs: u32 = endpoints.iter().filter_map(|endpoint| endpoint.runs.get(&key)).sum();
        let expected = format!("answer to {key}: body of {id}");
        counts.wrong += u32::from(call.answers.iter().any(|answer| *answer != expected));
        counts.wrong += u32::from(!call.answers.is_empty() && runs == 0);
        counts.doubled += u32::from(!call.idempotent && runs > 1);
        let refused = call.answers.is_empty() && call.last_not_run;
        counts.false_not_run += u32::from(refused && !call.may_have_run && call.cut == 0 && runs > 0);
        let told = !call.answers.is_empty() || call.may_have_run || call.last_not_run || call.cut > 0;
        counts.lost += u32::from(!told);
        counts.answered += u32::from(!call.answers.is_empty());
        counts.unknown += u32::from(call.answers.is_empty() && call.may_have_run);
        counts.refused += u32::from(refused);
        counts.cut += call.cut;
    }
    let peaks = endpoints.iter().filter(|endpoint| endpoint.peak_busy > 8 || endpoint.peak_connections > 64);
    counts.over_slots = u32::try_from(peaks.count()).unwrap_or(u32::MAX);
    counts
}

async fn start_three(world: &StandinWorld) -> Vec<EntryProcess> {
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

fn faults(answer: AnswerFault, one_in: u32) -> EndpointFaults {
    EndpointFaults { answer, one_in, work_time: Duration::from_millis(20), ..EndpointFaults::default() }
}

/// Starts three entry processes and endpoints without answer faults.
async fn start_steady(token: &CancellationToken) -> (StandinWorld, Vec<EntryProcess>) {
    let world = fixture::start_world(token).await;
    let entries = start_three(&world).await;
    for endpoint in world.endpoints.values() {
        endpoint.set_faults(faults(AnswerFault::None, 1)).await;
    }
    (world, entries)
}

#[gtest]
#[actix_rt::test]
async fn answers_stay_whole_and_single_while_endpoints_and_connections_fail() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entries = start_three(&world).await;
    let (_sender, receiver) = watch::channel(addresses(&entries));
    let kinds = [AnswerFault::Crossed, AnswerFault::Truncated, AnswerFault::Doubled, AnswerFault::Lost];
    for (index, answer) in kinds.into_iter().enumerate() {
        world.endpoints[&format!("planner-{index}")].set_faults(faults(answer, 5)).await;
    }
    world.endpoints["planner-4"].set_faults(faults(AnswerFault::Refused, 3)).await;

    // Act
    let running = actix_rt::spawn(run_callers(receiver, 1));
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        world.endpoints["planner-5"].mute_connections();
        world.endpoints["planner-4"].mute_connections();
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

#[gtest]
#[actix_rt::test]
async fn answers_stay_whole_and_single_while_the_owner_is_killed() {
    // Arrange
    let token = CancellationToken::new();
    let (world, mut entries) = start_steady(&token).await;
    let (sender, receiver) = watch::channel(addresses(&entries));

    // Act
    let running = actix_rt::spawn(run_callers(receiver, 2));
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

#[gtest]
#[actix_rt::test]
async fn a_graceful_stop_of_each_process_in_turn_interrupts_no_request() {
    // Arrange
    let token = CancellationToken::new();
    let (world, mut entries) = start_steady(&token).await;
    let (sender, receiver) = watch::channel(addresses(&entries));

    // Act
    let running = actix_rt::spawn(run_callers(receiver, 3));
    for vm in ["entry-1", "entry-2", "entry-3"] {
        entries.push(fixture::start_entry(&world, &format!("{vm}-new"), "a").await);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let leaving = entries.remove(0);
        sender.send_replace(addresses(&entries));
        // The load balancer sends nothing more to it, but requests may be on their way.
        tokio::time::sleep(Duration::from_millis(200)).await;
        leaving.stop().await;
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
