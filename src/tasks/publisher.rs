//! Sends the changes of the ledger to the other tasks.

use crate::kernel::{AllotmentTable, BundleRecord, LedgerChange, LedgerState, PendingTransfers};
use crate::prelude::*;
use crate::tasks::outbox::{JournalOutbox, JournalOutputs};
use crate::tasks::peer::PeerMessage;
use crate::tasks::scheduler::{ClaimedShard, SchedulerMessage};

/// A bundle from a peer that has not been applied to the ledger yet, with the allotments scaled to its
/// limits.
struct PeerBundle {
    bundle: Arc<PolicyBundle>,
    allotments: AllotmentTable,
}

/// Sends the changes of the ledger to the other tasks. While a newer bundle from a peer is in force, the
/// published allotments are capped by its limits.
pub struct LedgerPublisher {
    /// Queue of messages to the other tasks.
    pub outbox: JournalOutbox,
    /// Amounts set aside for transfers to other shards; no new task may use them.
    pub pending_transfers: PendingTransfers,
    process: ProcessId,
    peer_bundle: Option<PeerBundle>,
}

impl LedgerPublisher {
    /// Returns a publisher with an empty outbox and no bundle from a peer.
    #[must_use]
    pub fn new(process: ProcessId, outputs: JournalOutputs) -> Self {
        let pending_transfers = PendingTransfers::default();
        Self { outbox: JournalOutbox::new(outputs), pending_transfers, process, peer_bundle: None }
    }

    /// Puts a newer bundle from a peer in force before it is applied to the ledger. Limits that it lowers
    /// take effect at once, limits that it raises only when it is applied.
    pub fn adopt_peer_bundle(&mut self, ledger: &LedgerState, record: &BundleRecord) {
        if record.version <= self.newest_version(ledger) {
            return;
        }
        // An earlier bundle from a peer, which is not applied yet, may have changed the signers.
        let peer_bundle = self.peer_bundle.as_ref().map(|peer_bundle| peer_bundle.bundle.as_ref());
        let bundle = match ledger.verify_bundle(record, peer_bundle.or(ledger.bundle.as_deref())) {
            Ok(bundle) => Arc::new(bundle),
            Err(reason) => {
                log::warn!(version = record.version, reason = reason.as_str(); "bundle from a peer refused");
                return;
            }
        };
        log::info!(version = bundle.version; "bundle taken over from a peer");
        let mut allotments = ledger.allotments.clone();
        allotments.rescale(&bundle);
        self.outbox.broadcast(&LedgerChange::BundleAdopted(bundle.clone()));
        self.outbox.peer(PeerMessage::BundleRecordAdopted(record.clone()));
        self.peer_bundle = Some(PeerBundle { bundle, allotments });
        self.publish_allotments(ledger);
    }

    /// Queues a change for all tasks. An `AllotmentChanged` of the ledger holds the whole allotment; the one
    /// that is queued holds its usable part.
    pub fn publish(&mut self, ledger: &LedgerState, change: &LedgerChange) {
        match change {
            LedgerChange::BundleAdopted(bundle) => self.publish_bundle(ledger, bundle),
            LedgerChange::AllotmentChanged(shard, team, amount) => {
                let usable = self.usable(shard, team, *amount);
                self.outbox.broadcast(&LedgerChange::AllotmentChanged(shard.clone(), team.clone(), usable));
            }
            LedgerChange::ShardClaimed(shard, claim) => {
                // The peer task must confirm no older claim once the scheduler counts the leases of earlier
                // owners as running out.
                self.outbox.broadcast(change);
                if claim.process == self.process && !shard.starts_with("service:") {
                    let claimed = Box::new(self.claimed_shard(ledger, shard, claim.token));
                    self.outbox.scheduler(SchedulerMessage::Claimed(claimed));
                }
            }
            _ => self.outbox.broadcast(change),
        }
    }

    /// Queues the usable part of an allotment for all tasks.
    pub fn publish_allotment(&mut self, ledger: &LedgerState, shard: &ShardId, team: &TeamId) {
        let held = ledger.allotments.get(shard, team);
        self.publish(ledger, &LedgerChange::AllotmentChanged(shard.clone(), team.clone(), held));
    }

    fn publish_bundle(&mut self, ledger: &LedgerState, bundle: &Arc<PolicyBundle>) {
        // A bundle from a peer stays in force while it is newer than the one of the ledger.
        if self.peer_bundle.as_ref().is_some_and(|peer_bundle| peer_bundle.bundle.version > bundle.version) {
            return;
        }
        let replaces_peer_bundle = self.peer_bundle.take().is_some();
        if let Some(record) = ledger.bundle_record.clone() {
            self.outbox.peer(PeerMessage::BundleRecordAdopted(record));
        }
        self.outbox.broadcast(&LedgerChange::BundleAdopted(bundle.clone()));
        if replaces_peer_bundle {
            self.publish_allotments(ledger);
        }
    }

    fn publish_allotments(&mut self, ledger: &LedgerState) {
        for ((shard, team), amount) in ledger.allotments.iter() {
            self.publish(ledger, &LedgerChange::AllotmentChanged(shard.clone(), team.clone(), *amount));
        }
    }

    fn newest_version(&self, ledger: &LedgerState) -> BundleVersion {
        let peer_bundle = self.peer_bundle.as_ref().map_or(0, |peer_bundle| peer_bundle.bundle.version);
        peer_bundle.max(ledger.bundle.as_ref().map_or(0, |bundle| bundle.version))
    }

    /// Returns the usable part of an allotment: no more than the limits of the bundle in force allow, without
    /// what is set aside for other shards.
    fn usable(&self, shard: &ShardId, team: &TeamId, amount: ResourceVector) -> ResourceVector {
        let cap = self.peer_bundle.as_ref().map(|peer_bundle| peer_bundle.allotments.get(shard, team));
        self.pending_transfers.usable(shard, team, cap.map_or(amount, |cap| cap.min(amount)))
    }

    fn claimed_shard(&self, ledger: &LedgerState, shard: &ShardId, token: FencingToken) -> ClaimedShard {
        let jobs = ledger.jobs.values().filter(|job| job.shard == *shard && job.outcome.is_none());
        let allotments = ledger.allotments.iter().filter(|((held_by, _), _)| held_by == shard);
        let usable = |((_, team), amount): (&(ShardId, TeamId), &ResourceVector)| {
            (team.clone(), self.usable(shard, team, *amount))
        };
        let peer_bundle = self.peer_bundle.as_ref().map(|peer_bundle| peer_bundle.bundle.clone());
        ClaimedShard {
            shard: shard.clone(),
            token,
            bundle: peer_bundle.or_else(|| ledger.bundle.clone()),
            jobs: jobs.map(|job| (Arc::new(job.spec.clone()), job.cancelled)).collect(),
            allotments: allotments.map(usable).collect(),
        }
    }
}
