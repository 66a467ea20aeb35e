use crate::kernel::{PeerHeartbeat, ShardClaim, shard_assignment};
use crate::prelude::*;

/// An entry process is suspected dead after this long without a sign of life.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// A process is current if the log was read within this time.
pub const STALE_AFTER: Duration = Duration::from_secs(6);
/// A process misses a peer after this long without its heartbeat. Heartbeats come every 1 s; what others hear must
/// arrive, asked for with the next heartbeat, before the peer is suspected.
const MISSED_AFTER: Duration = Duration::from_millis(1_250);
/// A gap between two ticks above this counts as a pause of the process; ticks come every 250 ms.
const PAUSE: Duration = Duration::from_secs(1);
/// Time that another process must have been ready before shards are handed to it.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// Time between two shards that a process hands over while it stays.
const HAND_OVER_SPACING: Duration = Duration::from_secs(1);
/// A process that has not read the log for this long yields its shards if a peer has read it.
const YIELD_AFTER: Duration = Duration::from_secs(10);
/// Time within which processes read a log that returns; the longest wait between their reads is 2 s.
const RETURN_SPREAD: Duration = Duration::from_secs(4);
/// Time between two signs of life in the log.
const SIGN_SPACING: Duration = Duration::from_secs(1);
/// Most claims in one tick.
const MAX_CLAIMS: usize = 8;

/// How far a process is on its way out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum HandoverStage {
    /// It keeps its shards.
    #[default]
    Staying,
    /// It hands its worker shards over.
    WorkerShards,
    /// It hands all shards over.
    AllShards,
}

/// Which entry processes are alive, which shards this process should claim, and whether its bundle is recent.
#[derive(Debug)]
pub struct PeerView {
    process: ProcessId,
    peers: FastMap<ProcessId, PeerState>,
    /// Regions of the other listed entry VMs.
    listed: Option<FastMap<VmId, RegionId>>,
    claims: FastMap<ShardId, ShardClaim>,
    asked: FastMap<ShardId, FencingToken>,
    started: Instant,
    ticked: Instant,
    resumed: Option<Instant>,
    handed_over: Option<Instant>,
    shown: Option<Instant>,
    read: Option<Instant>,
    own_read: Instant,
    /// Since when some process has read the log without a break; `None` while nobody reads it.
    readable: Option<Instant>,
    /// Version of the bundle in force in this process.
    pub version: BundleVersion,
    /// Region of this process, once the VM list shows it.
    pub region: Option<RegionId>,
    /// How far this process is on its way out.
    pub stage: HandoverStage,
}

#[derive(Debug, Default)]
struct PeerState {
    vm: Option<VmId>,
    /// Last sign of life, from anyone.
    alive: Option<Instant>,
    /// Last heartbeat of its own.
    heard: Option<Instant>,
    /// Last answer to a heartbeat of this process, and whether its bundle was not newer.
    answered: Option<(Instant, bool)>,
    ready_since: Option<Instant>,
    leaving: bool,
    yielding: bool,
    /// Whether its last heartbeat said that it misses a peer.
    missing: bool,
}

impl PeerView {
    /// Returns the view of a process that has heard nobody and read nothing yet.
    #[must_use]
    pub fn new(process: ProcessId, now: Instant) -> Self {
        Self {
            process,
            peers: FastMap::default(),
            listed: None,
            claims: FastMap::default(),
            asked: FastMap::default(),
            started: now,
            ticked: now,
            resumed: Some(now),
            handed_over: None,
            shown: None,
            read: None,
            own_read: now,
            readable: None,
            version: 0,
            region: None,
            stage: HandoverStage::Staying,
        }
    }

