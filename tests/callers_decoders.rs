//! Guards against bytes from outside the process that make a decoder panic, and against values that change
//! when they are encoded and decoded.

mod fixture;
mod raw_http;

use std::time::Duration;

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use godwithaven::kernel::{JobKind, JobSpec, PriorityClass, RecordGroup};
use godwithaven::prelude::{LogRecord, ResourceVector};
use godwithaven::proto::peer::{
    ExplainRequest, ForwardReply, ForwardRequest, HeartbeatReply, HeartbeatRequest,
};
use godwithaven::tasks::adapter::{AdapterEntry, SyncAnswer, SyncRequest, SyncResult};
use godwithaven::tasks::vm_list::CachedList;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, Strategy, any, prop};
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngAlgorithm, RngSeed, TestRunner};
use prost::Message;
use tokio_util::sync::CancellationToken;

use fixture::BLUE_KEY;

fn runner() -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })
}

/// Returns `count` copies of a valid ASCII text, each with up to 11 bytes at one position replaced by other
/// text.
fn random_edits(valid: &str, count: usize) -> Vec<String> {
    let edit = (any::<prop::sample::Index>(), 0..12_usize, "[ -~]{0,8}");
    let mut runner = runner();
    let mut next = || {
        let (position, removed, text) = edit.new_tree(&mut runner).unwrap().current();
        let start = position.index(valid.len());
        format!("{}{text}{}", &valid[..start], &valid[(start + removed).min(valid.len())..])
    };
    (0..count).map(|_| next()).collect()
}

/// Serves each text once, in order, and then the last one again; returns the address.
async fn serve_texts(texts: Vec<String>, token: CancellationToken) -> String {
    let (listener, address) = godwithaven_standins::server::bind("127.0.0.1:0").await.unwrap();
    let next = std::rc::Rc::new(std::cell::Cell::new(0));
    let handler = move |_: Request| {
        let index = next.replace(next.get() + 1).min(texts.len() - 1);
        let response = Response::build(StatusCode::OK)
            .insert_header(("content-type", "application/json"))
            .message_body(Bytes::from(texts[index].clone()));
        std::future::ready(response.unwrap())
    };
    actix_rt::spawn(godwithaven_standins::server::serve(listener, token, handler));
    address.to_string()
}

fn job_spec() -> impl Strategy<Value = JobSpec> {
    let kinds = prop::sample::select(vec![JobKind::Service, JobKind::Batch, JobKind::Gang]);
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>(), any::<u32>(), any::<u32>());
    ("[a-z]{1,8}", "\\PC{1,12}", kinds, numbers, any::<Option<u32>>()).prop_map(
        |(team, name, kind, (cores, memory, accelerators, tasks, retries), run_ms)| JobSpec {
            id: format!("{team}/{name}").into(),
            team: team.into(),
            queue: "main".into(),
            kind,
            priority: PriorityClass::Urgent,
            tasks,
            need: ResourceVector::new(cores, memory, accelerators),
            run_time: run_ms.map(|ms| Duration::from_millis(ms.into())),
            retries,
        },
    )
}

#[gtest]
fn an_encoded_record_group_decodes_to_the_same_group() {
    let groups = (job_spec(), any::<u64>(), any::<u64>());

    let result = runner().run(&groups, |(spec, sequence, at_ms)| {
        let job = spec.id.clone();
        let records = vec![LogRecord::Submit { spec, shard: "r1/0".into() }, LogRecord::Cancel { job }];
        let group = RecordGroup { process: "p".into(), sequence, at_ms, records };
        let text = serde_json::to_string(&group).unwrap();
        assert_eq!(serde_json::from_str::<RecordGroup>(&text).unwrap(), group);
        Ok(())
    });

    expect_that!(result, ok(anything()));
}

