use std::collections::BTreeMap;

use crate::prelude::*;

/// What a shard holds of a team's limit, and what the open jobs of the team need there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardAllotment {
    /// The shard.
    pub shard: ShardId,
    /// Its allotment.
    pub held: ResourceVector,
    /// Sum of the needs of all tasks of open jobs.
    pub demand: ResourceVector,
}

/// An amount of a team's limit that should move between shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentTransfer {
    /// The team.
    pub team: TeamId,
    /// The giving shard.
    pub from: ShardId,
    /// The receiving shard.
    pub to: ShardId,
    /// How much moves.
    pub amount: ResourceVector,
}

impl AllotmentTransfer {
    /// Returns the trades that bring allotment to where the team needs it.
    ///
    /// If the limit covers the demand, each shard gets its demand and keeps what nobody needs. Otherwise each shard
    /// gets a part in proportion to its demand, and only gaps above a quarter of that part are closed, so that small
    /// changes of demand move nothing.
    #[must_use]
    pub fn plan(team: &TeamId, allotments: &[ShardAllotment]) -> Vec<Self> {
        let mut moves: BTreeMap<(usize, usize), ResourceVector> = BTreeMap::new();
        let dimension = |get: fn(&ResourceVector) -> u64, unit: ResourceVector| {
            let held: Vec<u64> = allotments.iter().map(|allotment| get(&allotment.held)).collect();
            let demand: Vec<u64> = allotments.iter().map(|allotment| get(&allotment.demand)).collect();
            let pairs = balance(&held, &demand).into_iter();
            pairs.map(move |(pair, amount)| (pair, unit.times(amount))).collect::<Vec<_>>()
        };
        let cores = dimension(|amount| amount.cores_milli, ResourceVector::new(1, 0, 0));
        let memory = dimension(|amount| amount.memory_mib, ResourceVector::new(0, 1, 0));
        let accelerators = dimension(|amount| amount.accelerators, ResourceVector::new(0, 0, 1));
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

/// Returns how much moves from which index to which.
fn balance(held: &[u64], demand: &[u64]) -> Vec<((usize, usize), u64)> {
    let limit: u64 = held.iter().sum();
    let total: u64 = demand.iter().fold(0, |sum, part| sum.saturating_add(*part));
    let short = total > limit;
    let target = |index: usize| if short { scale(demand[index], limit, total) } else { demand[index] };
    let gap = |index: &usize| {
        let gap = target(*index).saturating_sub(held[*index]);
        if short && gap <= target(*index) / 4 { 0 } else { gap }
    };
    let mut surplus: Vec<(u64, usize)> =
        (0..held.len()).map(|index| (held[index].saturating_sub(target(index)), index)).collect();
    // The largest first keeps the number of transfers small.
    surplus.sort_unstable_by(|left, right| right.cmp(left));
    let mut moves = Vec::new();
    for to in 0..held.len() {
        let mut missing = gap(&to);
        for (left, from) in &mut surplus {
            let amount = missing.min(*left);
            if amount > 0 {
                *left -= amount;
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
