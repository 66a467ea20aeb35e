use crate::prelude::*;

/// A VM that runs a worker, according to the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Region of the VM.
    pub region: RegionId,
    /// Rack of the VM.
    pub rack: RackId,
    /// Address of the worker's interface for syncs, `ip:port`.
    pub address: String,
    /// Total resources of the VM.
    pub capacity: ResourceVector,
    /// Whether the VM is about to leave, so that its tasks are moved away.
    pub leaving: bool,
}

impl WorkerVm {
    /// Returns the name of the worker's shard, `region/index`. All workers of a rack are in the same shard.
    #[must_use]
    pub fn shard(&self, shards_per_region: u32) -> ShardId {
        let index = crate::kernel::rendezvous::hash(&[&self.rack]) % u64::from(shards_per_region.max(1));
        format!("{}/{index}", self.region).into()
    }
}
