use crate::kernel::cell::{WorkerFence, longest_real_time};
use crate::prelude::*;

/// Longest time from the sending of a call to the moment at which a worker carries it out.
pub const LATE_CALL_WINDOW: Duration = Duration::from_secs(12);
/// Time after the restart of a worker, or the fencing of an owner, in which that owner may still send calls for the
/// former incarnation.
pub const FORMER_CALL_TIME: Duration = Duration::from_secs(3);

/// Tells how long a worker may hold a lease that a call for a former incarnation has granted.
///
/// A worker that restarts keeps its id, so it carries out calls that were meant for its former incarnation. They
/// renew the lease until a time on the former clock. A worker whose clock is behind shortens that to the longest
/// lease that it accepts, which is longer than the leases that owners grant.
///
/// The rule goes by the clock of the worker only: the wall clocks of workers and owners may differ by any time.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestartRule {
    /// Leases that owners grant.
    usual: Duration,
    /// Longest lease that workers accept.
    longest: Duration,
}

impl RestartRule {
    /// Returns the rule for owners that grant leases of `usual` to workers that accept leases up to `longest`.
    #[must_use]
    pub const fn new(usual: Duration, longest: Duration) -> Self {
        Self { usual, longest }
    }

    /// Returns how long an incarnation may hold such a lease whose clock showed `clock`, in real time from then on.
    /// `fence` is what the records say of the worker; without one for this incarnation, such a call may have been
    /// carried out just before.
    #[must_use]
    pub fn former_lease(
        &self,
        incarnation: WorkerIncarnation,
        clock: WorkerTime,
        fence: Option<WorkerFence>,
    ) -> Duration {
        let fence = fence.filter(|fence| fence.incarnation == incarnation);
        let left = fence.map_or(self.longest, |fence| {
            (fence.clock + self.longest).saturating_sub(clock).min(self.longest)
        });
        if left.is_zero() { Duration::ZERO } else { longest_real_time(left) }
    }

    /// Returns how much longer than a lease that an owner grants such a lease may last, of an incarnation whose clock
    /// shows `clock` in its first answer.
    #[must_use]
    pub fn extension(
        &self,
        incarnation: WorkerIncarnation,
        clock: WorkerTime,
        fence: Option<WorkerFence>,
    ) -> Duration {
        self.former_lease(incarnation, clock, fence).saturating_sub(longest_real_time(self.usual))
    }

    /// Returns how long an incarnation that no call has fenced may hold such a lease after the last call for a former
    /// one was sent.
    #[must_use]
    pub fn unfenced_lease(&self) -> Duration {
        LATE_CALL_WINDOW + longest_real_time(self.longest)
    }
}
