//! Messages from the journal that wait for room in the inboxes of other tasks.

use std::collections::VecDeque;

use tokio::sync::mpsc;

use crate::kernel::LedgerChange;
use crate::tasks::admission::AdmissionMessage;
use crate::tasks::peer::PeerMessage;
use crate::tasks::router::RouterMessage;
use crate::tasks::scheduler::SchedulerMessage;

/// Messages that may wait before the journal reads no further.
const HIGH_WATER: usize = 4_096;

/// Where the journal sends changes of the ledger.
#[derive(Clone)]
pub struct JournalOutputs {
    /// The scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
    /// The router task.
    pub router: mpsc::Sender<RouterMessage>,
    /// The admission task.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// The peer task.
    pub peer: mpsc::Sender<PeerMessage>,
}

enum OutgoingMessage {
    Scheduler(SchedulerMessage),
    Router(RouterMessage),
    Admission(AdmissionMessage),
    Peer(PeerMessage),
}

/// Messages in order. The journal must not wait for a task that itself waits for the journal.
pub struct JournalOutbox {
    outputs: JournalOutputs,
    waiting: VecDeque<OutgoingMessage>,
}

impl JournalOutbox {
    /// Returns an empty outbox.
    #[must_use]
    pub const fn new(outputs: JournalOutputs) -> Self {
        Self { outputs, waiting: VecDeque::new() }
    }

    /// Whether no message waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the journal should read no further for now.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= HIGH_WATER
    }

    /// Sends a change to all tasks.
    pub fn broadcast(&mut self, change: &LedgerChange) {
        self.scheduler(SchedulerMessage::Changed(change.clone()));
        self.waiting.push_back(OutgoingMessage::Router(RouterMessage::Changed(change.clone())));
        self.waiting.push_back(OutgoingMessage::Admission(AdmissionMessage::Changed(change.clone())));
        self.peer(PeerMessage::Changed(change.clone()));
    }

    /// Sends a message to the scheduler task.
    pub fn scheduler(&mut self, message: SchedulerMessage) {
        self.waiting.push_back(OutgoingMessage::Scheduler(message));
    }

    /// Sends a message to the peer task.
    pub fn peer(&mut self, message: PeerMessage) {
        self.waiting.push_back(OutgoingMessage::Peer(message));
    }

    /// Hands the waiting messages over; loses none if it is dropped before it ends.
    pub async fn drain(&mut self) {
        while let Some(next) = self.waiting.front() {
            // A receiver that is gone belongs to a process that is stopping.
            match next {
                OutgoingMessage::Scheduler(_) => {
                    let permit = self.outputs.scheduler.reserve().await;
                    if let (Some(OutgoingMessage::Scheduler(message)), Ok(permit)) =
                        (self.waiting.pop_front(), permit)
                    {
                        permit.send(message);
                    }
                }
                OutgoingMessage::Router(_) => {
                    let permit = self.outputs.router.reserve().await;
                    if let (Some(OutgoingMessage::Router(message)), Ok(permit)) =
                        (self.waiting.pop_front(), permit)
                    {
                        permit.send(message);
                    }
                }
                OutgoingMessage::Admission(_) => {
                    let permit = self.outputs.admission.reserve().await;
                    if let (Some(OutgoingMessage::Admission(message)), Ok(permit)) =
                        (self.waiting.pop_front(), permit)
                    {
                        permit.send(message);
                    }
                }
                OutgoingMessage::Peer(_) => {
                    let permit = self.outputs.peer.reserve().await;
                    if let (Some(OutgoingMessage::Peer(message)), Ok(permit)) =
                        (self.waiting.pop_front(), permit)
                    {
                        permit.send(message);
                    }
                }
            }
        }
    }
}
