//! Guards against commands that report success for something that was not done, exit codes that scripts
//! cannot rely on, and secrets that are printed.

mod fixture;

use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;

use fixture::{Platform, bundle_text};
use godwithaven::kernel::cell::{JobForecast, StepForecast, TeamUsage};
use godwithaven::kernel::connections::{ClientLimits, ConnectionCapacity};
use godwithaven::tasks::cell::intake::{CallAction, IntakeMessage};
use godwithaven::tasks::cell::metrics::CellMetrics;
use godwithaven::tasks::cell::operator_pages::OperatorPages;
use godwithaven::tasks::client_access::ClientAccess;
use googletest::prelude::*;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Guards against scripts that take a usage error for a failure of the system, and against a command that
/// fails or succeeds without printing anything.
#[gtest]
#[actix_rt::test]
async fn exit_codes_distinguish_bad_usage_from_failure() {
    let dir = fixture::directory("exit_codes");
    fs::write(dir.join("sound.toml"), bundle_text(1, 0)).unwrap();
    fs::write(dir.join("faulty.toml"), bundle_text(0, 0)).unwrap();
    let cases = [
        ("godwithaven --help", 0),
        ("godwithaven --version", 0),
        ("godwithaven bundle check --help", 0),
        ("godwithaven bundle check sound.toml", 0),
        ("godwithaven bundle check faulty.toml", 1),
        ("godwithaven bundle check absent.toml", 1),
        ("godwithaven status --entry=127.0.0.1:1", 1),
        ("godwithaven", 2),
        ("godwithaven bundle", 2),
        ("godwithaven bundle check", 2),
        ("godwithaven status --colour", 2),
        ("godwithaven explain job blue", 2),
        ("godwithaven explain job ../status", 2),
        ("godwithaven explain log a1 absent.log", 1),
        ("godwithaven explain log", 2),
    ];
    for (line, code) in cases {
        let printed = fixture::shell(&dir, line, &[]).await;

        expect_that!(printed.exit_code, eq(code), "{line}: {printed:?}");
        expect_that!(
            printed.stdout.is_empty() && printed.stderr.is_empty(),
            eq(false),
            "{line} printed nothing"
        );
    }
}

/// Guards against a panic with a stack trace when the reader of a pipe exits early or the disk is full.
#[gtest]
#[actix_rt::test]
async fn unwritable_output_is_a_failure() {
    let dir = fixture::directory("output");
    fs::write(dir.join("sound.toml"), bundle_text(1, 0)).unwrap();

    let printed = fixture::shell(&dir, "godwithaven bundle check sound.toml > /dev/full", &[]).await;

    expect_that!((printed.exit_code, printed.stderr.as_str()), eq((1, "")));
}

/// Guards against secret keys that other users can read, that are printed or shown in an error, or that a
/// second `key new` overwrites.
#[gtest]
#[actix_rt::test]
async fn secret_key_files_are_private_and_never_printed_or_overwritten() {
    let dir = fixture::directory("secrets");

    let created = fixture::shell(&dir, "godwithaven key new --out a.key", &[]).await;
    let repeated = fixture::shell(&dir, "godwithaven key new --out a.key", &[]).await;
    let hashed = fixture::shell(&dir, "printf 'blue-key\\n' | godwithaven key hash", &[]).await;
    let invalid = fixture::shell(
        &dir,
        "echo secret-key > b.key; echo x > x.toml; godwithaven bundle sign x.toml --key b.key",
        &[],
    )
    .await;

    let secret = fs::read_to_string(dir.join("a.key")).unwrap();
    let mode = fs::metadata(dir.join("a.key")).unwrap().permissions().mode();
    expect_that!(mode & 0o777, eq(0o600));
    expect_that!(created.stdout, not(contains_substring(secret.trim())));
    expect_that!(repeated.exit_code, eq(1));
    expect_that!(
        hashed.stdout.trim(),
        eq("da71e267b3b77b50077da29f7322e9317a1f629a410f782a1a970f97e2548377")
    );
    expect_that!(invalid.exit_code, eq(1));
    expect_that!(invalid.stderr, not(contains_substring("secret-key")));
}

