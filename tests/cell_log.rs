//! Tests of the log lines that an entry process writes to its standard output, and of one whose lines nobody
//! reads.

mod fixture_platform;

use std::io::Read;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fixture_platform::{free_ports, start_platform, write_settings};
use googletest::prelude::*;

/// Refused calls, whose log lines together exceed the 64 KiB that a pipe holds.
const REFUSED_CALLS: usize = 800;
/// Longest wait for the process to start or to end; the platform stops a process by force after 6 s.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of bytes that the collector takes per read.
const READ_BYTES: usize = 8 << 10;
/// Numbered calls of the tests that read the output; each logs a line of about 500 bytes.
const NUMBERED_CALLS: usize = 400;
/// Time after which a reader of datagrams looks whether the process has ended; datagrams have no end of file.
const DATAGRAM_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts an entry process with a settings file.
fn start_entry(settings: &Path, output: impl Into<Stdio>) -> Result<Child> {
    Command::new(env!("CARGO_BIN_EXE_godwithaven-entry"))
        .env("GODWITHAVEN_CONFIG", settings)
        .stdout(output)
        .spawn()
        .or_fail()
}

/// Sends a terminate signal to a process.
fn terminate(child: &Child) -> Result<()> {
    let status = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().or_fail()?;
    verify_that!(status.success(), eq(true))
}

/// Waits for a process to end, and kills it if it does not end in time; returns whether it ended with success.
async fn end_or_kill(child: &mut Child) -> Result<Option<bool>> {
    let ended = await_end(child).await;
    if ended.is_none() {
        child.kill().or_fail()?;
        child.wait().or_fail()?;
    }
    Ok(ended)
}

/// Reads a stream until its end on a thread of its own, at most [`READ_BYTES`] at a time.
fn read_stream(mut stream: impl Read + Send + 'static) -> JoinHandle<Vec<u8>> {
    std::thread::spawn(move || {
        let (mut bytes, mut buffer) = (Vec::new(), [0; READ_BYTES]);
        while let Ok(count @ 1..) = stream.read(&mut buffer) {
            bytes.extend_from_slice(&buffer[..count]);
        }
        bytes
    })
}

/// Reads datagrams on a thread of its own until none is left after the process has ended. Each write to the
/// other end is one datagram, of which the reader sees at most [`READ_BYTES`].
fn read_datagrams(socket: UnixDatagram, ended: Arc<AtomicBool>) -> JoinHandle<Vec<u8>> {
    std::thread::spawn(move || {
        let (mut bytes, mut buffer) = (Vec::new(), [0; READ_BYTES]);
        loop {
            let last_read = ended.load(Ordering::Acquire);
            match socket.recv(&mut buffer) {
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                Err(_) if last_read => return bytes,
                Err(_) => {}
            }
        }
    })
}

/// Returns the path of a numbered call to a queue that does not exist.
fn numbered_path(number: usize) -> String {
    format!("/no/such/queue/{number}/{}", "x".repeat(400))
}

