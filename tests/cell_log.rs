//! Test of an entry process whose log lines nobody reads.

mod fixture_platform;

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use fixture_platform::{free_ports, start_platform, write_settings};
use googletest::prelude::*;

/// Refused calls, whose log lines together exceed the 64 KiB that a pipe holds.
const REFUSED_CALLS: usize = 800;
/// Longest wait for the process to start or to end; the platform stops a process by force after 6 s.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

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
    let mut child = Command::new(env!("CARGO_BIN_EXE_godwithaven-entry"))
        .env("GODWITHAVEN_CONFIG", &path)
        .stdout(Stdio::piped())
        .spawn()
        .or_fail()?;
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

    let sent = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
    let ended = await_end(&mut child).await;
    if ended.is_none() {
        child.kill().or_fail()?;
        child.wait().or_fail()?;
    }
    platform.token.cancel();

    verify_that!(refused, eq(REFUSED_CALLS))?;
    verify_that!(sent.is_ok_and(|status| status.success()), eq(true))?;
    verify_that!(ended, some(eq(true)))
}
