//! The place of one connection among the connections of clients.

use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::connections::{ConnectionId, ConnectionPhase, RequestFault};
use crate::tasks::connections::ConnectionMessage;

/// The place of a connection: it may be open and buffer the bytes that it was granted. Dropping it frees both.
#[derive(Debug)]
pub struct ConnectionLease {
    /// Number of the connection.
    pub id: ConnectionId,
    /// Sender to the task that owns the connection table.
    pub sender: mpsc::UnboundedSender<ConnectionMessage>,
    /// Cancelled when the connection must close to make room for others.
    pub evicted: CancellationToken,
    /// Bytes that the connection may buffer beyond those that every connection has.
    pub granted: usize,
}

impl ConnectionLease {
    /// Asks for `total` bytes in place of those that were granted before; returns whether they are granted. Does
    /// not return while the connection waits for others to end.
    pub async fn reserve(&mut self, total: usize) -> bool {
        if total <= self.granted {
            return true;
        }
        let (reply, granted) = oneshot::channel();
        self.send(ConnectionMessage::Reserve(self.id, total, reply));
        let granted = granted.await.unwrap_or(false);
        if granted {
            self.granted = total;
        }
        granted
    }

    /// Counts the bytes of an answer that the client has not received, in place of those of its request.
    pub fn hold_answer(&mut self, bytes: usize) {
        if bytes > 0 || self.granted > 0 {
            self.granted = 0;
            self.send(ConnectionMessage::HoldAnswer(self.id, bytes));
        }
    }

    /// Reports what the connection does. One that becomes idle holds no bytes any more.
    pub fn set_phase(&mut self, phase: ConnectionPhase) {
        if phase == ConnectionPhase::Idle {
            self.granted = 0;
        }
        self.send(ConnectionMessage::Phase(self.id, phase));
    }

    /// Reports a refused request.
    pub fn report_fault(&self, fault: RequestFault) {
        self.send(ConnectionMessage::Refused(fault));
    }

    fn send(&self, message: ConnectionMessage) {
        if self.sender.send(message).is_err() {
            log::debug!("message of a connection dropped: the process is stopping");
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.send(ConnectionMessage::Close(self.id));
    }
}
