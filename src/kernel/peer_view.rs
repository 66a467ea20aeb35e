use crate::kernel::{OwnershipEvidence, PeerHeartbeat, ShardClaim, shard_assignment};
use crate::prelude::*;

/// Time without evidence of life after which an entry process is suspected dead. Evidence is a heartbeat, a
/// heartbeat that another process received, or a group or claim in the log.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Age up to which the newest log read that a process knows of shows that its bundle is fresh.
pub const STALE_AFTER: Duration = Duration::from_secs(6);
/// Age of the last heartbeat of a peer at which the peer counts as missed. Heartbeats
/// are sent every 1 s. The next heartbeat asks the others which processes they hear,
/// and their answers must arrive before the peer is suspected.
const HEARTBEAT_MISSED_AFTER: Duration = Duration::from_millis(1_250);
/// A longer time between two ticks counts as a pause of the process; ticks are 250 ms apart.
const PAUSE_AFTER: Duration = Duration::from_secs(1);
/// Time that another process must have been ready before a process that is not stopping hands it shards.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// Minimum time between two handovers of a process that is not stopping.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(1);
/// A process that has not read the log for this long yields its shards if a peer can read the log.
const YIELD_AFTER: Duration = Duration::from_secs(10);
/// Time within which all processes read the log again after an outage. The longest backoff between reads
/// is 2 s.
const READ_RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Minimum time between two `Alive` records of a process.
const ALIVE_RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// Bound on the claims that a process appends in one tick.
const MAX_CLAIMS_PER_TICK: usize = 8;

/// Which shards a stopping process hands over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum HandoverStage {
    /// The process is not stopping and keeps its shards.
    #[default]
    Staying,
    /// The process hands over its worker shards.
    WorkerShards,
    /// The process hands over its worker shards and service partitions.
    AllShards,
}

/// Membership view of one entry process: which peers are alive, which shards this process should claim or
/// hand over, and whether its bundle is fresh.
#[derive(Debug)]
pub struct PeerView {
    process: ProcessId,
    peers: FastMap<ProcessId, PeerState>,
    /// Regions of the other entry VMs that the VM list shows as live; `None` before the first list.
    listed_vms: Option<FastMap<VmId, RegionId>>,
    claims: FastMap<ShardId, ShardClaim>,
    /// For each shard that this process tried to claim or hand over: the token of the claim to replace.
    /// Removed once any claim on the shard is applied.
    attempted_claims: FastMap<ShardId, FencingToken>,
    started_at: Instant,
    last_tick: Instant,
    /// Time of the start or of the end of the last pause; `None` once the log was read to its end since then.
    catching_up_since: Option<Instant>,
    last_handover: Option<Instant>,
    last_alive_record: Option<Instant>,
    /// Newest log read that is known, of this process or of a peer.
    newest_read: Option<Instant>,
    newest_own_read: Instant,
    ownership: OwnershipEvidence,
    /// Since when some process has been able to read the log; `None` while none can.
    readable_since: Option<Instant>,
    /// Version of the bundle in force in this process.
    pub version: BundleVersion,
    /// Region of this process; `None` until the VM list has shown it.
    pub region: Option<RegionId>,
    /// Which shards this process hands over because it stops.
    pub stage: HandoverStage,
}

#[derive(Debug, Default)]
struct PeerState {
    vm: Option<VmId>,
    /// Last evidence of life, from any source.
    last_alive: Option<Instant>,
    /// Last heartbeat that this process received from the peer.
    last_heartbeat: Option<Instant>,
    /// Latest answer to a heartbeat of this process: when that heartbeat was sent, and whether the answer
    /// confirms that the bundle of this process is fresh.
    last_answer: Option<(Instant, bool)>,
    ready_since: Option<Instant>,
    leaving: bool,
    yielding: bool,
    /// Whether its last heartbeat said that it misses a peer.
    misses_peer: bool,
}

