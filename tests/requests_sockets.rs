//! Guards what callers and endpoints observe over real sockets with slow callers, dropped answers, leaving
//! endpoints, changed settings and silent connections.

mod fixture;
mod raw_http;

use std::time::Duration;

use fixture::BLUE_KEY;
use godwithaven::tasks::entry::EntryProcess;
use godwithaven_standins::endpoint::{AnswerFault, EndpointFaults, EndpointStandin};
use godwithaven_standins::world::StandinWorld;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Running stand-ins of the platform and one entry process.
struct TestPlatform {
    token: CancellationToken,
    world: StandinWorld,
    entry: EntryProcess,
}

/// Starts the stand-ins with the first `endpoints` of six endpoints, and one entry process.
async fn start_platform(endpoints: usize, service: &str) -> TestPlatform {
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    (endpoints..6).for_each(|index| world.unlist(&format!("planner-{index}")));
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    fixture::publish(&world, 1, 0, bundle(1, 0, service)).await;
    fixture::wait_ready(&entry).await;
    TestPlatform { token, world, entry }
}

fn bundle(version: u64, base: u64, service: &str) -> String {
    fixture::bundle_text(version, base) + service
}

impl TestPlatform {
    fn endpoint(&self, index: usize) -> &EndpointStandin {
        &self.world.endpoints[&format!("planner-{index}")]
    }

    async fn set_faults(&self, faults: EndpointFaults) {
        for endpoint in self.world.endpoints.values() {
            endpoint.set_faults(faults).await;
        }
    }

    /// Returns the number of requests that each endpoint has begun.
    async fn requests_begun(&self) -> Vec<u32> {
        let mut begun = Vec::new();
        for index in 0..6 {
            begun.push(self.endpoint(index).runs().await.values().sum());
        }
        begun
    }

    /// Sends `count` requests concurrently and returns the status and the body of each answer.
    async fn call_all(&self, name: &str, count: usize, idempotent: bool) -> Vec<(u16, String)> {
        let call = |index| async move {
            fixture::call(&self.entry, "blue", BLUE_KEY, &format!("{name}-{index}"), idempotent).await
        };
        futures_util::future::join_all((0..count).map(call)).await
    }

    /// Returns the value of the metric with this name and labels, or 0 if there is none.
    async fn metric(&self, line: &str) -> u32 {
        let url = format!("http://{}/metrics", self.entry.operator_listen);
        let body = awc::Client::default().get(url).send().await.unwrap().body().await.unwrap();
        let text = String::from_utf8_lossy(&body).into_owned();
        let value = text.lines().find_map(|known| known.strip_prefix(line)?.trim().parse().ok());
        value.unwrap_or(0)
    }

    async fn stop(self) {
        self.entry.stop().await;
        self.token.cancel();
    }
}

