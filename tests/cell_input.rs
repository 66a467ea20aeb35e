//! Tests of input that other writers left in the shared topics of a cell, and of submissions that no cell can
//! hold.

mod fixture_cell;
mod fixture_platform;

use std::time::Duration;

use bytes::Bytes;
use fixture_cell::{START_UNIX_TIME, cell, cell_with, job as graph_job, step, submit, worker};
use fixture_platform::{Platform, start_platform, write_settings};
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::{GraphSpec, MAX_ESTIMATE, MAX_TASKS_PER_JOB, RepeatSchedule, StepSpec};
use godwithaven::kernel::connections::{ClientLimits, ConnectionCapacity};
use godwithaven::tasks::cell::intake::{CallAction, CellReply, IntakeMessage, JobRecord, JobSubmission};
use godwithaven::tasks::cell::metrics::CellMetrics;
use godwithaven::tasks::cell::ports::{
    CellAdapter, FrontEndContext, OperatorChange, ReadFault, StoreClient, TopicPage,
};
use godwithaven::tasks::client_access::ClientAccess;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, Strategy, any, prop};
use proptest::prop_assert;
use proptest::test_runner::{RngAlgorithm, RngSeed, TestRunner};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const WORKER_TOPIC: &str = "keyed.servers";

fn adapter() -> CellAdapter {
    // Every variable counts as set, so the only linked adapter is found.
    CellAdapter::find(|_| Some(String::new())).expect("the adapter is linked").0
}

fn store_client(platform: &Platform, name: &str) -> StoreClient {
    let path = write_settings(platform, name, 1);
    let settings = (adapter().load)(&path.to_string_lossy()).expect("the settings are valid");
    (adapter().store)(&settings)
}