impl PeerView {
    /// Returns the view of a process that has received no heartbeat and not read the log yet.
    #[must_use]
    pub fn new(process: ProcessId, now: Instant) -> Self {
        Self {
            process,
            peers: FastMap::default(),
            listed_vms: None,
            claims: FastMap::default(),
            attempted_claims: FastMap::default(),
            started_at: now,
            last_tick: now,
            catching_up_since: Some(now),
            last_handover: None,
            last_alive_record: None,
            newest_read: None,
            newest_own_read: now,
            ownership: OwnershipEvidence::default(),
            readable_since: None,
            version: 0,
            region: None,
            stage: HandoverStage::Staying,
        }
    }

    /// Records a heartbeat. If it answers a heartbeat of this process, `request_sent`
    /// is when that one was sent.
    ///
    /// The log read of a peer is taken from answers only: another heartbeat can have waited in a buffer while
    /// this process was paused, so its age is not known.
    pub fn note_heartbeat(&mut self, heartbeat: &PeerHeartbeat, request_sent: Option<Instant>, now: Instant) {
        let version = self.version;
        let state = self.peers.entry(heartbeat.process.clone()).or_default();
        state.vm = Some(heartbeat.vm.clone());
        state.last_heartbeat = Some(now);
        state.last_alive = Some(now);
        state.leaving = heartbeat.leaving;
        state.yielding = heartbeat.yielding;
        state.misses_peer = heartbeat.misses_peer;
        state.ready_since = heartbeat.ready.then(|| state.ready_since.unwrap_or(now));
        if let Some(sent) = request_sent {
            // A peer with a newer bundle confirms nothing until this process has that bundle, too.
            let confirms = heartbeat.version <= version;
            state.last_answer = Some((sent, confirms));
            let read = heartbeat.log_age.and_then(|age| sent.checked_sub(age)).filter(|_| confirms);
            self.newest_read = self.newest_read.max(read);
            if heartbeat.confirms_claims {
                self.ownership.note_answer(heartbeat.vm.clone(), sent);
            }
        }
        for (process, age) in heartbeat.heard.iter().filter(|(process, _)| *process != self.process) {
            let alive = now.checked_sub(*age);
            let state = self.peers.entry(process.clone()).or_default();
            state.last_alive = state.last_alive.max(alive);
        }
    }

    /// Records that a group of a process was applied, which shows that the process is alive.
    pub fn note_group(&mut self, process: &ProcessId, now: Instant) {
        if *process != self.process {
            self.peers.entry(process.clone()).or_default().last_alive = Some(now);
        }
    }

    /// Records an applied claim.
    pub fn note_claim(&mut self, shard: ShardId, claim: ShardClaim, now: Instant) {
        self.attempted_claims.remove(&shard);
        if claim.process == self.process {
            self.ownership.note_claim(now);
        } else {
            // An owner that was never heard may be missing from the VM list; its claim
            // shows that it is alive.
            let state = self.peers.entry(claim.process.clone()).or_default();
            state.last_alive = state.last_alive.max(Some(now));
        }
        self.claims.insert(shard, claim);
    }

    /// Sets the other entry VMs that the VM list shows as live, with their regions.
    pub fn note_listed(&mut self, vms: FastMap<VmId, RegionId>) {
        self.ownership.retain_peers(&vms);
        self.listed_vms = Some(vms);
    }

    fn region(&self, process: &ProcessId) -> Option<&RegionId> {
        if *process == self.process {
            return self.region.as_ref();
        }
        self.listed_vms.as_ref()?.get(self.peers.get(process)?.vm.as_ref()?)
    }

    /// Records a read of the log that started at `started`; `caught_up` means that it
    /// reached the end of the log.
    pub fn note_read(&mut self, started: Instant, caught_up: bool) {
        self.newest_read = self.newest_read.max(Some(started));
        self.newest_own_read = self.newest_own_read.max(started);
        if caught_up {
            self.ownership.note_read(started);
        }
        if caught_up && self.catching_up_since.is_some_and(|resumed| started >= resumed) {
            self.catching_up_since = None;
        }
    }

    /// Returns the newest time at which certainly no other process owned a worker shard of this process.
    #[must_use]
    pub fn ownership_confirmed_at(&self, now: Instant) -> Option<Instant> {
        self.ownership.confirmed_at(self.listed_vms.as_ref(), now)
    }

