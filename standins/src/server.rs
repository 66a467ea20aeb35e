//! A minimal HTTP/1.1 server for the stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::{HttpService, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Binds a TCP listener and returns it with its local address; port 0 picks a free port.
///
/// # Errors
///
/// Returns the I/O error if the address cannot be bound.
pub async fn bind(address: &str) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let local = listener.local_addr()?;
    Ok((listener, local))
}

/// Answers requests with the handler until the token is cancelled, which also closes open connections.
pub async fn serve<F, R>(listener: TcpListener, token: CancellationToken, handler: F)
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<Bytes>> + 'static,
{
    let (_sender, refuses) = watch::channel(false);
    serve_unless_refused(listener, refuses, token, handler).await;
}

/// Answers requests like [`serve`]. Each change of `refuses` resets the open connections, and new ones are closed
/// at once while it is true.
pub async fn serve_unless_refused<F, R>(
    listener: TcpListener,
    mut refuses: watch::Receiver<bool>,
    token: CancellationToken,
    handler: F,
) where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<Bytes>> + 'static,
{
    let factory = HttpService::build().h1(fn_service(move |request: Request| {
        let response = handler(request);
        async move { Ok::<_, actix_http::Error>(response.await) }
    }));
    let Ok(service) = ServiceFactory::new_service(&factory, ()).await else { return };
    let service = Rc::new(service);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            Some(_) = connections.join_next() => {}
            Ok(()) = refuses.changed() => connections.shutdown().await,
            accepted = listener.accept() => {
                let Ok((stream, address)) = accepted else { continue };
                if *refuses.borrow() {
                    continue;
                }
                let service = service.clone();
                connections.spawn_local(async move {
                    let _ = service.call((stream, Some(address))).await;
                });
            }
        }
    }
}

/// Reads the whole request body; returns `None` if the connection breaks before its end.
pub async fn read_body(request: &mut Request) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
    }
    Some(body.freeze())
}

/// Builds a response with a JSON body.
#[must_use]
pub fn json_response(status: StatusCode, body: &serde_json::Value) -> Response<Bytes> {
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .finish()
        .set_body(Bytes::from(body.to_string()))
}

/// Returns a query parameter; `None` if it is missing or not an unsigned integer.
#[must_use]
pub fn query_number(request: &Request, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let (_, value) =
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?;
    value.parse().ok()
}
