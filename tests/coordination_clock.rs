//! Guards against decisions that depend on the wall clocks of entry processes, which may step by seconds.

mod fixture;

#[path = "fixture/faults.rs"]
mod faults;

use std::collections::BTreeMap;
use std::time::Duration;

use fixture::BLUE_KEY;
use godwithaven::kernel::RecordGroup;
use godwithaven::tasks::entry::EntryProcess;
use godwithaven_standins::invariant::InvariantViolations;
use godwithaven_standins::relay::RelayStandin;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

/// Shifts of the wall clocks in milliseconds. Each process cycles through them from another position.
const CLOCK_SHIFTS_MS: [i64; 4] = [0, 2_000, -2_000, 0];

#[gtest]
#[actix_rt::test]
async fn clocks_that_step_by_two_seconds_lose_or_duplicate_no_work() {
    // Arrange
    let token = CancellationToken::new();
    let mut world = fixture::start_world(&token).await;
    world.facts.limits.insert("blue".into(), [64_000, 262_144, 16]);
    let (mut entries, mut relays) = (Vec::new(), Vec::new());
    for zone in faults::ZONES {
        let relay = RelayStandin::start(world.log.address, token.child_token()).await.unwrap();
        let mut settings = fixture::settings(&world, &format!("entry-{zone}"), zone);
        settings.log = relay.address.to_string();
        let entry = EntryProcess::start(settings).await.unwrap();
        world.list_entry(&format!("entry-{zone}"), zone, &entry.peer_listen.to_string());
        entries.push(entry);
        relays.push(relay);
    }
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    for entry in &entries {
        fixture::wait_ready(entry).await;
    }

    // Act: each request id is sent to two processes.
    let (mut jobs, mut answered) = (Vec::new(), 0);
    for step in 0..12 {
        for (index, relay) in relays.iter().enumerate() {
            relay.set_clock_shift(CLOCK_SHIFTS_MS[(step + index) % CLOCK_SHIFTS_MS.len()]);
        }
        let (accepted, refused) = faults::submit_many(&entries, &format!("step-{step}"), 3).await;
        expect_that!(refused, eq(&BTreeMap::new()));
        jobs.extend(accepted);
        for turn in 0..2 {
            let entry = &entries[(step + turn) % 3];
            let (status, _) = fixture::call(entry, "blue", BLUE_KEY, &format!("call-{step}"), false).await;
            answered += usize::from(status == 200);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let finished = faults::count_finished(&entries[0], &jobs).await;

    // Assert
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for endpoint in world.endpoints.values() {
        for (id, count) in endpoint.runs().await {
            *runs.entry(id).or_default() += count;
        }
    }
    runs.retain(|id, _| id.contains("call-"));
    let mut last_at_ms: BTreeMap<String, u64> = BTreeMap::new();
    let mut backward_steps = 0;
    for (_, body) in world.log.read_all("control").await {
        let group: RecordGroup = serde_json::from_str(&body).unwrap();
        let previous_at_ms = last_at_ms.insert(group.process.to_string(), group.at_ms).unwrap_or(0);
        backward_steps += usize::from(previous_at_ms > group.at_ms + 1_000);
    }
    expect_that!(backward_steps, ge(3));
    expect_that!((jobs.len(), finished, answered), eq((36, 36, 24)));
    expect_that!((runs.len(), runs.values().sum::<u32>()), eq((12, 12)));
    expect_that!(faults::find_violations(&world).await, eq(InvariantViolations::default()));
    token.cancel();
}