#[gtest]
fn malformed_record_groups_are_decoding_errors() {
    let spec = job_spec().new_tree(&mut runner()).unwrap().current();
    let records = vec![LogRecord::Submit { spec, shard: "r1/0".into() }];
    let group = RecordGroup { process: "p".into(), sequence: 1, at_ms: 2, records };
    // ASCII only, so that an edit cannot split a character.
    let valid: String = serde_json::to_string(&group).unwrap().chars().filter(char::is_ascii).collect();

    let broken = random_edits(&valid, 500)
        .iter()
        .filter(|text| serde_json::from_str::<RecordGroup>(text).is_err())
        .count();

    expect_that!(broken, gt(250));
}

#[gtest]
fn peer_messages_round_trip_and_malformed_ones_never_panic() {
    let fields = ("\\PC{0,12}", "\\PC{0,12}", any::<bool>(), any::<u64>(), any::<Vec<u8>>());

    let result = runner().run(&fields, |(shard, request, idempotent, deadline_ms, body)| {
        let team = "blue".to_owned();
        let message = ForwardRequest {
            shard,
            team,
            request,
            idempotent,
            deadline_ms,
            body,
            ..ForwardRequest::default()
        };
        let bytes = message.encode_to_vec();
        assert_eq!(ForwardRequest::decode(&bytes[..]).unwrap(), message);
        // Truncated and unrelated bytes must not make any decoder panic.
        for bytes in [&bytes[..bytes.len() / 2], &message.body[..]] {
            let _ = ForwardRequest::decode(bytes);
            let _ = ForwardReply::decode(bytes);
            let _ = HeartbeatRequest::decode(bytes);
            let _ = HeartbeatReply::decode(bytes);
            let _ = ExplainRequest::decode(bytes);
        }
        Ok(())
    });

    expect_that!(result, ok(anything()));
}

