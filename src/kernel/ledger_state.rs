use crate::kernel::{
    AllotmentTable, BundleRecord, BundleVerifier, IntentTable, JobOutcome, JobState, JobTable, LedgerChange,
    ProcessTable, RecordGroup, ShardClaim, SnapshotItem, SnapshotPiece, rendezvous,
};
use crate::prelude::*;

/// State machine of the control log. Every process applies the same groups in offset order, so all processes
/// reach the same state.
pub struct LedgerState {
    verifier: BundleVerifier,
    /// Offset of the next group to apply.
    pub next: LogOffset,
    /// The bundle in force, parsed; `None` before the first valid one.
    pub bundle: Option<Arc<PolicyBundle>>,
    /// The log record that the bundle in force came from; snapshots store it.
    pub bundle_record: Option<BundleRecord>,
    /// Current owner and fencing token of each claimed shard.
    pub claims: FastMap<ShardId, ShardClaim>,
    /// Open jobs, and ended ones within their retention time.
    pub jobs: JobTable,
    /// Part of each team's limit that each worker shard may use.
    pub allotments: AllotmentTable,
    /// Recorded intents of non-idempotent requests, within their retention time.
    pub intents: IntentTable,
    /// Last group of each appending process, and the ledger clock.
    pub processes: ProcessTable,
}

impl LedgerState {
    /// Returns the empty state before the first group; `verifier` checks published bundles.
    #[must_use]
    pub fn new(verifier: BundleVerifier) -> Self {
        Self {
            verifier,
            next: 0,
            bundle: None,
            bundle_record: None,
            claims: FastMap::default(),
            jobs: JobTable::default(),
            allotments: AllotmentTable::default(),
            intents: IntentTable::default(),
            processes: ProcessTable::default(),
        }
    }

    /// Applies the group at `offset` and returns the resulting changes in order; none for a repeated append.
    pub fn apply_group(&mut self, offset: LogOffset, group: &RecordGroup) -> Vec<LedgerChange> {
        self.next = offset + 1;
        if !self.processes.accept_group(&group.process, group.sequence, group.at_ms, offset) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for record in &group.records {
            self.apply(offset, &group.process, record, &mut changes);
        }
        if self.processes.advance_clock(offset) {
            self.intents.evict_expired(self.processes.now_ms);
            self.jobs.evict_expired(self.processes.now_ms);
        }
        changes.push(LedgerChange::GroupApplied(group.process.clone(), group.sequence));
        changes
    }

    /// Returns the fencing token of the current claim on a shard, 0 if the shard is not claimed.
    #[must_use]
    pub fn token(&self, shard: &str) -> FencingToken {
        self.claims.get(shard).map_or(0, |claim| claim.token)
    }

    /// Returns the worker shards that the bundle in force defines, without the service partitions.
    #[must_use]
    pub fn worker_shards(&self) -> Vec<ShardId> {
        let shards = self.bundle.as_ref().map(|bundle| bundle.shards()).unwrap_or_default();
        shards.into_iter().filter(|shard| !shard.starts_with("service:")).collect()
    }

    /// Returns the worker shard that rendezvous hashing alone gives to a job, among the shards of all
    /// regions. New jobs go to the shard that [`shard_choice`](crate::kernel::shard_choice) returns.
    #[must_use]
    pub fn shard_for(&self, job: &str) -> Option<ShardId> {
        rendezvous::pick(job, self.worker_shards().iter(), |shard| shard).cloned()
    }

