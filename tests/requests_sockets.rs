//! Guards what callers and endpoints see over real sockets: slow callers, answers that are not taken, leaving
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

/// A running platform with one entry process.
struct Stage {
    token: CancellationToken,
    world: StandinWorld,
    entry: EntryProcess,
}

/// Starts the stand-ins with the first `endpoints` of six endpoints, and one entry process.
async fn start(endpoints: usize, service: &str) -> Stage {
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    (endpoints..6).for_each(|index| world.unlist(&format!("planner-{index}")));
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    fixture::publish(&world, 1, 0, bundle(1, 0, service)).await;
    fixture::wait_ready(&entry).await;
    Stage { token, world, entry }
}

fn bundle(version: u64, base: u64, service: &str) -> String {
    fixture::bundle_text(version, base) + service
}

impl Stage {
    fn endpoint(&self, index: usize) -> &EndpointStandin {
        &self.world.endpoints[&format!("planner-{index}")]
    }

    async fn set_faults(&self, faults: EndpointFaults) {
        for endpoint in self.world.endpoints.values() {
            endpoint.set_faults(faults).await;
        }
    }

    /// Returns how many requests each endpoint has begun.
    async fn begun(&self) -> Vec<u32> {
        let mut begun = Vec::new();
        for index in 0..6 {
            begun.push(self.endpoint(index).runs().await.values().sum());
        }
        begun
    }

