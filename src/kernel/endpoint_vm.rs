use crate::prelude::*;

/// An endpoint as the VM list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The service it runs.
    pub service: ServiceId,
    /// Address of its HTTP interface, `ip:port`.
    pub address: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether the VM is leaving.
    pub leaving: bool,
}

impl EndpointVm {
    /// Returns the service partition that owns this endpoint.
    #[must_use]
    pub fn shard(&self, partitions: u32) -> ShardId {
        let index = crate::kernel::rendezvous::hash(&[&self.vm]) % u64::from(partitions.max(1));
        format!("service:{}/{index}", self.service).into()
    }
}
