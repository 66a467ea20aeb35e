//! Tests of calls to workers and to the store whose answers are lost or lack a part.

mod fixture_cell;
mod fixture_platform;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use fixture_cell::{INCARNATION, start_command, worker};
use fixture_platform::{start_platform, write_settings};
use godwithaven::kernel::cell::{CommandOutcome, StopCommand, TaskKey};
use godwithaven::tasks::adapter::{AdapterEntry, SyncRequest, SyncResult};
use godwithaven::tasks::cell::peer;
use godwithaven::tasks::cell::ports::{AppendOutcome, AppendRequest, CellAdapter, WorkerClient};
use godwithaven_standins::server;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

const TASK: &str = "00000000000000a1.0.0.0";
/// Time limit of a call and duration of a lease.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// An answer that leaves the connection open.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

fn adapter() -> CellAdapter {
    // Every variable counts as set, so the only linked adapter is found.
    CellAdapter::find(|_| Some(String::new())).expect("the adapter is linked").0
}

/// Starts a server that reads each request whole. It answers the first `answered` requests of a connection,
/// and then closes the connection in order, without an answer to the next one.
async fn server_that_loses_answers(answered: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            for _ in 0..answered {
                read_request(&mut stream).await;
                stream.write_all(ANSWER).await.expect("the connection is open");
            }
            read_request(&mut stream).await;
        }
    });
    address
}

/// Reads the head of a request and a body of the length that the head says.
async fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or_default();
            if body.len() >= length {
                return;
            }
        }
        if stream.read_buf(&mut request).await.unwrap_or_default() == 0 {
            return;
        }
    }
}

fn client_of(address: SocketAddr) -> WorkerClient {
    let mut listing = worker("w0");
    listing.address = address.to_string().into();
    (adapter().worker)(&listing)
}

fn stop_command() -> StopCommand {
    StopCommand {
        worker: "w0".into(),
        task: TaskKey::parse(TASK).expect("the name is valid"),
        run: 1,
        reason: "test",
    }
}

/// Appends a record to the store at an address.
async fn append(name: &str, address: SocketAddr) -> AppendOutcome {
    let platform = start_platform(name, 0).await;
    let path = write_settings(&platform, "e1", 1);
    platform.token.cancel();
    let mut settings = (adapter().load)(&path.to_string_lossy()).expect("the settings are valid");
    settings.store_address = address.to_string().into();
    let request = AppendRequest {
        topic: "jobs",
        partition: 0,
        records: vec![Bytes::from_static(b"record")],
        expected_offset: None,
        stamp: None,
        timeout: CALL_TIMEOUT,
    };
    ((adapter().store)(&settings).append)(request).await
}

/// Guards against a task that runs twice: a start whose answer is lost as the worker closes the connection
/// counted as a start that was never sent, and the task was started again at once.
#[gtest]
#[actix_rt::test]
async fn a_command_whose_connection_closes_may_have_been_carried_out() -> Result<()> {
    let on_new_connection = client_of(server_that_loses_answers(0).await);
    let on_used_connection = client_of(server_that_loses_answers(1).await);
    let first = (on_used_connection.start)(start_command(TASK, INCARNATION), 7, Duration::from_secs(1)).await;

    let started =
        (on_new_connection.start)(start_command(TASK, INCARNATION), 7, Duration::from_secs(1)).await;
    let started_again =
        (on_used_connection.start)(start_command(TASK, INCARNATION), 7, Duration::from_secs(1)).await;
    let stopped = (on_new_connection.stop)(stop_command(), 7).await;

    verify_that!(first.outcome, eq(CommandOutcome::Accepted))?;
    verify_that!(started.outcome, eq(CommandOutcome::Unknown))?;
    verify_that!(started_again.outcome, eq(CommandOutcome::Unknown))?;
    verify_that!(stopped.outcome, eq(CommandOutcome::Unknown))
}

/// Guards against a caller that is told that its job was not accepted although the store keeps it: the store
/// closes the connection of an append before the answer.
#[gtest]
#[actix_rt::test]
async fn an_append_whose_connection_closes_may_be_stored() -> Result<()> {
    let address = server_that_loses_answers(0).await;

    let outcome = append("append_closes", address).await;

    verify_that!(outcome, matches_pattern!(AppendOutcome::Unknown(anything())))
}

/// Guards against the opposite mistake: calls to a closed port were certainly not sent, so that the task may
/// start elsewhere, and the caller be refused, at once.
#[gtest]
#[actix_rt::test]
async fn calls_without_a_connection_were_not_sent() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await.or_fail()?;
    let address = listener.local_addr().or_fail()?;
    drop(listener);

    let started =
        (client_of(address).start)(start_command(TASK, INCARNATION), 7, Duration::from_secs(1)).await;
    let stored = append("append_refused", address).await;

    verify_that!(started.outcome, eq(CommandOutcome::NotSent))?;
    verify_that!(stored, matches_pattern!(AppendOutcome::Refused(anything())))
}

/// Guards against tasks of the project's own interface that count as ended: an answer without the list of
/// running tasks was taken for an empty list.
#[gtest]
#[actix_rt::test]
async fn an_answer_without_the_running_tasks_ends_none() -> Result<()> {
    let token = CancellationToken::new();
    let (listener, address) = server::bind("127.0.0.1:0").await.or_fail()?;
    actix_rt::spawn(server::serve(listener, token.clone(), |_| {
        let body = Bytes::from_static(br#"{"token":1,"stamp":"s"}"#);
        std::future::ready(Response::with_body(StatusCode::OK, body))
    }));
    let client = (AdapterEntry::find(AdapterEntry::worker).or_fail()?.connect)(&address.to_string());
    let request = SyncRequest {
        vm: "worker-1".into(),
        token: 1,
        lease: CALL_TIMEOUT,
        stamp: None,
        commands: Vec::new(),
        known_revision: None,
    };

    let result = client(request).await;
    token.cancel();

    verify_that!(matches!(result, SyncResult::Unknown(_)), eq(true))
}

/// Guards against logs in which a refused connection to another process looks like one that timed out.
#[gtest]
#[actix_rt::test]
async fn a_refused_connection_to_another_process_is_named_in_the_reason() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await.or_fail()?;
    let address = listener.local_addr().or_fail()?;
    drop(listener);
    let client = peer::connect(&address.to_string()).or_fail()?;

    let outcome = peer::relay(&client, b"{}", Instant::now() + CALL_TIMEOUT).await;

    verify_that!(outcome, err(contains_substring("refused")))
}
