//! Guards against bundles that come into force late, in the wrong order or not in every entry process.

mod fixture;

#[path = "fixture/daemon.rs"]
mod daemon;
#[path = "fixture/faults.rs"]
mod faults;

use std::time::{Duration, Instant};

use awc::Client;
use ed25519_dalek::SigningKey;
use godwithaven::kernel::BundleRecord;
use godwithaven::plugins::bundle_signature;
use godwithaven_standins::logservice::LogFaults;
use googletest::prelude::*;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Index of a process, the bundle version that its metrics showed, and when.
type VersionObservation = (usize, u64, Instant);

/// Returns the version of the bundle in force in a process. Returns `None` if its metrics page did not arrive
/// completely, as happens while the process is paused.
async fn shown_version(operator: &str) -> Option<u64> {
    let request =
        Client::default().get(format!("http://{operator}/metrics")).timeout(Duration::from_secs(10));
    let page = request.send().await.ok()?.body().await.ok()?;
    let page = String::from_utf8_lossy(&page);
    page.lines().find_map(|line| line.strip_prefix("godwithaven_bundle_version "))?.parse().ok()
}

/// Polls the version of the bundle in force in a process and sends each change.
async fn watch_version(
    index: usize,
    operator: String,
    observations: mpsc::UnboundedSender<VersionObservation>,
) {
    let mut last = 0;
    loop {
        let Some(version) = shown_version(&operator).await else {
            println!("the metrics page of process {index} did not arrive completely");
            continue;
        };
        if version != last && observations.send((index, version, Instant::now())).is_err() {
            return;
        }
        last = version;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns, sorted, the time from the publication of each version until all `processes` showed it or a later
/// one.
fn propagation_delays(
    published: &[(u64, Instant)],
    observed: &[VersionObservation],
    processes: usize,
) -> Vec<Duration> {
    let first = |process: usize, version: u64| {
        let mut matching =
            observed.iter().filter(|(observer, shown, _)| *observer == process && *shown >= version);
        matching.next().map(|(_, _, at)| *at)
    };
    let delay = |(version, at): &(u64, Instant)| {
        let last = (0..processes).map(|process| first(process, *version)).max().flatten();
        last.map(|last| last.saturating_duration_since(*at))
    };
    let mut delays: Vec<Duration> = published.iter().filter_map(delay).collect();
    delays.sort_unstable();
    delays
}

/// If `GODWITHAVEN_LONG_TESTS` is set, 60 bundles are published without faults and 60 with faults, one per
/// second.
#[gtest]
#[actix_rt::test]
async fn bundles_in_a_burst_come_into_force_everywhere_in_order() {
    // Arrange: process 0 uses a separate listener of the log, which fails; process 1 is a child process,
    // which is paused; process 2 has no faults.
    let long = std::env::var_os("GODWITHAVEN_LONG_TESTS").is_some();
    let (count, spacing) =
        if long { (60_u64, Duration::from_secs(1)) } else { (12, Duration::from_millis(250)) };
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let (log_listener, cut_off) = faults::start_with_log_listener(&world, "cut", "b", &token).await;
    let daemon = daemon::start_daemon(&world);
    let healthy = fixture::start_entry(&world, "sound", "c").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&healthy).await;
    faults::sleep_seconds(3).await;
    let (sender, mut observations) = mpsc::unbounded_channel();
    let operators =
        [cut_off.operator_listen.to_string(), daemon.operator.clone(), healthy.operator_listen.to_string()];
    for (index, operator) in operators.into_iter().enumerate() {
        actix_rt::spawn(watch_version(index, operator, sender.clone()));
    }

    // Act
    let mut published = Vec::new();
    for step in 0..2 * count {
        let faulty = step.checked_sub(count);
        match faulty.map(|step| step * 12 / count).filter(|_| step * 12 % count == 0) {
            Some(2) => log_listener.set_faults(faults::LOG_DOWN),
            Some(9) => log_listener.set_faults(LogFaults::default()),
            Some(3 | 5 | 7) => daemon.signal("STOP"),
            Some(4 | 6 | 8) => daemon.signal("CONT"),
            _ => {}
        }
        let version = step + 2;
        published.push((version, Instant::now()));
        fixture::publish(&world, version, version - 1, fixture::bundle_text(version, version - 1)).await;
        tokio::time::sleep(spacing).await;
    }
    let mut observed: Vec<VersionObservation> = Vec::new();
    while (0..3).any(|index| {
        !observed.iter().any(|(observer, shown, _)| *observer == index && *shown == 2 * count + 1)
    }) {
        let observation = tokio::time::timeout(Duration::from_secs(30), observations.recv()).await;
        observed.push(observation.expect("a process did not show the last version within 30 s").unwrap());
    }

    // Assert
    let (healthy_part, faulty_part) = published.split_at(usize::try_from(count).unwrap());
    for (name, part) in [("no faults", healthy_part), ("faults", faulty_part)] {
        let delays = propagation_delays(part, &observed, 3);
        println!("{name}: p50 {:?}, max {:?}", delays[delays.len() / 2], delays[delays.len() - 1]);
        expect_that!(delays.len(), eq(part.len()));
    }
    for index in 0..3 {
        let shown =
            observed.iter().filter(|(observer, ..)| *observer == index).map(|(_, version, _)| *version);
        let shown: Vec<u64> = shown.collect();
        let lower = shown.windows(2).filter(|pair| pair[1] < pair[0]).map(|pair| (index, pair[0], pair[1]));
        expect_that!(lower.collect::<Vec<_>>(), is_empty());
    }
    token.cancel();
}

/// Returns the record of a bundle that makes `new_signer` the only signer, signed by `signed_by`.
fn signer_rotation(version: u64, new_signer: &SigningKey, signed_by: &SigningKey) -> BundleRecord {
    let signer = hex::encode(new_signer.verifying_key().to_bytes());
    let text = fixture::bundle_text(version, version - 1);
    let text = text.replacen("[[zones]]", &format!("signers = [\"{signer}\"]\n[[zones]]"), 1);
    let mut record = BundleRecord { version, base: version - 1, text, signatures: Vec::new() };
    bundle_signature::sign(&mut record, signed_by);
    record
}

/// Waits until the process shows the version or the time limit has passed, and returns the version that it
/// shows then.
async fn wait_version(operator: &str, version: u64, limit: Duration) -> u64 {
    let deadline = Instant::now() + limit;
    loop {
        let shown = shown_version(operator).await.unwrap_or_default();
        if shown == version || Instant::now() > deadline {
            return shown;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a process without the log that gets bundles from its peers and stops in the middle of a
/// chain of signer rotations, and against one that missed a rotation and then accepts a bundle of unknown
/// signers or never catches up.
#[gtest]
#[actix_rt::test]
async fn signers_rotate_while_one_process_is_without_the_log() {
    // Arrange: both processes run on version 1 before one of them loses the log.
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let (log_listener, cut_off) = faults::start_with_log_listener(&world, "cut", "b", &token).await;
    let healthy = fixture::start_entry(&world, "sound", "c").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&healthy).await;
    let (cut_off, healthy) = (cut_off.operator_listen.to_string(), healthy.operator_listen.to_string());
    let keys = [7, 8, 9, 10].map(|seed| SigningKey::from_bytes(&[seed; 32]));
    let limit = Duration::from_secs(8);
    wait_version(&cut_off, 1, limit).await;

    // Act: the process gets two rotations from its peer. It misses the third one, as the peer soon has a
    // newer version.
    log_listener.set_faults(faults::LOG_DOWN);
    // A read that the log already holds open has to end first.
    faults::sleep_seconds(3).await;
    fixture::publish_record(&world, signer_rotation(2, &keys[1], &keys[0])).await;
    let first = wait_version(&cut_off, 2, limit).await;
    fixture::publish_record(&world, signer_rotation(3, &keys[2], &keys[1])).await;
    let followed = wait_version(&cut_off, 3, limit).await;
    fixture::publish_record(&world, signer_rotation(4, &keys[3], &keys[2])).await;
    fixture::publish_record(&world, signer_rotation(5, &keys[3], &keys[3])).await;
    let ahead = wait_version(&healthy, 5, limit).await;
    faults::sleep_seconds(3).await;
    let missed = wait_version(&cut_off, 5, Duration::ZERO).await;
    log_listener.set_faults(LogFaults::default());
    let after = wait_version(&cut_off, 5, limit).await;

    // Assert: the process may show version 5 if a heartbeat carried version 4 before version 5 was published.
    expect_that!((first, followed, ahead, after), eq((2, 3, 5, 5)));
    expect_true!([3, 5].contains(&missed));
    token.cancel();
}
