//! Guards against routing whose requests wait much longer than in a single ideal queue.
//!
//! Compares the router, which queues at the owner of the partition, with simulated alternatives.

#[path = "routing_waits/lists.rs"]
mod lists;
mod routing;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use godwithaven::kernel::{RouteEffect, RouteEvent, rendezvous};
use googletest::prelude::*;

use lists::{Arrival, ENDPOINTS, SLOTS, SeededNumbers, arrivals};
use routing::ms;

/// One-way latency between two entry processes.
const HOP: Duration = ms(1);

/// 99th percentiles of the waiting time and of the response time, which is waiting plus service time.
#[derive(Clone, Copy, Debug)]
struct TailWaits {
    wait: Duration,
    response: Duration,
}

fn tail(list: &[Arrival], waits: &[Duration]) -> TailWaits {
    let p99 = |mut times: Vec<Duration>| {
        times.sort_unstable();
        times[times.len() * 99 / 100]
    };
    let responses = list.iter().zip(waits).map(|(arrival, wait)| arrival.service_time + *wait).collect();
    TailWaits { wait: p99(waits.to_vec()), response: p99(responses) }
}

/// Simulates `queues` queues with `servers` servers each. `choose` returns the queue of an arrival; `ends` is
/// called with the arrival, its queue and the end of its service.
fn serve(
    list: &[Arrival],
    queues: usize,
    servers: usize,
    mut choose: impl FnMut(usize, &Arrival) -> usize,
    mut ends: impl FnMut(&Arrival, usize, Duration),
) -> TailWaits {
    let mut free: Vec<BinaryHeap<Reverse<Duration>>> =
        vec![std::iter::repeat_n(Reverse(Duration::ZERO), servers).collect(); queues];
    let mut waits = Vec::with_capacity(list.len());
    for (index, arrival) in list.iter().enumerate() {
        let queue = choose(index, arrival);
        let Reverse(earliest) = free[queue].pop().unwrap_or_default();
        let start = earliest.max(arrival.at);
        free[queue].push(Reverse(start + arrival.service_time));
        ends(arrival, queue, start + arrival.service_time);
        waits.push(start.saturating_sub(arrival.at));
    }
    tail(list, &waits)
}

fn single_queue(list: &[Arrival]) -> TailWaits {
    serve(list, 1, ENDPOINTS * SLOTS, |_, _| 0, |_, _, _| {})
}

fn round_robin(list: &[Arrival], processes: usize) -> TailWaits {
    let mut turns: Vec<usize> = (0..processes).map(|process| process * ENDPOINTS / processes).collect();
    let choose = |_: usize, arrival: &Arrival| {
        turns[arrival.process] += 1;
        turns[arrival.process] % ENDPOINTS
    };
    serve(list, ENDPOINTS, SLOTS, choose, |_, _, _| {})
}

fn random(list: &[Arrival], seed: u64) -> TailWaits {
    let mut numbers = SeededNumbers(seed);
    serve(list, ENDPOINTS, SLOTS, |_, _| numbers.below(ENDPOINTS), |_, _, _| {})
}

/// Simulates processes that choose the least busy of the candidate endpoints by their
/// own counts of open requests.
fn by_local_counts(
    list: &[Arrival],
    processes: usize,
    mut candidates: impl FnMut(usize) -> Vec<usize>,
) -> TailWaits {
    let busy = std::cell::RefCell::new(vec![vec![0_u32; ENDPOINTS]; processes]);
    let running = std::cell::RefCell::new(BinaryHeap::<Reverse<(Duration, usize, usize)>>::new());
    let choose = |_: usize, arrival: &Arrival| {
        let (mut busy, mut running) = (busy.borrow_mut(), running.borrow_mut());
        while running.peek().is_some_and(|Reverse((end, ..))| *end <= arrival.at) {
            if let Some(Reverse((_, process, endpoint))) = running.pop() {
                busy[process][endpoint] -= 1;
            }
        }
        let local = &mut busy[arrival.process];
        let chosen = candidates(arrival.process).into_iter().min_by_key(|endpoint| local[*endpoint]);
        let chosen = chosen.unwrap_or_default();
        local[chosen] += 1;
        chosen
    };
    let ends = |arrival: &Arrival, endpoint: usize, end: Duration| {
        running.borrow_mut().push(Reverse((end, arrival.process, endpoint)));
    };
    serve(list, ENDPOINTS, SLOTS, choose, ends)
}