/// Guards against a publish that reports success for a bundle that is refused, as its base is not in force or
/// valid signatures are missing, and against a failure when the same file is published twice.
#[gtest]
#[actix_rt::test]
async fn publish_reports_whether_the_bundle_was_adopted() {
    // Arrange
    let platform = Platform::start("publishing").await;
    platform.write("one.toml", &bundle_text(1, 0));
    platform.write("rival.toml", &bundle_text(2, 0));
    let other = platform.shell("godwithaven key new --out other.key | sed -n 's/public key //p'").await;
    let both_signers = format!("\"{}\", \"{}\"", platform.signer, other.stdout.trim());
    platform.write(
        "two.toml",
        &bundle_text(2, 1)
            .replace("base = 1", &format!("base = 1\napprovals = 2\nsigners = [{both_signers}]")),
    );
    platform.write(
        "three.toml",
        &bundle_text(3, 2)
            .replace("base = 2", &format!("base = 2\napprovals = 2\nsigners = [{both_signers}]")),
    );
    let sign = "for file in one two three rival; do godwithaven bundle sign $file.toml --key signing.key; done; \
                godwithaven bundle sign one.toml --key other.key --out foreign.json";
    platform.shell(sign).await;
    let publish = |file: &str| format!("godwithaven bundle publish {file} --log $LOG");

    // Act
    let unsigned = platform.shell(&publish("one.toml")).await;
    let foreign = platform.shell(&publish("foreign.json")).await;
    let first = platform.shell(&publish("one.signed.json")).await;
    let again = platform.shell(&publish("one.signed.json")).await;
    let rival = platform.shell(&publish("rival.signed.json")).await;
    let second = platform.shell(&publish("two.signed.json")).await;
    let one_signature = platform.shell(&publish("three.signed.json")).await;
    platform.shell("godwithaven bundle sign three.signed.json --key other.key").await;
    let two_signatures = platform.shell(&publish("three.signed.json --json")).await;
    let shown = platform.wait_for("godwithaven bundle show", "version = 3").await;

    // Assert
    expect_that!((unsigned.exit_code, unsigned.stderr), (eq(&1), contains_substring("not signed")));
    expect_that!(
        (foreign.exit_code, foreign.stderr),
        (eq(&1), contains_substring("0 of 1 needed signatures"))
    );
    expect_that!((first.exit_code, first.stdout), (eq(&0), eq("version 1 is in force\n")));
    expect_that!(again.exit_code, eq(0));
    expect_that!(
        (rival.exit_code, rival.stderr),
        (eq(&1), contains_substring("its base is 0, but version 1 is in force"))
    );
    expect_that!(second.exit_code, eq(0));
    expect_that!(
        (one_signature.exit_code, one_signature.stderr),
        (eq(&1), contains_substring("1 of 2 needed signatures"))
    );
    let two_signatures: Value = serde_json::from_str(&two_signatures.stdout).unwrap();
    expect_that!(two_signatures["adopted"], eq(&Value::Bool(true)));
    expect_that!(fs::read_to_string(platform.dir.join("three.toml")).unwrap(), eq(&shown.stdout));
    platform.stop().await;
}

/// Guards against a publish that claims success or refusal while the log cannot be reached.
#[gtest]
#[actix_rt::test]
async fn publish_without_a_log_reports_an_unknown_result() {
    let platform = Platform::start("log_down").await;
    platform.write("one.toml", &bundle_text(1, 0));
    platform.shell("godwithaven bundle sign one.toml --key signing.key").await;

    let printed =
        platform.shell("godwithaven bundle publish one.signed.json --log 127.0.0.1:1 --wait-s 1").await;

    expect_that!(printed.exit_code, eq(1));
    expect_that!(printed.stderr, contains_substring("not known whether it was published"));
    platform.stop().await;
}

/// Guards against a diff that names the tables of an array by position, so that one added table shows all
/// later ones as changed.
#[gtest]
#[actix_rt::test]
async fn diff_names_tables_by_id_instead_of_position() {
    let dir = fixture::directory("differences");
    fs::write(dir.join("old.toml"), bundle_text(1, 0)).unwrap();
    let new = bundle_text(2, 1).replacen("state = \"in\"", "state = \"out\"", 1);
    fs::write(dir.join("new.toml"), new + "[[queues]]\nid = \"open\"\nopen_to_all_as = \"blue\"\n").unwrap();

    let printed = fixture::shell(&dir, "godwithaven bundle diff old.toml new.toml", &[]).await;

    let expected = "+ queues.open.id = \"open\"\n+ queues.open.open_to_all_as = \"blue\"\n~ base = 0 -> 1\n\
                    ~ version = 1 -> 2\n~ zones.a.state = \"in\" -> \"out\"\n";
    expect_that!(printed.stdout, eq(expected));
}

