use crate::kernel::{AllotmentTransfer, LedgerState, ShardAllotment, ShardSummary};
use crate::prelude::*;

/// Time between two transfers of one team out of one shard.
const SPACING: Duration = Duration::from_secs(2);
/// Most transfers that a process starts at once.
const MAX_TRANSFERS: usize = 20;

/// Allotment that this process gives away: it stops using an amount before it appends the transfer.
#[derive(Debug, Default)]
pub struct PendingTransfers {
    pending: FastMap<(ShardId, TeamId), ResourceVector>,
    given: FastMap<(ShardId, TeamId), Instant>,
}

impl PendingTransfers {
    /// Returns the part of an allotment that is not promised to another shard.
    #[must_use]
    pub fn usable(&self, shard: &ShardId, team: &TeamId, held: ResourceVector) -> ResourceVector {
        let pending = self.pending.get(&(shard.clone(), team.clone())).copied().unwrap_or_default();
        held.minus(pending)
    }

    /// Sets aside what the owned shards should give away, as far as nothing uses it.
    ///
    /// Demand and allotments come from the ledger, so all processes plan the same trades and none gives twice.
    pub fn propose(
        &mut self,
        ledger: &LedgerState,
        process: &ProcessId,
        used: &[ShardSummary],
        now: Instant,
    ) -> Vec<AllotmentTransfer> {
        let Some(bundle) = &ledger.bundle else { return Vec::new() };
        let shards = ledger.worker_shards();
        let mut transfers = Vec::new();
        for team in &bundle.teams {
            let allotment = |shard: &ShardId| ShardAllotment {
                shard: shard.clone(),
                held: ledger.allotments.get(shard, &team.id),
                demand: ledger.jobs.demand(shard, &team.id),
            };
            let allotments: Vec<ShardAllotment> = shards.iter().map(allotment).collect();
            transfers.extend(AllotmentTransfer::plan(&team.id, &allotments));
        }
        transfers.retain(|transfer| {
            ledger.claims.get(&transfer.from).is_some_and(|claim| claim.process == *process)
        });
        transfers.retain_mut(|transfer| self.set_aside(ledger, transfer, used, now));
        transfers
    }

    /// Returns whether the summary shows that the amount set aside is not in use.
    #[must_use]
    pub fn is_released(
        &self,
        ledger: &LedgerState,
        transfer: &AllotmentTransfer,
        used: &[ShardSummary],
    ) -> bool {
        let usable = self.usable(
            &transfer.from,
            &transfer.team,
            ledger.allotments.get(&transfer.from, &transfer.team),
        );
        use_of(used, transfer).is_some_and(|used| used.fits(usable))
    }

    /// Ends a transfer that was folded or will never be appended.
    pub fn complete(&mut self, shard: &ShardId, team: &TeamId, amount: ResourceVector) {
        let key = (shard.clone(), team.clone());
        let Some(pending) = self.pending.get_mut(&key) else { return };
        *pending = pending.minus(amount);
        if pending.is_zero() {
            self.pending.remove(&key);
        }
    }

    fn set_aside(
        &mut self,
        ledger: &LedgerState,
        transfer: &mut AllotmentTransfer,
        used: &[ShardSummary],
        now: Instant,
    ) -> bool {
        let key = (transfer.from.clone(), transfer.team.clone());
        let recent = self.given.get(&key).is_some_and(|given| {
            // Several trades of one plan start together.
            *given != now && now.saturating_duration_since(*given) < SPACING
        });
        let Some(used) = use_of(used, transfer).filter(|_| !recent && self.pending.len() < MAX_TRANSFERS)
        else {
            return false;
        };
        let usable = self.usable(
            &transfer.from,
            &transfer.team,
            ledger.allotments.get(&transfer.from, &transfer.team),
        );
        transfer.amount = transfer.amount.min(usable.minus(used));
        if transfer.amount.is_zero() {
            return false;
        }
        self.given.insert(key.clone(), now);
        let pending = self.pending.entry(key).or_default();
        *pending = pending.plus(transfer.amount);
        true
    }
}

/// Returns what the team of a trade uses in the giving shard; `None` if the shard is not in the summaries.
fn use_of(summaries: &[ShardSummary], transfer: &AllotmentTransfer) -> Option<ResourceVector> {
    let summary = summaries.iter().find(|summary| summary.shard == transfer.from)?;
    let used = summary.used_by_team.iter().find(|(team, _)| *team == transfer.team);
    Some(used.map_or_else(ResourceVector::default, |(_, used)| *used))
}
