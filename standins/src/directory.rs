//! A VM list that can lag.

use std::net::SocketAddr;

use actix_http::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::server;

/// A VM on the list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
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

/// A running VM list.
#[derive(Clone)]
pub struct DirectoryStandin {
    /// Its address.
    pub address: SocketAddr,
    list: watch::Sender<(u64, Vec<ListedVm>)>,
}

impl DirectoryStandin {
    /// Starts the list on the address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn start(address: &str, token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind(address).await?;
        let (list, seen) = watch::channel((0, Vec::new()));
        actix_rt::spawn(server::serve(listener, token, move |request| {
            std::future::ready(answer(&seen, &request))
        }));
        Ok(Self { address, list })
    }

    /// Changes the list; a test that wants lag calls this late.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ListedVm>)) {
        self.list.send_modify(|(version, list)| {
            *version += 1;
            change(list);
        });
    }
}

fn answer(list: &watch::Receiver<(u64, Vec<ListedVm>)>, request: &Request) -> Response<Bytes> {
    if request.path() != "/vms" {
        return server::json(StatusCode::NOT_FOUND, &json!({ "error": "no such list" }));
    }
    let (version, vms) = list.borrow().clone();
    let tag = format!("\"{version}\"");
    if request.headers().get(IF_NONE_MATCH).is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return Response::with_body(StatusCode::NOT_MODIFIED, Bytes::new());
    }
    let mut response = server::json(StatusCode::OK, &json!({ "vms": vms }));
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}
