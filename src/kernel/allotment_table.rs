use crate::kernel::LedgerChange;
use crate::prelude::*;

/// Allotment of each team in each worker shard: the part of the team's limit that the shard may use. The
/// allotments of a team over all shards add up to its limit.
#[derive(Clone, Debug, Default)]
pub struct AllotmentTable {
    allotments: FastMap<(ShardId, TeamId), ResourceVector>,
}

impl AllotmentTable {
    /// Returns the allotment of a team in a shard, zero if it has none.
    #[must_use]
    pub fn get(&self, shard: &ShardId, team: &TeamId) -> ResourceVector {
        self.allotments.get(&(shard.clone(), team.clone())).copied().unwrap_or_default()
    }

    /// Returns all allotments, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&(ShardId, TeamId), &ResourceVector)> {
        self.allotments.iter()
    }

    /// Restores an allotment from a snapshot.
    pub fn restore(&mut self, shard: ShardId, team: TeamId, amount: ResourceVector) {
        self.allotments.insert((shard, team), amount);
    }

    /// Divides the limits of a new bundle among its worker shards, in proportion to the current allotments,
    /// or evenly if there are none. Returns all allotments as changes.
    pub fn rescale(&mut self, bundle: &PolicyBundle) -> Vec<LedgerChange> {
        let shards: Vec<ShardId> =
            bundle.shards().into_iter().filter(|shard| !shard.starts_with("service:")).collect();
        let old = std::mem::take(&mut self.allotments);
        let mut changes = Vec::new();
        for team in &bundle.teams {
            let held: Vec<ResourceVector> = shards
                .iter()
                .map(|shard| old.get(&(shard.clone(), team.id.clone())).copied().unwrap_or_default())
                .collect();
            for (shard, amount) in shards.iter().zip(divide_limit(team.limit, &held)) {
                self.allotments.insert((shard.clone(), team.id.clone()), amount);
                changes.push(LedgerChange::AllotmentChanged(shard.clone(), team.id.clone(), amount));
            }
        }
        // A team that the bundle no longer names, or a shard that it no longer defines, loses its allotment.
        let mut removed: Vec<(ShardId, TeamId)> =
            old.into_keys().filter(|key| !self.allotments.contains_key(key)).collect();
        removed.sort_unstable();
        let zero = ResourceVector::default();
        changes.extend(
            removed.into_iter().map(|(shard, team)| LedgerChange::AllotmentChanged(shard, team, zero)),
        );
        changes
    }

    /// Moves an amount between shards if the allotment of `from` covers it and `to` has
    /// an allotment of the team.
    pub fn transfer(
        &mut self,
        team: &TeamId,
        from: &ShardId,
        to: &ShardId,
        amount: ResourceVector,
    ) -> Vec<LedgerChange> {
        let source = (from.clone(), team.clone());
        let target = (to.clone(), team.clone());
        let held = self.get(from, team);
        if !amount.fits(held) || !self.allotments.contains_key(&target) || source == target {
            // The owner of `from` lowered its usable amount before the append, so it
            // must learn that nothing moved.
            return vec![LedgerChange::AllotmentChanged(from.clone(), team.clone(), held)];
        }
        let remainder = held.minus(amount);
        let sum = self.allotments[&target].plus(amount);
        self.allotments.insert(source, remainder);
        self.allotments.insert(target, sum);
        vec![
            LedgerChange::AllotmentChanged(from.clone(), team.clone(), remainder),
            LedgerChange::AllotmentChanged(to.clone(), team.clone(), sum),
        ]
    }
}

/// Divides `limit` among the shards in proportion to `held`; the parts add up to the limit.
fn divide_limit(limit: ResourceVector, held: &[ResourceVector]) -> Vec<ResourceVector> {
    let divide = |get: fn(&ResourceVector) -> u64| {
        let parts: Vec<u64> = held.iter().map(get).collect();
        divide_amount(get(&limit), &parts)
    };
    let cores = divide(|amount| amount.cores_milli);
    let memory = divide(|amount| amount.memory_mib);
    let accelerators = divide(|amount| amount.accelerators);
    (0..held.len())
        .map(|index| ResourceVector::new(cores[index], memory[index], accelerators[index]))
        .collect()
}

fn divide_amount(limit: u64, held: &[u64]) -> Vec<u64> {
    let total: u64 = held.iter().sum();
    if held.is_empty() || total == limit {
        return held.to_vec();
    }
    let count = held.len() as u64;
    let mut parts: Vec<u64> = if total == 0 {
        vec![limit / count; held.len()]
    } else {
        held.iter().map(|&part| scale(part, limit, total)).collect()
    };
    let remainder = limit - parts.iter().sum::<u64>();
    // Rounding down leaves a remainder of less than one unit per shard.
    for part in parts.iter_mut().take(usize::try_from(remainder).unwrap_or(usize::MAX)) {
        *part += 1;
    }
    parts
}

fn scale(part: u64, limit: u64, total: u64) -> u64 {
    let scaled = u128::from(part) * u128::from(limit) / u128::from(total);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
