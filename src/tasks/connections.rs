//! The task that owns the connection table of a process. All listeners for clients ask it for room.

use std::net::IpAddr;

use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::kernel::connections::{
    ConnectionCapacity, ConnectionClass, ConnectionEffect, ConnectionId, ConnectionPhase, ConnectionTable,
    RequestFault,
};
use crate::prelude::*;
use crate::tasks::connection_lease::ConnectionLease;
use crate::tasks::connection_metrics::ConnectionMetrics;

/// Shortest time between two log lines about refused requests and closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Messages to the [`ConnectionTask`].
#[derive(Debug)]
pub enum ConnectionMessage {
    /// Asks for a place for a connection from this address; the reply waits until there is one.
    Open(IpAddr, ConnectionClass, oneshot::Sender<ConnectionLease>),
    /// Asks for bytes for a connection; the reply tells whether they are granted.
    Reserve(ConnectionId, usize, oneshot::Sender<bool>),
    /// Counts the bytes of an answer that a client has not received, in place of those of its request.
    HoldAnswer(ConnectionId, usize),
    /// A connection does something else now.
    Phase(ConnectionId, ConnectionPhase),
    /// A connection found no place in time.
    Unplaced,
    /// A request was refused.
    Refused(RequestFault),
    /// A connection has ended.
    Close(ConnectionId),
}

/// The async task that owns the connection table.
pub struct ConnectionTask {
    table: ConnectionTable,
    own_sender: mpsc::UnboundedSender<ConnectionMessage>,
    metrics: ConnectionMetrics,
    next_id: ConnectionId,
    opening: FastMap<ConnectionId, oneshot::Sender<ConnectionLease>>,
    reserving: FastMap<ConnectionId, oneshot::Sender<bool>>,
    evictions: FastMap<ConnectionId, CancellationToken>,
    /// What has been refused or closed since the last log line, with counts.
    unlogged: FastMap<String, u64>,
    last_log: Option<Instant>,
}

impl ConnectionTask {
    /// Returns a task without connections.
    #[must_use]
    pub fn new(
        capacity: ConnectionCapacity,
        own_sender: mpsc::UnboundedSender<ConnectionMessage>,
        metrics: ConnectionMetrics,
    ) -> Self {
        Self {
            table: ConnectionTable::new(capacity),
            own_sender,
            metrics,
            next_id: 0,
            opening: FastMap::default(),
            reserving: FastMap::default(),
            evictions: FastMap::default(),
            unlogged: FastMap::default(),
            last_log: None,
        }
    }

    /// Runs until the token is cancelled.
    pub async fn run(
        mut self,
        mut inbox: mpsc::UnboundedReceiver<ConnectionMessage>,
        token: CancellationToken,
    ) {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                message = inbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
            }
        }
    }

    fn handle(&mut self, message: ConnectionMessage) {
        let effects = match message {
            ConnectionMessage::Open(address, class, reply) => {
                self.withdraw_abandoned();
                let id = self.next_id;
                self.next_id += 1;
                self.opening.insert(id, reply);
                self.table.open(id, address, class)
            }
            ConnectionMessage::Reserve(id, total, reply) => {
                self.reserving.insert(id, reply);
                self.table.reserve(id, total)
            }
            ConnectionMessage::HoldAnswer(id, bytes) => self.table.hold_answer(id, bytes),
            ConnectionMessage::Phase(id, phase) => self.table.set_phase(id, phase),
            ConnectionMessage::Unplaced => {
                self.count_closed("refused");
                self.withdraw_abandoned();
                Vec::new()
            }
            ConnectionMessage::Refused(fault) => {
                let reason = fault.to_string();
                self.metrics.refused_requests.with_label_values(&[&reason]).inc();
                self.log_refusal(&reason);
                Vec::new()
            }
            ConnectionMessage::Close(id) => {
                self.reserving.remove(&id);
                self.evictions.remove(&id);
                self.table.close(id)
            }
        };
        for effect in effects {
            self.apply(effect);
        }
        self.metrics.connections.set(i64::try_from(self.table.len()).unwrap_or(i64::MAX));
        let bytes = self.table.used_bytes() + self.table.used_answer_bytes();
        self.metrics.buffered_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Withdraws the connections that nobody waits for any more.
    fn withdraw_abandoned(&mut self) {
        for (id, _) in self.opening.extract_if(|_, reply| reply.is_closed()) {
            self.table.withdraw(id);
        }
    }

    fn apply(&mut self, effect: ConnectionEffect) {
        match effect {
            ConnectionEffect::Admit(id) => {
                let evicted = CancellationToken::new();
                self.evictions.insert(id, evicted.clone());
                let sender = self.own_sender.clone();
                let lease = ConnectionLease { id, sender, evicted, granted: 0 };
                // A lease that nobody takes reports its end when it is dropped.
                let _ = self.opening.remove(&id).map(|reply| reply.send(lease));
            }
            ConnectionEffect::Grant(id) => {
                let _ = self.reserving.remove(&id).map(|reply| reply.send(true));
            }
            ConnectionEffect::Deny(id) => {
                let _ = self.reserving.remove(&id).map(|reply| reply.send(false));
            }
            ConnectionEffect::Evict(id) => {
                self.count_closed("evicted");
                if let Some(evicted) = self.evictions.get(&id) {
                    evicted.cancel();
                }
            }
        }
    }

    fn count_closed(&mut self, reason: &str) {
        self.metrics.closed_connections.with_label_values(&[reason]).inc();
        self.log_refusal(reason);
    }

    /// Logs what was refused or closed, at most once in [`LOG_INTERVAL`].
    fn log_refusal(&mut self, reason: &str) {
        *self.unlogged.entry(reason.to_owned()).or_default() += 1;
        if self.last_log.is_some_and(|last_log| last_log.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.last_log = Some(Instant::now());
        log::warn!(counts:? = self.unlogged, connections = self.table.len(),
            bytes = self.table.used_bytes(), answer_bytes = self.table.used_answer_bytes();
            "clients are refused");
        self.unlogged.clear();
    }
}