/// Guards against a timeline with lines of other jobs, in the wrong order, or without the change of owner
/// that explains a gap.
#[gtest]
#[actix_rt::test]
async fn explain_log_merges_the_logs_of_several_processes() {
    let dir = fixture::directory("story");
    let owner = [
        r#"{"time_ms":1500,"level":"info","message":"task is started","task":"a1.0.0.0","run":1}"#,
        r#"{"time_ms":1600,"level":"info","message":"task is started","task":"a12.0.0.0","run":1}"#,
        "a line that was cut {",
        r#"{"time_ms":3000,"level":"info","message":"job is closed","job":"a1","status":"completed"}"#,
    ];
    let other = [
        r#"{"time_ms":900,"level":"info","message":"cell recovered","token":1}"#,
        r#"{"time_ms":1000,"level":"info","message":"call is stored","job":"a1"}"#,
        r#"{"time_ms":2000,"level":"info","message":"cell recovered","token":7}"#,
    ];
    fs::write(dir.join("front-1.log"), owner.join("\n")).unwrap();
    fs::write(dir.join("front-2.log"), other.join("\n")).unwrap();

    let printed = fixture::shell(&dir, "godwithaven explain log a1 front-1.log front-2.log", &[]).await;
    let piped = fixture::shell(&dir, "cat front-1.log | godwithaven explain log a1.0.0.0", &[]).await;
    let unknown = fixture::shell(&dir, "godwithaven explain log b7 front-1.log", &[]).await;

    let timeline = "1.000 front-2 call is stored job=a1\n\
                 1.500 front-1 task is started run=1 task=a1.0.0.0\n\
                 2.000 front-2 cell recovered token=7\n\
                 3.000 front-1 job is closed job=a1 status=completed\n";
    expect_that!((printed.exit_code, printed.stdout.as_str()), eq((0, timeline)));
    expect_that!(printed.stderr, contains_substring("1 lines are no log lines"));
    expect_that!(piped.stdout, eq("1.500 - task is started run=1 task=a1.0.0.0\n"));
    expect_that!(
        (unknown.exit_code, unknown.stderr.as_str()),
        (eq(1), contains_substring("no log line names it"))
    );
}

/// Guards against a table that leaves out a team, or mixes up its columns, and against an empty table of a process
/// that does not own the cell, which would pass for an account without use.
#[gtest]
#[actix_rt::test]
async fn usage_shows_the_account_of_the_owner() -> Result<()> {
    let dir = fixture::directory("usage");
    let token = CancellationToken::new();
    let usage = |team: &str, past_use, correction, steps_moved_back| TeamUsage {
        team: team.into(),
        past_use,
        weight: 3.0,
        correction,
        steps_moved_back,
    };
    let (owner, other) = (CellMetrics::new().or_fail()?, CellMetrics::new().or_fail()?);
    owner.set_team_usages(&[usage("blue {x}", 0.25, 0.0, 0), usage("red", 0.5, 0.125, 7)]);
    let (sender, _inbox) = mpsc::channel(1);
    let owner = serve_pages(owner, sender.clone(), &token).await;
    let other = serve_pages(other, sender, &token).await;

    let table =
        fixture::shell(&dir, &format!("godwithaven usage --entry {other} --entry {owner}"), &[]).await;
    let json = fixture::shell(&dir, &format!("godwithaven usage --json --entry {owner}"), &[]).await;
    let refused = fixture::shell(&dir, &format!("godwithaven usage --entry {other}"), &[]).await;
    token.cancel();

    let expected = "TEAM      WEIGHT  PAST USE  CORRECTION  MOVED BACK\n\
                    blue {x}  3       0.2500    0.0%        0\n\
                    red       3       0.5000    12.5%       7\n";
    let page: Value = serde_json::from_str(&json.stdout).or_fail()?;
    verify_that!(table.stdout, eq(expected))?;
    verify_that!(page["teams"][1]["past_use"], eq(&Value::from(0.5)))?;
    verify_that!((refused.exit_code, refused.stdout.is_empty()), eq((1, true)))
}

