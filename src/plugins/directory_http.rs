//! Reads the VM list over HTTP/1.1.

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;

use crate::kernel::{EndpointVm, WorkerVm};
use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::adapter::{AdapterEntry, DirectoryAdapter, EntryVm, VmList};

inventory::submit!(AdapterEntry::Directory(DirectoryAdapter { name: "directory_http", fetch }));

/// Longest wait for the list.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Largest list in bytes.
const LIST_LIMIT: usize = 64 << 20;

#[derive(Deserialize)]
struct ListReply {
    vms: Vec<ListedVm>,
}

#[derive(Deserialize)]
struct ListedVm {
    vm: VmId,
    zone: ZoneId,
    region: RegionId,
    rack: RackId,
    role: String,
    state: String,
    address: String,
    #[serde(default)]
    cores: u64,
    #[serde(default)]
    memory_mib: u64,
    #[serde(default)]
    accelerators: u64,
    #[serde(default)]
    service: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    connections: u32,
}

fn fetch(address: &str) -> LocalBoxFuture<'static, Result<VmList, String>> {
    let url = format!("http://{address}/vms");
    async move {
        let client = http::client(1, TIMEOUT);
        let mut response = client.get(url).send().await.map_err(|error| error.to_string())?;
        let reply =
            response.json::<ListReply>().limit(LIST_LIMIT).await.map_err(|error| error.to_string())?;
        Ok(sort_vms(reply))
    }
    .boxed_local()
}

fn sort_vms(reply: ListReply) -> VmList {
    let mut list = VmList::default();
    for vm in reply.vms {
        let leaving = vm.state != "live";
        match vm.role.as_str() {
            "entry" => list.entries.push(EntryVm { vm: vm.vm, address: vm.address, leaving }),
            "worker" => list.workers.push(WorkerVm {
                vm: vm.vm,
                zone: vm.zone,
                region: vm.region,
                rack: vm.rack,
                address: vm.address,
                capacity: ResourceVector::new(vm.cores * 1_000, vm.memory_mib, vm.accelerators),
                leaving,
            }),
            "endpoint" => list.endpoints.push(EndpointVm {
                vm: vm.vm,
                zone: vm.zone,
                service: vm.service.into(),
                address: vm.address,
                slots: vm.slots,
                connections: vm.connections,
                leaving,
            }),
            role => log::debug!(role = role; "VM of another role ignored"),
        }
    }
    list
}
