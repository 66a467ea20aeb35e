//! Timer for the periodic [`Tick`](crate::kernel::RouteEvent::Tick) of the service routers.

use crate::prelude::*;

/// Time between ticks while a request is open; bounds the delay of deadlines, retries
/// and detected disconnects.
const OPEN_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between ticks while no request is open, which only readmit ejected endpoints and evict old answers.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Due time of the next tick, counted from the last one.
#[derive(Clone, Copy, Debug)]
pub struct RouteTimer {
    last_tick: Instant,
}

impl RouteTimer {
    /// Returns a timer whose last tick was at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { last_tick: now }
    }

    /// Returns when the next tick is due; `open` says whether any request is open. Call it again after each
    /// event, which may have opened a request.
    #[must_use]
    pub fn due(&self, open: bool) -> Instant {
        self.last_tick + if open { OPEN_TICK_INTERVAL } else { IDLE_TICK_INTERVAL }
    }
}
