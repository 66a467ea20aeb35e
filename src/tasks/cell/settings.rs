//! Settings of an entry process that serves a cell.

use std::net::SocketAddr;

use crate::kernel::cell::Millicores;
use crate::kernel::cell::admission::MemoryBudget;
use crate::kernel::connections::ConnectionCapacity;
use crate::prelude::*;
use crate::tasks::cell::store_limits::StoreLimits;

/// Settings of an entry process that serves a cell, read from the platform's settings file.
#[derive(Clone, Debug)]
pub struct CellSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Listen address of the front end, the interface for callers.
    pub front_end_listen: SocketAddr,
    /// Listen address of the readiness check.
    pub readiness_listen: SocketAddr,
    /// Listen address of the interface for other entry processes.
    pub peer_listen: SocketAddr,
    /// Addresses of some other entry processes, `ip:port`; they may be down.
    pub peer_addresses: Vec<Arc<str>>,
    /// Listen address of the metrics.
    pub metrics_listen: SocketAddr,
    /// Address of the store, `ip:port`.
    pub store_address: Arc<str>,
    /// Largest records and appends that the store accepts.
    pub store_limits: StoreLimits,
    /// Address of the placement advisor, `ip:port`; `None` if there is none.
    pub advisor_address: Option<Arc<str>>,
    /// CPU limit of the process in thousandths of a core.
    pub cpu_limit: Millicores,
    /// Memory for accepted jobs.
    pub memory_budget: MemoryBudget,
    /// How many connections of clients the process holds, and how many bytes they buffer together.
    pub connection_capacity: ConnectionCapacity,
    /// Longest time for the body of a request, and for an answer.
    pub exchange_timeout: Duration,
    /// Longest lease that the platform's workers accept.
    pub longest_lease: Duration,
    /// How long the store retains records.
    pub log_retention: Duration,
    /// Time in which past use of the teams loses half of its weight; zero if it is not accounted for.
    pub usage_half_life: Duration,
    /// Time within which the process must exit after it was asked to stop.
    pub grace: Duration,
}