    /// Returns the claims that peers should confirm: those of this process on worker shards, but none while
    /// it reads the log. Heartbeats would otherwise grow with the shards.
    #[must_use]
    pub fn claims_to_confirm(&self, now: Instant) -> Vec<(ShardId, FencingToken)> {
        if !self.ownership.needs_answers(now) {
            return Vec::new();
        }
        let owned = self
            .claims
            .iter()
            .filter(|(shard, claim)| claim.process == self.process && !shard.starts_with("service:"));
        owned.map(|(shard, claim)| (shard.clone(), claim.token)).collect()
    }

    /// Whether this process has applied no claim newer than these; false if there are none.
    #[must_use]
    pub fn confirms_claims(&self, claims: &[(ShardId, FencingToken)]) -> bool {
        let is_newest = |(shard, token): &(ShardId, FencingToken)| {
            self.claims.get(shard).is_none_or(|claim| claim.token <= *token)
        };
        !claims.is_empty() && claims.iter().all(is_newest)
    }

    /// Whether the log was read to its end and applied since the start or the last pause.
    #[must_use]
    pub const fn ready(&self) -> bool {
        self.catching_up_since.is_none()
    }

    /// Returns the age of the newest log read that this process knows of, its own or a peer's.
    #[must_use]
    pub fn log_age(&self, now: Instant) -> Option<Duration> {
        self.newest_read.map(|read| now.saturating_duration_since(read))
    }

    /// Returns until when the bundle of this process is fresh without further log reads and answers of peers;
    /// `None` if neither a log read nor the answers of its peers show that it is.
    #[must_use]
    pub fn bundle_fresh_until(&self, now: Instant) -> Option<Instant> {
        // After a pause, only log reads count that this process or a peer started since then.
        let read =
            self.newest_read.filter(|read| self.catching_up_since.is_none_or(|resumed| *read >= resumed));
        read.map(|read| read + STALE_AFTER).max(self.confirmed_by_peers_until(now))
    }

    /// Whether the bundle of this process is fresh, so that it may admit requests by key and start work.
    #[must_use]
    pub fn is_bundle_fresh(&self, now: Instant) -> bool {
        self.bundle_fresh_until(now).is_some_and(|until| now < until)
    }

    /// Whether peers may claim the shards of this process, because they can read the log and it cannot: it
    /// would not see new jobs.
    ///
    /// After an outage of the log, processes read it again one after another. The later ones do not yield, as
    /// they will read it within `READ_RECOVERY_TIME`.
    #[must_use]
    pub fn is_yielding(&self, now: Instant) -> bool {
        let cannot_read = now.saturating_duration_since(self.newest_own_read) >= YIELD_AFTER;
        cannot_read
            && self
                .readable_since
                .is_some_and(|since| now.saturating_duration_since(since) >= READ_RECOVERY_TIME)
    }

    /// Returns the records that this process should append now: claims, and an `Alive` record if it does not
    /// hear a listed peer. None in the first 1.5 s, or while the log is not read to its end. Call it every
    /// 250 ms.
    pub fn due_records(&mut self, shards: &[ShardId], now: Instant) -> Vec<LogRecord> {
        self.note_tick(now);
        if !self.ready() || now.saturating_duration_since(self.started_at) < SUSPECT_AFTER / 2 {
            return Vec::new();
        }
        let candidates = self.eligible_owners(now);
        let assigned = shard_assignment::assign_owners(shards, &candidates, |process| self.region(process));
        let mut records = self.takeovers(shards, &assigned, now);
        records.extend(self.handovers(shards, &assigned, now));
        records.truncate(MAX_CLAIMS_PER_TICK);
        for record in &records {
            if let LogRecord::Claim { shard, over, .. } = record {
                self.attempted_claims.insert(shard.clone(), *over);
            }
        }
        records.extend(self.alive_record(now));
        records
    }

