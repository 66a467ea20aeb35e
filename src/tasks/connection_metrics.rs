//! Metrics of the connections of clients.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use crate::tasks::metric_registration::register_metric;

/// Metrics of the connections of clients; clones share their values.
#[derive(Clone)]
pub struct ConnectionMetrics {
    /// Requests that were refused before they took effect, by reason.
    pub refused_requests: IntCounterVec,
    /// Connections that were closed or refused for lack of room, by what happened.
    pub closed_connections: IntCounterVec,
    /// Open connections.
    pub connections: IntGauge,
    /// Bytes granted for heads and bodies.
    pub buffered_bytes: IntGauge,
}

impl ConnectionMetrics {
    /// Returns the metrics at zero, registered.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is in use.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str, label: &str| {
            register_metric(registry, IntCounterVec::new(Opts::new(name, help), &[label])?)
        };
        let gauge = |name: &str, help: &str| register_metric(registry, IntGauge::new(name, help)?);
        Ok(Self {
            refused_requests: counter(
                "godwithaven_client_requests_refused_total",
                "Requests refused before they took effect",
                "reason",
            )?,
            closed_connections: counter(
                "godwithaven_client_connections_closed_total",
                "Connections of clients closed or refused for lack of room",
                "reason",
            )?,
            connections: gauge("godwithaven_client_connections", "Open connections of clients")?,
            buffered_bytes: gauge(
                "godwithaven_client_buffered_bytes",
                "Bytes granted to connections of clients",
            )?,
        })
    }
}
