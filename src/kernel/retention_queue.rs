use std::collections::VecDeque;

use crate::prelude::*;

/// Ids of ended requests, oldest first, within bounds of time and bytes.
#[derive(Clone, Debug, Default)]
pub struct RetentionQueue {
    kept: VecDeque<(RequestId, u64, Instant, usize)>,
    bytes: usize,
}

impl RetentionQueue {
    /// How long the end of a request is remembered; the ledger remembers intents as long.
    pub const KEEP_TIME: Duration = Duration::from_secs(600);
    /// Most bytes of answers and bookkeeping that one partition keeps.
    pub const KEEP_BYTES: usize = 32 << 20;
    /// Estimated bookkeeping for one id beyond its answer.
    pub const ENTRY_BYTES: usize = 512;

    /// Remembers the end of a request with an answer of `size` bytes.
    ///
    /// `sequence` tells this arrival of the id from later ones.
    pub fn keep(&mut self, id: RequestId, sequence: u64, size: usize, now: Instant) {
        self.bytes += size + Self::ENTRY_BYTES;
        self.kept.push_back((id, sequence, now, size));
    }

    /// Removes and returns the oldest id that is out of bounds.
    pub fn evict(&mut self, now: Instant) -> Option<(RequestId, u64)> {
        let (_, _, ended, _) = self.kept.front()?;
        let expired = now.saturating_duration_since(*ended) >= Self::KEEP_TIME;
        if !expired && self.bytes <= Self::KEEP_BYTES {
            return None;
        }
        let (id, sequence, _, size) = self.kept.pop_front()?;
        self.bytes -= size + Self::ENTRY_BYTES;
        Some((id, sequence))
    }

    /// Returns the bytes that are kept.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}
