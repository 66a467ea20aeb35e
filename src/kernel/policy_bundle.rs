use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Configuration of the cluster that operators sign and publish to the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyBundle {
    /// Version of this bundle, above `base`.
    pub version: BundleVersion,
    /// Version of the bundle that this one replaces; 0 for the first.
    pub base: BundleVersion,
    /// Number of worker shards in each region.
    #[serde(default = "default_shards")]
    pub shards_per_region: u32,
    /// Number of valid signatures that the next bundle needs.
    #[serde(default = "default_approvals")]
    pub approvals: usize,
    /// Hexadecimal ed25519 public keys that may sign the next bundle; if empty, those of the settings may.
    #[serde(default)]
    pub signers: Vec<String>,
    /// Placement policy of each job kind.
    #[serde(default)]
    pub placement: PlacementSettings,
    /// Availability zones in which tasks may run.
    #[serde(default)]
    pub zones: Vec<ZonePolicy>,
    /// Teams with their shares and limits.
    #[serde(default)]
    pub teams: Vec<TeamPolicy>,
    /// API keys of the teams.
    #[serde(default)]
    pub keys: Vec<TeamKey>,
    /// Queues to which jobs are submitted.
    #[serde(default)]
    pub queues: Vec<QueuePolicy>,
    /// Services that take requests.
    #[serde(default)]
    pub services: Vec<ServicePolicy>,
}

const fn default_shards() -> u32 {
    1
}

const fn default_approvals() -> usize {
    1
}

impl PolicyBundle {
    /// Returns the policy of a team, `None` if the bundle does not name it.
    #[must_use]
    pub fn team(&self, id: &str) -> Option<&TeamPolicy> {
        self.teams.iter().find(|team| &*team.id == id)
    }

    /// Returns the policy of a service, `None` if the bundle does not name it.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<&ServicePolicy> {
        self.services.iter().find(|service| &*service.id == id)
    }

    /// Returns the policy of a queue, `None` if the bundle does not name it.
    #[must_use]
    pub fn queue(&self, id: &str) -> Option<&QueuePolicy> {
        self.queues.iter().find(|queue| &*queue.id == id)
    }

    /// Whether tasks may start in a zone; not in a zone that the bundle does not name.
    #[must_use]
    pub fn zone_open(&self, id: &str) -> bool {
        self.zones.iter().any(|zone| &*zone.id == id && zone.state == ZoneState::In)
    }

    /// Returns the names of the worker shards and service partitions that the bundle defines.
    #[must_use]
    pub fn shards(&self) -> Vec<ShardId> {
        let mut regions: Vec<&RegionId> = self.zones.iter().map(|zone| &zone.region).collect();
        regions.sort_unstable();
        regions.dedup();
        let workers = regions.iter().flat_map(|region| {
            (0..self.shards_per_region).map(move |index| format!("{region}/{index}").into())
        });
        let services = self.services.iter().flat_map(|service| {
            (0..service.partitions).map(move |index| format!("service:{}/{index}", service.id).into())
        });
        workers.chain(services).collect()
    }
}

/// Name of the placement policy plug-in for each job kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Policy for service jobs.
    pub service: String,
    /// Policy for batch jobs.
    pub batch: String,
    /// Policy for gangs, whose tasks start all at once.
    pub gang: String,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self { service: "service_spread".into(), batch: "batch_pack".into(), gang: "gang_reserve".into() }
    }
}

/// Whether tasks may start in an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// Tasks may start in the zone.
    #[display("in")]
    In,
    /// No task may start in the zone, and its running tasks are evacuated.
    #[display("out")]
    Out,
}

/// Region and state of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZonePolicy {
    /// Name of the zone.
    pub id: ZoneId,
    /// Region that the zone belongs to.
    pub region: RegionId,
    /// Whether tasks may start in the zone.
    pub state: ZoneState,
}

/// Share, resource limit and queue bounds of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamPolicy {
    /// Name of the team.
    pub id: TeamId,
    /// Weight of the team when resources or slots are short, at least 1.
    pub share: u64,
    /// Bound on the resources that the running tasks of the team use in total.
    pub limit: ResourceVector,
    /// Bound on the tasks of the team's open jobs in one worker shard.
    #[serde(default = "default_waiting")]
    pub max_waiting: u32,
    /// Bound on the open requests of the team in one service partition, queued or in flight.
    #[serde(default = "default_requests")]
    pub max_requests: u32,
}

const fn default_waiting() -> u32 {
    50_000
}

const fn default_requests() -> u32 {
    1_000
}

/// API key of a team, stored as its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamKey {
    /// Name of the key, for operators.
    pub id: String,
    /// Team that requests with the key act for.
    pub team: TeamId,
    /// Hexadecimal SHA-256 digest of the key.
    pub sha256: String,
}

/// A queue to which jobs are submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub id: QueueId,
    /// For a queue that is open to all callers: the team that its jobs are accounted to.
    #[serde(default)]
    pub open_to_all_as: Option<TeamId>,
}

/// A service whose requests are routed to endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// Name of the service.
    pub id: ServiceId,
    /// Number of partitions of the service; each is routed by one owner.
    #[serde(default = "default_partitions")]
    pub partitions: u32,
    /// Name of the routing policy plug-in.
    #[serde(default = "default_routing")]
    pub routing: String,
    /// Time limit for the answer of an endpoint, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

const fn default_partitions() -> u32 {
    1
}

fn default_routing() -> String {
    "least_wait".into()
}

const fn default_timeout() -> u64 {
    30_000
}

/// A bundle with its signatures, as published to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleRecord {
    /// Version of the bundle, the same as in the text.
    pub version: BundleVersion,
    /// Version of the bundle that this one replaces, the same as in the text.
    pub base: BundleVersion,
    /// Bundle text in TOML, which the signatures cover.
    pub text: String,
    /// Pairs of public key and signature, both hexadecimal.
    pub signatures: Vec<(String, String)>,
}

impl BundleRecord {
    /// Returns an upper estimate of the encoded size in bytes, without the escaping of strings.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        128 + self.text.len() + 256 * self.signatures.len()
    }
}