#[gtest]
#[actix_rt::test]
async fn malformed_worker_reports_are_not_accepted() {
    // Arrange
    let token = CancellationToken::new();
    let valid = r#"{"token":7,"stamp":"1-5","running":[{"task":"blue/j#0@0","team":"blue","cores_milli":1000,"memory_mib":10,"accelerators":0,"used_cores_milli":5,"used_memory_mib":6,"checkpointed":true}],"ended":[{"task":"blue/j#1@0","end":"finished","result":"r"}]}"#;
    let mut texts = vec![valid.to_owned()];
    texts.extend(random_edits(valid, 200));
    let address = serve_texts(texts, token.child_token()).await;
    let client = (AdapterEntry::find(AdapterEntry::worker).unwrap().connect)(&address);
    let request = || SyncRequest {
        vm: "w".into(),
        token: 7,
        lease: Duration::from_secs(1),
        stamp: None,
        commands: Vec::new(),
        known_revision: None,
    };

    // Act
    let first = client(request()).await;
    let mut unknown = 0;
    for _ in 0..200 {
        unknown += usize::from(matches!(client(request()).await, SyncResult::Unknown(_)));
    }

    // Assert
    let SyncResult::FullReport(SyncAnswer { report, .. }) = first else { panic!("{first:?}") };
    expect_that!((&*report.running[0].task, report.running[0].used.cores_milli), eq(("blue/j#0@0", 5)));
    expect_that!(report.ended[0].result, eq("r"));
    expect_that!(unknown, gt(100));
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn malformed_entries_of_the_vm_list_are_not_accepted() {
    // Arrange
    let token = CancellationToken::new();
    let valid = r#"{"vms":[{"vm":"w","zone":"a","region":"r1","rack":"k","role":"worker","state":"live","address":"127.0.0.1:1","cores":64,"memory_mib":1024,"accelerators":8},{"vm":"e","zone":"a","region":"r1","rack":"k","role":"endpoint","state":"leaving","address":"127.0.0.1:1","service":"s","slots":8,"connections":64}]}"#;
    let mut texts = vec![valid.to_owned(), valid.replace("64,", "18446744073709551615,")];
    texts.extend(random_edits(valid, 200));
    let address = serve_texts(texts, token.child_token()).await;
    let fetch = (AdapterEntry::find(AdapterEntry::directory).unwrap().connect)(&address);

    // Act
    let mut known = CachedList::default();
    known.refresh(&fetch).await.unwrap();
    let first = std::mem::take(&mut known.list);
    let overflowing = known.refresh(&fetch).await.map(|_| known.list.workers.len());
    let mut rejected = 0;
    for _ in 0..200 {
        let read = known.refresh(&fetch).await;
        rejected += usize::from(read.is_err() || known.list.workers.len() + known.list.endpoints.len() < 2);
    }

    // Assert
    expect_that!(first.workers[0].capacity, eq(ResourceVector::new(64_000, 1_024, 8)));
    expect_that!((first.endpoints[0].slots, first.endpoints[0].leaving), eq((8, true)));
    expect_that!(overflowing, ok(eq(&0)));
    expect_that!(rejected, gt(80));
    token.cancel();
}

/// Guards against one odd entry in the VM list, left by another writer, that stops every process from
/// following the list.
#[gtest]
#[actix_rt::test]
async fn an_odd_entry_in_the_vm_list_hides_no_other_vm() {
    // Arrange
    let token = CancellationToken::new();
    let worker = |name: &str, field: &str, text: &str| {
        let usual = format!(
            r#"{{"vm":"{name}","zone":"a","region":"r1","rack":"k","role":"worker","state":"live","address":"127.0.0.1:1","cores":64,"memory_mib":1024}}"#
        );
        let at = usual.find(&format!(r#""{field}":"#)).unwrap() + field.len() + 3;
        let end = at + usual[at..].find([',', '}']).unwrap();
        format!("{}{text}{}", &usual[..at], &usual[end..])
    };
    let nested = format!("{}{}", "[".repeat(10_000), "]".repeat(10_000));
    let odd = [
        worker("nested", "zone", &nested),
        worker("huge", "cores", "18446744073709551616"),
        worker("infinite", "cores", "1e400"),
        worker("overflow", "memory_mib", "18446744073709551615"),
        worker("port", "address", r#""127.0.0.1:70000""#),
        worker("no_port", "address", r#""127.0.0.1:0""#),
        nested.clone(),
        "7".to_owned(),
    ];
    let (first, last) = (worker("first", "cores", "64"), worker("last", "cores", "64"));
    let whole = format!(r#"{{"version":"1","vms":[{first},{},{last}]}}"#, odd.join(","));
    let moved = worker("last", "address", r#""127.0.0.1:70000""#);
    let changes = format!(r#"{{"since":"1","version":"2","changed":[{moved},{}]}}"#, odd.join(","));
    let address = serve_texts(vec![whole, changes], token.child_token()).await;
    let fetch = (AdapterEntry::find(AdapterEntry::directory).unwrap().connect)(&address);
    let names = |known: &CachedList| -> Vec<String> {
        known.list.workers.iter().map(|worker| worker.vm.to_string()).collect()
    };

    // Act
    let mut known = CachedList::default();
    let whole = known.refresh(&fetch).await.map(|_| names(&known));
    let changed = known.refresh(&fetch).await.map(|_| names(&known));

    // Assert
    expect_that!(whole, ok(unordered_elements_are![eq("first"), eq("last")]));
    expect_that!(changed, ok(elements_are![eq("first")]));
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn malformed_jobs_are_refused_and_the_process_keeps_serving() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&entry).await;
    let valid = fixture::batch_job("blue", "j", 2).to_string();

    // Act
    let mut unexpected = Vec::new();
    for body in random_edits(&valid, 200) {
        let request = raw_http::request("POST", "/v1/jobs", &[("x-team-key", BLUE_KEY)], &body);
        let response = raw_http::send(entry.listen, request.as_bytes()).await;
        if ![202, 400, 403, 404, 409].contains(&response.status) {
            unexpected.push((body, response));
        }
    }
    let (last, _) = fixture::submit(&entry, BLUE_KEY, &fixture::batch_job("blue", "last", 1)).await;

    // Assert
    expect_that!(unexpected, len(eq(0)));
    expect_that!(last, eq(202));
    entry.stop().await;
    token.cancel();
}
