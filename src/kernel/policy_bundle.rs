use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The configuration that operators sign and publish.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyBundle {
    /// Version of this bundle.
    pub version: BundleVersion,
    /// Version that this bundle replaces.
    pub base: BundleVersion,
    /// Worker shards in each region.
    #[serde(default = "default_shards")]
    pub shards_per_region: u32,
    /// Number of signatures that the next bundle needs.
    #[serde(default = "default_approvals")]
    pub approvals: usize,
    /// Hexadecimal ed25519 public keys that may sign the next bundle; empty keeps those of the settings.
    #[serde(default)]
    pub signers: Vec<String>,
    /// Placement policy plug-in of each job kind.
    #[serde(default)]
    pub placement: PlacementSettings,
    /// Availability zones.
    #[serde(default)]
    pub zones: Vec<ZonePolicy>,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<TeamPolicy>,
    /// Keys of the teams.
    #[serde(default)]
    pub keys: Vec<TeamKey>,
    /// Submission queues.
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
    /// Returns the policy of a team.
    #[must_use]
    pub fn team(&self, id: &str) -> Option<&TeamPolicy> {
        self.teams.iter().find(|team| &*team.id == id)
    }

    /// Returns the policy of a service.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<&ServicePolicy> {
        self.services.iter().find(|service| &*service.id == id)
    }

    /// Returns the policy of a queue.
    #[must_use]
    pub fn queue(&self, id: &str) -> Option<&QueuePolicy> {
        self.queues.iter().find(|queue| &*queue.id == id)
    }

    /// Whether tasks may start in a zone. A zone that the bundle does not name is closed.
    #[must_use]
    pub fn zone_open(&self, id: &str) -> bool {
        self.zones.iter().any(|zone| &*zone.id == id && zone.state == ZoneState::In)
    }

    /// Returns the worker shards and the service partitions that the bundle defines.
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

/// Plug-in names of the placement policy of each job kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Policy for services.
    pub service: String,
    /// Policy for batch jobs.
    pub batch: String,
    /// Policy for all-at-once jobs.
    pub gang: String,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self { service: "service_spread".into(), batch: "batch_pack".into(), gang: "gang_reserve".into() }
    }
}

/// Whether a zone takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// Tasks may start.
    #[display("in")]
    In,
    /// No task may start; running ones are moved away.
    #[display("out")]
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZonePolicy {
    /// Name of the zone.
    pub id: ZoneId,
    /// Region of the zone.
    pub region: RegionId,
    /// Whether it takes new work.
    pub state: ZoneState,
}

/// A team with its share and upper limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamPolicy {
    /// Name of the team.
    pub id: TeamId,
    /// Weight of the team when the fleet is full.
    pub share: u64,
    /// Most that may run for the team at once.
    pub limit: ResourceVector,
    /// Most tasks that may wait in one shard.
    #[serde(default = "default_waiting")]
    pub max_waiting: u32,
    /// Most requests in flight or queued in one service partition.
    #[serde(default = "default_requests")]
    pub max_requests: u32,
}

const fn default_waiting() -> u32 {
    50_000
}

const fn default_requests() -> u32 {
    1_000
}

/// A key of a team, stored as its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamKey {
    /// Name of the key, for operators.
    pub id: String,
    /// Team that the key belongs to.
    pub team: TeamId,
    /// Hexadecimal SHA-256 digest of the key.
    pub sha256: String,
}

/// A submission queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub id: QueueId,
    /// Team that work of an open queue is accounted to.
    #[serde(default)]
    pub open_to_all_as: Option<TeamId>,
}

/// A service that takes requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// Name of the service.
    pub id: ServiceId,
    /// Number of partitions, each with one owner.
    #[serde(default = "default_partitions")]
    pub partitions: u32,
    /// Routing policy plug-in.
    #[serde(default = "default_routing")]
    pub routing: String,
    /// Longest time an endpoint may take, in milliseconds.
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

/// A bundle as published to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleRecord {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Version that it replaces.
    pub base: BundleVersion,
    /// The bundle text that the signatures cover.
    pub text: String,
    /// Hexadecimal public keys and signatures.
    pub signatures: Vec<(String, String)>,
}

impl BundleRecord {
    /// Returns an estimate of the encoded size in bytes, upwards.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        128 + self.text.len() + 256 * self.signatures.len()
    }
}