    /// Returns a snapshot for processes that can no longer read the groups below `next`, in pieces.
    #[must_use]
    pub fn snapshot(&self) -> Vec<SnapshotPiece> {
        let mut items = vec![SnapshotItem::Clock(self.processes.now_ms, self.processes.clock_offset)];
        items.extend(self.bundle_record.clone().map(SnapshotItem::Bundle));
        let processes = self.processes.iter();
        let mut watermarks: Vec<SnapshotItem> = processes
            .map(|(process, watermark)| SnapshotItem::Process(process.clone(), *watermark))
            .collect();
        watermarks.sort_unstable_by_key(|item| match item {
            SnapshotItem::Process(_, watermark) => watermark.offset,
            _ => 0,
        });
        items.append(&mut watermarks);
        let mut claims: Vec<_> = self.claims.iter().collect();
        claims.sort_unstable_by_key(|(shard, _)| *shard);
        items.extend(
            claims.into_iter().map(|(shard, claim)| SnapshotItem::Claim(shard.clone(), claim.clone())),
        );
        let mut allotments: Vec<_> = self.allotments.iter().collect();
        allotments.sort_unstable_by_key(|(key, _)| *key);
        items.extend(
            allotments
                .into_iter()
                .map(|((shard, team), amount)| SnapshotItem::Allotment(shard.clone(), team.clone(), *amount)),
        );
        let mut open_jobs: Vec<&JobState> =
            self.jobs.values().filter(|state| state.outcome.is_none()).collect();
        open_jobs.sort_unstable_by_key(|state| (state.offset, &state.spec.id));
        items.extend(open_jobs.into_iter().cloned().map(SnapshotItem::Open));
        let ended_jobs =
            self.jobs.ended().filter_map(|(at_ms, job)| Some((self.jobs.get(job)?.clone(), *at_ms)));
        items.extend(ended_jobs.map(|(state, at_ms)| SnapshotItem::Ended(state, at_ms)));
        let intents = self.intents.iter();
        items.extend(
            intents.map(|(request, digest, at_ms)| SnapshotItem::Intent(request.clone(), digest, at_ms)),
        );
        SnapshotPiece::split(self.next, items)
    }

    /// Replaces the state with a snapshot that covers all groups below `covers`, and returns the changes that
    /// bring a reader of the old state up to date: a new bundle, new claims, all allotments, and new, moved,
    /// cancelled and ended jobs. Removed jobs, intents and applied groups give no changes.
    pub fn restore(&mut self, covers: LogOffset, items: Vec<SnapshotItem>) -> Vec<LedgerChange> {
        let old = std::mem::replace(self, Self::new(self.verifier.clone()));
        self.next = covers;
        for item in items {
            self.restore_item(item);
        }
        self.differences(&old)
    }

    fn restore_item(&mut self, item: SnapshotItem) {
        match item {
            SnapshotItem::Clock(now_ms, clock_offset) => {
                self.processes.now_ms = now_ms;
                self.processes.clock_offset = clock_offset;
            }
            SnapshotItem::Bundle(record) => {
                self.bundle = (self.verifier.parse)(&record.text).ok().map(Arc::new);
                self.bundle_record = Some(record);
            }
            SnapshotItem::Process(process, watermark) => self.processes.restore(process, watermark),
            SnapshotItem::Claim(shard, claim) => {
                self.claims.insert(shard, claim);
            }
            SnapshotItem::Allotment(shard, team, amount) => self.allotments.restore(shard, team, amount),
            SnapshotItem::Open(state) => self.jobs.insert(state),
            SnapshotItem::Ended(state, at_ms) => self.jobs.insert_ended(state, at_ms),
            SnapshotItem::Intent(request, digest, at_ms) => {
                self.intents.insert(&request, digest, at_ms);
            }
        }
    }

    /// Returns the changes that bring a reader of `old` up to this state.
    fn differences(&self, old: &Self) -> Vec<LedgerChange> {
        let mut changes = Vec::new();
        let version = |state: &Self| state.bundle.as_ref().map_or(0, |bundle| bundle.version);
        if let Some(bundle) = self.bundle.clone().filter(|_| version(self) != version(old)) {
            changes.push(LedgerChange::BundleAdopted(bundle));
        }
        let mut claims: Vec<_> = self.claims.iter().collect();
        claims.sort_unstable_by_key(|(shard, _)| *shard);
        let moved = claims.into_iter().filter(|(shard, claim)| old.claims.get(*shard) != Some(claim));
        changes.extend(moved.map(|(shard, claim)| LedgerChange::ShardClaimed(shard.clone(), claim.clone())));
        let mut allotments: Vec<_> = self.allotments.iter().collect();
        allotments.sort_unstable_by_key(|(key, _)| *key);
        changes.extend(allotments.into_iter().map(|((shard, team), amount)| {
            LedgerChange::AllotmentChanged(shard.clone(), team.clone(), *amount)
        }));
        let mut jobs: Vec<&JobState> = self.jobs.values().collect();
        jobs.sort_unstable_by_key(|state| (state.offset, &state.spec.id));
        for state in jobs {
            changes.extend(job_changes(state, old.jobs.get(&state.spec.id), self.next));
        }
        changes
    }

