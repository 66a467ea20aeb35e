//! The HTTP/1.1 server for clients.

use std::future::Future;
use std::rc::Rc;

use actix_http::{KeepAlive, Response, ServiceConfig};
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::kernel::connections::{ConnectionClass, RequestFault};
use crate::plugins::http::BufferedRequest;
use crate::plugins::http::connection::HttpConnection;
use crate::prelude::*;
use crate::tasks::client_access::ClientAccess;

/// Maximum time that a stopping server waits for its connections to close.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a connection could not be accepted, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Returns the answer to a request that is refused before it takes effect.
pub type RefusalEncoder = fn(RequestFault) -> Response<Bytes>;

/// A listener for clients.
pub struct HttpServer {
    /// Listening socket.
    pub listener: TcpListener,
    /// Listener group of its connections.
    pub class: ConnectionClass,
    /// The way to the connection table, and the limits on each connection.
    pub access: ClientAccess,
    /// Answers requests that are refused.
    pub refuse: RefusalEncoder,
    /// Stops the server; requests that have begun are answered first.
    pub token: CancellationToken,
}

impl HttpServer {
    /// Serves HTTP/1.1 until the token is cancelled, then waits for open connections to close, for at most
    /// `DRAIN_TIMEOUT`.
    pub async fn serve<F, R>(self, handler: F)
    where
        F: Fn(BufferedRequest) -> R + 'static,
        R: Future<Output = Response<Bytes>> + 'static,
    {
        let Self { listener, class, access, refuse, token } = self;
        // The connections keep their own time limits.
        let config = ServiceConfig::new(KeepAlive::Os, Duration::ZERO, Duration::ZERO, false, None);
        let handler = Rc::new(handler);
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                () = token.cancelled() => break,
                Some(_) = connections.join_next() => continue,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, address)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // A connection without a place is closed.
            let Some(lease) = access.open(address.ip(), class).await else { continue };
            let limits = access.limits.clone();
            let stopping = token.clone();
            let connection = HttpConnection::new(stream, config.clone(), lease, limits, refuse, stopping);
            connections.spawn_local(connection.run(handler.clone()));
        }
        drop(listener);
        let drained = async { while connections.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, drained).await;
    }
}