    /// Notes a heartbeat. `asked` is when this process sent the heartbeat that it answers, if it does.
    ///
    /// Only answers tell how recent the log read of a peer is: a heartbeat can have waited in a buffer while
    /// this process was paused.
    pub fn note_heartbeat(&mut self, heartbeat: &PeerHeartbeat, asked: Option<Instant>, now: Instant) {
        let version = self.version;
        let state = self.peers.entry(heartbeat.process.clone()).or_default();
        state.vm = Some(heartbeat.vm.clone());
        state.heard = Some(now);
        state.alive = Some(now);
        state.leaving = heartbeat.leaving;
        state.yielding = heartbeat.yielding;
        state.missing = heartbeat.misses_peer;
        state.ready_since = heartbeat.ready.then(|| state.ready_since.unwrap_or(now));
        if let Some(asked) = asked {
            // A peer with a newer bundle vouches for nothing until this process has that bundle, too.
            let vouches = heartbeat.version <= version;
            state.answered = Some((asked, vouches));
            let read = heartbeat.log_age.and_then(|age| asked.checked_sub(age)).filter(|_| vouches);
            self.read = self.read.max(read);
        }
        for (process, age) in heartbeat.heard.iter().filter(|(process, _)| *process != self.process) {
            let alive = now.checked_sub(*age);
            let state = self.peers.entry(process.clone()).or_default();
            state.alive = state.alive.max(alive);
        }
    }

    /// Notes that a group of a process was folded, which is a sign of life.
    pub fn note_group(&mut self, process: &ProcessId, now: Instant) {
        if *process != self.process {
            self.peers.entry(process.clone()).or_default().alive = Some(now);
        }
    }

    /// Notes a claim.
    pub fn note_claim(&mut self, shard: ShardId, claim: ShardClaim, now: Instant) {
        self.asked.remove(&shard);
        if claim.process != self.process {
            // An owner that was never heard may be missing on the VM list; its claim is a sign of life.
            let state = self.peers.entry(claim.process.clone()).or_default();
            state.alive = state.alive.max(Some(now));
        }
        self.claims.insert(shard, claim);
    }

    /// Notes the other entry VMs that the VM list shows as live, with their regions.
    pub fn note_listed(&mut self, vms: FastMap<VmId, RegionId>) {
        self.listed = Some(vms);
    }

    fn region(&self, process: &ProcessId) -> Option<&RegionId> {
        if *process == self.process {
            return self.region.as_ref();
        }
        self.listed.as_ref()?.get(self.peers.get(process)?.vm.as_ref()?)
    }

    /// Notes a read of the log that was started at `started` and reached its end if `caught_up`.
    pub fn note_read(&mut self, started: Instant, caught_up: bool) {
        self.read = self.read.max(Some(started));
        self.own_read = self.own_read.max(started);
        if caught_up && self.resumed.is_some_and(|resumed| started >= resumed) {
            self.resumed = None;
        }
    }

    /// Whether the log was folded up to the present since the start or the last pause.
    #[must_use]
    pub const fn ready(&self) -> bool {
        self.resumed.is_none()
    }

    /// Returns the age of the newest log read that this process knows of.
    #[must_use]
    pub fn log_age(&self, now: Instant) -> Option<Duration> {
        self.read.map(|read| now.saturating_duration_since(read))
    }

    /// Returns until when this process is current if it hears nothing more.
    #[must_use]
    pub fn current_until(&self, now: Instant) -> Option<Instant> {
        // After a pause nothing is known until the log or a peer was read again.
        let read = self.read.filter(|read| self.resumed.is_none_or(|resumed| *read >= resumed));
        read.map(|read| read + STALE_AFTER).max(self.heard_all_until(now))
    }

