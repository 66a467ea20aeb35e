use crate::prelude::*;

/// A worker as the VM list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its rack.
    pub rack: RackId,
    /// Address of its worker interface, `ip:port`.
    pub address: String,
    /// What the VM holds.
    pub capacity: ResourceVector,
    /// Whether the VM is leaving.
    pub leaving: bool,
}

impl WorkerVm {
    /// Returns the index of the shard within the region; a rack is never split.
    #[must_use]
    pub fn shard(&self, shards_per_region: u32) -> ShardId {
        let index = crate::kernel::rendezvous::hash(&[&self.rack]) % u64::from(shards_per_region.max(1));
        format!("{}/{index}", self.region).into()
    }
}
