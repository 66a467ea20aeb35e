use std::collections::BTreeMap;

use crate::prelude::*;

/// Allotment of a team in one shard, and the demand of the team's open jobs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardAllotment {
    /// The worker shard.
    pub shard: ShardId,
    /// Allotment of the team in the shard.
    pub held: ResourceVector,
    /// Sum of the resources that all tasks of the team's open jobs in the shard need.
    pub demand: ResourceVector,
}

/// A planned transfer of allotment of one team between two worker shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentTransfer {
    /// The team whose limit is redistributed.
    pub team: TeamId,
    /// The shard whose allotment decreases.
    pub from: ShardId,
    /// The shard whose allotment increases.
    pub to: ShardId,
    /// The amount to move.
    pub amount: ResourceVector,
}

impl AllotmentTransfer {
    /// Returns the transfers that move allotment to the shards where the team has demand.
    ///
    /// If the limit covers the total demand, each shard gets its demand and keeps any surplus that no other
    /// shard needs. Otherwise the target of each shard is proportional to its demand, and only shortfalls
    /// above a quarter of the target are filled, so that small changes of demand cause no transfers.
    #[must_use]
    pub fn plan(team: &TeamId, allotments: &[ShardAllotment]) -> Vec<Self> {
        let mut moves: BTreeMap<(usize, usize), ResourceVector> = BTreeMap::new();
        let moves_in_dimension = |get: fn(&ResourceVector) -> u64, unit: ResourceVector| {
            let held: Vec<u64> = allotments.iter().map(|allotment| get(&allotment.held)).collect();
            let demand: Vec<u64> = allotments.iter().map(|allotment| get(&allotment.demand)).collect();
            let pairs = balance(&held, &demand).into_iter();
            pairs.map(move |(pair, amount)| (pair, unit.times(amount))).collect::<Vec<_>>()
        };
        let cores = moves_in_dimension(|amount| amount.cores_milli, ResourceVector::new(1, 0, 0));
        let memory = moves_in_dimension(|amount| amount.memory_mib, ResourceVector::new(0, 1, 0));
        let accelerators = moves_in_dimension(|amount| amount.accelerators, ResourceVector::new(0, 0, 1));
        for (pair, amount) in cores.into_iter().chain(memory).chain(accelerators) {
            let sum = moves.entry(pair).or_default();
            *sum = sum.plus(amount);
        }
        let transfers = moves.into_iter().map(|((from, to), amount)| Self {
            team: team.clone(),
            from: allotments[from].shard.clone(),
            to: allotments[to].shard.clone(),
            amount,
        });
        transfers.collect()
    }
}

/// Returns the amounts to move in one resource dimension, each with the indices of its source and target.
fn balance(held: &[u64], demand: &[u64]) -> Vec<((usize, usize), u64)> {
    let limit: u64 = held.iter().sum();
    let total: u64 = demand.iter().fold(0, |sum, part| sum.saturating_add(*part));
    let scarce = total > limit;
    let target = |index: usize| if scarce { scale(demand[index], limit, total) } else { demand[index] };
    let shortfall = |index: &usize| {
        let missing = target(*index).saturating_sub(held[*index]);
        if scarce && missing <= target(*index) / 4 { 0 } else { missing }
    };
    let mut surplus: Vec<(u64, usize)> =
        (0..held.len()).map(|index| (held[index].saturating_sub(target(index)), index)).collect();
    // Taking from the largest surplus first keeps the number of transfers small.
    surplus.sort_unstable_by(|left, right| right.cmp(left));
    let mut moves = Vec::new();
    for to in 0..held.len() {
        let mut missing = shortfall(&to);
        for (remaining, from) in &mut surplus {
            let amount = missing.min(*remaining);
            if amount > 0 {
                *remaining -= amount;
                missing -= amount;
                moves.push(((*from, to), amount));
            }
        }
    }
    moves
}

fn scale(part: u64, limit: u64, total: u64) -> u64 {
    let scaled = u128::from(part) * u128::from(limit) / u128::from(total.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
