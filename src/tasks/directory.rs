//! Polls the VM list and sends each changed list to the tasks that use it.

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::prelude::*;
use crate::tasks::adapter::DirectoryAdapter;
use crate::tasks::admission::AdmissionMessage;
use crate::tasks::peer::PeerMessage;
use crate::tasks::router::RouterMessage;
use crate::tasks::scheduler::SchedulerMessage;
use crate::tasks::vm_list::{CachedList, VmList};

/// Time between the end of one read of the VM list and the start of the next.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Task that polls the VM list.
pub struct DirectoryTask {
    /// Adapter that reads the VM list.
    pub adapter: DirectoryAdapter,
    /// Address of the VM list.
    pub address: String,
    /// Sender to the scheduler task.
    pub scheduler: mpsc::Sender<SchedulerMessage>,
    /// Sender to the admission task.
    pub admission: mpsc::Sender<AdmissionMessage>,
    /// Sender to the router task.
    pub router: mpsc::Sender<RouterMessage>,
    /// Sender to the peer task.
    pub peer: mpsc::Sender<PeerMessage>,
}

impl DirectoryTask {
    /// Polls until `shutdown` is cancelled.
    pub async fn run(self, shutdown: CancellationToken) {
        let client = (self.adapter.connect)(&self.address);
        let mut cached = CachedList::default();
        loop {
            match cached.refresh(&client).await {
                Ok(true) => self.publish(cached.list.clone()).await,
                Ok(false) => {}
                Err(fault) => {
                    log::warn!(fault = fault.as_str(); "cannot read the VM list, keeping the last one");
                }
            }
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
        }
    }

    async fn publish(&self, list: VmList) {
        let _ = self.peer.send(PeerMessage::EntryVmsListed(list.entries)).await;
        let _ = self.admission.send(AdmissionMessage::WorkersListed(list.workers.clone())).await;
        let _ = self.scheduler.send(SchedulerMessage::WorkersListed(list.workers)).await;
        let _ = self.router.send(RouterMessage::EndpointsListed(list.endpoints)).await;
    }
}
