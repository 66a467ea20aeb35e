use std::collections::VecDeque;

use crate::prelude::*;

/// How long request ids are remembered, in milliseconds of ledger time.
const MEMORY_MS: u64 = 600_000;

/// Announced requests with body digest and the ledger time in milliseconds at which they were folded.
#[derive(Debug, Default)]
pub struct IntentTable {
    intents: FastMap<RequestId, (Sha256Digest, u64)>,
    order: VecDeque<(u64, RequestId)>,
}

impl IntentTable {
    /// Notes a request; returns whether its id is new.
    pub fn note(&mut self, request: &RequestId, digest: Sha256Digest, at_ms: u64) -> bool {
        if self.intents.contains_key(request) {
            return false;
        }
        self.intents.insert(request.clone(), (digest, at_ms));
        self.order.push_back((at_ms, request.clone()));
        true
    }

    /// Forgets requests that are too old at the ledger time.
    pub fn forget(&mut self, now_ms: u64) {
        while self.order.front().is_some_and(|(at_ms, _)| at_ms + MEMORY_MS < now_ms) {
            if let Some((_, request)) = self.order.pop_front() {
                self.intents.remove(&request);
            }
        }
    }

    /// Returns the digest of the body that a request was announced with.
    #[must_use]
    pub fn digest(&self, request: &RequestId) -> Option<Sha256Digest> {
        self.intents.get(request).map(|(digest, _)| *digest)
    }

    /// Returns all requests, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, Sha256Digest, u64)> {
        self.order.iter().filter_map(|(at_ms, request)| {
            self.intents.get(request).map(|(digest, _)| (request, *digest, *at_ms))
        })
    }

    /// Returns the number of remembered requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.intents.len()
    }

    /// Whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.intents.is_empty()
    }
}
