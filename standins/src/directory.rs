//! The directory service: a VM list with versions, tags and change sets, which can be rolled back to an
//! earlier version.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

use actix_http::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::server;

/// An entry of the VM list, with the field names of its JSON form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default)]
pub struct ListedVm {
    /// Unique name of the VM.
    pub vm: String,
    /// Availability zone that the VM is in.
    pub zone: String,
    /// Region that the availability zone belongs to.
    pub region: String,
    /// Rack within the availability zone.
    pub rack: String,
    /// Role of the VM: `entry`, `worker` or `endpoint`.
    pub role: String,
    /// State of the VM: `live` or `leaving`.
    pub state: String,
    /// Host and port: the peer port of an entry VM, otherwise the HTTP port.
    pub address: String,
    /// Whole cores of a worker; 0 for other roles.
    pub cores: u64,
    /// Memory of a worker in MiB; 0 for other roles.
    pub memory_mib: u64,
    /// Accelerators of a worker; 0 for other roles.
    pub accelerators: u64,
    /// Name of the service that an endpoint serves; empty for other roles.
    pub service: String,
    /// Requests that an endpoint runs at once; 0 for other roles.
    pub slots: u32,
    /// Connections that an endpoint accepts; 0 for other roles.
    pub connections: u32,
}

/// Versions of the list that are kept, the present one included; changes can be requested only since one of
/// these.
const MAX_KEPT_VERSIONS: usize = 16;

/// Forms in which callers can read the list; a platform can lack tags or versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSupport {
    /// The whole list only, without tag or version.
    Whole,
    /// The whole list, and conditional reads by tag.
    Tags,
    /// Also the changes since a version.
    Changes,
}

/// The kept versions of the list and how callers can read it.
#[derive(Clone)]
struct ListHistory {
    /// Start of the service in Unix nanoseconds. It is part of each version, so that a restarted service
    /// does not take a version of its predecessor for its own.
    incarnation: u128,
    /// Number of the present version, counted from 0 at the start of the service.
    number: u64,
    /// Oldest first, the present one last.
    versions: VecDeque<Arc<Vec<ListedVm>>>,
    support: ListSupport,
}

/// A running directory service.
#[derive(Clone)]
pub struct DirectoryStandin {
    /// Address of its HTTP server, which serves the list at `/vms`.
    pub address: SocketAddr,
    history: watch::Sender<ListHistory>,
}

impl DirectoryStandin {
    /// Starts the service with an empty list; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn start(address: &str, token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind(address).await?;
        let incarnation = SystemTime::UNIX_EPOCH.elapsed().map_or(0, |age| age.as_nanos());
        let versions = VecDeque::from([Arc::default()]);
        let (history, receiver) =
            watch::channel(ListHistory { incarnation, number: 0, versions, support: ListSupport::Changes });
        actix_rt::spawn(server::serve(listener, token, move |request| {
            std::future::ready(answer(&receiver.borrow(), &request))
        }));
        Ok(Self { address, history })
    }

    /// Changes the list, which makes a new version. A test simulates a list that lags by calling this late.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ListedVm>)) {
        self.history.send_modify(|history| {
            let mut vms = history.vms().to_vec();
            change(&mut vms);
            history.number += 1;
            history.versions.push_back(Arc::new(vms));
            if history.versions.len() > MAX_KEPT_VERSIONS {
                history.versions.pop_front();
            }
        });
    }

    /// Discards the newest versions, as if a replica that lags answered. A later change builds on the version
    /// left and, unlike on a lagging replica, reuses the number of a discarded version for another list.
    pub fn roll_back(&self, versions: usize) {
        self.history.send_modify(|history| {
            for _ in 0..versions {
                history.versions.pop_back();
                history.number -= 1;
            }
        });
    }

    /// Sets the forms in which callers can read the list.
    pub fn set_support(&self, support: ListSupport) {
        self.history.send_modify(|history| history.support = support);
    }
}

impl ListHistory {
    fn vms(&self) -> &[ListedVm] {
        self.versions.back().map_or(&[], |vms| vms.as_slice())
    }

    fn version(&self) -> String {
        format!("{}.{}", self.incarnation, self.number)
    }

    /// Returns the list at a version; `None` if this service did not issue the version or no longer keeps it.
    fn list_at(&self, version: &str) -> Option<&[ListedVm]> {
        let (incarnation, number) = version.split_once('.')?;
        let age = self
            .number
            .checked_sub(number.parse().ok()?)
            .filter(|_| incarnation == self.incarnation.to_string())?;
        let index = self.versions.len().checked_sub(1 + usize::try_from(age).ok()?)?;
        self.versions.get(index).map(|vms| vms.as_slice())
    }

    /// Returns the VMs that were added, changed or removed since a version; `None` if that version is
    /// unknown.
    fn changes(&self, since: &str) -> Option<serde_json::Value> {
        let previous: HashMap<&str, &ListedVm> =
            self.list_at(since)?.iter().map(|vm| (&*vm.vm, vm)).collect();
        let current: HashMap<&str, &ListedVm> = self.vms().iter().map(|vm| (&*vm.vm, vm)).collect();
        let changed: Vec<_> = current.values().filter(|vm| previous.get(&*vm.vm) != Some(vm)).collect();
        let removed: Vec<_> = previous.keys().filter(|name| !current.contains_key(*name)).collect();
        Some(json!({ "since": since, "version": self.version(), "changed": changed, "removed": removed }))
    }
}

fn answer(history: &ListHistory, request: &Request) -> Response<Bytes> {
    if request.path() != "/vms" {
        return server::json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such list" }));
    }
    if history.support == ListSupport::Whole {
        return server::json_response(StatusCode::OK, &json!({ "vms": history.vms() }));
    }
    let tag = format!("\"{}\"", history.version());
    if request.headers().get(IF_NONE_MATCH).is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return Response::with_body(StatusCode::NOT_MODIFIED, Bytes::new());
    }
    let mut response = match history.support {
        ListSupport::Changes => {
            server::json_response(StatusCode::OK, &changes_or_whole_list(history, request))
        }
        _ => server::json_response(StatusCode::OK, &json!({ "vms": history.vms() })),
    };
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

/// Returns the changes since the version that the request names, or the whole list if that version is
/// unknown.
fn changes_or_whole_list(history: &ListHistory, request: &Request) -> serde_json::Value {
    let query = request.uri().query().unwrap_or_default();
    let since = query.split('&').find_map(|pair| pair.strip_prefix("since="));
    let whole = || json!({ "version": history.version(), "vms": history.vms() });
    since.and_then(|since| history.changes(since)).unwrap_or_else(whole)
}
