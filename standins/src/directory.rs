//! A VM list that can lag.

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

/// A VM on the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Its rack.
    pub rack: String,
    /// `entry`, `worker` or `endpoint`.
    pub role: String,
    /// `live` or `leaving`.
    pub state: String,
    /// Address of its interface.
    pub address: String,
    /// Whole cores of a worker.
    pub cores: u64,
    /// MiB of memory of a worker.
    pub memory_mib: u64,
    /// Accelerators of a worker.
    pub accelerators: u64,
    /// Service of an endpoint.
    pub service: String,
    /// Slots of an endpoint.
    pub slots: u32,
    /// Connections of an endpoint.
    pub connections: u32,
}

/// Earlier versions whose changes are still known.
const KEPT_VERSIONS: usize = 16;

/// What callers may read; a platform can lack tags or versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSupport {
    /// Whole lists only.
    Whole,
    /// Whole lists and conditional reads by tag.
    Tags,
    /// Also changes since a version.
    Changes,
}

/// The newest versions of the list, the present one last.
#[derive(Clone)]
struct ListHistory {
    /// Differs between two lives of the list service, so that their versions are not mixed up.
    life: u128,
    number: u64,
    versions: VecDeque<Arc<Vec<ListedVm>>>,
    support: ListSupport,
}

/// A running VM list.
#[derive(Clone)]
pub struct DirectoryStandin {
    /// Its address.
    pub address: SocketAddr,
    history: watch::Sender<ListHistory>,
}

impl DirectoryStandin {
    /// Starts the list on the address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn start(address: &str, token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind(address).await?;
        let life = SystemTime::UNIX_EPOCH.elapsed().map_or(0, |age| age.as_nanos());
        let versions = VecDeque::from([Arc::default()]);
        let (history, seen) =
            watch::channel(ListHistory { life, number: 0, versions, support: ListSupport::Changes });
        actix_rt::spawn(server::serve(listener, token, move |request| {
            std::future::ready(answer(&seen.borrow(), &request))
        }));
        Ok(Self { address, history })
    }

    /// Changes the list; a test that wants lag calls this late.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ListedVm>)) {
        self.history.send_modify(|history| {
            let mut vms = history.vms().to_vec();
            change(&mut vms);
            history.number += 1;
            history.versions.push_back(Arc::new(vms));
            if history.versions.len() > KEPT_VERSIONS {
                history.versions.pop_front();
            }
        });
    }

    /// Goes back by some kept versions, as when a replica that lags answers; a later change starts from there.
    pub fn go_back(&self, versions: usize) {
        self.history.send_modify(|history| {
            for _ in 0..versions {
                history.versions.pop_back();
                history.number -= 1;
            }
        });
    }

    /// Sets what callers may read.
    pub fn set_support(&self, support: ListSupport) {
        self.history.send_modify(|history| history.support = support);
    }
}

impl ListHistory {
    fn vms(&self) -> &[ListedVm] {
        self.versions.back().map_or(&[], |vms| vms.as_slice())
    }

    fn version(&self) -> String {
        format!("{}.{}", self.life, self.number)
    }

    /// Returns the list at a version, if it is still known.
    fn at(&self, version: &str) -> Option<&[ListedVm]> {
        let (life, number) = version.split_once('.')?;
        let age = self.number.checked_sub(number.parse().ok()?).filter(|_| life == self.life.to_string())?;
        let index = self.versions.len().checked_sub(1 + usize::try_from(age).ok()?)?;
        self.versions.get(index).map(|vms| vms.as_slice())
    }

    fn changes(&self, since: &str) -> Option<serde_json::Value> {
        let old: HashMap<&str, &ListedVm> = self.at(since)?.iter().map(|vm| (&*vm.vm, vm)).collect();
        let named: HashMap<&str, &ListedVm> = self.vms().iter().map(|vm| (&*vm.vm, vm)).collect();
        let changed: Vec<_> = named.values().filter(|vm| old.get(&*vm.vm) != Some(vm)).collect();
        let removed: Vec<_> = old.keys().filter(|name| !named.contains_key(*name)).collect();
        Some(json!({ "since": since, "version": self.version(), "changed": changed, "removed": removed }))
    }
}

fn answer(history: &ListHistory, request: &Request) -> Response<Bytes> {
    if request.path() != "/vms" {
        return server::json(StatusCode::NOT_FOUND, &json!({ "error": "no such list" }));
    }
    if history.support == ListSupport::Whole {
        return server::json(StatusCode::OK, &json!({ "vms": history.vms() }));
    }
    let tag = format!("\"{}\"", history.version());
    if request.headers().get(IF_NONE_MATCH).is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return Response::with_body(StatusCode::NOT_MODIFIED, Bytes::new());
    }
    let mut response = match history.support {
        ListSupport::Changes => server::json(StatusCode::OK, &versioned(history, request)),
        _ => server::json(StatusCode::OK, &json!({ "vms": history.vms() })),
    };
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

/// Returns what changed since the version that the request names, or the whole list if that is unknown.
fn versioned(history: &ListHistory, request: &Request) -> serde_json::Value {
    let query = request.uri().query().unwrap_or_default();
    let since = query.split('&').find_map(|pair| pair.strip_prefix("since="));
    let whole = || json!({ "version": history.version(), "vms": history.vms() });
    since.and_then(|since| history.changes(since)).unwrap_or_else(whole)
}
