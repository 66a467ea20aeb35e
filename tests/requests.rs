//! Guards the decisions of the service router: correct refusals, at-most-once execution, slot limits,
//! endpoint health and fairness between teams.

mod routing;

use std::time::{Duration, Instant};

use godwithaven::kernel::id::AttemptId;
use godwithaven::kernel::{
    AttemptFailure, EndpointHealth, ExecutionStatus, IntentRejection, RetentionQueue, RouteEffect,
    RouteEvent, ServiceRouter, TeamLimits,
};
use googletest::prelude::*;
use routing::{claimed_router, dispatches, endpoint, ms, probe, ready_router, refusals, request};

fn answered(attempt: AttemptId) -> RouteEvent {
    RouteEvent::Answered { attempt, status: 200, size: 10 }
}

/// Handles the arrival of a non-idempotent request and its valid intent; returns the effects of the intent.
fn arrive_with_intent(router: &mut ServiceRouter, id: &str, now: Instant) -> Vec<RouteEffect> {
    router.handle(RouteEvent::Arrived(request("blue", id, false, now)), now);
    router.handle(RouteEvent::IntentAccepted(format!("blue/{id}").into()), now)
}

/// Guards against a dispatch without a recorded intent, and against a second run after a lost connection.
#[gtest]
fn a_non_idempotent_request_is_sent_once_after_its_intent() {
    // Arrange
    let now = Instant::now();
    let mut router = ready_router(3, now);

    // Act
    let arrival = router.handle(RouteEvent::Arrived(request("blue", "1", false, now)), now);
    let accepted = router.handle(RouteEvent::IntentAccepted("blue/1".into()), now);
    let attempt = dispatches(&accepted)[0].0;
    let failed = router.handle(RouteEvent::Failed(attempt, AttemptFailure::Unknown), now);
    let repeat = router.handle(RouteEvent::Arrived(request("blue", "1", false, now)), now);
    let later = router.handle(RouteEvent::Tick, now + ms(5_000));

    // Assert
    expect_that!(arrival, elements_are![eq(&RouteEffect::RecordIntent("blue/1".into()))]);
    expect_that!(dispatches(&accepted), len(eq(1)));
    expect_that!(refusals(&failed)[0].2, eq(ExecutionStatus::MayHaveRun));
    expect_that!(refusals(&repeat)[0].2, eq(ExecutionStatus::MayHaveRun));
    expect_that!(dispatches(&later), is_empty());
}

/// Guards against a request that is started by its late intent after its callers were refused with `not_run`.
#[gtest]
fn a_deadline_before_the_intent_refuses_and_a_later_arrival_runs() {
    // Arrange
    let now = Instant::now();
    let mut router = ready_router(3, now);
    router.handle(RouteEvent::Arrived(request("blue", "1", false, now)), now);

    // Act
    let late = now + ms(11_000);
    let expired = router.handle(RouteEvent::Tick, late);
    let applied = router.handle(RouteEvent::IntentAccepted("blue/1".into()), late);
    let again = router.handle(RouteEvent::Arrived(request("blue", "1", false, late)), late);

    // Assert
    expect_that!(
        refusals(&expired),
        elements_are![eq(&("blue/1".into(), "deadline".into(), ExecutionStatus::NotRun))]
    );
    expect_that!(dispatches(&applied), is_empty());
    expect_that!(dispatches(&again), len(eq(1)));
}

/// Guards against a second run by a new owner of the partition, which knows earlier ids only from the ledger.
#[gtest]
fn an_id_in_the_ledger_is_never_run_by_a_new_owner() {
    // Arrange
    let now = Instant::now();
    let mut router = ready_router(3, now);
    let known = |digest| {
        let mut known = request("blue", "1", false, now);
        known.recorded_digest = Some([digest; 32]);
        RouteEvent::Arrived(known)
    };

    // Act
    let same = router.handle(known(1), now);
    let other = router.handle(known(2), now);
    router.handle(RouteEvent::Arrived(request("blue", "2", false, now)), now);
    let raced = router.handle(RouteEvent::IntentRefused("blue/2".into(), IntentRejection::Duplicate), now);

    // Assert
    let unknown = ("blue/1".to_owned(), "answer_unknown".to_owned(), ExecutionStatus::MayHaveRun);
    expect_that!(refusals(&same), elements_are![eq(&unknown)]);
    expect_that!(refusals(&other)[0].1, eq("id_reused"));
    expect_that!(refusals(&raced)[0].2, eq(ExecutionStatus::MayHaveRun));
}