/// Serves the operators' pages of a process; returns their address.
async fn serve_pages(
    metrics: CellMetrics,
    intake_sender: mpsc::Sender<IntakeMessage>,
    token: &CancellationToken,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let capacity = ConnectionCapacity::of_machine(256, 4_096);
    let connections = metrics.connections.clone();
    let (access, _limits) =
        ClientAccess::start(capacity, ClientLimits::default(), connections, token.clone());
    let pages = OperatorPages { metrics, intake_sender, parse_job: |_| Err("no steps".to_owned()) };
    actix_rt::spawn(pages.serve(listener, access, token.child_token()));
    address
}

/// Answers each question for a forecast: with a refusal for another key than `secret`, otherwise with the forecast
/// of one step.
async fn answer_forecasts(mut inbox: mpsc::Receiver<IntakeMessage>) {
    while let Some(message) = inbox.recv().await {
        let IntakeMessage::Forecast(call, reply) = message else { continue };
        let CallAction::Submit(Ok(submission)) = call.action else { continue };
        let step = StepForecast {
            tasks: submission.steps[0].tasks,
            starts: vec![("w1".into(), 2)],
            wait: Some("room".to_owned()),
            latest_start_ms: -20,
            correction_ms: 250,
            before: vec![("red".into(), 1), ("blue".into(), 4)],
            workers: vec![("fits".to_owned(), 1), ("no_room".to_owned(), 7)],
            permits_asked: 3,
            expected_start_ms: Some(1_500),
            ..StepForecast::default()
        };
        let forecast = JobForecast {
            queue: "q".into(),
            team: "red".into(),
            excess: true,
            steps: vec![step],
            oldest_report_ms: 40,
            submissions_read_ms: 60,
            ..JobForecast::default()
        };
        let known = call.key.as_deref() == Some("secret");
        let _ = reply.send(if known { Ok(forecast) } else { Err("refused: unknown key".to_owned()) });
    }
}

/// Guards against a forecast that leaves out why work would wait, against a key that is printed or taken from the
/// command line, and against errors that do not say what is wrong.
#[gtest]
#[actix_rt::test]
async fn explain_place_tells_where_a_job_would_go() -> Result<()> {
    let dir = fixture::directory("place");
    fs::write(dir.join("key"), "secret\n").or_fail()?;
    fs::write(dir.join("wrong"), "other").or_fail()?;
    fs::write(dir.join("job.json"), "{}").or_fail()?;
    let token = CancellationToken::new();
    let (sender, inbox) = mpsc::channel(1);
    actix_rt::spawn(answer_forecasts(inbox));
    let entry = serve_pages(CellMetrics::new().or_fail()?, sender, &token).await;
    let line = format!("godwithaven explain place host /jobs/ --entry {entry}");

    let table = fixture::shell(&dir, &format!("{line} --tasks 3 --key-file key"), &[]).await;
    let json = fixture::shell(&dir, &format!("GODWITHAVEN_KEY=secret {line} --json"), &[]).await;
    let wrong_key = fixture::shell(&dir, &format!("{line} --key-file wrong"), &[]).await;
    let malformed = fixture::shell(&dir, &format!("{line} --file job.json --key-file key"), &[]).await;
    token.cancel();

    let expected = "admitted to queue q for team red, above its submission rate\n\
        STEP  TASKS  START NOW  WAIT  EXPECTED  LATEST START  MOVED BACK  ASKED\n\
        0     3      2          room  1500 ms   -20 ms        250 ms      3\n\
        step 0: 5 steps rank before it: 4 of blue, 1 of red\n\
        step 0: 1 workers x fits\n\
        step 0: 7 workers x no_room\n\
        step 0: 2 tasks would start on w1\n\
        reports of workers up to 40 ms old, submissions read 60 ms ago\n";
    let page: Value = serde_json::from_str(&json.stdout).or_fail()?;
    verify_that!(table.stdout, eq(expected))?;
    verify_that!(page["steps"][0]["wait"], eq(&Value::from("room")))?;
    verify_that!((wrong_key.exit_code, malformed.exit_code), eq((1, 1)))?;
    verify_that!(wrong_key.stderr, contains_substring("refused: unknown key"))?;
    verify_that!(malformed.stderr, contains_substring("malformed job: no steps"))?;
    verify_that!(format!("{table:?}{json:?}"), not(contains_substring("secret")))
}
