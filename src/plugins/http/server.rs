//! The HTTP/1.1 server for clients.

use std::future::Future;
use std::rc::Rc;

use actix_http::{KeepAlive, Response, ServiceConfig};
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
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
/// Accepted connections that wait for a place at once. With one at a time, a caller behind a crowd waits until each
/// connection of the crowd has displaced another.
const MAX_OPENING: usize = 16;
/// Connections that decode more of a request before other tasks run. Chunks of one byte take thousands of steps a
/// read, so the admission of an ordinary caller would wait for all connections of a crowd at each message.
const DECODING_TURNS: usize = 1;

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
        let (limits, stopping) = (access.limits.clone(), token.clone());
        let turns = Arc::new(Semaphore::new(DECODING_TURNS));
        let connect = |stream, lease| {
            let (config, limits, stopping) = (config.clone(), limits.clone(), stopping.clone());
            HttpConnection::new(stream, config, lease, limits, refuse, stopping, turns.clone())
                .run(handler.clone())
        };
        let mut opening = JoinSet::new();
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                () = token.cancelled() => break,
                Some(_) = connections.join_next() => continue,
                Some(opened) = opening.join_next() => {
                    // A connection without a place is closed.
                    if let Ok(Some((stream, lease))) = opened {
                        connections.spawn_local(connect(stream, lease));
                    }
                    continue;
                }
                accepted = listener.accept(), if opening.len() < MAX_OPENING => accepted,
            };
            let Ok((stream, address)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let access = access.clone();
            opening.spawn_local(async move { Some((stream, access.open(address.ip(), class).await?)) });
        }
        drop(listener);
        let drained = async {
            while let Some(opened) = opening.join_next().await {
                if let Ok(Some((stream, lease))) = opened {
                    connections.spawn_local(connect(stream, lease));
                }
            }
            while connections.join_next().await.is_some() {}
        };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, drained).await;
    }
}
