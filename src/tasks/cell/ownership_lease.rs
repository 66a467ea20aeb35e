//! The time for which an owner of the cell may grant leases to workers without hearing from the store.

use tokio::sync::watch;

use crate::clock;
use crate::kernel::cell::{ClockReading, TermAuthority};
use crate::prelude::*;

/// How long an owner may grant leases to workers after the last sign that it still owns the cell. Its successor
/// waits for this long before it counts the leases that it does not know of as running out.
pub const OWNERSHIP_LEASE: Duration = Duration::from_millis(1_900);

/// The lease under which an owner grants leases to workers. It is extended whenever the store confirms the term.
///
/// An owner that is cut off from the store is not told of its successor, and its successor may not reach the
/// workers that it reaches.
#[derive(Clone, Debug)]
pub struct OwnershipLease {
    /// When the newest call was sent whose answer shows that no successor had fenced this owner when the store
    /// handled it; `None` before the first.
    confirmed: watch::Sender<Option<ClockReading>>,
    /// Since when the store rejects the appends of earlier owners; `None` before this owner has fenced them.
    fenced_at: watch::Sender<Option<Instant>>,
    /// See [`Self::newest_token`].
    newest_token: watch::Sender<FencingToken>,
}

impl OwnershipLease {
    /// Returns a lease that is not valid until it is confirmed.
    #[must_use]
    pub fn new() -> Self {
        let (confirmed, fenced_at) = (watch::Sender::new(None), watch::Sender::new(None));
        Self { confirmed, fenced_at, newest_token: watch::Sender::new(0) }
    }

    /// Extends the lease, as the answer to a call that was sent at this time shows that the process still owned
    /// the cell.
    pub fn confirm(&self, sent_at: ClockReading) {
        self.confirmed.send_if_modified(|confirmed| {
            let is_newer = confirmed.is_none_or(|known| sent_at.monotonic > known.monotonic);
            if is_newer {
                *confirmed = Some(sent_at);
            }
            is_newer
        });
    }

    /// Records that earlier owners were fenced by `now`, so that the store confirms the ownership of none of them.
    pub fn note_fenced(&self, now: Instant) {
        self.fenced_at.send_replace(Some(now));
    }

    /// Returns for how long earlier owners have been fenced; `None` if they are not.
    #[must_use]
    pub fn fenced_for(&self, now: Instant) -> Option<Duration> {
        self.fenced_at.borrow().map(|fenced_at| now.saturating_duration_since(fenced_at))
    }

    /// Records that no other process has claimed the cell before this offset of the claim log, where its next record
    /// comes.
    pub fn note_claim_log(&self, next_offset: LogOffset) {
        self.newest_token.send_if_modified(|token| {
            let is_newer = next_offset > *token;
            *token = next_offset.max(*token);
            is_newer
        });
    }

    /// Returns the highest fencing token below that of each successor, whose token is above the offset of its claim;
    /// zero before the claim log was read.
    #[must_use]
    pub fn newest_token(&self) -> FencingToken {
        *self.newest_token.borrow()
    }

    /// Returns what the owner may do now.
    #[must_use]
    pub fn authority(&self) -> TermAuthority {
        TermAuthority { is_confirmed: self.is_valid(), newest_token: self.newest_token() }
    }

    /// Returns whether the newest confirmation was sent at most this long ago.
    #[must_use]
    pub fn is_confirmed_within(&self, age: Duration) -> bool {
        let now = clock::reading();
        self.confirmed.borrow().is_some_and(|sent_at| sent_at.elapsed_until(&now) <= age)
    }

    /// Returns whether the owner may grant leases now.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.is_valid_at(clock::reading())
    }

    /// Returns whether the owner may grant leases at this time.
    #[must_use]
    pub fn is_valid_at(&self, now: ClockReading) -> bool {
        self.confirmed.borrow().is_some_and(|sent_at| sent_at.elapsed_until(&now) < OWNERSHIP_LEASE)
    }
}

impl Default for OwnershipLease {
    fn default() -> Self {
        Self::new()
    }
}
