//! Guards against input of callers that is misread, that crashes the process, or that is refused without a
//! clear error.

mod fixture;
mod raw_http;

use googletest::prelude::*;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use fixture::{BLUE_KEY, RED_KEY};
use raw_http::{Exchange, send};

/// A valid job of team blue.
const JOB: &str =
    r#"{"name":"j","team":"blue","queue":"main","kind":"batch","need":{"cores_milli":1000},"run_ms":10}"#;

/// Returns [`JOB`] with the first `from` replaced by `to`.
fn edited_job(from: &str, to: &str) -> String {
    assert!(JOB.contains(from), "{from:?} is not in the job");
    JOB.replacen(from, to, 1)
}

/// Returns a request that submits a job.
fn submit(key: &str, body: &str) -> String {
    raw_http::request("POST", "/v1/jobs", &[("x-team-key", key)], body)
}

/// Returns a request of team blue to the service `planner`, with the header `extra`.
fn call(key: &str, id: &str, extra: (&str, &str), body: &str) -> String {
    let headers = [("x-team-key", key), ("x-team", "blue"), ("x-request-id", id), extra];
    raw_http::request("POST", "/v1/services/planner/requests", &headers, body)
}

/// Returns a GET request.
fn get(key: &str, path: &str) -> String {
    raw_http::request("GET", path, &[("x-team-key", key)], "")
}