/// Guards against two runs of one id, and against the answer of the first request for
/// another body with its id.
#[gtest]
fn a_repeat_joins_the_first_request_or_gets_its_answer() {
    // Arrange
    let now = Instant::now();
    let mut router = ready_router(3, now);
    let attempt = dispatches(&arrive_with_intent(&mut router, "1", now))[0].0;
    let mut other = request("blue", "1", false, now);
    other.digest = [2; 32];

    // Act
    let joined = router.handle(RouteEvent::Arrived(request("blue", "1", false, now)), now);
    let reused = router.handle(RouteEvent::Arrived(other), now);
    let delivered = router.handle(answered(attempt), now);
    let repeated = router.handle(answered(attempt), now);
    let replayed = router.handle(RouteEvent::Arrived(request("blue", "1", false, now)), now);

    // Assert
    expect_that!(joined, is_empty());
    expect_that!(refusals(&reused)[0].1, eq("id_reused"));
    expect_that!(delivered, elements_are![eq(&RouteEffect::Deliver { request: "blue/1".into(), attempt })]);
    expect_that!(repeated, is_empty());
    expect_that!(replayed, elements_are![eq(&RouteEffect::Replay("blue/1".into()))]);
}

/// Guards against more requests on an endpoint than its 8 slots after a change of owner
/// and after a lost attempt.
#[gtest]
fn slots_of_unknown_use_are_held_until_a_probe_shows_them_free() {
    // Arrange
    let before = Instant::now();
    let now = before + ms(1);
    let mut router = claimed_router(1, now);
    for index in 0..10 {
        let arrived = RouteEvent::Arrived(request("blue", &index.to_string(), true, now));
        expect_that!(dispatches(&router.handle(arrived, now)), is_empty());
    }

    // Act
    let health = Some(EndpointHealth { busy: 0, leaving: false });
    let stale = RouteEvent::Probed { vm: endpoint(0).vm, sent: before, health };
    let old = router.handle(stale, now);
    let six_free = dispatches(&probe(&mut router, 0, 2, now));
    let lost = RouteEvent::Failed(six_free[0].0, AttemptFailure::Unknown);
    let after_loss = dispatches(&router.handle(lost, now));
    let after_probe = dispatches(&probe(&mut router, 0, 5, now + ms(500)));
    let mut silent = claimed_router(1, now);
    let mut long_deadline = request("blue", "1", true, now);
    long_deadline.deadline = now + routing::TIMEOUT * 2;
    let held = silent.handle(RouteEvent::Arrived(long_deadline), before + routing::TIMEOUT);
    let after_time = silent.handle(RouteEvent::Tick, now + routing::TIMEOUT);

    // Assert
    expect_that!(dispatches(&old), is_empty());
    expect_that!(six_free, len(eq(6)));
    expect_that!(after_loss, is_empty());
    // The endpoint counts 5 busy slots and 5 attempts of this router are in flight, so no slot is held.
    expect_that!(after_probe, len(eq(3)));
    expect_that!(dispatches(&held), is_empty());
    expect_that!(dispatches(&after_time), len(eq(1)));
}

/// Guards against a dispatch by a process that lost its claim, and against lost answers
/// of requests in flight.
#[gtest]
fn a_lost_claim_refuses_queued_requests_and_delivers_running_ones() {
    // Arrange
    let now = Instant::now();
    let mut router = ready_router(1, now);
    let mut attempts = Vec::new();
    for index in 0..9 {
        let arrived = RouteEvent::Arrived(request("blue", &index.to_string(), true, now));
        attempts.extend(dispatches(&router.handle(arrived, now)));
    }

    // Act
    let lost = router.handle(RouteEvent::ClaimLost, now);
    let answer = router.handle(answered(attempts[0].0), now);
    let late = router.handle(RouteEvent::Arrived(request("blue", "late", true, now)), now);

    // Assert
    expect_that!(attempts, len(eq(8)));
    expect_that!(
        refusals(&lost),
        elements_are![eq(&("blue/8".into(), "no_owner".into(), ExecutionStatus::NotRun))]
    );
    expect_that!(answer, len(eq(1)));
    expect_that!(refusals(&late)[0].1, eq("no_owner"));
    expect_that!(dispatches(&late), is_empty());
}

