use std::collections::VecDeque;

use crate::prelude::*;

/// Retention time of a request id, in milliseconds of ledger time.
const RETENTION_MS: u64 = 600_000;

/// Recorded intents of non-idempotent requests. A request id whose intent is retained
/// is never run a second time.
///
/// Each entry has the request digest and the ledger time at which its group was applied, in milliseconds.
#[derive(Debug, Default)]
pub struct IntentTable {
    intents: FastMap<RequestId, (Sha256Digest, u64)>,
    order: VecDeque<(u64, RequestId)>,
}

impl IntentTable {
    /// Records the intent of a request, unless its id is known; returns whether the id is new.
    pub fn insert(&mut self, request: &RequestId, digest: Sha256Digest, at_ms: u64) -> bool {
        if self.intents.contains_key(request) {
            return false;
        }
        self.intents.insert(request.clone(), (digest, at_ms));
        self.order.push_back((at_ms, request.clone()));
        true
    }

    /// Removes intents whose retention time has passed at ledger time `now_ms`.
    pub fn evict_expired(&mut self, now_ms: u64) {
        while self.order.front().is_some_and(|(at_ms, _)| at_ms + RETENTION_MS < now_ms) {
            if let Some((_, request)) = self.order.pop_front() {
                self.intents.remove(&request);
            }
        }
    }

    /// Returns the digest that was recorded with the intent of a request, `None` if there is no such intent.
    #[must_use]
    pub fn digest(&self, request: &RequestId) -> Option<Sha256Digest> {
        self.intents.get(request).map(|(digest, _)| *digest)
    }

    /// Returns request id, digest and ledger time of all intents, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, Sha256Digest, u64)> {
        self.order.iter().filter_map(|(at_ms, request)| {
            self.intents.get(request).map(|(digest, _)| (request, *digest, *at_ms))
        })
    }

    /// Returns the number of retained intents.
    #[must_use]
    pub fn len(&self) -> usize {
        self.intents.len()
    }

    /// Whether no intent is retained.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.intents.is_empty()
    }
}
