//! Fixtures of a service router on a logical clock.

#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::time::{Duration, Instant};

use godwithaven::kernel::id::AttemptId;
use godwithaven::kernel::{
    EndpointHealth, EndpointVm, ExecutionStatus, PluginRegistry, RequestRefusal, RouteEffect, RouteEvent,
    RouteRequest, ServiceRouter, TeamLimits,
};

/// Time limit for an answer in the fixtures.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a duration in milliseconds.
pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns an endpoint with 8 slots in one of three zones.
pub fn endpoint(index: usize) -> EndpointVm {
    EndpointVm {
        vm: format!("e{index:02}").into(),
        zone: ["a", "b", "c"][index % 3].into(),
        service: "planner".into(),
        address: format!("127.0.0.1:{}", 9_000 + index),
        slots: 8,
        connections: 64,
        leaving: false,
    }
}

/// Returns a router that has just claimed a partition of `count` endpoints; their slots are still held.
pub fn claimed_router(count: usize, now: Instant) -> ServiceRouter {
    let policy = PluginRegistry::collect().routings["least_wait"];
    let mut router = ServiceRouter::new(policy, TIMEOUT);
    let team = |name: &str| TeamLimits { team: name.into(), share: 1, max_requests: 1_000 };
    router.handle(RouteEvent::TeamsChanged(vec![team("blue"), team("red")]), now);
    router.handle(RouteEvent::EndpointsListed((0..count).map(endpoint).collect()), now);
    router
}

/// Returns a router whose endpoints have all been probed and reported no work, so that all slots are free.
pub fn ready_router(count: usize, now: Instant) -> ServiceRouter {
    let mut router = claimed_router(count, now);
    for index in 0..count {
        probe(&mut router, index, 0, now);
    }
    router
}

/// Handles a probe of endpoint `index` that was sent and answered at `now` with `busy`
/// requests; returns the effects.
pub fn probe(router: &mut ServiceRouter, index: usize, busy: u32, now: Instant) -> Vec<RouteEffect> {
    let health = Some(EndpointHealth { busy, leaving: false });
    router.handle(RouteEvent::Probed { vm: endpoint(index).vm, sent: now, health }, now)
}

/// Returns a request with a body of 100 bytes and a deadline 10 s from `now`.
pub fn request(team: &str, id: &str, idempotent: bool, now: Instant) -> RouteRequest {
    RouteRequest {
        id: format!("{team}/{id}").into(),
        team: team.into(),
        zone: "a".into(),
        digest: [1; 32],
        size: 100,
        idempotent,
        deadline: now + Duration::from_secs(10),
        recorded_digest: None,
    }
}

/// Returns the dispatches among the effects: attempt, request, endpoint.
pub fn dispatches(effects: &[RouteEffect]) -> Vec<(AttemptId, String, String)> {
    let dispatch = |effect: &RouteEffect| match effect {
        RouteEffect::Dispatch { attempt, request, vm, .. } => {
            Some((*attempt, request.to_string(), vm.to_string()))
        }
        _ => None,
    };
    effects.iter().filter_map(dispatch).collect()
}

/// Returns the refusals among the effects: request, code and execution status.
pub fn refusals(effects: &[RouteEffect]) -> Vec<(String, String, ExecutionStatus)> {
    let row = |id: &str, refusal: &RequestRefusal| (id.to_owned(), refusal.code.to_string(), refusal.run);
    let refusal = |effect: &RouteEffect| match effect {
        RouteEffect::Refuse(id, refusal)
        | RouteEffect::RefuseCallers(id, refusal)
        | RouteEffect::RefuseArrival(id, refusal) => Some(row(id, refusal)),
        _ => None,
    };
    effects.iter().filter_map(refusal).collect()
}

/// Advances an xorshift generator and returns its next number; the same seed gives the same sequence.
pub fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}
