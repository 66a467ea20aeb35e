//! A read of the claim log by which an owner confirms its ownership while heartbeats do not, as the store is slow.

use crate::clock;
use crate::kernel::cell::{ClaimKind, ClaimRecord};
use crate::prelude::*;
use crate::tasks::cell::claim::CLAIM_TOPIC;
use crate::tasks::cell::ownership_lease::OwnershipLease;
use crate::tasks::cell::ports::{StoreClient, TopicPage, TopicRecord};

/// How long the store may hold the read open. It answers at once, as the read begins with a known record; the
/// time only lengthens the limit on the answer to that of the ownership lease.
const READ_WAIT: Duration = Duration::from_millis(700);

/// A check whether another process has claimed the cell since the last known record.
pub struct OwnershipCheck {
    /// Client of the platform's store.
    pub store: StoreClient,
    /// The lease that the check extends.
    pub ownership: OwnershipLease,
    /// The offset after the last known record of the claim log.
    pub next_offset: LogOffset,
}

impl OwnershipCheck {
    /// Reads the log from the last known record on, and confirms the ownership if no claim follows.
    pub async fn run(self) {
        let sent_at = clock::reading();
        let from = self.next_offset.saturating_sub(1);
        match (self.store.read)(CLAIM_TOPIC, 0, from, READ_WAIT).await {
            Ok(page) if self.shows_no_claim(&page) => self.ownership.confirm(sent_at),
            Ok(_) => {
                log::info!(next = self.next_offset; "ownership is not confirmed by a read of the claims");
            }
            Err(fault) => log::info!(reason:% = fault; "ownership cannot be checked"),
        }
    }

    /// Returns whether the page has all records since the last known one, and none of them may be a claim.
    #[must_use]
    pub fn shows_no_claim(&self, page: &TopicPage) -> bool {
        let may_be_claim = |record: &TopicRecord| {
            let claim = serde_json::from_slice::<ClaimRecord>(&record.value);
            record.offset >= self.next_offset && claim.map_or(true, |claim| claim.kind == ClaimKind::Claim)
        };
        page.first < self.next_offset && page.next >= page.end && !page.records.iter().any(may_be_claim)
    }
}
