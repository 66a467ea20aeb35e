//! Wall-clock time for records, log lines and the job schedules of a cell. Leases, deadlines and the other
//! decisions use the monotonic clock.

use rustix::time::{ClockId, clock_gettime};

use crate::kernel::cell::ClockReading;
use crate::prelude::*;

/// Returns the present time by all clocks.
#[must_use]
pub fn reading() -> ClockReading {
    // The standard library has no clock that counts the time for which the VM is suspended. The call takes no system
    // call, as for the other clocks, and the time is never negative.
    let since_boot = Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default();
    ClockReading { monotonic: Instant::now(), since_boot, wall: SystemTime::now() }
}

/// Returns the Unix time in milliseconds, 0 if the clock is set before 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the Unix time, zero if the clock is set before 1970.
#[must_use]
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}
