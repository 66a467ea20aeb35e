//! Guards against clients that end a process: crowds that hold its memory or its descriptors. Real processes on
//! loopback; the checks depend on no time and on no share of answered calls.

mod fixture;
mod fixture_crowd;
#[path = "fixture/daemon.rs"]
mod fixture_daemon;
mod fixture_platform;

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use fixture::BLUE_KEY;
use fixture_crowd::{CrowdKind, EntryChild, MAX_BODY_BYTES, MAX_FDS, MEMORY_MB, Target};
use fixture_daemon::free_address;
use fixture_platform::{Platform, free_ports, start_platform, write_settings};
use godwithaven_standins::world::StandinWorld;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

/// Time limit for the start of a process.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// One crowd at a time, so that the processes do not share the machine.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// A submission that a cell accepts.
const CELL_JOB: &str = r#"{"spec":"ms=50","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":50}]}"#;
/// A submission that the project's own interface accepts.
const OWN_JOB: &str =
    r#"{"name":"j","team":"blue","queue":"main","kind":"batch","need":{"cores_milli":1000},"run_ms":10}"#;

/// Starts a process that serves a cell, waits until it accepts a job and returns it.
async fn start_cell(platform: &Platform, name: &str) -> (EntryChild, Target) {
    let first = free_ports(4);
    let path = write_settings(platform, name, first);
    let mut file = std::fs::File::options().append(true).open(&path).expect("the settings are written");
    write!(file, "limits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n")
        .expect("the file can be written");
    let child = Command::new(env!("CARGO_BIN_EXE_godwithaven-entry"))
        .env("GODWITHAVEN_CONFIG", &path)
        .stdout(Stdio::null())
        .spawn();
    let child = EntryChild(child.expect("the program starts"));
    let headers = "host: host.example\r\napi-key: secret\r\n";
    let target = Target {
        address: SocketAddr::from(([127, 0, 0, 1], first)),
        submit: format!("POST /jobs/00000000000000a1 HTTP/1.1\r\n{headers}"),
        query: format!("GET /jobs/00000000000000a1 HTTP/1.1\r\n{headers}\r\n"),
    };
    await_status(&target, &target.submission(CELL_JOB.as_bytes()), 200).await;
    (child, target)
}

/// Starts a process that serves the project's own interface, waits until it accepts a job and returns it.
async fn start_own(world: &StandinWorld) -> (EntryChild, Target) {
    let (listen, peer, operator) = (free_address(), free_address(), free_address());
    let (log, directory) = (world.log.address.to_string(), world.directory.address.to_string());
    let flags = [
        ("--vm", "entry-1"),
        ("--zone", "a"),
        ("--listen", &listen),
        ("--peer-listen", &peer),
        ("--operator-listen", &operator),
        ("--log", &log),
        ("--directory", &directory),
        ("--signers", &fixture::public_key()),
        ("--sync-interval-ms", "100"),
        ("--commit-window-ms", "10"),
        ("--lease-ms", "3000"),
    ];
    let mut command = Command::new(env!("CARGO_BIN_EXE_godwithaven-entry"));
    command.args(flags.iter().flat_map(|(flag, value)| [*flag, *value]));
    command
        .env("GODWITHAVEN_MEMORY_MB", MEMORY_MB.to_string())
        .env("GODWITHAVEN_MAX_FDS", MAX_FDS.to_string());
    let child = command.stderr(Stdio::null()).stdout(Stdio::null()).spawn();
    let child = EntryChild(child.expect("the program starts"));
    world.list_entry("entry-1", "a", &peer);
    fixture::publish(world, 1, 0, fixture::bundle_text(1, 0)).await;
    let headers = format!("host: entry\r\nx-team-key: {BLUE_KEY}\r\n");
    let target = Target {
        address: listen.parse().expect("an address"),
        submit: format!("POST /v1/jobs HTTP/1.1\r\n{headers}"),
        query: format!("GET /v1/jobs/blue/j HTTP/1.1\r\n{headers}\r\n"),
    };
    await_status(&target, &target.submission(OWN_JOB.as_bytes()), 202).await;
    (child, target)
}

