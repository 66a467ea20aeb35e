//! Directory adapter: reads the platform's list of VMs over HTTP/1.1.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::header::{ETAG, IF_NONE_MATCH};
use futures_util::FutureExt;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::kernel::{EndpointVm, WorkerVm};
use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::adapter::{AdapterEntry, DirectoryAdapter, DirectoryClient};
use crate::tasks::vm_list::{EntryVm, ListChanges, ListCursor, ListRead, VmList};

inventory::submit!(AdapterEntry::Directory(DirectoryAdapter { name: "directory_http", connect }));

/// Time limit until the response head of a read of the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a reply.
const MAX_LIST_BYTES: usize = 64 << 20;

/// The whole list in `vms`, or what `changed` and was `removed` since the version `since`.
///
/// The VMs are parsed one by one, so that an entry that cannot be read does not hide the others.
#[derive(Deserialize)]
struct ListReply {
    #[serde(default)]
    vms: Option<Vec<Box<RawValue>>>,
    #[serde(default)]
    version: Option<String>,
    #[serde(default)]
    since: Option<String>,
    #[serde(default)]
    changed: Vec<Box<RawValue>>,
    #[serde(default)]
    removed: Vec<VmId>,
}

/// The name of a VM, also if the rest of its entry cannot be read.
#[derive(Deserialize)]
struct VmName {
    vm: VmId,
}

#[derive(Deserialize)]
struct ListedVm {
    vm: VmId,
    zone: ZoneId,
    region: RegionId,
    rack: RackId,
    role: String,
    state: String,
    address: SocketAddr,
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
    let client = http::client(1, LIST_TIMEOUT);
    let url = format!("http://{address}/vms");
    Rc::new(move |known| fetch(client.clone(), url.clone(), known).boxed_local())
}

/// Reads the list, or the changes since the known version. The whole list is about 1.7 MB at 8,000 VMs, so it
/// is not transferred again while its tag matches.
///
/// A platform that does not support changes ignores the query and returns no version, so later requests ask
/// it for the whole list.
async fn fetch(client: awc::Client, url: String, known: ListCursor) -> Result<ListRead, String> {
    let url = match &known.version {
        Some(version) => format!("{url}?since={version}"),
        None => url,
    };
    let mut request = client.get(url);
    if let Some(tag) = known.tag {
        request = request.insert_header((IF_NONE_MATCH, tag));
    }
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    if response.status() == StatusCode::NOT_MODIFIED {
        return Ok(ListRead::Unchanged);
    }
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok()).map(str::to_owned);
    let body = http::read_answer(&mut response, MAX_LIST_BYTES).await?;
    let mut reply: ListReply = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let cursor = ListCursor { tag, version: reply.version.take().filter(|version| is_url_safe(version)) };
    if let Some(vms) = reply.vms {
        return Ok(ListRead::Whole(group_by_role(parse_vms(&vms)), cursor));
    }
    if reply.since.is_none() || reply.since != known.version || cursor.version.is_none() {
        return Err("the reply has neither the whole VM list nor changes since the known version".into());
    }
    // A changed VM whose entry cannot be read counts as removed.
    let names = reply.changed.iter().filter_map(|vm| serde_json::from_str::<VmName>(vm.get()).ok());
    let names = names.map(|name| name.vm).chain(reply.removed).collect();
    let changed = group_by_role(parse_vms(&reply.changed));
    Ok(ListRead::Changes(ListChanges { ids: names, changed }, cursor))
}

/// Returns the VMs whose entries can be read; the others are logged and left out.
fn parse_vms(entries: &[Box<RawValue>]) -> Vec<ListedVm> {
    let mut vms = Vec::with_capacity(entries.len());
    for entry in entries {
        match parse_vm(entry) {
            Ok(vm) => vms.push(vm),
            Err(reason) => log::warn!(reason = &*reason; "entry of the VM list is ignored"),
        }
    }
    vms
}

fn parse_vm(entry: &RawValue) -> Result<ListedVm, String> {
    let vm: ListedVm = serde_json::from_str(entry.get()).map_err(|error| error.to_string())?;
    if vm.address.port() == 0 {
        return Err(format!("{} has no port", vm.address));
    }
    let capacity = ResourceVector::new(vm.cores, vm.memory_mib, vm.accelerators);
    match capacity.lacking(ResourceVector::MAX_CAPACITY) {
        Some(dimension) => Err(format!("{} of {} is out of range", dimension, vm.vm)),
        None => Ok(vm),
    }
}

/// Whether a version can be part of a URL without being escaped.
fn is_url_safe(version: &str) -> bool {
    version.bytes().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-'))
}

fn group_by_role(vms: Vec<ListedVm>) -> VmList {
    let mut list = VmList::default();
    for vm in vms {
        let leaving = vm.state != "live";
        let address = vm.address.to_string();
        match vm.role.as_str() {
            "entry" => {
                list.entries.push(EntryVm { vm: vm.vm, region: vm.region, address, leaving });
            }
            "worker" => list.workers.push(WorkerVm {
                vm: vm.vm,
                zone: vm.zone,
                region: vm.region,
                rack: vm.rack,
                address,
                capacity: ResourceVector::new(vm.cores.saturating_mul(1_000), vm.memory_mib, vm.accelerators),
                leaving,
            }),
            "endpoint" => list.endpoints.push(EndpointVm {
                vm: vm.vm,
                zone: vm.zone,
                service: vm.service.into(),
                address,
                slots: vm.slots,
                connections: vm.connections,
                leaving,
            }),
            role => log::debug!(role = role; "ignoring a VM whose role is not entry, worker or endpoint"),
        }
    }
    list
}