#[gtest]
#[actix_rt::test]
async fn bad_input_gets_a_clear_error_and_the_process_serves_on() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&entry).await;
    let none = ("x-none", "");
    let large = format!("{JOB}{}", " ".repeat(2 << 20));
    let cases = [
        (submit(BLUE_KEY, "{"), 400, "bad_request"),
        (submit(BLUE_KEY, "[]"), 400, "bad_request"),
        (submit(BLUE_KEY, &edited_job("\"name\"", "\"colour\":1,\"name\"")), 400, "unknown field `colour`"),
        (submit(BLUE_KEY, &edited_job("\"run_ms\":10", "\"run_ms\":-1")), 400, "expected u64"),
        (submit(BLUE_KEY, &edited_job("\"run_ms\":10", "\"run_ms\":18446744073709551615")), 400, "366 days"),
        (submit(BLUE_KEY, &edited_job("\"run_ms\":10", "\"run_ms\":1e400")), 400, "out of range"),
        (submit(BLUE_KEY, &edited_job("\"run_ms\":10", "\"tasks\":0")), 400, "1 to 10000 tasks"),
        (submit(BLUE_KEY, &edited_job("\"run_ms\":10", "\"tasks\":4294967296")), 400, "expected u32"),
        (submit(BLUE_KEY, &edited_job("\"run_ms\":10", "\"retries\":4000000000")), 400, "at most 1000"),
        (submit(BLUE_KEY, &edited_job("1000", "18446744073709551615")), 400, "at most 10^9"),
        (submit(BLUE_KEY, &edited_job("\"cores_milli\":1000", "")), 400, "needs some resource"),
        (submit(BLUE_KEY, &edited_job("\"j\"", "\"a/b\"")), 400, "a job name"),
        (submit(BLUE_KEY, &edited_job("\"j\"", "\"\\u0000\"")), 400, "a job name"),
        (submit(BLUE_KEY, &edited_job("\"main\"", "\"none\"")), 404, "does not exist"),
        (submit(BLUE_KEY, &large), 413, "too_large"),
        (submit(RED_KEY, JOB), 403, "key_of_other_team"),
        (submit("stray-key", JOB), 401, "key_unknown"),
        (raw_http::request("POST", "/v1/jobs", &[], JOB), 401, "key_missing"),
        (get(RED_KEY, "/v1/jobs/blue/j"), 403, "key_of_other_team"),
        (get(BLUE_KEY, "/v1/jobs/blue/none"), 404, "not_found"),
        (get(BLUE_KEY, "/v1/jobs/blue/none?wait_ms=soon"), 400, "wait_ms is not a whole number"),
        (get(BLUE_KEY, "/v1/colours"), 404, "no such resource"),
        (raw_http::request("PUT", "/v1/jobs", &[], JOB), 404, "no such resource"),
        (call(BLUE_KEY, "r", ("x-deadline-ms", "soon"), "x"), 400, "x-deadline-ms is not a whole number"),
        (call(BLUE_KEY, "r", ("x-deadline-ms", "-1"), "x"), 400, "x-deadline-ms is not a whole number"),
        (call(BLUE_KEY, "r", ("x-deadline-ms", "99999999999"), "x"), 400, "at most 3600000"),
        (call(BLUE_KEY, "a b", none, "x"), 400, "a request id"),
        (call(BLUE_KEY, "", none, "x"), 400, "x-request-id is empty"),
        (call(RED_KEY, "r", none, "x"), 403, "key_of_other_team"),
        (raw_http::request("POST", "/v1/services/planner/requests", &[], "x"), 400, "x-team is missing"),
    ];
    for (request, status, expected) in cases {
        // Act
        let response = send(entry.listen, request.as_bytes()).await;

        // Assert
        let line = request.chars().take(300).collect::<String>();
        expect_that!(response.status, eq(status), "{line}\n{response:?}");
        expect_that!(response.body, contains_substring(expected), "{line}");
        let body: Value = serde_json::from_str(&response.body).unwrap();
        expect_that!(body["run"], eq(&Value::from("not_run")), "{line}");
        for key in [BLUE_KEY, RED_KEY, "stray-key"] {
            expect_that!(response.body, not(contains_substring(key)), "{line}");
        }
    }
    let (accepted, _) = fixture::submit(&entry, BLUE_KEY, &serde_json::from_str(JOB).unwrap()).await;
    expect_that!(accepted, eq(202));
    entry.stop().await;
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn malformed_http_affects_only_its_own_connection() {
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    let mut not_utf8 = submit(BLUE_KEY, &edited_job("\"j\"", "\"??\"")).into_bytes();
    let position = not_utf8.windows(2).position(|pair| pair == b"??").unwrap();
    not_utf8[position..position + 2].copy_from_slice(&[0xff, 0xfe]);
    let cases: [&[u8]; 6] = [
        b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
        b"GET\r\n\r\n",
        b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: many\r\n\r\n",
        b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"GET /v1/jobs/blue/j HTTP/1.1\r\nbad header\r\n\r\n",
        &not_utf8,
    ];
    for bytes in cases {
        let response = send(entry.listen, bytes).await;

        let text = String::from_utf8_lossy(bytes);
        expect_that!(response.status, eq(400).or(eq(413)), "{text}\n{response:?}");
    }
    let alive = send(entry.listen, get(BLUE_KEY, "/v1/jobs/blue/j").as_bytes()).await;
    expect_that!(alive.status, eq(503), "no configuration is in force: {alive:?}");
    entry.stop().await;
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn a_withdrawn_key_stops_working_and_a_reused_id_is_refused() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&entry).await;
    let red = submit(RED_KEY, &edited_job("\"blue\"", "\"red\""));
    let before = send(entry.listen, red.as_bytes()).await;
    let first = send(entry.listen, submit(BLUE_KEY, JOB).as_bytes()).await;
    let first_call = send(entry.listen, call(BLUE_KEY, "r", ("x-none", ""), "one").as_bytes()).await;

    // Act
    let reused = send(entry.listen, submit(BLUE_KEY, &edited_job("1000", "2000")).as_bytes()).await;
    let repeated = send(entry.listen, submit(BLUE_KEY, JOB).as_bytes()).await;
    let reused_call = send(entry.listen, call(BLUE_KEY, "r", ("x-none", ""), "two").as_bytes()).await;
    let keyless =
        fixture::bundle_text(2, 1).replace("id = \"red-1\"\nteam = \"red\"", "id = \"b\"\nteam = \"blue\"");
    fixture::publish(&world, 2, 1, keyless).await;
    let mut after = send(entry.listen, red.as_bytes()).await;
    // Promise P3: a revoked key stops working within seconds.
    for _ in 0..40 {
        if after.status == 403 {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        after = send(entry.listen, red.as_bytes()).await;
    }

    // Assert
    expect_that!((before.status, first.status, first_call.status), eq((202, 202, 200)));
    expect_that!(reused.status, eq(409), "{reused:?}");
    expect_that!(reused.body, contains_substring("id_reused"));
    expect_that!(repeated.body, contains_substring("\"repeated\":true"));
    expect_that!(reused_call.status, eq(409), "{reused_call:?}");
    expect_that!(after.status, eq(403), "{after:?}");
    entry.stop().await;
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn a_session_over_http_matches_the_golden_file() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&entry).await;
    let session = [
        submit(BLUE_KEY, JOB),
        submit(BLUE_KEY, JOB),
        get(BLUE_KEY, "/v1/jobs/blue/j?wait_ms=20000"),
        submit(BLUE_KEY, &edited_job("\"j\"", "\"later\"").replace("\"run_ms\":10", "\"run_ms\":60000")),
        raw_http::request("DELETE", "/v1/jobs/blue/later", &[("x-team-key", BLUE_KEY)], ""),
        get(BLUE_KEY, "/v1/jobs/blue/later?wait_ms=20000"),
        call(BLUE_KEY, "r-1", ("x-deadline-ms", "5000"), "plan the route"),
        call(BLUE_KEY, "r-1", ("x-deadline-ms", "5000"), "plan the route"),
        call(BLUE_KEY, "r-1", ("x-deadline-ms", "5000"), "plan another route"),
        submit(RED_KEY, JOB),
        submit(BLUE_KEY, &edited_job("\"kind\"", "\"colour\"")),
    ];

    // Act
    let mut text = String::new();
    for request in session {
        let response = send(entry.listen, request.as_bytes()).await;
        text += &Exchange { request: &request, response: &response }.masked();
    }

    // Assert
    raw_http::compare_golden("caller_session.txt", &text);
    entry.stop().await;
    token.cancel();
}