    /// Sends requests at once and returns status and body of each.
    async fn call_all(&self, name: &str, count: usize, idempotent: bool) -> Vec<(u16, String)> {
        let call = |index| async move {
            fixture::call(&self.entry, "blue", BLUE_KEY, &format!("{name}-{index}"), idempotent).await
        };
        futures_util::future::join_all((0..count).map(call)).await
    }

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

fn work(work_time: Duration) -> EndpointFaults {
    EndpointFaults { work_time, ..EndpointFaults::default() }
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a caller that does not read its answer and so keeps a slot from others.
#[gtest]
#[actix_rt::test]
async fn callers_that_do_not_read_hold_no_slot() {
    // Arrange
    let stage = start(1, "").await;
    let padding = 4 << 20;
    stage.set_faults(EndpointFaults { padding, ..EndpointFaults::default() }).await;
    let mut slow = Vec::new();
    for index in 0..16 {
        let id = format!("slow-{index}");
        let headers = [("x-team-key", BLUE_KEY), ("x-team", "blue"), ("x-request-id", id.as_str())];
        let request = raw_http::request("POST", "/v1/services/planner/requests", &headers, "x");
        let mut stream = TcpStream::connect(stage.entry.listen).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        slow.push(stream);
    }
    // One request showed that the entry process is ready.
    for _ in 0..500 {
        if stage.begun().await[0] == 17 {
            break;
        }
        tokio::time::sleep(ms(20)).await;
    }
    stage.set_faults(EndpointFaults::default()).await;

    // Act
    let others = stage.call_all("quick", 32, false).await;
    let mut lengths = Vec::new();
    for stream in &mut slow {
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        lengths.push(answer.len());
    }

    // Assert
    expect_that!(others.iter().filter(|(status, _)| *status == 200).count(), eq(32));
    expect_that!(lengths, each(gt(&padding)));
    expect_that!(stage.endpoint(0).record().await.over_slots, eq(0));
    stage.stop().await;
}

/// Guards against answers that are cut or unbounded and reach a caller, or harm requests beside them.
#[gtest]
#[actix_rt::test]
async fn answers_that_are_not_taken_are_counted_and_told_as_may_have_run() {
    for (answer, reason) in [
        (AnswerFault::TooLong, "too long"),
        (AnswerFault::Endless, "too long"),
        (AnswerFault::Truncated, "truncated"),
    ] {
        // Arrange
        let stage = start(6, "").await;
        let counter = format!("godwithaven_dropped_answers_total{{reason=\"{reason}\"}}");
        stage.endpoint(0).set_faults(EndpointFaults { answer, ..EndpointFaults::default() }).await;

        // Act
        let replies = stage.call_all("r", 24, false).await;
        let dropped = stage.metric(&counter).await;

        // Assert
        let unknown: Vec<&String> =
            replies.iter().filter(|reply| reply.0 == 502).map(|reply| &reply.1).collect();
        let answered = replies.iter().filter(|reply| reply.0 == 200).count();
        let struck = stage.endpoint(0).runs().await.keys().filter(|id| id.contains("r-")).count();
        expect_that!(unknown, all!(not(is_empty()), each(contains_substring("\"may_have_run\""))));
        expect_that!((unknown.len(), answered), eq((struck, 24 - struck)), "{answer:?} {replies:?}");
        expect_that!(dropped, eq(u32::try_from(struck).unwrap()), "{answer:?}");
        expect_that!(stage.begun().await.iter().sum::<u32>(), ge(24));
        stage.stop().await;
    }
}

/// Guards against new work on endpoints 3 s after they left in any of three ways, and against cutting what runs.
#[gtest]
#[actix_rt::test]
async fn leaving_endpoints_get_no_new_work_and_finish_what_runs() {
    // Arrange
    let stage = start(6, "").await;
    stage.set_faults(work(ms(300))).await;
    let done = CancellationToken::new();
    let listen = stage.entry.listen;
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
    let before = stage.begun().await;

    // Act
    let leaving = EndpointFaults { leaving: true, ..work(ms(300)) };
    stage.endpoint(0).set_faults(leaving).await;
    stage.world.directory.change(|list| {
        list.iter_mut().filter(|vm| vm.vm == "planner-1").for_each(|vm| vm.state = "leaving".into());
    });
    let zone_out = fixture::bundle_text(2, 1).replace(
        "id = \"c\"\nregion = \"r1\"\nstate = \"in\"",
        "id = \"c\"\nregion = \"r1\"\nstate = \"out\"",
    );
    fixture::publish(&stage.world, 2, 1, zone_out).await;
    tokio::time::sleep(ms(3_000)).await;
    let bound = stage.begun().await;
    tokio::time::sleep(ms(1_500)).await;
    let after = stage.begun().await;
    done.cancel();
    let mut statuses = Vec::new();
    for caller in callers {
        statuses.extend(caller.await.unwrap());
    }

    // Assert
    for index in [0, 1, 2, 5] {
        expect_that!(before[index], gt(0), "planner-{index} had no work before it left");
        expect_that!(after[index], eq(bound[index]), "planner-{index} got work after 3 s");
    }
    for index in [3, 4] {
        expect_that!(after[index], gt(bound[index]), "planner-{index} stays and gets no work");
    }
    expect_that!(statuses, each(eq(&200)));
    stage.stop().await;
}

/// Guards against settings of a service that are in force only after the next claim of its partition.
#[gtest]
#[actix_rt::test]
async fn changed_settings_of_a_service_apply_to_its_present_owner() {
    // Arrange
    let stage = start(6, "").await;
    for index in 0..12 {
        fixture::call(&stage.entry, "blue", BLUE_KEY, &format!("before-{index}"), true).await;
    }
    let before = stage.begun().await;

    // Act
    let settings = "routing = \"round_robin\"\ntimeout_ms = 400\n";
    fixture::publish(&stage.world, 2, 1, bundle(2, 1, settings)).await;
    let mut spread = Vec::new();
    for index in 0..200 {
        fixture::call(&stage.entry, "blue", BLUE_KEY, &format!("after-{index}"), true).await;
        spread = stage.begun().await;
        if spread.iter().all(|begun| *begun > 0) {
            break;
        }
    }
    stage.set_faults(EndpointFaults { answer: AnswerFault::Silent, ..EndpointFaults::default() }).await;
    let (status, body) = fixture::call(&stage.entry, "blue", BLUE_KEY, "silent", false).await;

    // Assert
    // The policy before the change prefers the zone of the caller: planner-0 and planner-3.
    expect_that!([before[1], before[2], before[4], before[5]], each(eq(0)));
    expect_that!(spread, each(gt(&0)));
    // The request names no deadline, which makes 30 s: `timeout` would be the code of that.
    expect_that!(status, eq(502));
    expect_that!(body, all!(contains_substring("connection_lost"), contains_substring("\"may_have_run\"")));
    stage.stop().await;
}

/// Guards against a request that waits for longer than the service's time-out on a connection that fell silent
/// while the endpoint works on others, and against requests that follow it to the silent connection.
#[gtest]
#[actix_rt::test]
async fn a_silent_connection_of_a_busy_endpoint_is_given_up_at_the_timeout() {
    // Arrange
    let stage = start(1, "timeout_ms = 1500\n").await;
    stage.set_faults(work(ms(600))).await;

    // Act
    // The connection of the requests before is idle and silent from now on, so the next request takes it.
    stage.endpoint(0).mute_connections();
    let dead = actix_rt::spawn({
        let headers = [("x-team-key", BLUE_KEY), ("x-team", "blue"), ("x-request-id", "dead")];
        let text = raw_http::request("POST", "/v1/services/planner/requests", &headers, "x");
        let listen = stage.entry.listen;
        async move { raw_http::send(listen, text.as_bytes()).await }
    });
    tokio::time::sleep(ms(50)).await;
    let mut others = Vec::new();
    for round in 0..4 {
        others.extend(stage.call_all(&format!("busy-{round}"), 3, false).await);
    }
    let dead = dead.await.unwrap();
    let ended_by_probes = stage.metric("godwithaven_dropped_answers_total{reason=\"silent\"}").await;

    // Assert
    expect_that!(
        ended_by_probes,
        eq(0),
        "probes show a busy endpoint, so only the time-out ends the attempt"
    );
    expect_that!(dead.status, eq(502));
    expect_that!(
        dead.body,
        all!(contains_substring("connection_lost"), contains_substring("\"may_have_run\""))
    );
    expect_that!(others.iter().filter(|(status, _)| *status == 200).count(), eq(12));
    expect_that!(stage.endpoint(0).runs().await.values().copied().max(), some(eq(1)));
    stage.stop().await;
}
