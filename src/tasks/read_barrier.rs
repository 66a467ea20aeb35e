//! Waits until the ledger holds what the log held at a point in time.

use tokio::sync::oneshot;

use crate::prelude::*;

/// Questions that must see every record that was in the log when they were asked.
#[derive(Debug, Default)]
pub struct ReadBarrier {
    waiting: Vec<(Instant, oneshot::Sender<()>)>,
}

impl ReadBarrier {
    /// Replies once a read that starts after `asked` was folded up to the end of the log.
    pub fn add(&mut self, asked: Instant, reply: oneshot::Sender<()>) {
        self.waiting.retain(|(_, reply)| !reply.is_closed());
        self.waiting.push((asked, reply));
    }

    /// Whether a question is newer than the newest read.
    #[must_use]
    pub fn needs_read(&self, read_started: Instant) -> bool {
        self.waiting.iter().any(|(asked, _)| *asked > read_started)
    }

    /// Replies to all questions that a read has answered; it started at `started` and ended at the end of the log.
    pub fn release(&mut self, started: Instant) {
        for (_, reply) in self.waiting.extract_if(.., |(asked, _)| *asked <= started) {
            let _ = reply.send(());
        }
    }

    /// Drops all questions, as the log cannot be read.
    pub fn fail(&mut self) {
        self.waiting.clear();
    }
}
