use crate::kernel::{ShardClaim, rendezvous};
use crate::prelude::*;

/// An entry process is suspected dead after this long without a heartbeat.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Which entry processes are alive, and which shards this process should claim.
#[derive(Debug)]
pub struct PeerView {
    process: ProcessId,
    peers: FastMap<ProcessId, PeerState>,
    claims: FastMap<ShardId, ShardClaim>,
    asked: FastMap<ShardId, FencingToken>,
    started: Instant,
}

#[derive(Debug)]
struct PeerState {
    heard: Instant,
    leaving: bool,
}

impl PeerView {
    /// Returns the view of a process that has heard nobody yet.
    #[must_use]
    pub fn new(process: ProcessId, now: Instant) -> Self {
        let (peers, claims, asked) = (FastMap::default(), FastMap::default(), FastMap::default());
        Self { process, peers, claims, asked, started: now }
    }

    /// Notes a heartbeat.
    pub fn hear(&mut self, process: ProcessId, leaving: bool, now: Instant) {
        self.peers.insert(process, PeerState { heard: now, leaving });
    }

    /// Notes a claim.
    pub fn note_claim(&mut self, shard: ShardId, claim: ShardClaim) {
        self.asked.remove(&shard);
        self.claims.insert(shard, claim);
    }

    /// Returns the claims that this process should append now.
    pub fn wanted_claims(&mut self, shards: &[ShardId], now: Instant) -> Vec<LogRecord> {
        if now.saturating_duration_since(self.started) < SUSPECT_AFTER / 2 {
            return Vec::new();
        }
        let live = self.live(now);
        let mut records = Vec::new();
        for shard in shards {
            let present = self.claims.get(shard);
            let kept = present.is_some_and(|claim| live.contains(&claim.process));
            let mine = rendezvous::pick(shard, live.iter(), |process| process) == Some(&self.process);
            let over = present.map_or(0, |claim| claim.token);
            if kept || !mine || self.asked.get(shard) == Some(&over) {
                continue;
            }
            self.asked.insert(shard.clone(), over);
            records.push(LogRecord::Claim { shard: shard.clone(), process: self.process.clone(), over });
        }
        records
    }

    /// Returns this process and the peers that are alive and not leaving.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<ProcessId> {
        let fresh = |state: &&PeerState| now.saturating_duration_since(state.heard) < SUSPECT_AFTER;
        let peers = self.peers.iter().filter(|(_, state)| fresh(state) && !state.leaving);
        let mut live: Vec<ProcessId> = peers.map(|(process, _)| process.clone()).collect();
        live.push(self.process.clone());
        live.sort_unstable();
        live.dedup();
        live
    }
}
