//! Settings of an entry process that serves a cell.

use std::net::SocketAddr;

use crate::kernel::cell::Millicores;
use crate::prelude::*;

/// Settings of an entry process that serves a cell, as the platform gives them.
#[derive(Clone, Debug)]
pub struct CellSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address of the callers' interface.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the interface for other entry processes.
    pub peer: SocketAddr,
    /// Addresses of some other entry processes; they may be down.
    pub peers: Vec<Arc<str>>,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address of the store, `ip:port`.
    pub store: Arc<str>,
    /// Address of the placement advisor, `ip:port`; `None` if there is none.
    pub advisor: Option<Arc<str>>,
    /// Processor time that the process may use.
    pub cpu_limit: Millicores,
    /// Longest lease that a worker accepts.
    pub longest_lease: Duration,
    /// How long the store keeps records.
    pub log_retention: Duration,
    /// Time in which a process has to exit after it was asked to stop.
    pub grace: Duration,
}
