//! Guards against an operators' interface that changes state, confuses liveness with readiness or exposes
//! team keys.

mod fixture;

use awc::Client;
use awc::http::Method;
use googletest::prelude::*;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use fixture::{BLUE_KEY, RED_KEY};

/// Gets a page of the operators' interface; returns its status and body.
async fn get_page(entry: &godwithaven::tasks::entry::EntryProcess, path: &str) -> (u16, String) {
    let url = format!("http://{}{path}", entry.operator_listen);
    let mut response = Client::default().get(url).send().await.unwrap();
    let body = response.body().await.unwrap();
    (response.status().as_u16(), String::from_utf8(body.to_vec()).unwrap())
}

/// Gets a JSON page of the operators' interface, which must have the status 200.
async fn get_json(entry: &godwithaven::tasks::entry::EntryProcess, path: &str) -> Value {
    let (status, body) = get_page(entry, path).await;
    assert_eq!(status, 200, "{path}: {body}");
    serde_json::from_str(&body).unwrap()
}

/// Guards against a process without a configuration that is reported as not alive, or as ready.
#[gtest]
#[actix_rt::test]
async fn a_process_is_alive_before_it_is_ready() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entry = fixture::start_entry(&world, "entry-1", "a").await;

    // Act
    let alive = get_page(&entry, "/healthz").await;
    let early = get_page(&entry, "/readyz").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&entry).await;
    let ready = get_page(&entry, "/readyz").await;

    // Assert
    expect_that!(alive, eq(&(200, "ok\n".to_owned())));
    expect_that!(early, eq(&(503, "no configuration\n".to_owned())));
    expect_that!(ready, eq(&(200, "ready\n".to_owned())));
    entry.stop().await;
    token.cancel();
}

/// Guards against pages that miss the state of the platform, and against pages and metrics that contain a
/// team's key.
#[gtest]
#[actix_rt::test]
async fn pages_show_the_state_without_keys() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&entry).await;
    let mut job = fixture::batch_job("blue", "load", 3);
    job["run_ms"] = 20_000.into();
    fixture::submit(&entry, BLUE_KEY, &job).await;
    fixture::call(&entry, "blue", BLUE_KEY, "r-1", false).await;
    fixture::call(&entry, "blue", RED_KEY, "r-2", false).await;
    fixture::submit(&entry, "stray-key", &job).await;

    // Act
    let (status, bundle) = (get_json(&entry, "/v1/status").await, get_json(&entry, "/v1/bundle").await);
    let (fleet, teams) = (get_json(&entry, "/v1/fleet").await, get_json(&entry, "/v1/teams").await);
    let (zones, endpoints) = (get_json(&entry, "/v1/zones").await, get_json(&entry, "/v1/endpoints").await);
    let job = get_json(&entry, "/v1/explain/job/blue/load").await;
    let request = get_json(&entry, "/v1/explain/request/blue/r-1").await;
    let (_, metrics) = get_page(&entry, "/metrics").await;

    // Assert
    expect_that!(status["bundle_version"], eq(&Value::from(1)));
    expect_that!(status["bundle_age_s"].as_u64(), some(lt(60)));
    expect_that!(metrics, contains_substring("\ngodwithaven_bundle_version 1\n"));
    expect_that!(metrics, contains_substring("\ngodwithaven_ready 1\n"));
    expect_that!(status["open_jobs"], eq(&Value::from(1)));
    expect_that!(bundle["signatures"].as_array().map(Vec::len), some(eq(1)));
    expect_that!(fleet["shards"].as_array().map(Vec::len), some(eq(2)));
    expect_that!(teams["teams"][0]["open_tasks"], eq(&Value::from(3)));
    let workers = world.facts.zones.values().filter(|zone| *zone == "c").count();
    expect_that!(zones["zones"][2]["workers"], eq(&Value::from(workers)));
    expect_that!(endpoints["partitions"][0]["endpoints"].as_array().map(Vec::len), some(eq(6)));
    expect_that!(job["state"], eq(&Value::from("open")));
    expect_that!(job["tasks"].is_object(), eq(true));
    expect_that!(request["stage"], eq(&Value::from("answered")));
    let all_pages = format!("{status}{bundle}{fleet}{teams}{zones}{endpoints}{job}{request}{metrics}");
    for key in [BLUE_KEY, RED_KEY, "stray-key"] {
        expect_that!(all_pages, not(contains_substring(key)));
    }
    entry.stop().await;
    token.cancel();
}