    /// Whether this process may admit by key and start work.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        self.current_until(now).is_some_and(|until| now < until)
    }

    /// Whether this process should leave its shards to those that read the log; it would not see new jobs.
    ///
    /// After an outage of the log processes read it again one after another, and the later ones are not cut off.
    #[must_use]
    pub fn is_yielding(&self, now: Instant) -> bool {
        let cut_off = now.saturating_duration_since(self.own_read) >= YIELD_AFTER;
        cut_off && self.readable.is_some_and(|since| now.saturating_duration_since(since) >= RETURN_SPREAD)
    }

    /// Returns the records that this process should append now: claims, and signs of life for those that it does
    /// not hear. Call it every 250 ms.
    pub fn due_records(&mut self, shards: &[ShardId], now: Instant) -> Vec<LogRecord> {
        self.note_tick(now);
        if !self.ready() || now.saturating_duration_since(self.started) < SUSPECT_AFTER / 2 {
            return Vec::new();
        }
        let candidates = self.eligible_owners(now);
        let owners = shard_assignment::assign_owners(shards, &candidates, |process| self.region(process));
        let mut records = self.takeovers(shards, &owners, now);
        records.extend(self.hand_overs(shards, &owners, now));
        records.truncate(MAX_CLAIMS);
        for record in &records {
            if let LogRecord::Claim { shard, over, .. } = record {
                self.asked.insert(shard.clone(), *over);
            }
        }
        records.extend(self.sign_of_life(now));
        records
    }

    /// Whether this process has handed over what its stage asks for, or there is nobody to hand it to.
    #[must_use]
    pub fn is_handover_complete(&self, shards: &[ShardId], now: Instant) -> bool {
        let given =
            |shard: &&ShardId| self.stage == HandoverStage::AllShards || !shard.starts_with("service:");
        self.eligible_owners(now).is_empty() || !shards.iter().filter(given).any(|shard| self.owns(shard))
    }

    /// Returns the processes that may own shards: ready, not leaving and not suspected.
    #[must_use]
    pub fn eligible_owners(&self, now: Instant) -> Vec<ProcessId> {
        let able = |(process, state): &(&ProcessId, &PeerState)| {
            state.ready_since.is_some() && !state.leaving && !state.yielding && self.is_alive(process, now)
        };
        let mut live: Vec<ProcessId> =
            self.peers.iter().filter(able).map(|(process, _)| process.clone()).collect();
        if self.ready() && self.stage == HandoverStage::Staying && !self.is_yielding(now) {
            live.push(self.process.clone());
        }
        live.sort_unstable();
        live
    }

    /// Whether the heartbeats of an entry process that may be alive do not arrive. Others that append to the log,
    /// such as operators' commands, own nothing and send no heartbeats.
    #[must_use]
    pub fn misses_peer(&self, now: Instant) -> bool {
        let recent =
            |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) < MISSED_AFTER);
        let owns = |process: &ProcessId| self.claims.values().any(|claim| claim.process == *process);
        self.peers
            .iter()
            .any(|(process, state)| !recent(state.heard) && (state.vm.is_some() || owns(process)))
    }

    /// Returns the processes that were heard and how long ago, for the next heartbeat. They are named only while
    /// this process or one that it hears misses a peer, as heartbeats would grow with the number of processes.
    #[must_use]
    pub fn recently_heard(&self, now: Instant) -> Vec<(ProcessId, Duration)> {
        let age = |heard: Instant| now.saturating_duration_since(heard);
        let heard =
            self.peers.iter().filter_map(|(process, state)| Some((process, state, age(state.heard?))));
        let heard: Vec<_> = heard.filter(|(_, _, age)| *age < SUSPECT_AFTER).collect();
        if !heard.iter().any(|(_, state, _)| state.missing) && !self.misses_peer(now) {
            return Vec::new();
        }
        heard.into_iter().map(|(process, _, age)| (process.clone(), age)).collect()
    }

    fn note_tick(&mut self, now: Instant) {
        let read = self.log_age(now).is_some_and(|age| age < STALE_AFTER);
        self.readable = self.readable.or(Some(now)).filter(|_| read);
        let paused = now.saturating_duration_since(self.ticked) > PAUSE;
        self.ticked = now;
        if paused {
            self.resumed = Some(now);
            // The silence of the others was the silence of this process.
            for state in self.peers.values_mut().filter(|state| state.alive.is_some()) {
                state.alive = Some(now);
            }
        }
        self.peers.retain(|_, state| {
            state.alive.is_some_and(|alive| now.saturating_duration_since(alive) < 10 * SUSPECT_AFTER)
        });
    }

    fn is_alive(&self, process: &ProcessId, now: Instant) -> bool {
        let alive = self.peers.get(process).and_then(|state| state.alive);
        *process == self.process
            || alive.is_some_and(|alive| now.saturating_duration_since(alive) < SUSPECT_AFTER)
    }

    fn keeps(&self, process: &ProcessId, now: Instant) -> bool {
        self.is_alive(process, now) && !self.peers.get(process).is_some_and(|state| state.yielding)
    }

    fn owns(&self, shard: &str) -> bool {
        self.claims.get(shard).is_some_and(|claim| claim.process == self.process)
    }

    /// Returns until when every listed process counts as heard, if all were heard and none has a newer bundle.
    fn heard_all_until(&self, now: Instant) -> Option<Instant> {
        let mut until = now + SUSPECT_AFTER;
        for vm in self.listed.as_ref()?.keys() {
            let states = self.peers.values().filter(|state| state.vm.as_ref() == Some(vm));
            let (asked, vouches) = states.filter_map(|state| state.answered).max()?;
            if !vouches {
                return None;
            }
            until = until.min(asked + SUSPECT_AFTER);
        }
        (self.version > 0).then_some(until)
    }

    /// Claims over dead owners and for shards without an owner.
    fn takeovers(
        &self,
        shards: &[ShardId],
        owners: &FastMap<ShardId, ProcessId>,
        now: Instant,
    ) -> Vec<LogRecord> {
        let mut records = Vec::new();
        for shard in shards {
            let present = self.claims.get(shard);
            let kept = present.is_some_and(|claim| self.keeps(&claim.process, now));
            let over = present.map_or(0, |claim| claim.token);
            // A refused claim is tried again only once another claim was folded.
            if kept || owners.get(shard) != Some(&self.process) || self.asked.get(shard) == Some(&over) {
                continue;
            }
            records.push(LogRecord::Claim { shard: shard.clone(), process: self.process.clone(), over });
        }
        records
    }

    /// Hands own shards to the processes that should own them.
    fn hand_overs(
        &mut self,
        shards: &[ShardId],
        owners: &FastMap<ShardId, ProcessId>,
        now: Instant,
    ) -> Vec<LogRecord> {
        let spaced =
            self.handed_over.is_none_or(|last| now.saturating_duration_since(last) >= HAND_OVER_SPACING);
        let mut records = Vec::new();
        for shard in shards.iter().filter(|shard| self.owns(shard)) {
            let Some(owner) = owners.get(shard).filter(|owner| **owner != self.process) else { continue };
            let over = self.claims[shard].token;
            // A move interrupts the requests in a service partition, so only a process that goes gives it away.
            let service = shard.starts_with("service:");
            let due = match self.stage {
                HandoverStage::Staying => {
                    !service && spaced && records.is_empty() && self.is_settled(owner, now)
                }
                HandoverStage::WorkerShards => !service,
                HandoverStage::AllShards => true,
            };
            if !due || self.asked.get(shard) == Some(&over) {
                continue;
            }
            records.push(LogRecord::Claim { shard: shard.clone(), process: owner.clone(), over });
        }
        if !records.is_empty() {
            self.handed_over = Some(now);
        }
        records
    }

    /// Without signs of life in the log, two processes that hear nobody would take the shards from each other.
    fn sign_of_life(&mut self, now: Instant) -> Option<LogRecord> {
        let recent =
            |at: Option<Instant>, time| at.is_some_and(|at| now.saturating_duration_since(at) < time);
        let missed = |state: &PeerState| !recent(state.heard, SUSPECT_AFTER / 2);
        let unheard = self.listed.iter().flat_map(FastMap::keys).any(|vm| {
            let mut states = self.peers.values().filter(|state| state.vm.as_ref() == Some(vm));
            states.all(missed)
        });
        if !unheard || recent(self.shown, SIGN_SPACING) || !recent(self.read, SUSPECT_AFTER) {
            return None;
        }
        self.shown = Some(now);
        Some(LogRecord::Alive)
    }

    fn is_settled(&self, process: &ProcessId, now: Instant) -> bool {
        let ready = self.peers.get(process).and_then(|state| state.ready_since);
        ready.is_some_and(|since| now.saturating_duration_since(since) >= SETTLED_AFTER)
    }
}