async fn await_status(target: &Target, request: &[u8], expected: u16) {
    let started = Instant::now();
    while target.call(request).await != Ok(expected) {
        assert!(started.elapsed() < START_TIMEOUT, "the process does not answer {expected}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Brings a crowd, keeps it connected and checks the process and one ordinary submission.
async fn check_crowd(child: &mut EntryChild, target: &Target, kind: CrowdKind, job: &str, accepted: u16) {
    let crowd = target.bring(kind).await;
    let descriptors = child.open_descriptors();
    let status = target.call(&target.submission(job.as_bytes())).await;
    let peak_mb = child.peak_mb();

    expect_that!(child.lives(), eq(true), "{kind:?}");
    expect_that!(peak_mb, le(MEMORY_MB), "{kind:?}: largest resident size in MB");
    expect_that!(descriptors, le(MAX_FDS), "{kind:?}: open descriptors");
    expect_that!(status, ok(eq(&accepted)), "{kind:?}: status of an ordinary submission");
    drop(crowd);
}

async fn check_cell(name: &str, kind: CrowdKind) {
    let _turn = TURN.lock().await;
    let platform = start_platform(name, 0).await;
    let (mut child, target) = start_cell(&platform, name).await;
    check_crowd(&mut child, &target, kind, CELL_JOB, 200).await;
    platform.token.cancel();
}

async fn check_own(kind: CrowdKind) {
    let _turn = TURN.lock().await;
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let (mut child, target) = start_own(&world).await;
    check_crowd(&mut child, &target, kind, OWN_JOB, 202).await;
    token.cancel();
}

/// Defines the tests of one crowd: a process that serves a cell, and one with the project's own interface.
macro_rules! crowd_tests {
    ($($cell:ident, $own:ident, $kind:ident;)*) => {$(
        #[gtest]
        #[actix_rt::test]
        async fn $cell() {
            check_cell(stringify!($cell), CrowdKind::$kind).await;
        }

        #[gtest]
        #[actix_rt::test]
        async fn $own() {
            check_own(CrowdKind::$kind).await;
        }
    )*};
}

crowd_tests! {
    a_cell_survives_whole_bodies, the_own_interface_survives_whole_bodies, WholeBodies;
    a_cell_survives_bodies_in_pieces, the_own_interface_survives_bodies_in_pieces, BodiesInPieces;
    a_cell_survives_large_chunks, the_own_interface_survives_large_chunks, LargeChunks;
    a_cell_survives_small_chunks, the_own_interface_survives_small_chunks, SmallChunks;
    a_cell_survives_huge_announced_bodies, the_own_interface_survives_huge_announced_bodies, HugeAnnounced;
    a_cell_survives_huge_sent_bodies, the_own_interface_survives_huge_sent_bodies, HugeSent;
    a_cell_survives_endless_heads, the_own_interface_survives_endless_heads, EndlessHeads;
    a_cell_survives_unread_answers, the_own_interface_survives_unread_answers, UnreadAnswers;
}

/// Returns a job with blanks before its end, of exactly the largest legal size.
fn full_size(job: &str) -> Vec<u8> {
    [job.as_bytes(), &vec![b' '; MAX_BODY_BYTES - job.len()]].concat()
}

/// Guards against limits that refuse a legal request of full size, whole or in very small chunks.
#[gtest]
#[actix_rt::test]
async fn a_cell_serves_a_legal_request_of_full_size() {
    let _turn = TURN.lock().await;
    let platform = start_platform("full_size", 0).await;
    let (_child, target) = start_cell(&platform, "full_size").await;
    let body = full_size(CELL_JOB);
    let chunks = body.iter().flat_map(|byte| [b"1\r\n".as_slice(), &[*byte], b"\r\n"].concat());
    let head = format!("{}transfer-encoding: chunked\r\n\r\n", target.submit).into_bytes();
    let chunked = head.into_iter().chain(chunks).chain(*b"0\r\n\r\n").collect::<Vec<u8>>();

    let whole_status = target.call(&target.submission(&body)).await;
    let chunked_status = target.call(&chunked).await;
    platform.token.cancel();

    expect_that!(whole_status, ok(eq(&200)));
    expect_that!(chunked_status, ok(eq(&200)));
}

/// Guards against limits that refuse a legal request of full size on the project's own interface.
#[gtest]
#[actix_rt::test]
async fn the_own_interface_serves_a_legal_request_of_full_size() {
    let _turn = TURN.lock().await;
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let (_child, target) = start_own(&world).await;

    let status = target.call(&target.submission(&full_size(OWN_JOB))).await;
    token.cancel();

    expect_that!(status, ok(eq(&202)));
}

/// Guards against limits of the configuration that are not in force on each connection, or stay as they were
/// when the configuration changes, and against a refusal with the wrong status.
#[gtest]
#[actix_rt::test]
async fn limits_of_the_configuration_are_in_force() {
    let _turn = TURN.lock().await;
    let platform = start_platform("configured_limits", 0).await;
    let (_child, target) = start_cell(&platform, "configured_limits").await;
    let announced = |length: usize, sent: usize| {
        let head = format!("{}content-length: {length}\r\n\r\n", target.submit);
        [head.as_bytes(), &vec![b' '; sent]].concat()
    };
    let chunked = format!("{}transfer-encoding: chunked\r\n\r\n12d\r\n{}", target.submit, " ".repeat(301));
    let long_head = format!("{}x-long: {}", target.submit, "a".repeat(512));
    let incomplete_job = target.submission(&full_size("{")[..301]);
    let default_status = target.call(&incomplete_job).await;

    let mut configuration = fixture_platform::configuration();
    configuration["version"] = 2.into();
    configuration["limits"] = serde_json::json!({
        "max_header_bytes": 512, "max_body_bytes": 300, "header_timeout_ms": 200, "idle_timeout_ms": 200,
    });
    platform.store.publish("keyed.op", "config", &configuration.to_string()).await;
    await_status(&target, &incomplete_job, 413).await;
    let announced_status = target.call(&announced(301, 0)).await;
    let chunked_status = target.call(chunked.as_bytes()).await;
    let long_head_status = target.call(long_head.as_bytes()).await;
    let stalled_head_status = target.call(target.submit.as_bytes()).await;
    let stalled_body_status = target.call(&announced(300, 10)).await;
    let legal_status = target.call(&target.submission(CELL_JOB.as_bytes())).await;
    platform.token.cancel();

    expect_that!(default_status, ok(eq(&400)), "an incomplete job of legal size");
    expect_that!(announced_status, ok(eq(&413)));
    expect_that!(chunked_status, ok(eq(&413)));
    expect_that!(long_head_status, ok(eq(&431)));
    expect_that!(stalled_head_status, ok(eq(&408)));
    expect_that!(stalled_body_status, ok(eq(&408)));
    expect_that!(legal_status, ok(eq(&200)));
}
