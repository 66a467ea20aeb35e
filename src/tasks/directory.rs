//! Polls the VM list.

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::prelude::*;
use crate::tasks::adapter::DirectoryAdapter;
use crate::tasks::admission::AdmissionMessage;
use crate::tasks::peer::PeerMessage;
use crate::tasks::router::RouterMessage;
use crate::tasks::scheduler::SchedulerMessage;
use crate::tasks::vm_list::{CachedList, VmList};

/// Time between two reads of the VM list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// State of the directory task.
pub struct DirectoryTask {
    /// Speaks to the VM list.
    pub adapter: DirectoryAdapter,
    /// Address of the VM list.
    pub address: String,
    /// The scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
    /// The admission task.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// The router task.
    pub router: mpsc::Sender<RouterMessage>,
    /// The peer task.
    pub peer: mpsc::Sender<PeerMessage>,
}

impl DirectoryTask {
    /// Polls until the token is cancelled.
    pub async fn run(self, token: CancellationToken) {
        let client = (self.adapter.connect)(&self.address);
        let mut cached = CachedList::default();
        loop {
            match cached.refresh(&client).await {
                Ok(true) => self.publish(cached.list.clone()).await,
                Ok(false) => {}
                Err(fault) => {
                    log::warn!(fault = fault.as_str(); "VM list not read, the last one stays in use");
                }
            }
            tokio::select! {
                () = token.cancelled() => return,
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
        }
    }

    async fn publish(&self, list: VmList) {
        let _ = self.peer.send(PeerMessage::Listed(list.entries)).await;
        let _ = self.admission.send(AdmissionMessage::Listed(list.workers.clone())).await;
        let _ = self.scheduler.send(SchedulerMessage::Listed(list.workers)).await;
        let _ = self.router.send(RouterMessage::Listed(list.endpoints)).await;
    }
}
