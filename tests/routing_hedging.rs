//! Guards the decision not to hedge requests: with the arrivals of `routing_waits`, hedging does not shorten
//! the 99th percentile of response times when the requests themselves are long.

#[path = "routing_waits/lists.rs"]
mod lists;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use godwithaven::kernel::RetryBudget;
use googletest::prelude::*;

use lists::{Arrival, ENDPOINTS, LONG_SERVICE_TIME, SHORT_SERVICE_TIME, SLOTS, SeededNumbers, arrivals};

/// Additional time of a stalled attempt.
const STALL: Duration = Duration::from_millis(400);

/// What makes an attempt long.
#[derive(Clone, Copy, Debug)]
enum LongCause {
    /// The request: every attempt takes the listed service time.
    Request,
    /// The attempt: each one draws its service time with the probabilities of the list.
    Attempt,
    /// As [`LongCause::Request`], and one attempt in fifty stalls for 400 ms, which adds a fifth to the load.
    Stall,
}

/// Result of one simulated run.
#[derive(Clone, Copy, Debug)]
struct HedgeResult {
    p99: Duration,
    /// Second attempts per thousand requests.
    hedged: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    End,
    Arrive,
    Hedge,
}

/// Pending events of a simulated run, and the rules by which attempts are started.
struct Simulation<'a> {
    list: &'a [Arrival],
    cause: LongCause,
    numbers: SeededNumbers,
    hedge_after: Option<Duration>,
    events: BinaryHeap<Reverse<(Duration, Step, usize)>>,
}

impl Simulation<'_> {
    fn start(&mut self, at: Duration, index: usize, first: bool) {
        let listed = self.list[index].service_time;
        let service_time = match self.cause {
            LongCause::Request => listed,
            LongCause::Attempt => {
                if self.numbers.below(10) == 0 {
                    LONG_SERVICE_TIME
                } else {
                    SHORT_SERVICE_TIME
                }
            }
            LongCause::Stall => listed + STALL * u32::from(self.numbers.below(50) == 0),
        };
        self.events.push(Reverse((at + service_time, Step::End, index)));
        if let Some(wait) = self.hedge_after.filter(|_| first) {
            self.events.push(Reverse((at + wait, Step::Hedge, index)));
        }
    }
}

/// Simulates one queue. A request without an answer after `hedge_after` is sent a second time if a slot is
/// free, no request waits and the retry budget allows it. The slower attempt occupies its slot until it ends.
fn simulate(list: &[Arrival], cause: LongCause, hedge_after: Option<Duration>) -> HedgeResult {
    let numbers = SeededNumbers(5);
    let mut simulation = Simulation { list, cause, numbers, hedge_after, events: BinaryHeap::new() };
    let arrive = |(index, arrival): (usize, &Arrival)| Reverse((arrival.at, Step::Arrive, index));
    simulation.events.extend(list.iter().enumerate().map(arrive));
    let (mut free, mut queue) = (ENDPOINTS * SLOTS, VecDeque::new());
    let (mut budget, mut hedged) = (RetryBudget::new(), 0);
    let mut responses: Vec<Option<Duration>> = vec![None; list.len()];
    while let Some(Reverse((at, step, index))) = simulation.events.pop() {
        match step {
            Step::Arrive => queue.push_back(index),
            Step::End => {
                free += 1;
                responses[index].get_or_insert(at.saturating_sub(list[index].at));
            }
            Step::Hedge
                if responses[index].is_none() && free > 0 && queue.is_empty() && budget.try_withdraw() =>
            {
                (free, hedged) = (free - 1, hedged + 1);
                simulation.start(at, index, false);
            }
            Step::Hedge => {}
        }
        while free > 0
            && let Some(next) = queue.pop_front()
        {
            free -= 1;
            budget.deposit();
            simulation.start(at, next, true);
        }
    }
    let mut times: Vec<Duration> = responses.into_iter().flatten().collect();
    times.sort_unstable();
    HedgeResult { p99: times[times.len() * 99 / 100], hedged: hedged * 1_000 / list.len() }
}

#[gtest]
fn hedging_does_not_shorten_requests_that_are_long_themselves() {
    for (processes, seed) in [(3, 11), (9, 12)] {
        for load in [30, 70, 90, 95] {
            // Arrange
            let list = arrivals(load, processes, seed);

            for cause in [LongCause::Request, LongCause::Attempt, LongCause::Stall] {
                // Act
                let plain = simulate(&list, cause, None);
                // Hedge just after the short service time, and just after the long one.
                let early = simulate(&list, cause, Some(SHORT_SERVICE_TIME * 3 / 2));
                let late = simulate(&list, cause, Some(LONG_SERVICE_TIME * 3 / 2));

                // Assert
                println!(
                    "load {load}%, seed {seed}, {cause:?}: none {plain:?}, early {early:?}, late {late:?}"
                );
                expect_that!([plain.hedged, early.hedged, late.hedged], each(le(101)));
                if matches!(cause, LongCause::Request) {
                    expect_that!(early.p99.as_secs_f64(), ge(plain.p99.as_secs_f64() * 0.95));
                }
            }
        }
    }
}