/// Guards against requests that wait forever on a connection over which no answer can arrive.
#[gtest]
fn two_idle_probes_end_attempts_that_the_endpoint_does_not_know() {
    // Arrange
    let now = Instant::now();
    let mut router = ready_router(1, now);
    let attempt = dispatches(&arrive_with_intent(&mut router, "1", now))[0].0;

    // Act
    let too_early = probe(&mut router, 0, 0, now + ms(100));
    let first = probe(&mut router, 0, 0, now + ms(500));
    let second = probe(&mut router, 0, 0, now + ms(1_000));

    // Assert
    expect_that!(too_early, is_empty());
    expect_that!(first, is_empty());
    expect_that!(second, elements_are![eq(&RouteEffect::Abandon { vm: "e00".into(), attempt })]);
}

/// Guards against endpoints that fail fast and so attract all requests, and against the
/// ejection of most endpoints.
#[gtest]
fn fast_failing_endpoints_are_ejected_up_to_a_third() {
    // Arrange
    let now = Instant::now();
    let mut router = ready_router(9, now);
    let failing = ["e00", "e03", "e06", "e01", "e02"];
    let mut on_failing = 0;

    // Act
    for index in 0..600_u64 {
        let at = now + ms(index * 2);
        let arrived = RouteEvent::Arrived(request("blue", &index.to_string(), true, at));
        for (attempt, _, vm) in dispatches(&router.handle(arrived, at)) {
            let fails = failing.contains(&vm.as_str());
            on_failing += u32::from(fails);
            let status = if fails { 500 } else { 200 };
            router.handle(RouteEvent::Answered { attempt, status, size: 1 }, at + ms(1));
        }
    }
    let states = router.endpoints(now + ms(1_200));

    // Assert
    expect_that!(states.iter().filter(|state| state.state == "ejected").count(), eq(3));
    expect_that!(on_failing, le(30));
}

/// Guards against longer waits of one team because another team has many waiting requests.
#[gtest]
fn a_flood_of_one_team_does_not_delay_another() {
    // Arrange
    let now = Instant::now();
    let mut router = ready_router(1, now);
    let mut running = Vec::new();
    for index in 0..900 {
        let arrived = RouteEvent::Arrived(request("red", &index.to_string(), true, now));
        running.extend(dispatches(&router.handle(arrived, now)));
    }

    // Act
    let mut order = Vec::new();
    for index in 0..20 {
        router.handle(RouteEvent::Arrived(request("blue", &index.to_string(), true, now)), now);
    }
    for step in 1..=40 {
        let (attempt, ..) = running.remove(0);
        let next = dispatches(&router.handle(answered(attempt), now + ms(step)));
        order.extend(next.iter().map(|(_, id, _)| id.split('/').next().unwrap_or("").to_owned()));
        running.extend(next);
    }

    // Assert
    expect_that!(order.iter().filter(|team| *team == "blue").count(), ge(18));
}

/// Guards against unbounded queues, and against requests that are queued although they
/// cannot meet their deadline.
#[gtest]
fn a_full_queue_and_an_unreachable_deadline_are_refused_at_once() {
    // Arrange
    let now = Instant::now();
    let mut router = ready_router(1, now);
    let team = TeamLimits { team: "blue".into(), share: 1, max_requests: 30 };
    router.handle(RouteEvent::TeamsChanged(vec![team]), now);
    for index in 0..25 {
        let arrived = RouteEvent::Arrived(request("blue", &format!("warm-{index}"), true, now));
        let attempt = dispatches(&router.handle(arrived, now))[0].0;
        router.handle(answered(attempt), now + ms(100));
    }

    // Act
    let mut short = request("blue", "short", true, now);
    short.deadline = now + ms(20);
    let unreachable = router.handle(RouteEvent::Arrived(short), now);
    let mut last = Vec::new();
    for index in 0..31 {
        last = router.handle(RouteEvent::Arrived(request("blue", &index.to_string(), true, now)), now);
    }

    // Assert
    expect_that!(
        refusals(&unreachable),
        elements_are![eq(&("blue/short".into(), "deadline".into(), ExecutionStatus::NotRun))]
    );
    expect_that!(
        refusals(&last),
        elements_are![eq(&("blue/30".into(), "queue_full".into(), ExecutionStatus::NotRun))]
    );
    let RouteEffect::RefuseArrival(_, refusal) = &last[0] else { panic!("no refusal") };
    expect_that!(refusal.retry_after, some(ge(ms(1))));
}