/// Guards against waiting tasks that are not counted, or are counted under a wrong reason.
#[gtest]
#[actix_rt::test]
async fn waiting_tasks_are_counted_by_team_and_reason() {
    // Arrange: the job needs 100 cores, the limit of the team is 64.
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&entry).await;
    let mut job = fixture::batch_job("blue", "wide", 100);
    job["run_ms"] = 60_000.into();
    fixture::submit(&entry, BLUE_KEY, &job).await;

    // Act
    let waits = |teams: &Value| teams["teams"][0]["waiting_here"]["over_limit"].as_u64();
    let mut teams = get_json(&entry, "/v1/teams").await;
    for _ in 0..200 {
        if waits(&teams).is_some() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        teams = get_json(&entry, "/v1/teams").await;
    }
    let (_, metrics) = get_page(&entry, "/metrics").await;

    // Assert
    expect_that!(waits(&teams), some(all!(ge(36), le(100))), "{teams}");
    expect_that!(teams["teams"][1]["waiting_here"], eq(&serde_json::json!({})));
    let series = "godwithaven_waiting_tasks{reason=\"over_limit\",team=\"blue\"} ";
    expect_that!(metrics, contains_substring(series));
    entry.stop().await;
    token.cancel();
}

/// Guards against requests for unknown pages or objects, and writing requests, that are not refused.
#[gtest]
#[actix_rt::test]
async fn unknown_pages_and_writes_are_refused() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entry = fixture::start_entry(&world, "entry-1", "a").await;

    // Act
    let absent = get_page(&entry, "/v1/explain/job/blue/none").await;
    let unknown = get_page(&entry, "/v1/colours").await;
    let url = format!("http://{}/v1/bundle", entry.operator_listen);
    let post = Client::default().request(Method::POST, url).send().await.unwrap();

    // Assert
    expect_that!(absent, eq(&(404, "{\"error\":\"not known to this process\"}\n".to_owned())));
    expect_that!(unknown.0, eq(404));
    expect_that!(post.status().as_u16(), eq(405));
    entry.stop().await;
    token.cancel();
}

/// Guards against a process that cannot explain a job because another process owns the job's shard.
#[gtest]
#[actix_rt::test]
async fn every_process_explains_a_job_of_another_process() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let entries = [
        fixture::start_entry(&world, "entry-1", "a").await,
        fixture::start_entry(&world, "entry-2", "b").await,
    ];
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    for entry in &entries {
        fixture::wait_ready(entry).await;
    }
    let mut job = fixture::batch_job("blue", "load", 3);
    job["run_ms"] = 60_000.into();
    fixture::submit(&entries[0], BLUE_KEY, &job).await;

    // Act: one of the two processes owns the job's shard, so the other one forwards the question.
    let mut running = Vec::new();
    for entry in &entries {
        let mut page = get_json(entry, "/v1/explain/job/blue/load").await;
        for _ in 0..100 {
            if page["tasks"]["running"].as_array().is_some_and(|tasks| tasks.len() == 3) {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            page = get_json(entry, "/v1/explain/job/blue/load").await;
        }
        running.push(page["tasks"]["running"].as_array().map(Vec::len));
    }

    // Assert
    expect_that!(running, elements_are![some(eq(&3)), some(eq(&3))]);
    for entry in entries {
        entry.stop().await;
    }
    token.cancel();
}
