//! Measures the latency that an entry process adds at three loads, with its CPU time and allocations.

#![expect(clippy::cast_precision_loss, reason = "counts are only printed as ratios")]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use awc::{Client, Connector};
use godwithaven_standins::endpoint::EndpointFaults;
use godwithaven_standins::world::StandinWorld;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::child::{ChildUsage, EntryChild};
use crate::{ENDPOINTS, bundle_text, fixture, routing, start_world};

/// Time that an endpoint needs for an answer.
const ENDPOINT_WORK_TIME: Duration = Duration::from_millis(50);
/// Slots of all endpoints together.
const TOTAL_SLOTS: usize = ENDPOINTS * 8;

/// Where the requests of a window are sent.
#[derive(Clone)]
enum Route {
    /// Directly to an endpoint with a free slot, from a queue in the caller; holds the addresses of the
    /// endpoints.
    Direct(Vec<String>),
    /// To an entry process; holds its address and whether the requests are idempotent.
    Entry(String, bool),
}

/// Latencies and counts of the requests of a window.
struct WindowResult {
    p50: Duration,
    p99: Duration,
    mean: Duration,
    answered: usize,
    failed: usize,
}

/// Measures all loads and routes, each in a window of `seconds` seconds, and prints a table.
pub async fn measure(seconds: u64) {
    let (token, standins) = (CancellationToken::new(), Arbiter::new());
    let world = start_world(&standins, &token).await;
    for endpoint in world.endpoints.values() {
        endpoint
            .set_faults(EndpointFaults { work_time: ENDPOINT_WORK_TIME, ..EndpointFaults::default() })
            .await;
    }
    let mut entries =
        vec![EntryChild::start(&world, "entry-1", "a"), EntryChild::start(&world, "entry-2", "b")];
    fixture::publish(&world, 1, 0, bundle_text()).await;
    for entry in &entries {
        entry.wait_ready().await;
    }
    if entries[0].dispatches().await == 0 {
        entries.swap(0, 1);
    }
    let callers = Arbiter::new();
    let direct = Route::Direct(addresses(&world));
    let service = run_window(&callers, &direct, TOTAL_SLOTS as f64 * 3.0, 2, 9).await.mean;
    let capacity = TOTAL_SLOTS as f64 / service.as_secs_f64();
    let idle = idle_usage(&mut entries, seconds).await;
    println!("{ENDPOINTS} endpoints with 8 slots, {service:?} per request, so {capacity:.0} requests/s; ");
    println!("idle owner: {:.2}% of a core, {:.0} allocations/s", idle.cpu * 100.0, idle.allocations);
    println!(
        "load | route | p50 / direct | p99 / direct | p50 | p99 | answered | failed | owner: requests/s per core | allocations per request | other: requests/s per core | allocations per request"
    );
    for (load, seed) in [(30_u32, 31), (70, 71), (95, 96)] {
        let rate = capacity * f64::from(load) / 100.0;
        let direct_result = run_window(&callers, &direct, rate, seconds, seed).await;
        print_row(load, "direct", &direct_result, &direct_result, "");
        for (name, entry, idempotent) in
            [("owner", 0, true), ("other process", 1, true), ("owner, with intents", 0, false)]
        {
            let route = Route::Entry(entries[entry].listen.clone(), idempotent);
            let before: Vec<ChildUsage> = entries.iter_mut().map(EntryChild::usage).collect();
            let started = Instant::now();
            let result = run_window(&callers, &route, rate, seconds, seed).await;
            let elapsed = started.elapsed().as_secs_f64();
            let after: Vec<ChildUsage> = entries.iter_mut().map(EntryChild::usage).collect();
            let cost = |index: usize| {
                let cpu = after[index].cpu - before[index].cpu - idle.cpu * elapsed;
                let allocations = (after[index].allocations - before[index].allocations) as f64;
                let each = (allocations - idle.allocations * elapsed) / result.answered as f64;
                format!("{:.0} | {each:.0}", result.answered as f64 / cpu)
            };
            let other = if entry == 1 { cost(1) } else { "- | -".to_owned() };
            print_row(load, name, &result, &direct_result, &format!("{} | {other}", cost(0)));
        }
    }
    for entry in entries {
        entry.stop().await;
    }
    token.cancel();
    standins.stop();
    callers.stop();
}

/// CPU seconds and allocations per second of a process without requests.
struct IdleUsage {
    cpu: f64,
    allocations: f64,
}

/// Measures the first entry process without requests.
async fn idle_usage(entries: &mut [EntryChild], seconds: u64) -> IdleUsage {
    let before = entries[0].usage();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = entries[0].usage();
    let seconds = Duration::from_secs(seconds).as_secs_f64();
    let allocations = (after.allocations - before.allocations) as f64;
    IdleUsage { cpu: (after.cpu - before.cpu) / seconds, allocations: allocations / seconds }
}