fn power_of_two(list: &[Arrival], processes: usize, seed: u64) -> TailWaits {
    let mut numbers = SeededNumbers(seed);
    by_local_counts(list, processes, |_| vec![numbers.below(ENDPOINTS), numbers.below(ENDPOINTS)])
}

fn subsets(list: &[Arrival], processes: usize) -> TailWaits {
    let size = ENDPOINTS.div_ceil(processes);
    let subset = |process: usize| {
        let weight = |endpoint: &usize| rendezvous::hash(&[&process.to_string(), &endpoint.to_string()]);
        let mut endpoints: Vec<usize> = (0..ENDPOINTS).collect();
        endpoints.sort_unstable_by_key(|endpoint| Reverse(weight(endpoint)));
        endpoints.truncate(size);
        endpoints
    };
    let subsets: Vec<Vec<usize>> = (0..processes).map(subset).collect();
    by_local_counts(list, processes, |process| subsets[process].clone())
}

/// Drives the real router of the owner, process 0. Requests of other processes take one
/// hop more in each direction.
fn owner_queue(list: &[Arrival]) -> TailWaits {
    let start = Instant::now();
    let mut router = routing::ready_router(ENDPOINTS, start);
    let mut events: BinaryHeap<Reverse<(Duration, u64, Option<usize>)>> = BinaryHeap::new();
    let hop = |arrival: &Arrival| if arrival.process == 0 { Duration::ZERO } else { HOP };
    for (index, arrival) in list.iter().enumerate() {
        events.push(Reverse((arrival.at + hop(arrival), 0, Some(index))));
    }
    let mut waits = vec![Duration::MAX; list.len()];
    while let Some(Reverse((at, attempt, arriving))) = events.pop() {
        let now = start + at;
        let event = match arriving {
            Some(index) => {
                let mut request = routing::request("blue", &index.to_string(), true, now);
                request.deadline = now + Duration::from_secs(600);
                RouteEvent::Arrived(request)
            }
            None => RouteEvent::Answered { attempt, status: 200, size: 100 },
        };
        for effect in router.handle(event, now) {
            if let RouteEffect::Dispatch { attempt, request, .. } = effect {
                let index: usize =
                    request.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(usize::MAX);
                let arrival = &list[index];
                waits[index] = at.saturating_sub(arrival.at) + hop(arrival);
                events.push(Reverse((at + arrival.service_time, attempt, None)));
            }
        }
    }
    tail(list, &waits)
}

#[gtest]
fn the_owner_queue_waits_little_longer_than_one_ideal_queue() {
    for (processes, seed) in [(3, 11), (9, 12)] {
        for load in [30, 70, 90, 95] {
            // Arrange
            let list = arrivals(load, processes, seed);

            // Act
            let (best, owner, turns) =
                (single_queue(&list), owner_queue(&list), round_robin(&list, processes));
            let others =
                [random(&list, seed), power_of_two(&list, processes, seed), subsets(&list, processes)];

            // Assert
            println!("{processes} processes, load {load}%, seed {seed}: ideal {best:?}, owner {owner:?}");
            println!("  round robin {turns:?}, random, power of two and subsets {others:?}");
            if load == 70 {
                expect_that!(owner.response.as_secs_f64(), le(best.response.as_secs_f64() * 1.3));
            }
            if load == 90 {
                expect_that!(owner.wait.as_secs_f64(), le(turns.wait.as_secs_f64() / 2.0));
            }
        }
    }
}
