//! Reads the VM list over HTTP/1.1.

use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::header::{ETAG, IF_NONE_MATCH};
use futures_util::FutureExt;
use serde::Deserialize;

use crate::kernel::{EndpointVm, WorkerVm};
use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::adapter::{AdapterEntry, DirectoryAdapter, DirectoryClient, EntryVm, TaggedList, VmList};

inventory::submit!(AdapterEntry::Directory(DirectoryAdapter { name: "directory_http", connect }));

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

fn connect(address: &str) -> DirectoryClient {
    let client = http::client(1, TIMEOUT);
    let url = format!("http://{address}/vms");
    Rc::new(move |tag| fetch(client.clone(), url.clone(), tag).boxed_local())
}

/// Reads the list unless its tag is still `known`; at 8,000 VMs it has about 1.7 MB.
async fn fetch(
    client: awc::Client,
    url: String,
    known: Option<String>,
) -> Result<Option<TaggedList>, String> {
    let mut request = client.get(url);
    if let Some(known) = known {
        request = request.insert_header((IF_NONE_MATCH, known));
    }
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    if response.status() == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok()).map(str::to_owned);
    let reply = response.json::<ListReply>().limit(LIST_LIMIT).await.map_err(|error| error.to_string())?;
    Ok(Some(TaggedList { list: sort_vms(reply), tag }))
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
                capacity: ResourceVector::new(vm.cores.saturating_mul(1_000), vm.memory_mib, vm.accelerators),
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