/// Prints a row of the table; latencies are also given as a multiple of those of the direct route.
fn print_row(load: u32, route: &str, result: &WindowResult, direct_result: &WindowResult, costs: &str) {
    let ratio = |time: Duration, of: Duration| time.as_secs_f64() / of.as_secs_f64();
    let ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    println!(
        "{load}% | {route} | {:.3} | {:.3} | {:.2} ms | {:.2} ms | {} | {} | {costs}",
        ratio(result.p50, direct_result.p50),
        ratio(result.p99, direct_result.p99),
        ms(result.p50),
        ms(result.p99),
        result.answered,
        result.failed
    );
}

fn addresses(world: &StandinWorld) -> Vec<String> {
    world.endpoints.values().map(|endpoint| endpoint.address.to_string()).collect()
}

/// Sends the requests of a window from the thread of the arbiter.
async fn run_window(callers: &Arbiter, route: &Route, rate: f64, seconds: u64, seed: u64) -> WindowResult {
    let (reply, result) = oneshot::channel();
    let route = route.clone();
    callers.spawn_fn(move || {
        actix_rt::spawn(async move {
            let _ = reply.send(send_at_random_times(route, rate, seconds, seed).await);
        });
    });
    result.await.unwrap()
}

/// Sends requests at seeded random times with exponentially distributed gaps, and waits for all answers.
async fn send_at_random_times(route: Route, rate: f64, seconds: u64, seed: u64) -> WindowResult {
    let client =
        Client::builder().connector(Connector::new().limit(0)).timeout(Duration::from_secs(20)).finish();
    let mut state = seed;
    let (latency_sender, mut latencies) = mpsc::unbounded_channel();
    let (freed_slot_sender, mut freed_slots) = mpsc::unbounded_channel();
    let mut free_endpoints: VecDeque<usize> = (0..TOTAL_SLOTS).map(|slot| slot % ENDPOINTS).collect();
    let mut waiting: VecDeque<(u64, Instant)> = VecDeque::new();
    let start = Instant::now();
    let (mut next, mut sent) = (start, 0_u64);
    let end = start + Duration::from_secs(seconds);
    while next < end || !waiting.is_empty() {
        tokio::select! {
            () = tokio::time::sleep_until(next.into()), if next < end => {
                sent += 1;
                waiting.push_back((sent, next));
                let fraction = ((routing::next_random(&mut state) >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
                next += Duration::from_secs_f64(-fraction.ln() / rate);
            }
            Some(slot) = freed_slots.recv() => free_endpoints.push_back(slot),
        }
        while let Some((number, at)) = waiting.pop_front() {
            let id = format!("w{seed}-{}-{number}", start.elapsed().as_nanos());
            let (request, slot) = match &route {
                Route::Entry(address, idempotent) => {
                    (entry_request(&client, address, &id, *idempotent), None)
                }
                Route::Direct(addresses) => {
                    let Some(slot) = free_endpoints.pop_front() else {
                        waiting.push_front((number, at));
                        break;
                    };
                    let url = format!("http://{}/run", addresses[slot]);
                    (client.post(url).insert_header(("x-request-id", id)), Some(slot))
                }
            };
            let (latency_sender, freed_slot_sender) = (latency_sender.clone(), freed_slot_sender.clone());
            actix_rt::spawn(async move {
                let answered = is_answered(request).await;
                slot.map(|slot| freed_slot_sender.send(slot));
                let _ = latency_sender.send(answered.then(|| at.elapsed()));
            });
        }
    }
    drop(latency_sender);
    let mut times = Vec::new();
    let mut failed = 0;
    while let Some(time) = latencies.recv().await {
        times.extend(time);
        failed += usize::from(time.is_none());
    }
    times.sort_unstable();
    let mean = times.iter().sum::<Duration>() / u32::try_from(times.len().max(1)).unwrap_or(u32::MAX);
    let answered = times.len();
    WindowResult { p50: times[answered / 2], p99: times[answered * 99 / 100], mean, answered, failed }
}

fn entry_request(client: &Client, address: &str, id: &str, idempotent: bool) -> awc::ClientRequest {
    client
        .post(format!("http://{address}/v1/services/planner/requests"))
        .insert_header(("x-team", "blue"))
        .insert_header(("x-team-key", fixture::BLUE_KEY))
        .insert_header(("x-idempotent", if idempotent { "true" } else { "false" }))
        .insert_header(("x-request-id", id))
}

/// Sends a request and returns whether a complete answer with a success status arrived.
async fn is_answered(request: awc::ClientRequest) -> bool {
    match request.send_body("body of a request").await {
        Ok(mut response) => response.status().is_success() && response.body().await.is_ok(),
        Err(_) => false,
    }
}
