//! The VM list as it was read last.

use crate::kernel::{EndpointVm, WorkerVm};
use crate::prelude::*;
use crate::tasks::adapter::DirectoryClient;

/// An entry VM as the VM list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Region of the VM.
    pub region: RegionId,
    /// Address of the interface for other entry processes, `ip:port`.
    pub address: String,
    /// Whether the VM is leaving.
    pub leaving: bool,
}

/// The VM list.
#[derive(Clone, Debug, Default)]
pub struct VmList {
    /// Entry VMs.
    pub entries: Vec<EntryVm>,
    /// Workers.
    pub workers: Vec<WorkerVm>,
    /// Endpoints.
    pub endpoints: Vec<EndpointVm>,
}

/// What identifies one state of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListCursor {
    /// Opaque tag for conditional reads, if the platform gives one.
    pub tag: Option<String>,
    /// Version since which the platform can tell what changed, if it can.
    pub version: Option<String>,
}

/// VMs that changed since an earlier state of the list.
#[derive(Clone, Debug, Default)]
pub struct ListChanges {
    /// Names of all changed and removed VMs.
    pub names: FastSet<VmId>,
    /// The changed VMs as they are now.
    pub changed: VmList,
}

/// Result of a read of the list.
#[derive(Clone, Debug)]
pub enum ListRead {
    /// The list is still the known one.
    Unchanged,
    /// The whole list.
    Whole(VmList, ListCursor),
    /// What changed since the known list.
    Changes(ListChanges, ListCursor),
}

/// The newest list that is known.
#[derive(Clone, Debug, Default)]
pub struct CachedList {
    /// The list.
    pub list: VmList,
    cursor: ListCursor,
}

impl CachedList {
    /// Reads the list and returns whether it changed.
    ///
    /// # Errors
    ///
    /// Returns one line for the log; the list stays as it was.
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
        let ListChanges { names, changed } = changes;
        self.entries.retain(|vm| !names.contains(&vm.vm));
        self.workers.retain(|vm| !names.contains(&vm.vm));
        self.endpoints.retain(|vm| !names.contains(&vm.vm));
        self.entries.extend(changed.entries);
        self.workers.extend(changed.workers);
        self.endpoints.extend(changed.endpoints);
    }
}
