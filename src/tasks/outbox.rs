//! Queues messages of the journal task until there is room in the channels of the other tasks.

use std::collections::VecDeque;

use tokio::sync::mpsc;

use crate::kernel::LedgerChange;
use crate::tasks::admission::AdmissionMessage;
use crate::tasks::peer::PeerMessage;
use crate::tasks::router::RouterMessage;
use crate::tasks::scheduler::SchedulerMessage;

/// Number of queued messages at which the journal stops handling reads of the log.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Senders to the tasks that get the changes of the ledger.
#[derive(Clone)]
pub struct JournalOutputs {
    /// Sender to the scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
    /// Sender to the router task.
    pub router: mpsc::Sender<RouterMessage>,
    /// Sender to the admission task.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// Sender to the peer task.
    pub peer: mpsc::Sender<PeerMessage>,
}

enum OutgoingMessage {
    Scheduler(SchedulerMessage),
    Router(RouterMessage),
    Admission(AdmissionMessage),
    Peer(PeerMessage),
}

/// Queue of messages to other tasks, in order. It prevents a deadlock: the journal must not wait for a task
/// that itself waits for the journal.
pub struct JournalOutbox {
    outputs: JournalOutputs,
    queue: VecDeque<OutgoingMessage>,
}

impl JournalOutbox {
    /// Returns an empty outbox.
    #[must_use]
    pub const fn new(outputs: JournalOutputs) -> Self {
        Self { outputs, queue: VecDeque::new() }
    }

    /// Returns whether no message is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns whether the journal should stop handling reads until messages have been sent.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.queue.len() >= MAX_QUEUED_MESSAGES
    }

    /// Queues a change of the ledger for all tasks.
    pub fn broadcast(&mut self, change: &LedgerChange) {
        self.scheduler(SchedulerMessage::LedgerChanged(change.clone()));
        self.queue.push_back(OutgoingMessage::Router(RouterMessage::LedgerChanged(change.clone())));
        self.queue.push_back(OutgoingMessage::Admission(AdmissionMessage::LedgerChanged(change.clone())));
        self.peer(PeerMessage::LedgerChanged(change.clone()));
    }

    /// Queues a message to the scheduler task.
    pub fn scheduler(&mut self, message: SchedulerMessage) {
        self.queue.push_back(OutgoingMessage::Scheduler(message));
    }

    /// Queues a message to the peer task.
    pub fn peer(&mut self, message: PeerMessage) {
        self.queue.push_back(OutgoingMessage::Peer(message));
    }

    /// Sends the queued messages. Cancel safe: no message is lost if the future is dropped before it
    /// completes.
    pub async fn drain(&mut self) {
        while let Some(next) = self.queue.front() {
            // A receiver is closed only while the process is stopping; its messages are dropped.
            match next {
                OutgoingMessage::Scheduler(_) => {
                    let permit = self.outputs.scheduler.reserve().await;
                    if let (Some(OutgoingMessage::Scheduler(message)), Ok(permit)) =
                        (self.queue.pop_front(), permit)
                    {
                        permit.send(message);
                    }
                }
                OutgoingMessage::Router(_) => {
                    let permit = self.outputs.router.reserve().await;
                    if let (Some(OutgoingMessage::Router(message)), Ok(permit)) =
                        (self.queue.pop_front(), permit)
                    {
                        permit.send(message);
                    }
                }
                OutgoingMessage::Admission(_) => {
                    let permit = self.outputs.admission.reserve().await;
                    if let (Some(OutgoingMessage::Admission(message)), Ok(permit)) =
                        (self.queue.pop_front(), permit)
                    {
                        permit.send(message);
                    }
                }
                OutgoingMessage::Peer(_) => {
                    let permit = self.outputs.peer.reserve().await;
                    if let (Some(OutgoingMessage::Peer(message)), Ok(permit)) =
                        (self.queue.pop_front(), permit)
                    {
                        permit.send(message);
                    }
                }
            }
        }
    }
}
