//! The platform's VM list, which adapters and settings call the directory, and a cached copy of it that is
//! updated by reads of changes.

use crate::kernel::{EndpointVm, WorkerVm};
use crate::prelude::*;
use crate::tasks::adapter::DirectoryClient;

/// An entry VM as the VM list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVm {
    /// Id of the VM.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Address of its interface for other entry processes, as `ip:port`.
    pub address: String,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// VMs on the list, by role.
#[derive(Clone, Debug, Default)]
pub struct VmList {
    /// VMs of entry processes.
    pub entries: Vec<EntryVm>,
    /// VMs of workers.
    pub workers: Vec<WorkerVm>,
    /// VMs of service endpoints.
    pub endpoints: Vec<EndpointVm>,
}

/// Identifies one state of the list, so that the next read can be conditional or return only the changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListCursor {
    /// Opaque entity tag for conditional reads; `None` if the platform gives none.
    pub tag: Option<String>,
    /// Version since which the platform can list the changes; `None` if it cannot.
    pub version: Option<String>,
}

/// Difference between two states of the list.
#[derive(Clone, Debug, Default)]
pub struct ListChanges {
    /// Ids of all added, changed and removed VMs.
    pub ids: FastSet<VmId>,
    /// The added and changed VMs in their present state.
    pub changed: VmList,
}

/// Result of a read of the list.
#[derive(Clone, Debug)]
pub enum ListRead {
    /// The list has not changed since the cursor.
    Unchanged,
    /// The whole list.
    Whole(VmList, ListCursor),
    /// The changes since the cursor.
    Changes(ListChanges, ListCursor),
}

/// Copy of the list as of the last successful read.
#[derive(Clone, Debug, Default)]
pub struct CachedList {
    /// The list.
    pub list: VmList,
    cursor: ListCursor,
}

impl CachedList {
    /// Reads the list or its changes and returns whether the list changed.
    ///
    /// # Errors
    ///
    /// Returns an error of one line, to be logged, if the read fails; the cached list is then left as it was.
    pub async fn refresh(&mut self, client: &DirectoryClient) -> Result<bool, String> {
        match client(self.cursor.clone()).await? {
            ListRead::Unchanged => return Ok(false),
            ListRead::Whole(list, cursor) => *self = Self { list, cursor },
            ListRead::Changes(changes, cursor) => {
                self.list.apply(changes);
                self.cursor = cursor;
            }
        }
        Ok(true)
    }
}

impl VmList {
    fn apply(&mut self, changes: ListChanges) {
        let ListChanges { ids, changed } = changes;
        self.entries.retain(|vm| !ids.contains(&vm.vm));
        self.workers.retain(|vm| !ids.contains(&vm.vm));
        self.endpoints.retain(|vm| !ids.contains(&vm.vm));
        self.entries.extend(changed.entries);
        self.workers.extend(changed.workers);
        self.endpoints.extend(changed.endpoints);
    }
}
