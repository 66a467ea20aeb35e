//! Guards against decisions that are not logged, log lines that are not valid JSON, and team keys in the log.

mod fixture;

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;

use awc::Client;
use googletest::prelude::*;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use fixture::{BLUE_KEY, RED_KEY};
use godwithaven_standins::world::StandinWorld;

/// Starts the entry daemon as a child process that logs JSON lines to the file.
fn start_daemon(world: &StandinWorld, log: &Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_godwithaven-entry"));
    command
        .args(["--vm=entry-1", "--zone=a", "--log-format=json", "--signers", &fixture::public_key()])
        .args(["--listen=127.0.0.1:0", "--peer-listen=127.0.0.1:0", "--operator-listen=127.0.0.1:0"])
        .args(["--log", &world.log.address.to_string(), "--directory", &world.directory.address.to_string()])
        .stderr(File::create(log).unwrap());
    command.spawn().unwrap()
}

/// Waits until the log has lines that `is_wanted` accepts, and returns them.
async fn wait_lines(log: &Path, is_wanted: impl Fn(&Value) -> bool) -> Vec<Value> {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    loop {
        let text = fs::read_to_string(log).unwrap();
        // The last line may be incomplete.
        let complete = text.rsplit_once('\n').map_or("", |(complete, _)| complete);
        let lines: Vec<Value> =
            complete.lines().map(|line| serde_json::from_str(line).expect(line)).collect();
        let found: Vec<Value> = lines.into_iter().filter(&is_wanted).collect();
        if !found.is_empty() {
            return found;
        }
        assert!(tokio::time::Instant::now() < deadline, "the log has no such line:\n{text}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn post(address: SocketAddr, path: &str, key: &str, body: String) -> u16 {
    let request = Client::default().post(format!("http://{address}{path}")).timeout(Duration::from_secs(20));
    let headers = [("x-team-key", key), ("x-team", "blue"), ("x-request-id", "r-1")];
    let request = headers.into_iter().fold(request, awc::ClientRequest::insert_header);
    request.send_body(body).await.map_or(0, |response| response.status().as_u16())
}

/// Repeats a request until it is answered with the status.
async fn wait_status(address: SocketAddr, path: &str, key: &str, body: &str, status: u16) {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    while post(address, path, key, body.to_owned()).await != status {
        assert!(
            tokio::time::Instant::now() < deadline,
            "{path} does not answer with status {status} in time"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a decision without a log line, a line without one of its fields, and a team key in any
/// line.
#[gtest]
#[actix_rt::test]
async fn each_decision_is_logged_without_keys() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("operators_log.jsonl");
    let mut daemon = start_daemon(&world, &log);
    let started = wait_lines(&log, |line| line["message"] == "entry process started").await;
    let address: SocketAddr = started[0]["listen"].as_str().unwrap().parse().unwrap();
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;

    // Act
    let job = fixture::batch_job("blue", "load", 1).to_string();
    wait_status(address, "/v1/jobs", BLUE_KEY, &job, 202).await;
    wait_status(address, "/v1/services/planner/requests", BLUE_KEY, "x", 200).await;
    wait_status(address, "/v1/jobs", RED_KEY, &job, 403).await;
    wait_status(address, "/v1/jobs", "stray-key", &job, 401).await;
    let placed = wait_lines(&log, |line| line["decision"] == "placement").await;
    let routed = wait_lines(&log, |line| line["decision"] == "routing").await;
    let admission = |line: &Value, text| line["decision"] == "admission" && line["message"] == text;
    let refused = wait_lines(&log, |line| admission(line, "refused")).await;
    let accepted = wait_lines(&log, |line| admission(line, "job accepted")).await;
    let admitted = wait_lines(&log, |line| admission(line, "request admitted")).await;
    daemon.kill().unwrap();
    daemon.wait().unwrap();

    // Assert
    for (line, fields) in [
        (&placed[0], &["task", "team", "vm", "reason", "rejected"][..]),
        (&routed[0], &["team", "request", "vm", "attempt", "reason", "rejected"][..]),
        (&refused[0], &["team", "id", "refusal"][..]),
        (&accepted[0], &["team", "id", "shard", "repeated"][..]),
        (&admitted[0], &["team", "id", "shard"][..]),
    ] {
        for field in fields {
            expect_that!(line[*field].as_str(), some(anything()), "{field} is missing in {line}");
        }
    }
    expect_that!(accepted[0]["id"], eq("blue/load"));
    expect_that!(admitted[0]["id"], eq("blue/r-1"));
    expect_that!(routed[0]["team"], eq("blue"));
    let text = fs::read_to_string(&log).unwrap();
    for key in [BLUE_KEY, RED_KEY, "stray-key"] {
        expect_that!(text, not(contains_substring(key)));
    }
    token.cancel();
}