    /// Whether this process has handed over the shards that its stage requires, or no process may take them.
    #[must_use]
    pub fn is_handover_complete(&self, shards: &[ShardId], now: Instant) -> bool {
        let must_hand_over =
            |shard: &&ShardId| self.stage == HandoverStage::AllShards || !shard.starts_with("service:");
        self.eligible_owners(now).is_empty()
            || !shards.iter().filter(must_hand_over).any(|shard| self.owns(shard))
    }

    /// Returns the processes that may own shards, sorted: ready, not leaving, not
    /// yielding and not suspected dead.
    #[must_use]
    pub fn eligible_owners(&self, now: Instant) -> Vec<ProcessId> {
        let eligible = |(process, state): &(&ProcessId, &PeerState)| {
            state.ready_since.is_some() && !state.leaving && !state.yielding && self.is_alive(process, now)
        };
        let mut owners: Vec<ProcessId> =
            self.peers.iter().filter(eligible).map(|(process, _)| process.clone()).collect();
        if self.ready() && self.stage == HandoverStage::Staying && !self.is_yielding(now) {
            owners.push(self.process.clone());
        }
        owners.sort_unstable();
        owners
    }

    /// Whether heartbeats of an entry process that may be alive do not arrive. Other processes that append to
    /// the log, such as operators' commands, own no shards and send no heartbeats, so they do not count.
    #[must_use]
    pub fn misses_peer(&self, now: Instant) -> bool {
        let recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < HEARTBEAT_MISSED_AFTER)
        };
        let owns = |process: &ProcessId| self.claims.values().any(|claim| claim.process == *process);
        self.peers
            .iter()
            .any(|(process, state)| !recent(state.last_heartbeat) && (state.vm.is_some() || owns(process)))
    }

    /// Returns the processes from which heartbeats were received recently, with the age of the last one, for
    /// the next heartbeat. The list is empty unless this process or a peer that it hears misses a peer;
    /// otherwise all heartbeats would grow with the number of processes.
    #[must_use]
    pub fn recently_heard(&self, now: Instant) -> Vec<(ProcessId, Duration)> {
        let age = |heard: Instant| now.saturating_duration_since(heard);
        let heard = self
            .peers
            .iter()
            .filter_map(|(process, state)| Some((process, state, age(state.last_heartbeat?))));
        let heard: Vec<_> = heard.filter(|(_, _, age)| *age < SUSPECT_AFTER).collect();
        if !heard.iter().any(|(_, state, _)| state.misses_peer) && !self.misses_peer(now) {
            return Vec::new();
        }
        heard.into_iter().map(|(process, _, age)| (process.clone(), age)).collect()
    }

    fn note_tick(&mut self, now: Instant) {
        let readable = self.log_age(now).is_some_and(|age| age < STALE_AFTER);
        self.readable_since = self.readable_since.or(Some(now)).filter(|_| readable);
        let paused = now.saturating_duration_since(self.last_tick) > PAUSE_AFTER;
        self.last_tick = now;
        if paused {
            self.catching_up_since = Some(now);
            // During the pause this process received no heartbeats, so it must not suspect its peers.
            for state in self.peers.values_mut().filter(|state| state.last_alive.is_some()) {
                state.last_alive = Some(now);
            }
        }
        // Forgets processes without evidence of life for 30 s.
        self.peers.retain(|_, state| {
            state.last_alive.is_some_and(|alive| now.saturating_duration_since(alive) < 10 * SUSPECT_AFTER)
        });
    }

    fn is_alive(&self, process: &ProcessId, now: Instant) -> bool {
        let alive = self.peers.get(process).and_then(|state| state.last_alive);
        *process == self.process
            || alive.is_some_and(|alive| now.saturating_duration_since(alive) < SUSPECT_AFTER)
    }

    fn may_keep_shards(&self, process: &ProcessId, now: Instant) -> bool {
        self.is_alive(process, now) && !self.peers.get(process).is_some_and(|state| state.yielding)
    }

    fn owns(&self, shard: &str) -> bool {
        self.claims.get(shard).is_some_and(|claim| claim.process == self.process)
    }

    /// Returns until when answers of all listed peers confirm the bundle of this process; `None` if an answer
    /// is missing, if a peer has a newer bundle, or if this process has none.
    fn confirmed_by_peers_until(&self, now: Instant) -> Option<Instant> {
        let mut until = now + SUSPECT_AFTER;
        for vm in self.listed_vms.as_ref()?.keys() {
            let states = self.peers.values().filter(|state| state.vm.as_ref() == Some(vm));
            let (sent, confirms) = states.filter_map(|state| state.last_answer).max()?;
            if !confirms {
                return None;
            }
            until = until.min(sent + SUSPECT_AFTER);
        }
        (self.version > 0).then_some(until)
    }

    /// Returns claims of this process on shards that have no owner, or whose owner is
    /// suspected dead or yields.
    fn takeovers(
        &self,
        shards: &[ShardId],
        assigned: &FastMap<ShardId, ProcessId>,
        now: Instant,
    ) -> Vec<LogRecord> {
        let mut records = Vec::new();
        for shard in shards {
            let current = self.claims.get(shard);
            let kept = current.is_some_and(|claim| self.may_keep_shards(&claim.process, now));
            let over = current.map_or(0, |claim| claim.token);
            // A claim without effect is tried again only after another claim on the shard was applied.
            if kept
                || assigned.get(shard) != Some(&self.process)
                || self.attempted_claims.get(shard) == Some(&over)
            {
                continue;
            }
            records.push(LogRecord::Claim { shard: shard.clone(), process: self.process.clone(), over });
        }
        records
    }

    /// Returns claims that hand shards of this process over to the processes that should own them.
    fn handovers(
        &mut self,
        shards: &[ShardId],
        assigned: &FastMap<ShardId, ProcessId>,
        now: Instant,
    ) -> Vec<LogRecord> {
        let interval_passed =
            self.last_handover.is_none_or(|last| now.saturating_duration_since(last) >= HANDOVER_INTERVAL);
        let mut records = Vec::new();
        for shard in shards.iter().filter(|shard| self.owns(shard)) {
            let Some(owner) = assigned.get(shard).filter(|owner| **owner != self.process) else { continue };
            let over = self.claims[shard].token;
            // A change of owner interrupts the requests of a service partition, so only a stopping process
            // hands one over.
            let service = shard.starts_with("service:");
            let due = match self.stage {
                HandoverStage::Staying => {
                    !service && interval_passed && records.is_empty() && self.is_settled(owner, now)
                }
                HandoverStage::WorkerShards => !service,
                HandoverStage::AllShards => true,
            };
            if !due || self.attempted_claims.get(shard) == Some(&over) {
                continue;
            }
            records.push(LogRecord::Claim { shard: shard.clone(), process: owner.clone(), over });
        }
        if !records.is_empty() {
            self.last_handover = Some(now);
        }
        records
    }

    /// Returns an `Alive` record if no heartbeat of a listed peer arrived for 1.5 s. Without these records,
    /// two processes that receive no heartbeats would take the shards from each other.
    fn alive_record(&mut self, now: Instant) -> Option<LogRecord> {
        let recent =
            |at: Option<Instant>, time| at.is_some_and(|at| now.saturating_duration_since(at) < time);
        let is_silent = |state: &PeerState| !recent(state.last_heartbeat, SUSPECT_AFTER / 2);
        let unheard = self.listed_vms.iter().flat_map(FastMap::keys).any(|vm| {
            let mut states = self.peers.values().filter(|state| state.vm.as_ref() == Some(vm));
            states.all(is_silent)
        });
        if !unheard
            || recent(self.last_alive_record, ALIVE_RECORD_INTERVAL)
            || !recent(self.newest_read, SUSPECT_AFTER)
        {
            return None;
        }
        self.last_alive_record = Some(now);
        Some(LogRecord::Alive)
    }

    fn is_settled(&self, process: &ProcessId, now: Instant) -> bool {
        let ready = self.peers.get(process).and_then(|state| state.ready_since);
        ready.is_some_and(|since| now.saturating_duration_since(since) >= SETTLED_AFTER)
    }
}