fn with_work_time(work_time: Duration) -> EndpointFaults {
    EndpointFaults { work_time, ..EndpointFaults::default() }
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a caller that occupies a slot of an endpoint because it does not read its answer.
#[gtest]
#[actix_rt::test]
async fn callers_that_do_not_read_their_answers_occupy_no_slot() {
    // Arrange
    let platform = start_platform(1, "").await;
    let padding = 4 << 20;
    platform.set_faults(EndpointFaults { padding_bytes: padding, ..EndpointFaults::default() }).await;
    let mut slow = Vec::new();
    for index in 0..16 {
        let id = format!("slow-{index}");
        let headers = [("x-team-key", BLUE_KEY), ("x-team", "blue"), ("x-request-id", id.as_str())];
        let request = raw_http::request("POST", "/v1/services/planner/requests", &headers, "x");
        let mut stream = TcpStream::connect(platform.entry.listen).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        slow.push(stream);
    }
    // The 17th request is the one that showed that the entry process is ready.
    for _ in 0..500 {
        if platform.requests_begun().await[0] == 17 {
            break;
        }
        tokio::time::sleep(ms(20)).await;
    }
    platform.set_faults(EndpointFaults::default()).await;

    // Act
    let others = platform.call_all("quick", 32, false).await;
    let mut lengths = Vec::new();
    for stream in &mut slow {
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        lengths.push(answer.len());
    }

    // Assert
    expect_that!(others.iter().filter(|(status, _)| *status == 200).count(), eq(32));
    expect_that!(lengths, each(gt(&padding)));
    expect_that!(platform.endpoint(0).counts().await.over_slots, eq(0));
    platform.stop().await;
}

/// Guards against truncated or oversized answers that reach a caller or affect concurrent requests.
#[gtest]
#[actix_rt::test]
async fn dropped_answers_are_counted_and_reported_as_may_have_run() {
    for (answer, reason) in [
        (AnswerFault::TooLong, "too long"),
        (AnswerFault::Endless, "too long"),
        (AnswerFault::Truncated, "truncated"),
    ] {
        // Arrange
        let platform = start_platform(6, "").await;
        let counter = format!("godwithaven_dropped_answers_total{{reason=\"{reason}\"}}");
        platform.endpoint(0).set_faults(EndpointFaults { answer, ..EndpointFaults::default() }).await;

        // Act
        let replies = platform.call_all("r", 24, false).await;
        let dropped = platform.metric(&counter).await;

        // Assert
        let unknown: Vec<&String> =
            replies.iter().filter(|reply| reply.0 == 502).map(|reply| &reply.1).collect();
        let answered = replies.iter().filter(|reply| reply.0 == 200).count();
        let faulty_runs = platform.endpoint(0).runs().await.keys().filter(|id| id.contains("r-")).count();
        expect_that!(unknown, all!(not(is_empty()), each(contains_substring("\"may_have_run\""))));
        expect_that!(
            (unknown.len(), answered),
            eq((faulty_runs, 24 - faulty_runs)),
            "{answer:?} {replies:?}"
        );
        expect_that!(dropped, eq(u32::try_from(faulty_runs).unwrap()), "{answer:?}");
        expect_that!(platform.requests_begun().await.iter().sum::<u32>(), ge(24));
        platform.stop().await;
    }
}

/// Guards against new requests on endpoints more than 3 s after they started to leave, by health probe, VM
/// list or zone state, and against cutting off the requests that run there.
#[gtest]
#[actix_rt::test]
async fn leaving_endpoints_get_no_new_work_and_finish_what_runs() {
    // Arrange
    let platform = start_platform(6, "").await;
    platform.set_faults(with_work_time(ms(300))).await;
    let done = CancellationToken::new();
    let listen = platform.entry.listen;
    let callers: Vec<_> = (0..46)
        .map(|caller| {
            let done = done.clone();
            actix_rt::spawn(async move {
                let mut statuses = Vec::new();
                while !done.is_cancelled() {
                    let id = format!("c{caller}-{}", statuses.len());
                    let headers =
                        [("x-team-key", BLUE_KEY), ("x-team", "blue"), ("x-request-id", id.as_str())];
                    let text = raw_http::request("POST", "/v1/services/planner/requests", &headers, "x");
                    statuses.push(raw_http::send(listen, text.as_bytes()).await.status);
                }
                statuses
            })
        })
        .collect();
    tokio::time::sleep(ms(1_000)).await;
    let before = platform.requests_begun().await;

    // Act
    let leaving = EndpointFaults { leaving: true, ..with_work_time(ms(300)) };
    platform.endpoint(0).set_faults(leaving).await;
    platform.world.directory.change(|list| {
        list.iter_mut().filter(|vm| vm.vm == "planner-1").for_each(|vm| vm.state = "leaving".into());
    });
    let zone_out = fixture::bundle_text(2, 1).replace(
        "id = \"c\"\nregion = \"r1\"\nstate = \"in\"",
        "id = \"c\"\nregion = \"r1\"\nstate = \"out\"",
    );
    fixture::publish(&platform.world, 2, 1, zone_out).await;
    tokio::time::sleep(ms(3_000)).await;
    let after_limit = platform.requests_begun().await;
    tokio::time::sleep(ms(1_500)).await;
    let at_end = platform.requests_begun().await;
    done.cancel();
    let mut statuses = Vec::new();
    for caller in callers {
        statuses.extend(caller.await.unwrap());
    }

    // Assert
    for index in [0, 1, 2, 5] {
        expect_that!(before[index], gt(0), "planner-{index} had no requests before it left");
        expect_that!(
            at_end[index],
            eq(after_limit[index]),
            "planner-{index} got requests more than 3 s after it left"
        );
    }
    for index in [3, 4] {
        expect_that!(
            at_end[index],
            gt(after_limit[index]),
            "planner-{index} did not leave but got no requests"
        );
    }
    expect_that!(statuses, each(eq(&200)));
    platform.stop().await;
}

/// Guards against changed service settings that take effect only when the partition is claimed again.
#[gtest]
#[actix_rt::test]
async fn changed_settings_of_a_service_apply_to_its_present_owner() {
    // Arrange
    let platform = start_platform(6, "").await;
    for index in 0..12 {
        fixture::call(&platform.entry, "blue", BLUE_KEY, &format!("before-{index}"), true).await;
    }
    let before = platform.requests_begun().await;

    // Act
    let settings = "routing = \"round_robin\"\ntimeout_ms = 400\n";
    fixture::publish(&platform.world, 2, 1, bundle(2, 1, settings)).await;
    let mut spread = Vec::new();
    for index in 0..200 {
        fixture::call(&platform.entry, "blue", BLUE_KEY, &format!("after-{index}"), true).await;
        spread = platform.requests_begun().await;
        if spread.iter().all(|begun| *begun > 0) {
            break;
        }
    }
    platform.set_faults(EndpointFaults { answer: AnswerFault::Silent, ..EndpointFaults::default() }).await;
    let (status, body) = fixture::call(&platform.entry, "blue", BLUE_KEY, "silent", false).await;

    // Assert
    // The routing policy before the change prefers the zone of the caller, which has planner-0 and planner-3.
    expect_that!([before[1], before[2], before[4], before[5]], each(eq(0)));
    expect_that!(spread, each(gt(&0)));
    // The request has the default deadline of 30 s. If that had ended it, the code would be `timeout`.
    expect_that!(status, eq(502));
    expect_that!(body, all!(contains_substring("connection_lost"), contains_substring("\"may_have_run\"")));
    platform.stop().await;
}

/// Guards against a request that waits longer than the service's timeout on a connection that fell silent
/// while the endpoint works on other requests, and against reuse of the silent connection by later requests.
#[gtest]
#[actix_rt::test]
async fn a_silent_connection_of_a_busy_endpoint_is_closed_at_the_timeout() {
    // Arrange
    let platform = start_platform(1, "timeout_ms = 1500\n").await;
    platform.set_faults(with_work_time(ms(600))).await;

    // Act
    // The idle connection of the earlier requests is silent from now on, and the next request reuses it.
    platform.endpoint(0).silence_connections();
    let silent_reply = actix_rt::spawn({
        let headers = [("x-team-key", BLUE_KEY), ("x-team", "blue"), ("x-request-id", "dead")];
        let text = raw_http::request("POST", "/v1/services/planner/requests", &headers, "x");
        let listen = platform.entry.listen;
        async move { raw_http::send(listen, text.as_bytes()).await }
    });
    tokio::time::sleep(ms(50)).await;
    let mut others = Vec::new();
    for round in 0..4 {
        others.extend(platform.call_all(&format!("busy-{round}"), 3, false).await);
    }
    let silent_reply = silent_reply.await.unwrap();
    let ended_by_probes = platform.metric("godwithaven_dropped_answers_total{reason=\"silent\"}").await;

    // Assert
    expect_that!(
        ended_by_probes,
        eq(0),
        "health probes are answered, so only the timeout may end the attempt"
    );
    expect_that!(silent_reply.status, eq(502));
    expect_that!(
        silent_reply.body,
        all!(contains_substring("connection_lost"), contains_substring("\"may_have_run\""))
    );
    expect_that!(others.iter().filter(|(status, _)| *status == 200).count(), eq(12));
    expect_that!(platform.endpoint(0).runs().await.values().copied().max(), some(eq(1)));
    platform.stop().await;
}
