//! Follows a topic of the store and sends its records to a task.

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::prelude::*;
use crate::tasks::cell::ports::{ReadFault, StoreClient, TopicPage};

/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The part of a topic to follow, and how often to read it.
#[derive(Clone, Copy, Debug)]
pub struct TopicTail {
    /// Name of the topic.
    pub topic: &'static str,
    /// The partition of the topic.
    pub partition: PartitionNumber,
    /// How long the store may hold a read open while there are no records.
    pub wait: Duration,
    /// Pause between an answer and the next read.
    pub pause: Duration,
}

/// Messages from a followed topic.
#[derive(Debug)]
pub enum TailMessage {
    /// The newest record of each key of a keyed topic; it replaces everything sent before, as missing keys no
    /// longer exist.
    Snapshot(TopicPage),
    /// Further records of a partition, possibly none, and the time at which the read was sent.
    Page(PartitionNumber, TopicPage, Instant),
    /// A read failed, for this reason; it is retried.
    Failed(String),
}

impl TopicTail {
    /// Sends the newest record of each key, then the records that follow, until the token is cancelled or the
    /// receiver is dropped.
    pub async fn follow_keyed(
        self,
        store: StoreClient,
        output: mpsc::Sender<TailMessage>,
        token: CancellationToken,
    ) {
        loop {
            let page = tokio::select! {
                () = token.cancelled() => return,
                page = (store.newest)(self.topic) => page,
            };
            match page {
                Ok(page) => {
                    let next = page.next;
                    if output.send(TailMessage::Snapshot(page)).await.is_err() {
                        return;
                    }
                    // If records expired before they were read, a new snapshot makes up for them.
                    if self.follow(next, &store, &output, &token).await.is_none() {
                        return;
                    }
                }
                Err(fault) => {
                    if output.send(TailMessage::Failed(fault.to_string())).await.is_err() {
                        return;
                    }
                }
            }
            tokio::time::sleep(READ_RETRY_DELAY).await;
        }
    }

    /// Sends records from an offset on until the token is cancelled or the receiver is dropped. Records that
    /// have expired before they were read are lost, and those after them are sent.
    pub async fn follow_retained(
        self,
        from: LogOffset,
        store: &StoreClient,
        output: &mpsc::Sender<TailMessage>,
        token: &CancellationToken,
    ) {
        let mut next = from;
        while let Some(first) = self.follow(next, store, output, token).await {
            log::error!(topic = self.topic, partition = self.partition, from = next, first = first;
                "records have expired before they were read");
            // Never skips a record that is retained, whatever offset the store names.
            next = first.max(next);
            tokio::time::sleep(READ_RETRY_DELAY).await;
        }
    }

    /// Sends records from an offset on; returns the first retained offset if it ended because the next
    /// records have expired, `None` if it was stopped.
    pub async fn follow(
        self,
        from: LogOffset,
        store: &StoreClient,
        output: &mpsc::Sender<TailMessage>,
        token: &CancellationToken,
    ) -> Option<LogOffset> {
        let mut next = from;
        loop {
            let started = Instant::now();
            let page = tokio::select! {
                () = token.cancelled() => return None,
                page = (store.read)(self.topic, self.partition, next, self.wait) => page,
            };
            let (message, pause) = match page {
                Ok(page) => {
                    if page.first > next {
                        log::error!(topic = self.topic, partition = self.partition, from = next, first = page.first;
                            "records have expired before they were read");
                    }
                    next = page.next;
                    (TailMessage::Page(self.partition, page, started), self.pause)
                }
                Err(ReadFault::Expired(first)) => return Some(first),
                Err(fault) => (TailMessage::Failed(fault.to_string()), READ_RETRY_DELAY),
            };
            if output.send(message).await.is_err() {
                return None;
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    }
}
