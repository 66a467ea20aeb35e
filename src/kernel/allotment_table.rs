use crate::kernel::LedgerChange;
use crate::prelude::*;

/// Allotment of each team in each worker shard; the sum over the shards is the limit of the team.
#[derive(Clone, Debug, Default)]
pub struct AllotmentTable {
    held: FastMap<(ShardId, TeamId), ResourceVector>,
}

impl AllotmentTable {
    /// Returns the allotment of a team in a shard.
    #[must_use]
    pub fn get(&self, shard: &ShardId, team: &TeamId) -> ResourceVector {
        self.held.get(&(shard.clone(), team.clone())).copied().unwrap_or_default()
    }

    /// Returns all allotments, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&(ShardId, TeamId), &ResourceVector)> {
        self.held.iter()
    }

    /// Takes an allotment over from a snapshot.
    pub fn restore(&mut self, shard: ShardId, team: TeamId, amount: ResourceVector) {
        self.held.insert((shard, team), amount);
    }

    /// Divides the limits of a bundle among its worker shards: evenly at first, in proportion afterwards.
    pub fn rescale(&mut self, bundle: &PolicyBundle) -> Vec<LedgerChange> {
        let shards: Vec<ShardId> =
            bundle.shards().into_iter().filter(|shard| !shard.starts_with("service:")).collect();
        let old = std::mem::take(&mut self.held);
        let mut changes = Vec::new();
        for team in &bundle.teams {
            let held: Vec<ResourceVector> = shards
                .iter()
                .map(|shard| old.get(&(shard.clone(), team.id.clone())).copied().unwrap_or_default())
                .collect();
            for (shard, amount) in shards.iter().zip(divide_limit(team.limit, &held)) {
                self.held.insert((shard.clone(), team.id.clone()), amount);
                changes.push(LedgerChange::AllotmentChanged(shard.clone(), team.id.clone(), amount));
            }
        }
        // A team that the bundle no longer names must not keep what it held.
        let mut gone: Vec<(ShardId, TeamId)> =
            old.into_keys().filter(|key| !self.held.contains_key(key)).collect();
        gone.sort_unstable();
        let none = ResourceVector::default();
        changes
            .extend(gone.into_iter().map(|(shard, team)| LedgerChange::AllotmentChanged(shard, team, none)));
        changes
    }

    /// Moves an amount between shards if the giving one holds it.
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
        if !amount.fits(held) || !self.held.contains_key(&target) || source == target {
            // The holder lowered its usable amount before it appended, so it must hear the amount in force.
            return vec![LedgerChange::AllotmentChanged(from.clone(), team.clone(), held)];
        }
        let rest = held.minus(amount);
        let sum = self.held[&target].plus(amount);
        self.held.insert(source, rest);
        self.held.insert(target, sum);
        vec![
            LedgerChange::AllotmentChanged(from.clone(), team.clone(), rest),
            LedgerChange::AllotmentChanged(to.clone(), team.clone(), sum),
        ]
    }
}

/// Divides `limit` over the shards in proportion to what they hold; the parts add up to the limit.
fn divide_limit(limit: ResourceVector, held: &[ResourceVector]) -> Vec<ResourceVector> {
    let pick = |get: fn(&ResourceVector) -> u64| {
        let parts: Vec<u64> = held.iter().map(get).collect();
        divide_amount(get(&limit), &parts)
    };
    let cores = pick(|amount| amount.cores_milli);
    let memory = pick(|amount| amount.memory_mib);
    let accelerators = pick(|amount| amount.accelerators);
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
    let rest = limit - parts.iter().sum::<u64>();
    // Rounding down leaves less than one unit for each shard.
    for part in parts.iter_mut().take(usize::try_from(rest).unwrap_or(usize::MAX)) {
        *part += 1;
    }
    parts
}

fn scale(part: u64, limit: u64, total: u64) -> u64 {
    let scaled = u128::from(part) * u128::from(limit) / u128::from(total);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