/// Returns a registration in which one field has the given JSON text.
fn registration(field: &str, text: &str) -> String {
    let fields = [
        ("service", r#""planner""#),
        ("address", r#""10.0.0.1:80""#),
        ("zone", r#""a""#),
        ("state", r#""ready""#),
        ("capacity", r#"{"cpu":64000,"mem_mb":1000,"gpu":0}"#),
        ("labels", r#"["kind","r1"]"#),
    ];
    let fields = fields.map(|(name, usual)| {
        let value = if name == field { text } else { usual };
        format!(r#""{name}":{value}"#)
    });
    format!("{{{}}}", fields.join(","))
}

fn keys(page: &TopicPage) -> Vec<String> {
    page.records.iter().filter_map(|record| record.key.as_deref().map(ToOwned::to_owned)).collect()
}

/// Guards against a worker that is polled at an address which is none, and against a capacity that makes one
/// entry count for more than the whole fleet.
#[gtest]
fn registrations_with_values_out_of_range_are_invalid() -> Result<()> {
    let nested = format!("{}{}", "[".repeat(10_000), "]".repeat(10_000));
    let invalid = [
        ("address", r#""10.0.0.1:70000""#),
        ("address", r#""10.0.0.1:0""#),
        ("address", r#""10.0.0.1:-1""#),
        ("address", r#""10.0.0.1""#),
        ("address", r#""worker.example:80""#),
        ("address", r#""""#),
        ("capacity", r#"{"cpu":18446744073709551615,"mem_mb":1,"gpu":0}"#),
        ("capacity", r#"{"cpu":18446744073709551616,"mem_mb":1,"gpu":0}"#),
        ("capacity", r#"{"cpu":1e400,"mem_mb":1,"gpu":0}"#),
        ("capacity", r#"{"cpu":-5,"mem_mb":1,"gpu":0}"#),
        ("service", &nested),
        ("labels", &nested),
    ];

    let accepted = invalid.iter().filter(|(field, text)| {
        (adapter().parse_worker_registration)("w", registration(field, text).as_bytes()).is_ok()
    });
    let accepted: Vec<&str> = accepted.map(|(_, text)| *text).collect();
    let unknown_field = registration("none", "").replacen('{', &format!(r#"{{"extra":{nested},"#), 1);
    let usual = (adapter().parse_worker_registration)("w", unknown_field.as_bytes());

    verify_that!(accepted, is_empty())?;
    verify_that!(usual.map(|listing| listing.address.to_string()), ok(eq("10.0.0.1:80")))
}

/// Guards against one record that is not written as a keyed record and stops every process from following
/// the topic: they would never hear of another worker, nor that one has left.
#[gtest]
#[actix_rt::test]
async fn a_record_without_a_readable_key_does_not_stop_its_topic() -> Result<()> {
    let platform = start_platform("unreadable_key", 0).await;
    let client = store_client(&platform, "e1");
    platform.store.publish(WORKER_TOPIC, "before", &registration("none", "")).await;
    platform.store.publish_raw(WORKER_TOPIC, Bytes::from_static(b"\xc8short")).await;
    platform.store.publish_raw(WORKER_TOPIC, Bytes::new()).await;
    platform.store.publish_raw(WORKER_TOPIC, Bytes::from_static(b"\x02\xff\xfe{}")).await;
    platform.store.publish(WORKER_TOPIC, "after", &registration("none", "")).await;

    let followed = (client.read)(WORKER_TOPIC, 0, 0, Duration::ZERO).await;
    let listed = (client.newest)(WORKER_TOPIC).await;
    platform.token.cancel();

    let followed = followed.or_fail()?;
    verify_that!(followed.next, eq(5))?;
    verify_that!(keys(&followed), contains(eq("before")))?;
    verify_that!(keys(&followed), contains(eq("after")))?;
    verify_that!(keys(&listed.or_fail()?), contains(eq("after")))
}

/// Returns a client of a store that answers each call with this body, and the platform whose token stops it.
async fn store_that_answers(body: Bytes, name: &str) -> (StoreClient, Platform) {
    let platform = start_platform(name, 0).await;
    let token = platform.token.clone();
    let (listener, address) =
        godwithaven_standins::server::bind("127.0.0.1:0").await.expect("a port is free");
    actix_rt::spawn(godwithaven_standins::server::serve(listener, token, move |_| {
        std::future::ready(actix_http::Response::with_body(actix_http::StatusCode::OK, body.clone()))
    }));
    let path = write_settings(&platform, "e1", 1);
    let mut settings = (adapter().load)(&path.to_string_lossy()).expect("the settings are valid");
    settings.store_address = address.to_string().into();
    ((adapter().store)(&settings), platform)
}

/// Reads the newest records from a store that answers each call with this page.
async fn newest_of(page: &'static str, name: &str) -> std::result::Result<TopicPage, ReadFault> {
    let (store, platform) = store_that_answers(page.into(), name).await;
    let listed = (store.newest)(WORKER_TOPIC).await;
    platform.token.cancel();
    listed
}

/// Guards against expired records that are skipped in silence: a page tells the oldest retained offset, from which
/// its records are counted.
#[gtest]
#[actix_rt::test]
async fn a_page_tells_the_oldest_retained_offset() -> Result<()> {
    let mut body = Vec::new();
    body.extend(9_u64.to_be_bytes());
    body.extend(7_u64.to_be_bytes());
    body.extend(1_u32.to_be_bytes());
    body.push(b'x');
    let (store, platform) = store_that_answers(body.into(), "first_offset").await;

    let page = (store.read)("cell", 0, 2, Duration::ZERO).await;
    platform.token.cancel();

    let page = page.or_fail()?;
    verify_that!((page.first, page.next, page.end), eq((7, 8, 9)))?;
    verify_that!(page.records.first().map(|record| record.offset), some(eq(7)))
}

/// Guards against a list of workers that cannot be read at all because of one entry in it.
#[gtest]
#[actix_rt::test]
async fn an_odd_entry_in_a_list_hides_no_other_entry() -> Result<()> {
    let page = r#"{"items":[
        {"key":"first","value":"e30=","offset":0},
        {"key":"\ud800","value":"e30=","offset":1},
        {"key":"huge","value":"e30=","offset":18446744073709551616},
        {"key":7,"value":"e30=","offset":2},
        {"key":"nested","value":[[[[]]]],"offset":3},
        {"key":"last","value":"e30=","offset":4}],"has_more":false,"end":5}"#;

    let listed = newest_of(page, "odd_entry").await.or_fail()?;

    verify_that!(keys(&listed), elements_are![eq("first"), eq("last")])?;
    verify_that!(listed.next, eq(5))
}

/// Guards against workers that count as gone because their list was cut short: a page that announces further
/// ones and names no key to continue from was taken for the last one.
#[gtest]
#[actix_rt::test]
async fn a_list_that_cannot_be_continued_is_an_error() -> Result<()> {
    let without_key = r#"{"items":[{"key":7,"value":"e30=","offset":0}],"has_more":true,"end":5}"#;
    let repeated = r#"{"items":[{"key":"first","value":"e30=","offset":0}],"has_more":true,"end":5}"#;

    let without_key = newest_of(without_key, "list_without_key").await;
    let repeated = newest_of(repeated, "repeated_page").await;

    verify_that!(without_key, err(anything()))?;
    verify_that!(repeated, err(anything()))
}

/// Sends a submission to the front end of the adapter; returns it as the intake task receives it.
async fn decode_submission(body: &'static [u8]) -> JobSubmission {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let readiness_listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let url = format!("http://{}/q/1", listener.local_addr().expect("the listener is bound"));
    let (intake_sender, mut intake) = mpsc::channel(1);
    let token = CancellationToken::new();
    let (draining, stop) = (token.child_token(), token.clone());
    let capacity = ConnectionCapacity::of_machine(256, 4_096);
    let metrics = CellMetrics::new().expect("the metrics are valid").connections;
    let (access, _limits) = ClientAccess::start(capacity, ClientLimits::default(), metrics, token.clone());
    let context = FrontEndContext { listener, readiness_listener, access, intake_sender, draining, token };
    actix_rt::spawn((adapter().serve)(context));
    let call = awc::Client::default().post(url).send_body(body);
    let received = async {
        let Some(IntakeMessage::Call(call, reply)) = intake.recv().await else {
            panic!("a call is expected")
        };
        reply.send(CellReply::Stored).expect("the front end waits");
        call.action
    };
    let (answer, action) = tokio::join!(call, received);
    stop.cancel();
    assert!(answer.is_ok(), "the front end answers");
    match action {
        CallAction::Submit(submission) => submission.expect("the body is valid"),
        other => panic!("a submission was expected, not {other:?}"),
    }
}

fn job_of(steps: Vec<StepSpec>) -> GraphSpec {
    graph_job("j", "batch", steps)
}

/// Guards against a submission that no owner survives: its tasks would not fit into the memory of the owner,
/// nor of any that replaces it.
#[gtest]
fn jobs_beyond_the_size_of_a_cell_are_invalid() -> Result<()> {
    let wide = job_of(vec![step(u32::MAX)]);
    let wide_in_sum = job_of(vec![step(6_000), step(6_000)]);
    let many_steps = job_of(vec![step(1); 2_000]);
    let endless = StepSpec { estimate: Duration::MAX, ..step(1) };
    let usual = job_of(vec![step(1_000); 2]);

    let refused = [wide, wide_in_sum, many_steps, job_of(vec![endless])];
    let accepted = refused.iter().filter(|spec| spec.validation_error().is_none()).count();

    verify_that!(accepted, eq(0))?;
    verify_that!(usual.validation_error(), none())
}

/// Guards against a schedule with a due time in the distant past, whose occurrences all become due at once.
#[gtest]
fn occurrences_that_are_long_overdue_do_not_all_open_at_once() -> Result<()> {
    let mut driver = cell(1);
    let schedule =
        RepeatSchedule { first: Duration::ZERO, interval: Duration::from_millis(1), count: 1_000_000 };

    submit(&mut driver, GraphSpec { schedule: Some(schedule), ..job_of(vec![step(1_000)]) });
    driver.advance(100);

    let open = driver.scheduler.state().jobs["j"].occurrences.len();
    verify_that!(open, all![ge(1), le(10)])
}

/// Guards against estimates and objectives whose sums and products are out of the range of time.
#[gtest]
#[actix_rt::test]
async fn the_longest_times_that_the_interfaces_accept_stop_no_decision() -> Result<()> {
    let body = br#"{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":10,"estimated_ms":1e308},
        {"count":1,"cpu":1000,"mem_mb":10,"estimated_ms":1e22,"after":[0]}],"repeat_count":0}"#;
    let submission = decode_submission(body).await;
    let config =
        br#"{"version":2,"routes":[{"name":"batch","host":"h","path_prefix":"/q/","service":"planner",
        "stretch":1e300,"target_latency_ms":1e300}],"tenants":[{"name":"red","weight":1e300}]}"#;
    let change = (adapter().parse_operator_change)("config", config).or_fail()?;
    let OperatorChange::Config(config) = change else { return fail!("a configuration was expected") };
    let mut driver = cell_with((*config).clone(), vec![worker("w0")]);

    let spec = GraphSpec { submitted: START_UNIX_TIME, ..job_of(submission.steps) };
    let fault = spec.validation_error();
    submit(&mut driver, spec);
    driver.advance(100);

    verify_that!(fault, none())?;
    verify_that!(driver.started("j.0.0.0"), some(anything()))
}

fn runner() -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })
}

/// Returns a valid ASCII text in which up to 11 bytes at one position are replaced by pieces of JSON.
fn damaged(valid: String) -> impl Strategy<Value = Vec<u8>> {
    let pieces = prop::sample::select(vec![
        "",
        "0",
        "-1",
        "70000",
        "1e400",
        "18446744073709551616",
        "null",
        "{}",
        "[[[[",
        "\"\"",
        "\\ud800",
        "\u{0}",
    ]);
    let edit = (any::<prop::sample::Index>(), 0..12_usize, pieces, any::<Vec<u8>>());
    edit.prop_map(move |(position, removed, piece, noise)| {
        let start = position.index(valid.len());
        let end = (start + removed).min(valid.len());
        let tail = &valid.as_bytes()[end..];
        let noise = if noise.len() > 90 { &noise[..4] } else { &[][..] };
        [&valid.as_bytes()[..start], piece.as_bytes(), noise, tail].concat()
    })
}

/// Guards against bytes of another writer that make a decoder panic, or pass as a worker without an address, a
/// configuration with endless times, or a job that no owner can hold.
#[gtest]
fn damaged_records_never_panic_and_never_pass_as_usable() -> Result<()> {
    let config = r#"{"version":2,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"s","stretch":2.5,
        "target_latency_ms":500,"priority":1,"max_attempts":2}],"tenants":[{"name":"red","api_keys":["k"],"weight":3}]}"#;
    let job = serde_json::to_string(&JobRecord::Submit(job_of(vec![step(3)]))).or_fail()?;
    let texts = (damaged(registration("none", "")), damaged(config.to_owned()), damaged(job));

    let result = runner().run(&texts, |(worker, config, job)| {
        if let Ok(listing) = (adapter().parse_worker_registration)("w", &worker) {
            let address: std::net::SocketAddr = listing.address.parse().expect("the address is valid");
            prop_assert!(address.port() > 0 && listing.capacity.fits(ResourceVector::MAX_CAPACITY));
        }
        if let Ok(OperatorChange::Config(config)) = (adapter().parse_operator_change)("config", &config) {
            prop_assert!(
                config.queues.values().all(|rule| rule.target <= MAX_ESTIMATE && rule.stretch <= 1e6)
            );
        }
        if let Ok(JobRecord::Submit(spec)) = JobRecord::decode(&job) {
            prop_assert!(spec.tasks() <= MAX_TASKS_PER_JOB);
        }
        Ok(())
    });

    verify_that!(result, ok(anything()))
}
