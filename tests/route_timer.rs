//! Guards against needless wake-ups of idle routers, and against deadlines that are noticed late.

use std::time::{Duration, Instant};

use godwithaven::kernel::RouteTimer;
use googletest::prelude::*;

/// Returns the number of ticks in a minute.
fn ticks_per_minute(open: bool) -> u32 {
    let start = Instant::now();
    let (mut timer, mut ticks) = (RouteTimer::new(start), 0);
    while timer.due(open) <= start + Duration::from_secs(60) {
        timer = RouteTimer::new(timer.due(open));
        ticks += 1;
    }
    ticks
}

#[gtest]
fn an_idle_router_ticks_four_times_a_second_and_a_busy_one_a_hundred_times() -> Result<()> {
    verify_that!((ticks_per_minute(false), ticks_per_minute(true)), eq((240, 6_000)))
}

#[gtest]
fn an_opened_request_brings_the_next_tick_forward() -> Result<()> {
    let now = Instant::now();
    verify_that!(RouteTimer::new(now).due(true), eq(now + Duration::from_millis(10)))
}
