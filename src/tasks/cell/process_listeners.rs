//! Listening sockets of an entry process that serves a cell.

use tokio::net::TcpListener;

use crate::plugins::http;
use crate::settings::SettingFault;
use crate::tasks::cell::settings::CellSettings;

/// The listening sockets, all bound before a task starts.
pub(super) struct ProcessListeners {
    /// For callers.
    pub(super) front_end: TcpListener,
    /// For readiness checks.
    pub(super) readiness: TcpListener,
    /// For other entry processes.
    pub(super) peers: TcpListener,
    /// For operators: metrics and forecasts.
    pub(super) operators: TcpListener,
}

impl ProcessListeners {
    /// Binds the sockets; returns a fault with the address of the first that cannot be bound.
    pub(super) async fn bind(settings: &CellSettings) -> Result<Self, SettingFault> {
        let fault = |address, error| SettingFault { text: format!("cannot listen on {address}: {error}") };
        let bind = |address| http::listen(address).map_err(|error| fault(address, error));
        Ok(Self {
            front_end: bind(settings.front_end_listen)?,
            readiness: bind(settings.readiness_listen)?,
            peers: TcpListener::bind(settings.peer_listen)
                .await
                .map_err(|error| fault(settings.peer_listen, error))?,
            operators: bind(settings.metrics_listen)?,
        })
    }
}
