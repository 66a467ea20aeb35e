use tokio::sync::mpsc;

use crate::tasks::cell::claim::ClaimMessage;

pub(super) async fn notify_claim_task(claim_sender: &mpsc::Sender<ClaimMessage>, message: ClaimMessage) {
    if claim_sender.send(message).await.is_err() {
        log::debug!("message dropped: this process is stopping");
    }
}
