//! When the routers need a call although nothing has arrived.

use crate::prelude::*;

/// Time between calls while a request is open: deadlines, retries and callers that go away are seen this late.
const OPEN_TICK: Duration = Duration::from_millis(10);
/// Time between calls while no request is open: only ejected endpoints return and old answers are dropped.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// The due time of the next call.
#[derive(Clone, Copy, Debug)]
pub struct RouteTimer {
    ticked: Instant,
}

impl RouteTimer {
    /// Returns a timer whose last call was at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { ticked: now }
    }

    /// Returns when the next call is due; ask again after each event, as it may have opened a request.
    #[must_use]
    pub fn due(&self, open: bool) -> Instant {
        self.ticked + if open { OPEN_TICK } else { IDLE_TICK }
    }
}