    fn apply(
        &mut self,
        offset: LogOffset,
        author: &ProcessId,
        record: &LogRecord,
        changes: &mut Vec<LedgerChange>,
    ) {
        match record {
            LogRecord::Bundle(record) => self.apply_bundle(record, changes),
            LogRecord::Claim { shard, process, over } => {
                let claim = ShardClaim { process: process.clone(), token: offset + 1 };
                self.apply_claim(author, shard, claim, *over, changes);
            }
            LogRecord::Submit { spec, shard } => self.apply_submit(offset, spec, shard, changes),
            LogRecord::Cancel { job } => {
                let shard = self.jobs.cancel(job);
                changes.extend(shard.map(|shard| LedgerChange::JobCancelled(job.clone(), shard)));
            }
            LogRecord::Move { job, to, token } => self.apply_move(offset, job, to, *token, changes),
            LogRecord::Transfer { team, from, to, amount, token } => {
                // Only the owner that appended the transfer has stopped using the amount.
                let owned = self.claims.get(from).is_some_and(|claim| claim.process == *author);
                if owned && self.token(from) == *token {
                    changes.extend(self.allotments.transfer(team, from, to, *amount));
                }
            }
            LogRecord::Intent { request, digest, shard, token, .. } => {
                let owned = self.claims.get(shard).is_some_and(|claim| claim.process == *author);
                let valid = owned && self.token(shard) == *token;
                let now_ms = self.processes.now_ms;
                changes.push(if valid && self.intents.insert(request, *digest, now_ms) {
                    LedgerChange::IntentAccepted(shard.clone(), request.clone())
                } else {
                    LedgerChange::IntentRefused(shard.clone(), request.clone())
                });
            }
            LogRecord::Outcome { job, token, outcome } => self.apply_outcome(job, *token, outcome, changes),
            // A process that applies the log already holds everything in a snapshot.
            LogRecord::Snapshot(_) | LogRecord::Alive => {}
        }
    }

    fn apply_bundle(&mut self, record: &BundleRecord, changes: &mut Vec<LedgerChange>) {
        match self.check_bundle(record) {
            Ok(bundle) => {
                let bundle = Arc::new(bundle);
                self.bundle_record = Some(record.clone());
                changes.extend(self.allotments.rescale(&bundle));
                self.bundle = Some(bundle.clone());
                changes.push(LedgerChange::BundleAdopted(bundle));
            }
            Err(reason) => changes.push(LedgerChange::BundleRefused(record.version, reason)),
        }
    }

    /// Checks that a published bundle replaces the one in force, then parses and verifies it.
    fn check_bundle(&self, record: &BundleRecord) -> Result<PolicyBundle, String> {
        let version = self.bundle.as_ref().map_or(0, |bundle| bundle.version);
        if record.base != version || record.version <= version {
            return Err(format!(
                "version {} on base {}, but version {version} is in force",
                record.version, record.base
            ));
        }
        self.verify_bundle(record, self.bundle.as_deref())
    }

