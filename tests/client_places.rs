//! Tests of how a listener for clients waits for places of connections; no process is started.

use actix_http::Response;
use bytes::Bytes;
use godwithaven::kernel::connections::{ClientLimits, ConnectionClass};
use godwithaven::plugins::http::{BufferedRequest, HttpServer, refuse_without_body};
use godwithaven::tasks::client_access::ClientAccess;
use godwithaven::tasks::connections::ConnectionMessage;
use googletest::prelude::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Returns how many connections have asked for a place by the time one of them gives up, while none gets one.
async fn waiting_for_places(clients: usize) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the address is known");
    let (sender, mut inbox) = mpsc::unbounded_channel();
    let (_limits_sender, limits) = watch::channel(ClientLimits::default());
    let access = ClientAccess { sender, limits };
    let token = CancellationToken::new();
    let (class, refuse) = (ConnectionClass::Caller, refuse_without_body);
    let server = HttpServer { listener, class, access, refuse, token: token.clone() };
    actix_rt::spawn(server.serve(|_: BufferedRequest| async { Response::ok().set_body(Bytes::new()) }));
    let mut streams = Vec::new();
    for _ in 0..clients {
        streams.push(TcpStream::connect(address).await.expect("the listener is bound"));
    }

    let mut replies = Vec::new();
    while let Some(ConnectionMessage::Open(_, _, reply)) = inbox.recv().await {
        replies.push(reply);
    }
    token.cancel();
    replies.len()
}

/// Guards against an ordinary caller that gets no answer because the connections of a crowd before it are admitted
/// one at a time, each after another connection has ended.
#[gtest]
#[actix_rt::test]
async fn connections_wait_for_places_beside_each_other() {
    let count = waiting_for_places(8).await;

    expect_that!(count, eq(8));
}

/// Guards against a crowd that holds a descriptor for each connection that waits for a place.
#[gtest]
#[actix_rt::test]
async fn few_connections_wait_for_places() {
    let count = waiting_for_places(100).await;

    expect_that!(count, le(16));
}
