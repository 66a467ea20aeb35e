//! Delays replies until the ledger has applied everything that the log held at a point in time.

use tokio::sync::oneshot;

use crate::prelude::*;

/// Requests that may be answered only once every record that the log held at their arrival is applied.
#[derive(Debug, Default)]
pub struct ReadBarrier {
    waiting: Vec<(Instant, oneshot::Sender<()>)>,
}

impl ReadBarrier {
    /// Adds a request that arrived at `arrived_at`; it is answered once a read that started no earlier was
    /// applied up to the end of the log.
    pub fn add(&mut self, arrived_at: Instant, reply: oneshot::Sender<()>) {
        self.waiting.retain(|(_, reply)| !reply.is_closed());
        self.waiting.push((arrived_at, reply));
    }

    /// Returns whether a request arrived after the newest read started, so that another read is needed.
    #[must_use]
    pub fn needs_read(&self, read_started: Instant) -> bool {
        self.waiting.iter().any(|(arrived_at, _)| *arrived_at > read_started)
    }

    /// Answers the requests that arrived by `started`, the start of a read that has been applied up to the
    /// end of the log.
    pub fn release(&mut self, started: Instant) {
        for (_, reply) in self.waiting.extract_if(.., |(arrived_at, _)| *arrived_at <= started) {
            let _ = reply.send(());
        }
    }

    /// Drops all requests without a reply, because the log cannot be read.
    pub fn fail(&mut self) {
        self.waiting.clear();
    }
}
