//! End-to-end tests of entry processes that serve a cell, over sockets and against stand-ins for the
//! platform.

mod fixture_platform;

use std::time::{Duration, Instant};

use fixture_platform::{Platform, RunTally, free_ports, job, start_platform, write_settings};
use godwithaven::tasks::cell::ports::CellAdapter;
use godwithaven::tasks::cell::process::CellProcess;
use googletest::prelude::*;
use serde_json::{Value, json};

/// Longest wait for an expected answer or state; far above the usual time, as test machines may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts an entry process; returns it with the base URL of its front end.
async fn start_entry(platform: &Platform, name: &str) -> (CellProcess, String) {
    let first = free_ports(4);
    let path = write_settings(platform, name, first);
    // Every variable counts as set, so the only linked adapter is found.
    let (adapter, _) = CellAdapter::find(|_| Some(String::new())).expect("the adapter is linked");
    let settings = (adapter.load)(&path.to_string_lossy()).expect("the settings are valid");
    let process = CellProcess::start(adapter, settings).await.expect("the ports are free");
    (process, format!("http://127.0.0.1:{first}"))
}

/// Repeats a call until the answer has one of the expected statuses or time runs out; returns the last status
/// and body.
async fn call(method: &str, url: &str, body: Option<Value>, expected: &[u16]) -> (u16, Value) {
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
            if expected.contains(&status) || started.elapsed() > WAIT_TIMEOUT {
                return (status, body);
            }
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "no answer from {url}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Polls until a job has the expected state or time runs out; returns its last state.
async fn await_state(url: &str, expected: &str) -> String {
    let started = Instant::now();
    loop {
        let (_, body) = call("GET", url, None, &[200, 410]).await;
        let state = body["state"].as_str().unwrap_or("gone").to_owned();
        if state == expected || started.elapsed() > WAIT_TIMEOUT {
            return state;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a job whose tasks run twice after its submission was repeated through another process,
/// against a process that does not report the state of a job that another one accepted, and against wrong
/// statuses for unknown jobs, unknown queues and invalid job ids.
#[gtest]
#[actix_rt::test]
async fn a_job_completes_and_every_process_reports_its_state() -> Result<()> {
    let mut platform = start_platform("whole_path", 2).await;
    let (_first, first_url) = start_entry(&platform, "e1").await;
    let (_second, second_url) = start_entry(&platform, "e2").await;
    let path = "/jobs/00000000000000a1";

    let (accepted, _) = call("POST", &format!("{first_url}{path}"), Some(job("ms=50")), &[200]).await;
    let (repeated, _) = call("POST", &format!("{second_url}{path}"), Some(job("ms=50")), &[200]).await;
    let state = await_state(&format!("{second_url}{path}"), "completed").await;
    let (unknown, _) = call("GET", &format!("{first_url}/jobs/00000000000000ff"), None, &[410]).await;
    let (pending_status, pending) = call("GET", &format!("{second_url}/jobs/"), None, &[200]).await;
    let (no_queue, _) = call("GET", &format!("{first_url}/other/00000000000000a1"), None, &[404]).await;
    let (bad, _) = call("POST", &format!("{first_url}/jobs/xyz"), Some(job("")), &[400]).await;
    let tally = RunTally::of(&mut platform.events);
    platform.token.cancel();

    verify_that!((accepted, repeated), eq((200, 200)))?;
    verify_that!(state, eq("completed"))?;
    verify_that!((unknown, no_queue, bad), eq((410, 404, 400)))?;
    verify_that!((pending_status, pending["pending"].as_u64()), eq((200, Some(0))))?;
    verify_that!(tally.duplicated, is_empty())
}

/// Guards against a forecast that only works beside the process, or that submits the job.
#[gtest]
#[actix_rt::test]
async fn a_running_owner_forecasts_a_job_without_submitting_it() -> Result<()> {
    let platform = start_platform("forecast", 2).await;
    let (_process, url) = start_entry(&platform, "e1").await;
    let path = "/jobs/00000000000000c1";
    // The owner is there once it answers a query.
    call("GET", &format!("{url}{path}"), None, &[410]).await;
    let port: u16 = url.rsplit(':').next().unwrap_or_default().parse()?;
    // The last of the four ports serves the operators' pages.
    let operators = format!("http://127.0.0.1:{}/v1/forecast", port + 3);
    let question = |key: &str| {
        let job = job("ms=50").to_string();
        serde_json::json!({ "host": "host.example", "path": path, "key": key, "job": job })
    };

    let (forecast_status, forecast) = call("POST", &operators, Some(question("secret")), &[200]).await;
    let (refused_status, refused) = call("POST", &operators, Some(question("other")), &[409]).await;
    let (unknown, _) = call("GET", &format!("{url}{path}"), None, &[410]).await;
    platform.token.cancel();

    verify_that!((forecast_status, refused_status, unknown), eq((200, 409, 410)))?;
    verify_that!(forecast["steps"].as_array().map(Vec::len), some(ge(1)))?;
    verify_that!(refused["error"], eq(&Value::from("refused: unknown key")))
}

/// Guards against a job that is lost, or whose tasks run twice, when its owner stops and another process
/// takes over.
#[gtest]
#[actix_rt::test]
async fn a_job_goes_on_when_its_owner_stops() -> Result<()> {
    let mut platform = start_platform("owner_stops", 2).await;
    let (first, first_url) = start_entry(&platform, "e1").await;
    let path = "/jobs/00000000000000b1";
    call("POST", &format!("{first_url}{path}"), Some(job("ms=1500")), &[200]).await;
    let running = await_state(&format!("{first_url}{path}"), "running").await;
    let (_second, second_url) = start_entry(&platform, "e2").await;

    first.stop().await;
    let state = await_state(&format!("{second_url}{path}"), "completed").await;
    let tally = RunTally::of(&mut platform.events);
    platform.token.cancel();

    verify_that!(running, eq("running"))?;
    verify_that!(state, eq("completed"))?;
    verify_that!(tally.duplicated, is_empty())
}

/// Guards against jobs that are accepted without being stored during an outage of the store, and against an
/// outage that interrupts running tasks.
#[gtest]
#[actix_rt::test]
async fn a_store_outage_refuses_calls_and_interrupts_no_run() -> Result<()> {
    let mut platform = start_platform("store_down", 1).await;
    let (_process, base_url) = start_entry(&platform, "e1").await;
    let url = |id: &str| format!("{base_url}/jobs/{id}");
    call("POST", &url("00000000000000c1"), Some(job("ms=300")), &[200]).await;
    await_state(&url("00000000000000c1"), "running").await;

    platform.store.set_down(true);
    let (refused, _) = call("POST", &url("00000000000000c2"), Some(job("ms=10")), &[503]).await;
    platform.store.set_down(false);
    let final_state = await_state(&url("00000000000000c1"), "completed").await;
    let (status, _) = call("GET", &url("00000000000000c2"), None, &[410]).await;
    let tally = RunTally::of(&mut platform.events);
    platform.token.cancel();

    verify_that!(refused, eq(503))?;
    verify_that!(final_state, eq("completed"))?;
    verify_that!(status, eq(410))?;
    verify_that!(tally.duplicated, is_empty())
}

/// Guards against one submission that the store does not take and that makes the process refuse every other
/// call for as long as it repeats the append: one whose body has a legal size and whose record has not. A body
/// over the limit is refused before that.
#[gtest]
#[actix_rt::test]
async fn a_submission_too_large_for_the_store_is_refused_alone() -> Result<()> {
    let platform = start_platform("large_submission", 1).await;
    let (_process, base_url) = start_entry(&platform, "e1").await;
    let url = |id: &str| format!("{base_url}/jobs/{id}");
    call("POST", &url("00000000000000d1"), Some(job("ms=10")), &[200]).await;

    let large_url = url("00000000000000d2");
    // Steps take five times as many bytes in the record as in the body.
    let steps = vec![json!({"count": 1, "cpu": 1}); 400];
    let large_record = json!({"spec": "x".repeat(240_000), "steps": steps});
    let large = call("POST", &large_url, Some(large_record), &[200, 400, 503]);
    let small_url = url("00000000000000d3");
    let small = call("POST", &small_url, Some(job("ms=10")), &[200, 503, 504]);
    let ((large, _), (small, _)) = tokio::join!(large, small);
    let (state, _) = call("GET", &url("00000000000000d2"), None, &[200, 410]).await;
    let (oversized, _) =
        call("POST", &large_url, Some(job(&"x".repeat(300_000))), &[200, 400, 413, 503]).await;
    let (oversized_state, _) = call("GET", &url("00000000000000d2"), None, &[200, 410]).await;
    platform.token.cancel();

    verify_that!((large, small), eq((400, 200)))?;
    verify_that!((state, oversized_state), eq((410, 410)))?;
    verify_that!(oversized, eq(413))
}

/// Guards against a check of the settings that stops at the first fault, so that operators find them one by
/// one.
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

/// Guards against malformed records that other writers left in the shared topics and that are accepted as
/// workers or configurations.
#[gtest]
fn invalid_records_yield_no_worker_and_no_configuration() -> Result<()> {
    let (adapter, _) = CellAdapter::find(|_| Some(String::new())).or_fail()?;
    let registrations: [&[u8]; 4] = [
        b"\xff\xfe",
        br#"{"service":"s"}"#,
        br#"{"service":"s","address":"a","zone":"z","state":"resting","capacity":{}}"#,
        br#"{"service":5,"address":"a","zone":"z","state":"ready","capacity":{}}"#,
    ];

    let listed =
        registrations.iter().filter(|value| (adapter.parse_worker_registration)("w", value).is_ok()).count();
    let configured = (adapter.parse_operator_change)("config", b"{\"version\":\"x\"}").is_ok();

    verify_that!((listed, configured), eq((0, false)))
}

/// Guards against an account of past use that cannot be switched off, and against a half-life that is ignored because
/// it cannot be read.
#[gtest]
#[actix_rt::test]
async fn the_settings_give_the_half_life_of_past_use() -> Result<()> {
    let platform = start_platform("half_life", 0).await;
    platform.token.cancel();
    let path = write_settings(&platform, "e1", 1);
    let text = std::fs::read_to_string(&path)?;
    let (adapter, _) = CellAdapter::find(|_| Some(String::new())).or_fail()?;
    let load = |line: &str| {
        std::fs::write(&path, format!("{text}{line}\n")).expect("the file can be written");
        let settings = (adapter.load)(&path.to_string_lossy());
        settings.map(|settings| settings.usage_half_life).map_err(|fault| fault.text)
    };

    let (usual, off) = (load(""), load("usage.half_life_s=0"));
    let (minute, malformed) = (load("usage.half_life_s=60"), load("usage.half_life_s=-1"));

    verify_that!(usual, ok(eq(&Duration::from_secs(4 * 3_600))))?;
    verify_that!(off, ok(eq(&Duration::ZERO)))?;
    verify_that!(minute, ok(eq(&Duration::from_secs(60))))?;
    verify_that!(malformed, err(contains_substring("usage.half_life_s")))
}
