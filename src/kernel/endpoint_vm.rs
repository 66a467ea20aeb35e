use crate::prelude::*;

/// An endpoint as the VM list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointVm {
    /// Name of the VM, unique in the list.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Service that the endpoint runs.
    pub service: ServiceId,
    /// Address of the endpoint's HTTP interface, `ip:port`.
    pub address: String,
    /// Number of requests that the endpoint works on at once.
    pub slots: u32,
    /// Number of connections that the endpoint accepts.
    pub connections: u32,
    /// Whether the VM is about to stop, so that the endpoint must get no new requests.
    pub leaving: bool,
}

impl EndpointVm {
    /// Returns the service partition that the endpoint belongs to, if its service has `partitions` of them.
    #[must_use]
    pub fn shard(&self, partitions: u32) -> ShardId {
        let index = crate::kernel::rendezvous::hash(&[&self.vm]) % u64::from(partitions.max(1));
        format!("service:{}/{index}", self.service).into()
    }
}
