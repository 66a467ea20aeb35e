//! Entry processes over sockets against the fakes of the platform: whole sessions of callers.

mod fixture_platform;

use std::time::{Duration, Instant};

use fixture_platform::{Platform, RunTally, free_ports, job, platform, settings};
use godwithaven::tasks::cell::ports::CellAdapter;
use godwithaven::tasks::cell::process::CellProcess;
use googletest::prelude::*;
use serde_json::Value;

/// Longest wait for what a session expects; far above what it takes, as machines may be busy.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts an entry process and returns it with the address for callers.
async fn entry(platform: &Platform, name: &str) -> (CellProcess, String) {
    let first = free_ports(4);
    let path = settings(platform, name, first);
    let (adapter, _) = CellAdapter::find(|_| Some(String::new())).expect("the adapter is linked");
    let settings = (adapter.load)(&path.to_string_lossy()).expect("the settings are valid");
    let process = CellProcess::start(adapter, settings).await.expect("the ports are free");
    (process, format!("http://127.0.0.1:{first}"))
}

/// Calls until the answer has one of the statuses, and returns it.
async fn call(method: &str, url: &str, body: Option<Value>, wanted: &[u16]) -> (u16, Value) {
    let client = awc::Client::default();
    let started = Instant::now();
    loop {
        let request = client.request(method.parse().expect("a method"), url).timeout(Duration::from_secs(3));
        let request = request.insert_header(("Host", "host.example")).insert_header(("Api-Key", "secret"));
        let sent = match &body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        if let Ok(mut response) = sent {
            let status = response.status().as_u16();
            let body = response.body().await.unwrap_or_default();
            let body = serde_json::from_slice(&body).unwrap_or_default();
            if wanted.contains(&status) || started.elapsed() > ANSWER_TIMEOUT {
                return (status, body);
            }
        }
        assert!(started.elapsed() < ANSWER_TIMEOUT, "no answer from {url}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Waits until a job has the state, and returns the state that it has.
async fn await_state(url: &str, wanted: &str) -> String {
    let started = Instant::now();
    loop {
        let (_, body) = call("GET", url, None, &[200, 410]).await;
        let state = body["state"].as_str().unwrap_or("gone").to_owned();
        if state == wanted || started.elapsed() > ANSWER_TIMEOUT {
            return state;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards the whole path: a call is stored, its tasks run in order and its state is told at any process.
#[gtest]
#[actix_rt::test]
async fn a_job_runs_and_every_process_tells_its_state() -> Result<()> {
    let mut platform = platform("whole_path", 2).await;
    let (_first, near) = entry(&platform, "e1").await;
    let (_second, far) = entry(&platform, "e2").await;
    let path = "/jobs/00000000000000a1";

    let (accepted, _) = call("POST", &format!("{near}{path}"), Some(job("ms=50")), &[200]).await;
    let (repeated, _) = call("POST", &format!("{far}{path}"), Some(job("ms=50")), &[200]).await;
    let state = await_state(&format!("{far}{path}"), "completed").await;
    let (unknown, _) = call("GET", &format!("{near}/jobs/00000000000000ff"), None, &[410]).await;
    let (pending_status, pending) = call("GET", &format!("{far}/jobs/"), None, &[200]).await;
    let (no_queue, _) = call("GET", &format!("{near}/other/00000000000000a1"), None, &[404]).await;
    let (bad, _) = call("POST", &format!("{near}/jobs/xyz"), Some(job("")), &[400]).await;
    let tally = RunTally::of(&mut platform.events);
    platform.token.cancel();

    verify_that!((accepted, repeated), eq((200, 200)))?;
    verify_that!(state, eq("completed"))?;
    verify_that!((unknown, no_queue, bad), eq((410, 404, 400)))?;
    verify_that!((pending_status, pending["pending"].as_u64()), eq((200, Some(0))))?;
    verify_that!(tally.doubled, is_empty())
}

/// Guards against a job that is lost or run twice when its owner stops and another process takes over.
#[gtest]
#[actix_rt::test]
async fn a_job_goes_on_when_its_owner_stops() -> Result<()> {
    let mut platform = platform("owner_stops", 2).await;
    let (first, near) = entry(&platform, "e1").await;
    let path = "/jobs/00000000000000b1";
    call("POST", &format!("{near}{path}"), Some(job("ms=1500")), &[200]).await;
    let running = await_state(&format!("{near}{path}"), "running").await;
    let (_second, far) = entry(&platform, "e2").await;

    first.stop().await;
    let state = await_state(&format!("{far}{path}"), "completed").await;
    let tally = RunTally::of(&mut platform.events);
    platform.token.cancel();

    verify_that!(running, eq("running"))?;
    verify_that!(state, eq("completed"))?;
    verify_that!(tally.doubled, is_empty())
}

/// Guards against jobs that are accepted without being stored, and against running work that an outage breaks off.
#[gtest]
#[actix_rt::test]
async fn an_outage_of_the_store_refuses_calls_and_breaks_nothing_off() -> Result<()> {
    let mut platform = platform("store_down", 1).await;
    let (_process, near) = entry(&platform, "e1").await;
    let url = |id: &str| format!("{near}/jobs/{id}");
    call("POST", &url("00000000000000c1"), Some(job("ms=300")), &[200]).await;
    await_state(&url("00000000000000c1"), "running").await;

    platform.store.set_down(true);
    let (refused, _) = call("POST", &url("00000000000000c2"), Some(job("ms=10")), &[503]).await;
    platform.store.set_down(false);
    let kept = await_state(&url("00000000000000c1"), "completed").await;
    let (status, _) = call("GET", &url("00000000000000c2"), None, &[410]).await;
    let tally = RunTally::of(&mut platform.events);
    platform.token.cancel();

    verify_that!(refused, eq(503))?;
    verify_that!(kept, eq("completed"))?;
    verify_that!(status, eq(410))?;
    verify_that!(tally.doubled, is_empty())
}

/// Guards against settings that are only partly checked, so that an operator mends them one by one.
#[gtest]
fn a_settings_file_reports_all_its_faults_at_once() -> Result<()> {
    let (adapter, _) = CellAdapter::find(|_| Some(String::new())).or_fail()?;
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("faults.conf");
    std::fs::write(&path, "node=e1\nlisten.front=nowhere\ninternal_ports=9\nseeds=x\n")?;

    let fault = (adapter.load)(&path.to_string_lossy()).err().or_fail()?.to_string();

    for part in
        ["zone is missing", "listen.front=nowhere", "internal_ports=9", "seeds: x", "platform.address"]
    {
        verify_that!(fault, contains_substring(part))?;
    }
    Ok(())
}

/// Guards against entries of other writers that are taken for workers or configurations.
#[gtest]
fn foreign_records_name_no_worker_and_no_configuration() -> Result<()> {
    let (adapter, _) = CellAdapter::find(|_| Some(String::new())).or_fail()?;
    let entries: [&[u8]; 4] = [
        b"\xff\xfe",
        br#"{"service":"s"}"#,
        br#"{"service":"s","address":"a","zone":"z","state":"resting","capacity":{}}"#,
        br#"{"service":5,"address":"a","zone":"z","state":"ready","capacity":{}}"#,
    ];

    let listed = entries.iter().filter(|entry| (adapter.parse_worker_listing)("w", entry).is_ok()).count();
    let configured = (adapter.parse_operator_change)("config", b"{\"version\":\"x\"}").is_ok();

    verify_that!((listed, configured), eq((0, false)))
}
