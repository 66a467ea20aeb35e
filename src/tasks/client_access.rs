//! The way of a listener for clients to the connection table.

use std::net::IpAddr;

use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::kernel::connections::{ClientLimits, ConnectionCapacity, ConnectionClass};
use crate::prelude::*;
use crate::tasks::connection_lease::ConnectionLease;
use crate::tasks::connection_metrics::ConnectionMetrics;
use crate::tasks::connections::{ConnectionMessage, ConnectionTask};

/// How long a new connection waits for a place while all connections are being answered.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// What a listener for clients needs: the way to the connection table and the limits on each connection.
#[derive(Clone, Debug)]
pub struct ClientAccess {
    /// Sender to the task that owns the connection table. The channel is unbounded so that the end of a
    /// connection can be reported where nothing can wait; each connection has a few messages in it at most.
    pub sender: mpsc::UnboundedSender<ConnectionMessage>,
    /// Limits on each connection.
    pub limits: watch::Receiver<ClientLimits>,
}

impl ClientAccess {
    /// Starts the task that owns the connection table and returns the way to it, with the sender of the limits.
    #[must_use]
    pub fn start(
        capacity: ConnectionCapacity,
        limits: ClientLimits,
        metrics: ConnectionMetrics,
        token: CancellationToken,
    ) -> (Self, watch::Sender<ClientLimits>) {
        let (sender, inbox) = mpsc::unbounded_channel();
        let (limits_sender, limits) = watch::channel(limits);
        let task = ConnectionTask::new(capacity, sender.clone(), metrics);
        actix_rt::spawn(task.run(inbox, token));
        (Self { sender, limits }, limits_sender)
    }

    /// Asks for a place for a connection; `None` if there is none within `OPEN_TIMEOUT`. Does not return while
    /// another connection must end first.
    pub async fn open(&self, address: IpAddr, class: ConnectionClass) -> Option<ConnectionLease> {
        let (reply, lease) = oneshot::channel();
        self.sender.send(ConnectionMessage::Open(address, class, reply)).ok()?;
        if let Ok(lease) = tokio::time::timeout(OPEN_TIMEOUT, lease).await {
            return lease.ok();
        }
        let _ = self.sender.send(ConnectionMessage::Unplaced);
        None
    }
}
