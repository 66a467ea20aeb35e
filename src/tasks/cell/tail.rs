//! Follows a topic of the store.

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::prelude::*;
use crate::tasks::cell::ports::{ReadFault, StorePort, TopicPage};

/// Wait after a read that failed.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// How a topic is followed.
#[derive(Clone, Copy, Debug)]
pub struct TopicTail {
    /// The topic.
    pub topic: &'static str,
    /// The partition of the topic.
    pub partition: PartitionNumber,
    /// How long the store may wait for records before it answers.
    pub wait: Duration,
    /// Time between reads.
    pub pause: Duration,
}

/// What following a topic gave.
#[derive(Debug)]
pub enum TailMessage {
    /// The newest record of each key; keys that are missing no longer exist.
    Newest(TopicPage),
    /// Further records of a partition, or none, read by a call that started at the time.
    Page(PartitionNumber, TopicPage, Instant),
    /// The store could not be read.
    Failed(String),
}

impl TopicTail {
    /// Sends the newest records of a keyed topic, then what follows.
    pub async fn follow_keyed(
        self,
        store: StorePort,
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
                    if output.send(TailMessage::Newest(page)).await.is_err() {
                        return;
                    }
                    // Records that expired while they were followed are found among the newest again.
                    if !self.follow(next, &store, &output, &token).await {
                        return;
                    }
                }
                Err(fault) => {
                    if output.send(TailMessage::Failed(fault.to_string())).await.is_err() {
                        return;
                    }
                }
            }
            tokio::time::sleep(RETRY_WAIT).await;
        }
    }

    /// Sends records from an offset on; returns whether it ended because they had expired.
    pub async fn follow(
        self,
        from: LogOffset,
        store: &StorePort,
        output: &mpsc::Sender<TailMessage>,
        token: &CancellationToken,
    ) -> bool {
        let mut next = from;
        loop {
            let started = Instant::now();
            let page = tokio::select! {
                () = token.cancelled() => return false,
                page = (store.read)(self.topic, self.partition, next, self.wait) => page,
            };
            let (message, pause) = match page {
                Ok(page) => {
                    next = page.next;
                    (TailMessage::Page(self.partition, page, started), self.pause)
                }
                Err(ReadFault::Expired(_)) => return true,
                Err(fault) => (TailMessage::Failed(fault.to_string()), RETRY_WAIT),
            };
            if output.send(message).await.is_err() {
                return false;
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    }
}
