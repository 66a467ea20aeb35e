//! Added time of an entry process at three loads, with its processor time and allocations.

#![expect(clippy::cast_precision_loss, reason = "counts of printed figures")]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use awc::{Client, Connector};
use godwithaven_standins::endpoint::EndpointFaults;
use godwithaven_standins::world::StandinWorld;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::child::{ChildUse, EntryChild};
use crate::{ENDPOINTS, bundle_text, fixture, routing, start_world};

/// Time of an answer at an endpoint.
const WORK_TIME: Duration = Duration::from_millis(50);
const SLOTS: usize = ENDPOINTS * 8;

/// Where the requests of a window go.
#[derive(Clone)]
enum Route {
    /// To endpoints with a free slot, from one queue in the caller.
    Direct(Vec<String>),
    /// To an entry process; holds its address and whether requests are idempotent.
    Entry(String, bool),
}

/// What a window showed.
struct WindowResult {
    p50: Duration,
    p99: Duration,
    mean: Duration,
    answered: usize,
    failed: usize,
}

/// Prints the figures of all loads and routes.
pub async fn measure(seconds: u64) {
    let (token, standins) = (CancellationToken::new(), Arbiter::new());
    let world = start_world(&standins, &token).await;
    for endpoint in world.endpoints.values() {
        endpoint.set_faults(EndpointFaults { work_time: WORK_TIME, ..EndpointFaults::default() }).await;
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
    let service = run(&callers, &direct, SLOTS as f64 * 3.0, 2, 9).await.mean;
    let capacity = SLOTS as f64 / service.as_secs_f64();
    let idle = idle_use(&mut entries, seconds).await;
    println!("{ENDPOINTS} endpoints with 8 slots, {service:?} per request, so {capacity:.0} requests/s; ");
    println!("idle owner: {:.2}% of a core, {:.0} allocations/s", idle.cpu * 100.0, idle.allocations);
    println!(
        "load | route | p50 / direct | p99 / direct | p50 | p99 | answered | failed | owner: requests/s per core | allocations per request | other: requests/s per core | allocations per request"
    );
    for (load, seed) in [(30_u32, 31), (70, 71), (95, 96)] {
        let rate = capacity * f64::from(load) / 100.0;
        let base = run(&callers, &direct, rate, seconds, seed).await;
        print_row(load, "direct", &base, &base, "");
        for (name, entry, idempotent) in
            [("owner", 0, true), ("other process", 1, true), ("owner, with intents", 0, false)]
        {
            let route = Route::Entry(entries[entry].listen.clone(), idempotent);
            let before: Vec<ChildUse> = entries.iter_mut().map(EntryChild::usage).collect();
            let started = Instant::now();
            let result = run(&callers, &route, rate, seconds, seed).await;
            let spent = started.elapsed().as_secs_f64();
            let after: Vec<ChildUse> = entries.iter_mut().map(EntryChild::usage).collect();
            let cost = |index: usize| {
                let cpu = after[index].cpu - before[index].cpu - idle.cpu * spent;
                let made = (after[index].allocations - before[index].allocations) as f64;
                let each = (made - idle.allocations * spent) / result.answered as f64;
                format!("{:.0} | {each:.0}", result.answered as f64 / cpu)
            };
            let other = if entry == 1 { cost(1) } else { "- | -".to_owned() };
            print_row(load, name, &result, &base, &format!("{} | {other}", cost(0)));
        }
    }
    for entry in entries {
        entry.stop().await;
    }
    token.cancel();
    standins.stop();
    callers.stop();
}

/// Processor seconds and allocations in a second.
struct IdleUse {
    cpu: f64,
    allocations: f64,
}

async fn idle_use(entries: &mut [EntryChild], seconds: u64) -> IdleUse {
    let before = entries[0].usage();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = entries[0].usage();
    let seconds = Duration::from_secs(seconds).as_secs_f64();
    let made = (after.allocations - before.allocations) as f64;
    IdleUse { cpu: (after.cpu - before.cpu) / seconds, allocations: made / seconds }
}

fn print_row(load: u32, route: &str, result: &WindowResult, base: &WindowResult, costs: &str) {
    let ratio = |time: Duration, of: Duration| time.as_secs_f64() / of.as_secs_f64();
    let ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    println!(
        "{load}% | {route} | {:.3} | {:.3} | {:.2} ms | {:.2} ms | {} | {} | {costs}",
        ratio(result.p50, base.p50),
        ratio(result.p99, base.p99),
        ms(result.p50),
        ms(result.p99),
        result.answered,
        result.failed
    );
}

fn addresses(world: &StandinWorld) -> Vec<String> {
    world.endpoints.values().map(|endpoint| endpoint.address.to_string()).collect()
}

/// Runs a window on the thread of the callers.
async fn run(callers: &Arbiter, route: &Route, rate: f64, seconds: u64, seed: u64) -> WindowResult {
    let (reply, result) = oneshot::channel();
    let route = route.clone();
    callers.spawn_fn(move || {
        actix_rt::spawn(async move {
            let _ = reply.send(drive(route, rate, seconds, seed).await);
        });
    });
    result.await.unwrap()
}

/// Sends requests at seeded random times and waits for all answers.
async fn drive(route: Route, rate: f64, seconds: u64, seed: u64) -> WindowResult {
    let client =
        Client::builder().connector(Connector::new().limit(0)).timeout(Duration::from_secs(20)).finish();
    let mut random = seed;
    let (done, mut results) = mpsc::unbounded_channel();
    let (freed, mut slots) = mpsc::unbounded_channel();
    let mut free: VecDeque<usize> = (0..SLOTS).map(|slot| slot % ENDPOINTS).collect();
    let mut waiting: VecDeque<(u64, Instant)> = VecDeque::new();
    let start = Instant::now();
    let (mut next, mut sent) = (start, 0_u64);
    let end = start + Duration::from_secs(seconds);
    while next < end || !waiting.is_empty() {
        tokio::select! {
            () = tokio::time::sleep_until(next.into()), if next < end => {
                sent += 1;
                waiting.push_back((sent, next));
                let fraction = ((routing::next_random(&mut random) >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
                next += Duration::from_secs_f64(-fraction.ln() / rate);
            }
            Some(slot) = slots.recv() => free.push_back(slot),
        }
        while let Some((number, at)) = waiting.pop_front() {
            let id = format!("w{seed}-{}-{number}", start.elapsed().as_nanos());
            let (request, slot) = match &route {
                Route::Entry(address, idempotent) => {
                    (entry_request(&client, address, &id, *idempotent), None)
                }
                Route::Direct(addresses) => {
                    let Some(slot) = free.pop_front() else {
                        waiting.push_front((number, at));
                        break;
                    };
                    let url = format!("http://{}/run", addresses[slot]);
                    (client.post(url).insert_header(("x-request-id", id)), Some(slot))
                }
            };
            let (done, freed) = (done.clone(), freed.clone());
            actix_rt::spawn(async move {
                let answered = answer(request).await;
                slot.map(|slot| freed.send(slot));
                let _ = done.send(answered.then(|| at.elapsed()));
            });
        }
    }
    drop(done);
    let mut times = Vec::new();
    let mut failed = 0;
    while let Some(time) = results.recv().await {
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

/// Returns whether a whole answer with status 200 came.
async fn answer(request: awc::ClientRequest) -> bool {
    match request.send_body("body of a request").await {
        Ok(mut response) => response.status().is_success() && response.body().await.is_ok(),
        Err(_) => false,
    }
}
