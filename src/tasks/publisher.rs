//! Tells the other tasks what changed in the ledger.

use crate::kernel::{AllotmentTable, BundleRecord, LedgerChange, LedgerState, PendingTransfers};
use crate::prelude::*;
use crate::tasks::outbox::{JournalOutbox, JournalOutputs};
use crate::tasks::peer::PeerMessage;
use crate::tasks::scheduler::{ClaimedShard, SchedulerMessage};

/// A bundle that a peer has and the ledger has not, with the allotments that its limits allow.
struct AheadBundle {
    bundle: Arc<PolicyBundle>,
    allotments: AllotmentTable,
}

/// Publishes changes, bounded by a bundle from a peer that the ledger has not reached.
pub struct LedgerPublisher {
    /// Messages that wait for the other tasks.
    pub outbox: JournalOutbox,
    /// Allotment that is promised to other shards.
    pub escrow: PendingTransfers,
    process: ProcessId,
    ahead: Option<AheadBundle>,
}

impl LedgerPublisher {
    /// Returns a publisher with nothing to say.
    #[must_use]
    pub fn new(process: ProcessId, outputs: JournalOutputs) -> Self {
        let escrow = PendingTransfers::default();
        Self { outbox: JournalOutbox::new(outputs), escrow, process, ahead: None }
    }

    /// Runs on a newer bundle of a peer until the ledger has it; limits that it lowers hold at once.
    pub fn adopt(&mut self, ledger: &LedgerState, record: &BundleRecord) {
        if record.version <= self.version(ledger) {
            return;
        }
        // A bundle from a peer may have changed the signers before the ledger reached it.
        let ahead = self.ahead.as_ref().map(|ahead| ahead.bundle.as_ref());
        let bundle = match ledger.verify_bundle(record, ahead.or(ledger.bundle.as_deref())) {
            Ok(bundle) => Arc::new(bundle),
            Err(reason) => {
                log::warn!(version = record.version, reason = reason.as_str(); "bundle of a peer refused");
                return;
            }
        };
        log::info!(version = bundle.version; "bundle taken over from a peer");
        let mut allotments = ledger.allotments.clone();
        allotments.rescale(&bundle);
        self.outbox.broadcast(&LedgerChange::BundleAdopted(bundle.clone()));
        self.outbox.peer(PeerMessage::Published(record.clone()));
        self.ahead = Some(AheadBundle { bundle, allotments });
        self.publish_allotments(ledger);
    }

    /// Tells all tasks about a change.
    pub fn publish(&mut self, ledger: &LedgerState, change: &LedgerChange) {
        match change {
            LedgerChange::BundleAdopted(bundle) => self.publish_bundle(ledger, bundle),
            LedgerChange::AllotmentChanged(shard, team, amount) => {
                let usable = self.usable(shard, team, *amount);
                self.outbox.broadcast(&LedgerChange::AllotmentChanged(shard.clone(), team.clone(), usable));
            }
            LedgerChange::ShardClaimed(shard, claim) => {
                if claim.process == self.process && !shard.starts_with("service:") {
                    let claimed = Box::new(self.claimed_shard(ledger, shard, claim.token));
                    self.outbox.scheduler(SchedulerMessage::Claimed(claimed));
                }
                self.outbox.broadcast(change);
            }
            _ => self.outbox.broadcast(change),
        }
    }

    /// Tells the other tasks what may be used of an allotment now.
    pub fn publish_allotment(&mut self, ledger: &LedgerState, shard: &ShardId, team: &TeamId) {
        let held = ledger.allotments.get(shard, team);
        self.publish(ledger, &LedgerChange::AllotmentChanged(shard.clone(), team.clone(), held));
    }

    fn publish_bundle(&mut self, ledger: &LedgerState, bundle: &Arc<PolicyBundle>) {
        // A bundle from a peer may be newer than the one that the ledger reached.
        if self.ahead.as_ref().is_some_and(|ahead| ahead.bundle.version > bundle.version) {
            return;
        }
        let reached = self.ahead.take().is_some();
        if let Some(record) = ledger.published.clone() {
            self.outbox.peer(PeerMessage::Published(record));
        }
        self.outbox.broadcast(&LedgerChange::BundleAdopted(bundle.clone()));
        if reached {
            self.publish_allotments(ledger);
        }
    }

    fn publish_allotments(&mut self, ledger: &LedgerState) {
        for ((shard, team), amount) in ledger.allotments.iter() {
            self.publish(ledger, &LedgerChange::AllotmentChanged(shard.clone(), team.clone(), *amount));
        }
    }

    fn version(&self, ledger: &LedgerState) -> BundleVersion {
        let ahead = self.ahead.as_ref().map_or(0, |ahead| ahead.bundle.version);
        ahead.max(ledger.bundle.as_ref().map_or(0, |bundle| bundle.version))
    }

    /// Returns the part of an allotment that may be used.
    fn usable(&self, shard: &ShardId, team: &TeamId, amount: ResourceVector) -> ResourceVector {
        let bound = self.ahead.as_ref().map(|ahead| ahead.allotments.get(shard, team));
        self.escrow.usable(shard, team, bound.map_or(amount, |bound| bound.min(amount)))
    }

    fn claimed_shard(&self, ledger: &LedgerState, shard: &ShardId, token: FencingToken) -> ClaimedShard {
        let jobs = ledger.jobs.values().filter(|job| job.shard == *shard && job.outcome.is_none());
        let allotments = ledger.allotments.iter().filter(|((held_by, _), _)| held_by == shard);
        let usable = |((_, team), amount): (&(ShardId, TeamId), &ResourceVector)| {
            (team.clone(), self.usable(shard, team, *amount))
        };
        let ahead = self.ahead.as_ref().map(|ahead| ahead.bundle.clone());
        ClaimedShard {
            shard: shard.clone(),
            token,
            bundle: ahead.or_else(|| ledger.bundle.clone()),
            jobs: jobs.map(|job| (Arc::new(job.spec.clone()), job.cancelled)).collect(),
            allotments: allotments.map(usable).collect(),
        }
    }
}
