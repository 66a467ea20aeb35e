use crate::kernel::{
    BundleCodec, BundleRecord, JobOutcome, JobState, LedgerChange, RecordGroup, ShardClaim, rendezvous,
};
use crate::prelude::*;

/// How long request ids are remembered, in milliseconds.
const REQUEST_MEMORY_MS: u64 = 600_000;

/// The state that every process derives from the control log in the same way.
pub struct LedgerState {
    codec: BundleCodec,
    /// Offset after the last folded group.
    pub next: LogOffset,
    /// The bundle in force.
    pub bundle: Option<Arc<PolicyBundle>>,
    /// The bundle in force as published.
    pub published: Option<BundleRecord>,
    /// Present claim of each claimed shard.
    pub claims: FastMap<ShardId, ShardClaim>,
    /// Accepted jobs.
    pub jobs: FastMap<JobId, JobState>,
    /// Allotment of each team in each shard.
    pub allotments: FastMap<(ShardId, TeamId), ResourceVector>,
    /// Announced requests with body digest and time in milliseconds of Unix time.
    pub intents: FastMap<RequestId, (BodyDigest, u64)>,
    sequences: FastMap<ProcessId, GroupSequence>,
}

impl LedgerState {
    /// Returns the state before the first record.
    #[must_use]
    pub fn new(codec: BundleCodec) -> Self {
        Self {
            codec,
            next: 0,
            bundle: None,
            published: None,
            claims: FastMap::default(),
            jobs: FastMap::default(),
            allotments: FastMap::default(),
            intents: FastMap::default(),
            sequences: FastMap::default(),
        }
    }

    /// Applies the group at `offset` and returns its effective changes in order.
    pub fn fold(&mut self, offset: LogOffset, group: &RecordGroup) -> Vec<LedgerChange> {
        self.next = offset + 1;
        let last = self.sequences.entry(group.process.clone()).or_default();
        if group.sequence <= *last {
            return Vec::new();
        }
        *last = group.sequence;
        let mut changes = Vec::new();
        for record in &group.records {
            self.apply(offset, &group.process, record, &mut changes);
        }
        changes.push(LedgerChange::GroupFolded(group.process.clone(), group.sequence));
        changes
    }

    /// Returns the present token of a shard, 0 if it is not claimed.
    #[must_use]
    pub fn token(&self, shard: &str) -> FencingToken {
        self.claims.get(shard).map_or(0, |claim| claim.token)
    }

    /// Returns the worker shard of a new job among the shards of all regions.
    #[must_use]
    pub fn shard_for(&self, job: &str) -> Option<ShardId> {
        let shards = self.bundle.as_ref()?.shards();
        let workers = shards.iter().filter(|shard| !shard.starts_with("service:"));
        rendezvous::pick(job, workers, |shard| shard).cloned()
    }

    fn apply(
        &mut self,
        offset: LogOffset,
        process: &ProcessId,
        record: &LogRecord,
        changes: &mut Vec<LedgerChange>,
    ) {
        match record {
            LogRecord::Bundle(record) => self.apply_bundle(record, changes),
            LogRecord::Claim { shard, process, over } => {
                self.apply_claim(offset, shard, process, *over, changes);
            }
            LogRecord::Submit { spec, shard } => self.apply_submit(offset, spec, shard, changes),
            LogRecord::Cancel { job } => self.apply_cancel(job, changes),
            LogRecord::Move { job, to, token } => self.apply_move(job, to, *token, changes),
            LogRecord::Transfer { team, from, to, amount, token } => {
                if self.token(from) == *token {
                    self.apply_transfer(team, from, to, *amount, changes);
                }
            }
            LogRecord::Intent { request, digest, shard, token, at_ms } => {
                let owned = self.claims.get(shard).is_some_and(|claim| claim.process == *process);
                if owned && self.token(shard) == *token && !self.intents.contains_key(request) {
                    self.forget_requests(*at_ms);
                    self.intents.insert(request.clone(), (*digest, *at_ms));
                    changes.push(LedgerChange::IntentAccepted(shard.clone(), request.clone()));
                } else {
                    changes.push(LedgerChange::IntentRefused(shard.clone(), request.clone()));
                }
            }
            LogRecord::Outcome { job, token, outcome } => self.apply_outcome(job, *token, outcome, changes),
        }
    }

    fn apply_bundle(&mut self, record: &BundleRecord, changes: &mut Vec<LedgerChange>) {
        match self.judge_bundle(record) {
            Ok(bundle) => {
                let bundle = Arc::new(bundle);
                self.published = Some(record.clone());
                self.rescale_allotments(&bundle, changes);
                self.bundle = Some(bundle.clone());
                changes.push(LedgerChange::BundleAdopted(bundle));
            }
            Err(reason) => changes.push(LedgerChange::BundleRefused(record.version, reason)),
        }
    }

