//! Tests of services of the platform that send a part of an answer and then fall silent.

use std::time::Duration;

use godwithaven::tasks::adapter::{AdapterEntry, SyncRequest, SyncResult};
use godwithaven::tasks::vm_list::ListCursor;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Far above the time limits of the adapters, which are 8 s at most.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves the head and the first bytes of an answer on each connection, and nothing after them; returns the
/// address.
async fn serve_stalled(token: CancellationToken) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    actix_rt::spawn(async move {
        let mut streams = Vec::new();
        loop {
            let accepted = tokio::select! {
                () = token.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((mut stream, _)) = accepted else { continue };
            let mut request = [0; 4_096];
            let head =
                b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 100\r\n\r\n{\"a";
            let begun = stream.read(&mut request).await.is_ok() && stream.write_all(head).await.is_ok();
            assert!(begun, "the answer can be begun");
            streams.push(stream);
        }
    });
    address
}

/// Guards against a read that never ends, so that a process stops following the log, the VM list or a worker.
#[gtest]
#[actix_rt::test]
async fn an_answer_whose_body_stalls_is_a_failure() -> Result<()> {
    let token = CancellationToken::new();
    let address = serve_stalled(token.clone()).await;
    let log = (AdapterEntry::find(AdapterEntry::log).or_fail()?.connect)(&address);
    let list = (AdapterEntry::find(AdapterEntry::directory).or_fail()?.connect)(&address);
    let sync = (AdapterEntry::find(AdapterEntry::worker).or_fail()?.connect)(&address);
    let request = SyncRequest {
        vm: "w".into(),
        token: 7,
        lease: Duration::from_secs(1),
        stamp: None,
        commands: Vec::new(),
        known_revision: None,
    };

    let (read, listed, synced) = tokio::join!(
        tokio::time::timeout(TEST_TIMEOUT, (log.read)(0, Duration::ZERO)),
        tokio::time::timeout(TEST_TIMEOUT, list(ListCursor::default())),
        tokio::time::timeout(TEST_TIMEOUT, sync(request)),
    );
    token.cancel();

    verify_that!(read.map(|page| page.is_err()), ok(eq(&true)))?;
    verify_that!(listed.map(|list| list.is_err()), ok(eq(&true)))?;
    verify_that!(synced.map(|result| matches!(result, SyncResult::Unknown(_))), ok(eq(&true)))
}
