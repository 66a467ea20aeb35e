use crate::kernel::{AllotmentTransfer, LedgerState, ShardAllotment, ShardSummary};
use crate::prelude::*;

/// Minimum time between two transfers of one team out of one shard.
const MIN_TRANSFER_INTERVAL: Duration = Duration::from_secs(2);
/// Bound on the pairs of shard and team with a transfer that this process has proposed and not completed.
const MAX_PENDING_TRANSFERS: usize = 20;

/// Outgoing allotment transfers of the shards of this process.
///
/// The process stops using an amount before it appends the transfer, so that a team
/// never uses more than its limit.
#[derive(Debug, Default)]
pub struct PendingTransfers {
    pending: FastMap<(ShardId, TeamId), ResourceVector>,
    last_proposed: FastMap<(ShardId, TeamId), Instant>,
}

impl PendingTransfers {
    /// Returns the part of the allotment `held` that is not set aside for a transfer.
    #[must_use]
    pub fn usable(&self, shard: &ShardId, team: &TeamId, held: ResourceVector) -> ResourceVector {
        let pending = self.pending.get(&(shard.clone(), team.clone())).copied().unwrap_or_default();
        held.minus(pending)
    }

    /// Plans transfers out of the owned shards, sets their amounts aside and returns them. Amounts that tasks
    /// use are not transferred.
    ///
    /// Demand and allotments come from the ledger, so all processes compute the same plan, and only the owner
    /// of the source shard carries out a transfer.
    pub fn propose(
        &mut self,
        ledger: &LedgerState,
        process: &ProcessId,
        summaries: &[ShardSummary],
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
        transfers.retain_mut(|transfer| self.set_aside(ledger, transfer, summaries, now));
        transfers
    }

    /// Whether the shard summaries show that the amount set aside is no longer in use.
    #[must_use]
    pub fn is_released(
        &self,
        ledger: &LedgerState,
        transfer: &AllotmentTransfer,
        summaries: &[ShardSummary],
    ) -> bool {
        let usable = self.usable(
            &transfer.from,
            &transfer.team,
            ledger.allotments.get(&transfer.from, &transfer.team),
        );
        team_usage(summaries, transfer).is_some_and(|used| used.fits(usable))
    }

    /// Completes a transfer that was applied to the ledger or will never be appended.
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
        summaries: &[ShardSummary],
        now: Instant,
    ) -> bool {
        let key = (transfer.from.clone(), transfer.team.clone());
        let recent = self.last_proposed.get(&key).is_some_and(|last| {
            // All transfers of one plan may start together.
            *last != now && now.saturating_duration_since(*last) < MIN_TRANSFER_INTERVAL
        });
        let Some(used) =
            team_usage(summaries, transfer).filter(|_| !recent && self.pending.len() < MAX_PENDING_TRANSFERS)
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
        self.last_proposed.insert(key.clone(), now);
        let pending = self.pending.entry(key).or_default();
        *pending = pending.plus(transfer.amount);
        true
    }
}

/// Returns what the team of a transfer uses in the source shard; `None` if the shard is not in the summaries.
fn team_usage(summaries: &[ShardSummary], transfer: &AllotmentTransfer) -> Option<ResourceVector> {
    let summary = summaries.iter().find(|summary| summary.shard == transfer.from)?;
    let used = summary.used_by_team.iter().find(|(team, _)| *team == transfer.team);
    Some(used.map_or_else(ResourceVector::default, |(_, used)| *used))
}
