//! Guards against a router that wakes up for nothing, and against deadlines that are seen late.

use std::time::{Duration, Instant};

use godwithaven::kernel::RouteTimer;
use googletest::prelude::*;

/// Returns the calls in a minute.
fn calls(open: bool) -> u32 {
    let start = Instant::now();
    let (mut timer, mut calls) = (RouteTimer::new(start), 0);
    while timer.due(open) <= start + Duration::from_secs(60) {
        timer = RouteTimer::new(timer.due(open));
        calls += 1;
    }
    calls
}

#[gtest]
fn an_idle_router_is_called_four_times_a_second_and_a_busy_one_a_hundred_times() -> Result<()> {
    verify_that!((calls(false), calls(true)), eq((240, 6_000)))
}

#[gtest]
fn a_request_that_opens_brings_the_next_call_forward() -> Result<()> {
    let now = Instant::now();
    verify_that!(RouteTimer::new(now).due(true), eq(now + Duration::from_millis(10)))
}
