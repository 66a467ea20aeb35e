//! Passes the owner's notices of long waits on to the processes that admit calls.

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tonic::Status;
use tonic::transport::Channel;

use crate::kernel::cell::admission::{AdmissionNotice, MemoryRoom, QueueWait};
use crate::prelude::*;
use crate::proto::cell::cell_client::CellClient;
use crate::proto::cell::{AdmissionUpdate, FollowAdmissionRequest, LongWait, TeamRoom};
use crate::tasks::cell::intake::IntakeMessage;

/// Delay before a broken stream of notices is opened again.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of notices that may be queued for a process; a process that is slower misses some.
pub const NOTICE_CAPACITY: usize = 2;

/// Messages to the [`AdmissionTask`].
#[derive(Debug)]
pub enum AdmissionMessage {
    /// The owner, which is in this process, expects these waits.
    Noticed(AdmissionNotice),
    /// Another process follows the notices.
    Followed(mpsc::Sender<AdmissionNotice>),
}

/// The async task that distributes the notices of an owner in this process.
pub struct AdmissionTask {
    /// Sends messages to the task that admits calls in this process.
    pub intake_sender: mpsc::Sender<IntakeMessage>,
    /// Channels of the other processes.
    pub followers: Vec<mpsc::Sender<AdmissionNotice>>,
}

impl AdmissionTask {
    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<AdmissionMessage>, token: CancellationToken) {
        loop {
            let message = tokio::select! {
                () = token.cancelled() => return,
                message = inbox.recv() => message,
            };
            self.followers.retain(|follower| !follower.is_closed());
            match message {
                None => return,
                Some(AdmissionMessage::Followed(follower)) => self.followers.push(follower),
                Some(AdmissionMessage::Noticed(notice)) => self.distribute(notice).await,
            }
        }
    }

    async fn distribute(&self, notice: AdmissionNotice) {
        let notice = AdmissionNotice { processes: self.followers.len() as u64 + 1, ..notice };
        for follower in &self.followers {
            if follower.try_send(notice.clone()).is_err() {
                log::debug!("notice of long waits dropped: the process is slow or gone");
            }
        }
        notify_intake_task(&self.intake_sender, notice).await;
    }
}

/// Follows the notices of an owner in another process until the token is cancelled.
pub async fn follow(
    client: CellClient<Channel>,
    intake_sender: mpsc::Sender<IntakeMessage>,
    token: CancellationToken,
) {
    loop {
        let ended = tokio::select! {
            () = token.cancelled() => return,
            ended = receive_notices(client.clone(), &intake_sender) => ended,
        };
        if let Err(status) = ended {
            log::debug!(reason = status.message(); "stream of long waits is broken");
        }
        tokio::time::sleep(FOLLOW_RETRY_DELAY).await;
    }
}

async fn receive_notices(
    mut client: CellClient<Channel>,
    intake_sender: &mpsc::Sender<IntakeMessage>,
) -> Result<(), Status> {
    let mut updates = client.follow_admission(FollowAdmissionRequest {}).await?.into_inner();
    while let Some(update) = updates.message().await? {
        notify_intake_task(intake_sender, decode_notice(update)).await;
    }
    Ok(())
}

async fn notify_intake_task(intake_sender: &mpsc::Sender<IntakeMessage>, notice: AdmissionNotice) {
    if intake_sender.send(IntakeMessage::LongWaits(notice)).await.is_err() {
        log::debug!("notice of long waits dropped: this process is stopping");
    }
}

/// Returns the message for a notice.
#[must_use]
pub fn encode_notice(notice: AdmissionNotice) -> AdmissionUpdate {
    let waits = notice.waits.into_iter().map(|long| LongWait {
        queue: long.queue.to_string(),
        team: long.team.map(|team| team.to_string()),
        wait_ms: u64::try_from(long.wait.as_millis()).unwrap_or(u64::MAX),
    });
    let rooms = notice.rooms.into_iter();
    let rooms =
        rooms.map(|room| TeamRoom { team: room.team.map(|team| team.to_string()), bytes: room.bytes });
    AdmissionUpdate { waits: waits.collect(), rooms: rooms.collect(), processes: notice.processes }
}

fn decode_notice(update: AdmissionUpdate) -> AdmissionNotice {
    let waits = update.waits.into_iter().map(|long| QueueWait {
        queue: long.queue.into(),
        team: long.team.map(Into::into),
        wait: Duration::from_millis(long.wait_ms),
    });
    let rooms = update.rooms.into_iter();
    let rooms = rooms.map(|room| MemoryRoom { team: room.team.map(Into::into), bytes: room.bytes });
    AdmissionNotice { waits: waits.collect(), rooms: rooms.collect(), processes: update.processes }
}
