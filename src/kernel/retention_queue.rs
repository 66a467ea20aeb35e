use std::collections::VecDeque;

use crate::prelude::*;

/// Ids of ended requests in the order in which they ended, bounded by age and by bytes. The router keeps the
/// state and the answer of a request until its id is evicted here.
#[derive(Clone, Debug, Default)]
pub struct RetentionQueue {
    entries: VecDeque<(RequestId, u64, Instant, usize)>,
    bytes: usize,
}

impl RetentionQueue {
    /// Retention time of an ended request; the same as that of intents in the ledger.
    pub const RETENTION_TIME: Duration = Duration::from_secs(600);
    /// Bound on the retained bytes of one partition, answers and bookkeeping together.
    pub const MAX_BYTES: usize = 32 << 20;
    /// Estimated bytes of bookkeeping for one id, in addition to its answer.
    pub const ENTRY_OVERHEAD_BYTES: usize = 512;

    /// Adds a request that ended at `now` with an answer of `size` bytes.
    ///
    /// `sequence` tells this admission of the id from later ones.
    pub fn keep(&mut self, id: RequestId, sequence: u64, size: usize, now: Instant) {
        self.bytes += size + Self::ENTRY_OVERHEAD_BYTES;
        self.entries.push_back((id, sequence, now, size));
    }

    /// Removes and returns the oldest id with its sequence if it exceeds the retention time, or if the queue
    /// exceeds its bound on bytes.
    pub fn evict(&mut self, now: Instant) -> Option<(RequestId, u64)> {
        let (_, _, ended, _) = self.entries.front()?;
        let expired = now.saturating_duration_since(*ended) >= Self::RETENTION_TIME;
        if !expired && self.bytes <= Self::MAX_BYTES {
            return None;
        }
        let (id, sequence, _, size) = self.entries.pop_front()?;
        self.bytes -= size + Self::ENTRY_OVERHEAD_BYTES;
        Some((id, sequence))
    }

    /// Returns the retained bytes, answers and bookkeeping together.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}
