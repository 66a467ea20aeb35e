//! Encodes, decodes and sends the heartbeats between entry processes.

use tokio::sync::mpsc;
use tonic::transport::Channel;

use crate::kernel::{BundleRecord, PeerHeartbeat, ShardSummary};
use crate::prelude::*;
use crate::proto::peer::peer_client::PeerClient;
use crate::proto::peer::{Amount, Beat, HeardPeer, HeartbeatRequest, ShardAmount, ShardToken};
use crate::tasks::peer::PeerMessage;

/// Maximum wait for a connection to a peer, and for the answer to a heartbeat.
pub const TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a heartbeat to one peer and passes the answer, if there is one, to the peer task.
pub async fn send_heartbeat(
    mut client: PeerClient<Channel>,
    request: HeartbeatRequest,
    sender: mpsc::Sender<PeerMessage>,
) {
    let sent_at = Instant::now();
    let answer = tokio::time::timeout(TIMEOUT, client.heartbeat(request)).await;
    let Ok(Ok(reply)) = answer else { return };
    let reply = reply.into_inner();
    let bundle = decode_bundle(&reply.bundle);
    if let Some(heartbeat) = decode(reply.beat) {
        let _ = sender.send(PeerMessage::HeartbeatAnswered(heartbeat, sent_at, bundle)).await;
    }
}

/// Encodes a heartbeat for the wire.
#[must_use]
pub fn encode(heartbeat: &PeerHeartbeat) -> Beat {
    let heard = |(process, age): &(ProcessId, Duration)| HeardPeer {
        process: process.to_string(),
        age_ms: milliseconds(*age),
    };
    let claim =
        |(shard, token): &(ShardId, FencingToken)| ShardToken { shard: shard.to_string(), token: *token };
    let free = |(shard, amount): &(ShardId, ResourceVector)| ShardAmount {
        shard: shard.to_string(),
        amount: Some(encode_amount(*amount)),
    };
    Beat {
        process: heartbeat.process.to_string(),
        vm: heartbeat.vm.to_string(),
        bundle_version: heartbeat.version,
        log_age_ms: heartbeat.log_age.map(milliseconds),
        leaving: heartbeat.leaving,
        yielding: heartbeat.yielding,
        ready: heartbeat.ready,
        missing: heartbeat.misses_peer,
        heard: heartbeat.heard.iter().map(heard).collect(),
        free: heartbeat.free.iter().map(free).collect(),
        claims: heartbeat.claims.iter().map(claim).collect(),
        confirms_claims: heartbeat.confirms_claims,
        unlisted: heartbeat.unlisted.iter().map(ToString::to_string).collect(),
    }
}

/// Decodes a heartbeat; `None` if it names no process.
#[must_use]
pub fn decode(beat: Option<Beat>) -> Option<PeerHeartbeat> {
    let beat = beat.filter(|beat| !beat.process.is_empty())?;
    let heard = |heard: HeardPeer| (heard.process.into(), Duration::from_millis(heard.age_ms));
    let free = |free: ShardAmount| (free.shard.into(), decode_amount(free.amount));
    Some(PeerHeartbeat {
        process: beat.process.into(),
        vm: beat.vm.into(),
        version: beat.bundle_version,
        log_age: beat.log_age_ms.map(Duration::from_millis),
        leaving: beat.leaving,
        yielding: beat.yielding,
        ready: beat.ready,
        misses_peer: beat.missing,
        heard: beat.heard.into_iter().map(heard).collect(),
        free: beat.free.into_iter().map(free).collect(),
        claims: beat.claims.into_iter().map(|claim| (claim.shard.into(), claim.token)).collect(),
        confirms_claims: beat.confirms_claims,
        unlisted: beat.unlisted.into_iter().map(Into::into).collect(),
    })
}

/// Encodes the published bundle for a peer that has version `known`; empty unless the published one is newer.
#[must_use]
pub fn encode_bundle(published: Option<&BundleRecord>, known: BundleVersion) -> Vec<u8> {
    let newer = published.filter(|record| record.version > known);
    newer.and_then(|record| serde_json::to_vec(record).ok()).unwrap_or_default()
}

/// Decodes the bundle in the answer to a heartbeat; `None` if there is none or it cannot be decoded.
#[must_use]
pub fn decode_bundle(bytes: &[u8]) -> Option<BundleRecord> {
    if bytes.is_empty() { None } else { serde_json::from_slice(bytes).ok() }
}

/// Returns the free capacity of each shard: its capacity without what its tasks use.
#[must_use]
pub fn free_capacity(summaries: &[ShardSummary]) -> Vec<(ShardId, ResourceVector)> {
    let free = |summary: &ShardSummary| (summary.shard.clone(), summary.capacity.minus(summary.used));
    summaries.iter().map(free).collect()
}

/// Returns the shards with workers that are not on the VM list and may still run tasks.
#[must_use]
pub fn unlisted_shards(summaries: &[ShardSummary]) -> Vec<ShardId> {
    let unlisted = summaries.iter().filter(|summary| summary.workers_unlisted > 0);
    unlisted.map(|summary| summary.shard.clone()).collect()
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

const fn encode_amount(amount: ResourceVector) -> Amount {
    Amount {
        cores_milli: amount.cores_milli,
        memory_mib: amount.memory_mib,
        accelerators: amount.accelerators,
    }
}

fn decode_amount(amount: Option<Amount>) -> ResourceVector {
    amount.map_or_else(ResourceVector::default, |amount| {
        ResourceVector::new(amount.cores_milli, amount.memory_mib, amount.accelerators)
    })
}