    /// Parses a bundle and checks its signatures against the signers of `current`, or against those of the
    /// settings if `current` names none. Does not check whether the base is in force.
    ///
    /// # Errors
    ///
    /// Returns a one-line description of the fault.
    pub fn verify_bundle(
        &self,
        record: &BundleRecord,
        current: Option<&PolicyBundle>,
    ) -> Result<PolicyBundle, String> {
        let signers = current.map(|bundle| &bundle.signers).filter(|signers| !signers.is_empty());
        let signers = signers.unwrap_or(&self.verifier.signers);
        let required = current.map_or(self.verifier.required, |bundle| bundle.approvals.max(1));
        let approvals = (self.verifier.count_signatures)(record, signers);
        if approvals < required {
            return Err(format!("{approvals} of {required} needed signatures are valid"));
        }
        let bundle = (self.verifier.parse)(&record.text)?;
        if bundle.version != record.version || bundle.base != record.base {
            return Err("the text names another version or base than the record".into());
        }
        Ok(bundle)
    }

    /// Applies a claim. A process may claim a shard for itself; only the current owner may assign its shard
    /// to another process.
    fn apply_claim(
        &mut self,
        author: &ProcessId,
        shard: &ShardId,
        claim: ShardClaim,
        over: FencingToken,
        changes: &mut Vec<LedgerChange>,
    ) {
        let owner = self.claims.get(shard).map(|current| &current.process);
        if self.token(shard) != over || (claim.process != *author && owner != Some(author)) {
            return;
        }
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
        let id = spec.id.clone();
        if let Some(known) = self.jobs.get(&spec.id) {
            let same = known.spec == *spec;
            changes.push(if same { LedgerChange::JobRepeated(id) } else { LedgerChange::JobConflict(id) });
            return;
        }
        let open = self.jobs.open_tasks(shard, &spec.team) + u64::from(spec.tasks);
        let team = self.bundle.as_ref().and_then(|bundle| bundle.team(&spec.team));
        if team.is_some_and(|team| open > u64::from(team.max_waiting)) {
            changes.push(LedgerChange::JobRefused(id));
            return;
        }
        let state =
            JobState { spec: spec.clone(), shard: shard.clone(), offset, cancelled: false, outcome: None };
        self.jobs.insert(state);
        changes.push(LedgerChange::JobAccepted(Arc::new(spec.clone()), shard.clone()));
    }

    fn apply_move(
        &mut self,
        offset: LogOffset,
        job: &JobId,
        to: &ShardId,
        token: FencingToken,
        changes: &mut Vec<LedgerChange>,
    ) {
        let Some(state) = self.jobs.open(job) else { return };
        // The old owner ends a cancelled job, as the new owner would not learn of the cancellation.
        if self.token(&state.shard) != token || state.shard == *to || state.cancelled {
            return;
        }
        let spec = Arc::new(state.spec.clone());
        self.jobs.move_to_shard(job, to);
        changes.push(LedgerChange::JobMoved(spec, to.clone(), offset));
    }

    fn apply_outcome(
        &mut self,
        job: &JobId,
        token: FencingToken,
        outcome: &JobOutcome,
        changes: &mut Vec<LedgerChange>,
    ) {
        let Some(state) = self.jobs.open(job) else { return };
        if self.token(&state.shard) != token {
            return;
        }
        self.jobs.end(job, outcome, self.processes.now_ms);
        changes.push(LedgerChange::JobEnded(job.clone(), outcome.clone()));
    }
}

/// Returns the changes of one job that a reader of an older state must receive.
fn job_changes(state: &JobState, old: Option<&JobState>, next: LogOffset) -> Vec<LedgerChange> {
    let id = state.spec.id.clone();
    if let Some(outcome) = &state.outcome {
        let reported = old.is_some_and(|known| known.outcome.is_some());
        return if reported { Vec::new() } else { vec![LedgerChange::JobEnded(id, outcome.clone())] };
    }
    let (spec, shard) = (Arc::new(state.spec.clone()), state.shard.clone());
    let mut changes = Vec::new();
    match old {
        None => changes.push(LedgerChange::JobAccepted(spec, shard)),
        Some(known) if known.shard != shard => changes.push(LedgerChange::JobMoved(spec, shard, next)),
        Some(_) => {}
    }
    if state.cancelled && !old.is_some_and(|known| known.cancelled && known.shard == state.shard) {
        changes.push(LedgerChange::JobCancelled(id, state.shard.clone()));
    }
    changes
}
