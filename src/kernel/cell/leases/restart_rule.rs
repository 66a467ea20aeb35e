use crate::kernel::cell::{WorkerFence, longest_real_time};
use crate::prelude::*;

/// Time after the start of a worker in which it may carry out calls that were meant for its former incarnation:
/// workers carry calls out up to 12 s late, and an owner stops sending them within 3 s of the restart.
pub const FORMER_CALL_WINDOW: Duration = Duration::from_secs(15);
/// Allowed difference between the wall clocks of a worker and of an owner.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(5);

/// Tells how much longer than usual a worker may hold a lease that an earlier owner granted.
///
/// A worker that restarts keeps its id, so it carries out calls that were meant for its former incarnation. They
/// renew the lease until a time on the former clock. A worker whose clock is behind shortens that to the longest
/// lease that it accepts, which is longer than the leases that owners grant.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestartRule {
    /// Longest real time that a lease of the longest duration lasts.
    longest_lease: Duration,
    longest_extension: Duration,
}

impl RestartRule {
    /// Returns the rule for owners that grant leases of `usual` to workers that accept leases up to `longest`.
    #[must_use]
    pub fn new(usual: Duration, longest: Duration) -> Self {
        let longest_lease = longest_real_time(longest);
        Self { longest_lease, longest_extension: longest_lease.saturating_sub(longest_real_time(usual)) }
    }

    /// Returns for how long after `unix_time` an incarnation that no call has fenced may hold a lease, by calls for the
    /// former one that it carries out late.
    #[must_use]
    pub fn unfenced_lease(&self, started: WorkerIncarnation, unix_time: Duration) -> Duration {
        FORMER_CALL_WINDOW.saturating_sub(unix_time.saturating_sub(started)) + self.longest_lease
    }

    /// Returns how much longer a lease may last at `unix_time`, by a call of an earlier owner that was meant for the
    /// incarnation before the one that started at `started`. `fence` is what the records say of the worker.
    #[must_use]
    pub fn extension(
        &self,
        started: WorkerIncarnation,
        fence: Option<WorkerFence>,
        unix_time: Duration,
    ) -> Duration {
        let fence = fence.filter(|fence| fence.incarnation == started);
        let window = fence.map_or(FORMER_CALL_WINDOW, |fence| fence.age.min(FORMER_CALL_WINDOW));
        let age = unix_time.saturating_sub(started);
        self.longest_extension.saturating_sub(age.saturating_sub(window + CLOCK_TOLERANCE))
    }

    /// Returns whether a record of this fence would let a new owner wait for less.
    #[must_use]
    pub fn is_worth_recording(&self, fence: WorkerFence) -> bool {
        fence.age < FORMER_CALL_WINDOW
    }
}
