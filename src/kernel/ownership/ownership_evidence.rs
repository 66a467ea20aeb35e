use crate::prelude::*;

/// Age of the newest read of the log from which heartbeats ask the peers to confirm the claims of this
/// process. Reads of an idle log that can be read take 1 s and are applied at an age of up to 2 s.
const ASK_PEERS_AFTER: Duration = Duration::from_secs(3);

/// What shows that no other process had become the owner of the worker shards of this process.
///
/// Another process becomes the owner when it applies its claim. A read of the log shows all claims that were
/// appended before it started. While the log cannot be read, the answers of all peers show that none of them
/// had applied a newer claim when the heartbeat was sent.
#[derive(Debug, Default)]
pub struct OwnershipEvidence {
    /// Start of the newest read of this process that reached the end of the log and was applied.
    last_read: Option<Instant>,
    /// When a claim of this process was last applied.
    last_claim: Option<Instant>,
    /// For each peer, when the newest heartbeat was sent whose answer confirms the claims of this process.
    answers: FastMap<VmId, Instant>,
}

impl OwnershipEvidence {
    /// Records a read of this process that reached the end of the log and was applied.
    pub fn note_read(&mut self, started: Instant) {
        self.last_read = self.last_read.max(Some(started));
    }

    /// Records that a claim of this process was applied. Earlier answers do not cover it.
    pub const fn note_claim(&mut self, now: Instant) {
        self.last_claim = Some(now);
    }

    /// Records that a peer confirmed the claims in the heartbeat that was sent at this time.
    pub fn note_answer(&mut self, vm: VmId, sent: Instant) {
        let newest = self.answers.entry(vm).or_insert(sent);
        *newest = sent.max(*newest);
    }

    /// Forgets the answers of peers that are not on the VM list.
    pub fn retain_peers(&mut self, listed_vms: &FastMap<VmId, RegionId>) {
        self.answers.retain(|vm, _| listed_vms.contains_key(vm));
    }

    /// Returns whether the log has not been read for so long that the peers should confirm the claims.
    #[must_use]
    pub fn needs_answers(&self, now: Instant) -> bool {
        self.last_read.is_none_or(|read| now.saturating_duration_since(read) >= ASK_PEERS_AFTER)
    }

    /// Returns the newest time at which certainly no other process was the owner; `None` if there is none, or
    /// if the peers are not known and the log was never read.
    #[must_use]
    pub fn confirmed_at(
        &self,
        listed_vms: Option<&FastMap<VmId, RegionId>>,
        now: Instant,
    ) -> Option<Instant> {
        self.last_read.max(listed_vms.and_then(|vms| self.confirmed_by_peers_at(vms, now)))
    }

    fn confirmed_by_peers_at(&self, listed_vms: &FastMap<VmId, RegionId>, now: Instant) -> Option<Instant> {
        let oldest_answer =
            listed_vms.keys().try_fold(now, |oldest, vm| Some(oldest.min(*self.answers.get(vm)?)));
        oldest_answer.filter(|answer| self.last_claim.is_none_or(|claim| *answer >= claim))
    }
}
