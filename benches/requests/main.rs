//! Measures the request path over sockets: added latency, requests per core and allocations, and the number
//! of violated guarantees under faults.
//!
//! `cargo bench --bench requests` prints all figures of one run. `GODWITHAVEN_REQUESTS` sets the number of
//! requests under faults (default 200,000) and `GODWITHAVEN_SEED` the seed of the faults (default 1).
//! `GODWITHAVEN_SECONDS` sets the length of each latency window in seconds (default 6); 0 skips these
//! windows.

mod child;
mod faults;
mod load;

#[path = "../../tests/calls/mod.rs"]
mod calls;
#[path = "../../tests/fixture/mod.rs"]
mod fixture;
#[path = "../../tests/routing/mod.rs"]
mod routing;

use std::alloc::System;

use actix_rt::Arbiter;
use godwithaven_standins::world::{StandinWorld, WorldShape};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Number of endpoints of the service, each with 8 slots.
const ENDPOINTS: usize = 12;

#[actix_rt::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|argument| argument == child::CHILD_MODE_ARGUMENT) {
        child::run(&arguments[1..]).await;
        return;
    }
    let seconds = env_number("GODWITHAVEN_SECONDS", 6);
    if seconds > 0 {
        load::measure(seconds).await;
    }
    faults::measure(env_number("GODWITHAVEN_REQUESTS", 200_000), env_number("GODWITHAVEN_SEED", 1)).await;
}

/// Returns the number in an environment variable, or the default if it is unset or not a number.
fn env_number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Starts the stand-ins, without workers, on the thread of the arbiter.
async fn start_world(arbiter: &Arbiter, token: &CancellationToken) -> StandinWorld {
    let shape = WorldShape {
        workers_per_zone: 0,
        services: vec![("planner".into(), ENDPOINTS)],
        ..WorldShape::default()
    };
    let (reply, world) = oneshot::channel();
    let token = token.clone();
    arbiter.spawn(async move {
        let _ = reply.send(StandinWorld::start(&shape, &token).await.unwrap());
    });
    world.await.unwrap()
}

/// Returns the text of the bundle that all runs use; requests time out after 3 s.
fn bundle_text() -> String {
    fixture::bundle_text(1, 0) + "timeout_ms = 3000\n"
}