/// Waits until the process refuses calls, then sends the numbered calls one after the other; returns how many
/// of them were refused.
async fn send_numbered_calls(port: u16) -> usize {
    let client = awc::Client::default();
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT && !is_refused(&client, port, "/no/such/queue").await {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut refused = 0;
    for number in 0..NUMBERED_CALLS {
        refused += usize::from(is_refused(&client, port, &numbered_path(number)).await);
    }
    refused
}

/// Sends a call; returns whether it is refused as its queue does not exist.
async fn is_refused(client: &awc::Client, port: u16, path: &str) -> bool {
    let request = client.get(format!("http://127.0.0.1:{port}{path}")).timeout(Duration::from_secs(3));
    request.send().await.is_ok_and(|response| response.status().as_u16() == 404)
}

/// Checks that the output consists of whole lines and has the lines of all numbered calls in their order.
fn verify_lines(output: &[u8]) -> Result<()> {
    let text = std::str::from_utf8(output).or_fail()?;
    let mut numbers = Vec::new();
    let mut broken_lines = 0;
    for line in text.lines() {
        match serde_json::from_str::<serde_json::Value>(line) {
            Ok(object) => numbers.extend(refused_number(&object)),
            Err(_) => broken_lines += 1,
        }
    }
    verify_that!(broken_lines, eq(0))?;
    verify_that!(numbers.len(), eq(NUMBERED_CALLS))?;
    verify_that!(numbers, eq(&(0..NUMBERED_CALLS).collect::<Vec<_>>()))
}

/// Returns the number of the call if the line says that a numbered call is refused.
fn refused_number(line: &serde_json::Value) -> Option<usize> {
    let path = line.get("path").filter(|_| line["message"] == "call is refused")?.as_str()?;
    let number: usize = path.split('/').nth(4)?.parse().ok()?;
    (path == numbered_path(number)).then_some(number)
}

/// Waits for a process to end; returns whether it ended with success, `None` if it did not end in time.
async fn await_end(child: &mut Child) -> Option<bool> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if let Ok(Some(status)) = child.try_wait() {
            return Some(status.success());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    None
}

/// Guards against a process that cannot end because the reader of its standard output is gone or stuck.
#[gtest]
#[actix_rt::test]
async fn a_process_whose_log_nobody_reads_ends() -> Result<()> {
    let platform = start_platform("unread_log", 1).await;
    let port = free_ports(4);
    let path = write_settings(&platform, "e1", port);
    let mut child = start_entry(&path, Stdio::piped())?;
    let client = awc::Client::default();
    let url = format!("http://127.0.0.1:{port}/no/such/queue/{}", "x".repeat(100));
    let started = Instant::now();
    let mut refused = 0;
    while refused < REFUSED_CALLS && started.elapsed() < WAIT_TIMEOUT {
        match client.get(&url).timeout(Duration::from_secs(3)).send().await {
            Ok(response) if response.status().as_u16() == 404 => refused += 1,
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;

    terminate(&child)?;
    let ended = end_or_kill(&mut child).await?;
    platform.token.cancel();

    verify_that!(refused, eq(REFUSED_CALLS))?;
    verify_that!(ended, some(eq(true)))
}

/// Guards against lines that are lost, cut or reordered on a pipe, also those of the moment of a terminate
/// signal.
#[gtest]
#[actix_rt::test]
async fn all_lines_arrive_whole_through_a_pipe() -> Result<()> {
    let platform = start_platform("piped_log", 1).await;
    let port = free_ports(4);
    let mut child = start_entry(&write_settings(&platform, "e1", port), Stdio::piped())?;
    let reader = read_stream(child.stdout.take().or_fail()?);

    let refused = send_numbered_calls(port).await;
    terminate(&child)?;
    let ended = end_or_kill(&mut child).await?;
    platform.token.cancel();
    let output = reader.join().ok().or_fail()?;

    verify_that!(refused, eq(NUMBERED_CALLS))?;
    verify_that!(ended, some(eq(true)))?;
    verify_lines(&output)
}

/// Guards against writes of which a collector that takes at most 8 KiB per write loses lines.
#[gtest]
#[actix_rt::test]
async fn no_line_is_beyond_the_first_bytes_of_a_write() -> Result<()> {
    let platform = start_platform("datagram_log", 1).await;
    let port = free_ports(4);
    let (collector, output) = UnixDatagram::pair().or_fail()?;
    collector.set_read_timeout(Some(DATAGRAM_TIMEOUT)).or_fail()?;
    let process_ended = Arc::new(AtomicBool::new(false));
    let reader = read_datagrams(collector, Arc::clone(&process_ended));
    let mut child = start_entry(&write_settings(&platform, "e1", port), OwnedFd::from(output))?;

    let refused = send_numbered_calls(port).await;
    terminate(&child)?;
    let ended = end_or_kill(&mut child).await?;
    platform.token.cancel();
    process_ended.store(true, Ordering::Release);
    let output = reader.join().ok().or_fail()?;

    verify_that!(refused, eq(NUMBERED_CALLS))?;
    verify_that!(ended, some(eq(true)))?;
    verify_lines(&output)
}