    /// Parses and checks a published bundle against the one in force.
    fn judge_bundle(&self, record: &BundleRecord) -> Result<PolicyBundle, String> {
        let version = self.bundle.as_ref().map_or(0, |bundle| bundle.version);
        if record.base != version || record.version <= version {
            return Err(format!(
                "version {} on base {}, but version {version} is in force",
                record.version, record.base
            ));
        }
        let signers =
            self.bundle.as_ref().map(|bundle| &bundle.signers).filter(|signers| !signers.is_empty());
        let signers = signers.unwrap_or(&self.codec.signers);
        let required = self.bundle.as_ref().map_or(self.codec.required, |bundle| bundle.approvals.max(1));
        let approvals = (self.codec.approvals)(record, signers);
        if approvals < required {
            return Err(format!("{approvals} of {required} needed signatures are valid"));
        }
        let bundle = (self.codec.parse)(&record.text)?;
        if bundle.version != record.version || bundle.base != record.base {
            return Err("the text names another version or base than the record".into());
        }
        Ok(bundle)
    }

    /// Divides each team's limit among the worker shards: evenly at first, in proportion afterwards.
    fn rescale_allotments(&mut self, bundle: &PolicyBundle, changes: &mut Vec<LedgerChange>) {
        let shards: Vec<ShardId> =
            bundle.shards().into_iter().filter(|shard| !shard.starts_with("service:")).collect();
        let old = std::mem::take(&mut self.allotments);
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
    }

    fn apply_claim(
        &mut self,
        offset: LogOffset,
        shard: &ShardId,
        process: &ProcessId,
        over: FencingToken,
        changes: &mut Vec<LedgerChange>,
    ) {
        if self.token(shard) != over {
            return;
        }
        // Offset 0 would equal the token of an unclaimed shard.
        let claim = ShardClaim { process: process.clone(), token: offset + 1 };
        self.claims.insert(shard.clone(), claim.clone());
        changes.push(LedgerChange::ShardClaimed(shard.clone(), claim));
    }

    fn apply_submit(
        &mut self,
        offset: LogOffset,
        spec: &JobSpec,
        shard: &ShardId,
        changes: &mut Vec<LedgerChange>,
    ) {
        if let Some(known) = self.jobs.get(&spec.id) {
            let same = known.spec == *spec;
            let id = spec.id.clone();
            changes.push(if same { LedgerChange::JobRepeated(id) } else { LedgerChange::JobConflict(id) });
            return;
        }
        let state =
            JobState { spec: spec.clone(), shard: shard.clone(), offset, cancelled: false, outcome: None };
        self.jobs.insert(spec.id.clone(), state);
        changes.push(LedgerChange::JobAccepted(Arc::new(spec.clone()), shard.clone()));
    }

    fn apply_cancel(&mut self, job: &JobId, changes: &mut Vec<LedgerChange>) {
        let Some(state) = self.jobs.get_mut(job).filter(|state| state.outcome.is_none() && !state.cancelled)
        else {
            return;
        };
        state.cancelled = true;
        changes.push(LedgerChange::JobCancelled(job.clone(), state.shard.clone()));
    }

    fn apply_move(
        &mut self,
        job: &JobId,
        to: &ShardId,
        token: FencingToken,
        changes: &mut Vec<LedgerChange>,
    ) {
        let Some(state) = self.jobs.get(job).filter(|state| state.outcome.is_none()) else { return };
        if self.token(&state.shard) != token {
            return;
        }
        let spec = Arc::new(state.spec.clone());
        if let Some(state) = self.jobs.get_mut(job) {
            state.shard = to.clone();
        }
        changes.push(LedgerChange::JobMoved(spec, to.clone()));
    }

    fn apply_transfer(
        &mut self,
        team: &TeamId,
        from: &ShardId,
        to: &ShardId,
        amount: ResourceVector,
        changes: &mut Vec<LedgerChange>,
    ) {
        let source = (from.clone(), team.clone());
        let target = (to.clone(), team.clone());
        let held = self.allotments.get(&source).copied().unwrap_or_default();
        if !amount.fits(held) || !self.allotments.contains_key(&target) || source == target {
            // The holder lowered its usable amount before it appended, so it must hear the amount in force.
            changes.push(LedgerChange::AllotmentChanged(from.clone(), team.clone(), held));
            return;
        }
        let rest = held.minus(amount);
        let sum = self.allotments[&target].plus(amount);
        self.allotments.insert(source, rest);
        self.allotments.insert(target, sum);
        changes.push(LedgerChange::AllotmentChanged(from.clone(), team.clone(), rest));
        changes.push(LedgerChange::AllotmentChanged(to.clone(), team.clone(), sum));
    }

    fn apply_outcome(
        &mut self,
        job: &JobId,
        token: FencingToken,
        outcome: &JobOutcome,
        changes: &mut Vec<LedgerChange>,
    ) {
        let Some(state) = self.jobs.get(job).filter(|state| state.outcome.is_none()) else { return };
        if self.token(&state.shard) != token {
            return;
        }
        if let Some(state) = self.jobs.get_mut(job) {
            state.outcome = Some(outcome.clone());
        }
        changes.push(LedgerChange::JobEnded(job.clone(), outcome.clone()));
    }

    fn forget_requests(&mut self, now_ms: u64) {
        let oldest = now_ms.saturating_sub(REQUEST_MEMORY_MS);
        self.intents.retain(|_, (_, at_ms)| *at_ms >= oldest);
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
