//! Wall-clock time for records and log lines; decisions never use it.

use crate::prelude::*;

/// Returns milliseconds of Unix time, 0 for a clock before 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the wall-clock time since 1970, zero for a clock before that.
#[must_use]
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}