/// Guards against retries that multiply the load on a failing service.
#[gtest]
fn retries_stay_within_a_tenth_of_the_requests() {
    // Arrange
    let now = Instant::now();
    let mut router = ready_router(9, now);
    let mut sent = 0_u32;

    // Act
    for index in 0..1_000_u64 {
        let at = now + ms(index * 300);
        for target in 0..9 {
            probe(&mut router, target, 0, at);
        }
        let arrived = RouteEvent::Arrived(request("blue", &index.to_string(), true, at));
        let mut open = dispatches(&router.handle(arrived, at));
        while let Some((attempt, ..)) = open.pop() {
            sent += 1;
            router.handle(RouteEvent::Failed(attempt, AttemptFailure::Unknown), at);
            open = dispatches(&router.handle(RouteEvent::Tick, at + ms(290)));
        }
    }

    // Assert
    expect_that!(sent, all!(ge(1_000), le(1_110)));
}

/// Guards against retained answers that use memory without bound.
#[gtest]
fn retained_answers_stay_within_their_bound_and_the_oldest_is_evicted_first() {
    // Arrange
    let now = Instant::now();
    let mut router = ready_router(3, now);
    let size = RetentionQueue::MAX_BYTES / 4;

    // Act
    let mut evicted = Vec::new();
    for index in 0..6 {
        let attempt = dispatches(&arrive_with_intent(&mut router, &index.to_string(), now))[0].0;
        let effects = router.handle(RouteEvent::Answered { attempt, status: 200, size }, now);
        evicted.extend(effects.into_iter().filter(|effect| matches!(effect, RouteEffect::EvictAnswer(_))));
    }

    // Assert
    let evict = |id: &str| RouteEffect::EvictAnswer(id.into());
    expect_that!(evicted, eq(&vec![evict("blue/0"), evict("blue/1"), evict("blue/2")]));
}

/// Guards against a second run, or a `not_run` refusal of a request that ran, under random orders of events.
#[gtest]
fn no_order_of_events_runs_a_non_idempotent_request_twice() {
    for seed in 1..=200_u64 {
        // Arrange
        let mut random = seed;
        let start = Instant::now();
        let mut router = ready_router(4, start);
        let mut running: Vec<(AttemptId, String)> = Vec::new();
        let mut started: std::collections::HashMap<String, u32> = std::collections::HashMap::new();
        let mut pending: Vec<String> = Vec::new();

        // Act
        for step in 0..400_u64 {
            let now = start + ms(step * 20);
            let pick = routing::next_random(&mut random);
            let index = usize::try_from(pick >> 8).unwrap_or(0);
            let event = match pick % 7 {
                0 | 1 => {
                    let mut arrival = request("blue", &(pick % 61).to_string(), false, now);
                    arrival.deadline = now + ms(pick % 500 + 1);
                    RouteEvent::Arrived(arrival)
                }
                2 if !pending.is_empty() => {
                    let id = pending.swap_remove(index % pending.len());
                    RouteEvent::IntentAccepted(id.as_str().into())
                }
                3 if !running.is_empty() => answered(running.swap_remove(index % running.len()).0),
                4 if !running.is_empty() => {
                    let (attempt, id) = running.swap_remove(index % running.len());
                    let lost = pick & 128 == 0;
                    let failure = if lost { AttemptFailure::Unknown } else { AttemptFailure::NotStarted };
                    if !lost {
                        *started.entry(id).or_default() -= 1;
                    }
                    RouteEvent::Failed(attempt, failure)
                }
                5 => RouteEvent::CallersDisconnected(format!("blue/{}", pick % 61).into()),
                _ => RouteEvent::Tick,
            };
            for effect in router.handle(event, now) {
                match effect {
                    RouteEffect::RecordIntent(id) => pending.push(id.to_string()),
                    RouteEffect::Dispatch { attempt, request, .. } => {
                        *started.entry(request.to_string()).or_default() += 1;
                        running.push((attempt, request.to_string()));
                    }
                    RouteEffect::Refuse(id, refusal)
                    | RouteEffect::RefuseCallers(id, refusal)
                    | RouteEffect::RefuseArrival(id, refusal)
                        if refusal.run == ExecutionStatus::NotRun =>
                    {
                        let runs = started.get(&*id).copied().unwrap_or(0);
                        expect_that!(
                            runs,
                            eq(0),
                            "seed {seed} step {step}: false not_run for {id}: {refusal}"
                        );
                    }
                    _ => {}
                }
            }

            // Assert
            expect_that!(started.values().all(|runs| *runs <= 1), eq(true), "seed {seed} step {step}");
        }
        expect_that!(router.handle(RouteEvent::Tick, start + Duration::from_secs(700)), anything());
    }
}
