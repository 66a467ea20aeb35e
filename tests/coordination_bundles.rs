//! Guards against bundles that come into force late, not everywhere, or in the wrong order.

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

/// Which process showed which version, and when.
type Sighting = (usize, u64, Instant);

/// Returns the version in force of a process; nothing if its page broke off, as it does in a pause.
async fn shown_version(operator: &str) -> Option<u64> {
    let request =
        Client::default().get(format!("http://{operator}/metrics")).timeout(Duration::from_secs(10));
    let page = request.send().await.ok()?.body().await.ok()?;
    let page = String::from_utf8_lossy(&page);
    page.lines().find_map(|line| line.strip_prefix("godwithaven_bundle_version "))?.parse().ok()
}

/// Reads the version in force of a process again and again, and reports each change.
async fn watch(index: usize, operator: String, sightings: mpsc::UnboundedSender<Sighting>) {
    let mut last = 0;
    loop {
        let Some(version) = shown_version(&operator).await else {
            println!("a page of process {index} broke off");
            continue;
        };
        if version != last && sightings.send((index, version, Instant::now())).is_err() {
            return;
        }
        last = version;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the sorted times from publishing to the first sight at the last of `processes`.
fn delays(published: &[(u64, Instant)], seen: &[Sighting], processes: usize) -> Vec<Duration> {
    let first = |process: usize, version: u64| {
        let mut sights = seen.iter().filter(|(of, shown, _)| *of == process && *shown >= version);
        sights.next().map(|(_, _, at)| *at)
    };
    let delay = |(version, at): &(u64, Instant)| {
        let last = (0..processes).map(|process| first(process, *version)).max().flatten();
        last.map(|last| last.saturating_duration_since(*at))
    };
    let mut delays: Vec<Duration> = published.iter().filter_map(delay).collect();
    delays.sort_unstable();
    delays
}

/// `GODWITHAVEN_LONG_TESTS=1` publishes 60 bundles without and 60 with faults, one a second.
#[gtest]
#[actix_rt::test]
async fn bundles_in_a_burst_come_into_force_everywhere_in_order() {
    // Arrange: process 0 reaches the log by a door of its own, 1 is a daemon, 2 has no faults.
    let long = std::env::var_os("GODWITHAVEN_LONG_TESTS").is_some();
    let (count, spacing) =
        if long { (60_u64, Duration::from_secs(1)) } else { (12, Duration::from_millis(250)) };
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let (door, cut) = faults::start_with_door(&world, "cut", "b", &token).await;
    let daemon = daemon::start_daemon(&world);
    let sound = fixture::start_entry(&world, "sound", "c").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&sound).await;
    faults::pause(3).await;
    let (sender, mut sightings) = mpsc::unbounded_channel();
    let operators =
        [cut.operator_listen.to_string(), daemon.operator.clone(), sound.operator_listen.to_string()];
    for (index, operator) in operators.into_iter().enumerate() {
        actix_rt::spawn(watch(index, operator, sender.clone()));
    }

    // Act
    let mut published = Vec::new();
    for step in 0..2 * count {
        let faulty = step.checked_sub(count);
        match faulty.map(|step| step * 12 / count).filter(|_| step * 12 % count == 0) {
            Some(2) => door.set_faults(faults::DOWN),
            Some(9) => door.set_faults(LogFaults::default()),
            Some(3 | 5 | 7) => daemon.signal("STOP"),
            Some(4 | 6 | 8) => daemon.signal("CONT"),
            _ => {}
        }
        let version = step + 2;
        published.push((version, Instant::now()));
        fixture::publish(&world, version, version - 1, fixture::bundle_text(version, version - 1)).await;
        tokio::time::sleep(spacing).await;
    }
    let mut seen: Vec<Sighting> = Vec::new();
    while (0..3).any(|index| !seen.iter().any(|(of, shown, _)| *of == index && *shown == 2 * count + 1)) {
        let sighting = tokio::time::timeout(Duration::from_secs(30), sightings.recv()).await;
        seen.push(sighting.expect("a process does not reach the last version").unwrap());
    }

    // Assert
    let (sound_part, faulty_part) = published.split_at(usize::try_from(count).unwrap());
    for (name, part) in [("no faults", sound_part), ("faults", faulty_part)] {
        let delays = delays(part, &seen, 3);
        println!("{name}: p50 {:?}, max {:?}", delays[delays.len() / 2], delays[delays.len() - 1]);
        expect_that!(delays.len(), eq(part.len()));
    }
    for index in 0..3 {
        let shown = seen.iter().filter(|(of, ..)| *of == index).map(|(_, version, _)| *version);
        let shown: Vec<u64> = shown.collect();
        let lower = shown.windows(2).filter(|pair| pair[1] < pair[0]).map(|pair| (index, pair[0], pair[1]));
        expect_that!(lower.collect::<Vec<_>>(), is_empty());
    }
    token.cancel();
}

/// Returns a bundle record whose text names `names` as the only signer, signed by `by`.
fn rotated(version: u64, names: &SigningKey, by: &SigningKey) -> BundleRecord {
    let signer = hex::encode(names.verifying_key().to_bytes());
    let text = fixture::bundle_text(version, version - 1);
    let text = text.replacen("[[zones]]", &format!("signers = [\"{signer}\"]\n[[zones]]"), 1);
    let mut record = BundleRecord { version, base: version - 1, text, signatures: Vec::new() };
    bundle_signature::sign(&mut record, by);
    record
}

/// Waits until the process shows the version, and returns the version that it shows last.
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

/// Guards against a process that follows its peers through a rotation of the signers only half of the way, and
/// against one that missed the rotation and takes a bundle of unknown signers or never catches up.
#[gtest]
#[actix_rt::test]
async fn signers_rotate_while_one_process_is_without_the_log() {
    // Arrange: both processes run on version 1, then one loses the log.
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let (door, cut) = faults::start_with_door(&world, "cut", "b", &token).await;
    let sound = fixture::start_entry(&world, "sound", "c").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&sound).await;
    let (cut, sound) = (cut.operator_listen.to_string(), sound.operator_listen.to_string());
    let keys = [7, 8, 9, 10].map(|seed| SigningKey::from_bytes(&[seed; 32]));
    let limit = Duration::from_secs(8);
    wait_version(&cut, 1, limit).await;

    // Act: the process sees two rotations through its peer, but not the third, which the next version hides.
    door.set_faults(faults::DOWN);
    // A read that is held back by the log ends first.
    faults::pause(3).await;
    fixture::publish_record(&world, rotated(2, &keys[1], &keys[0])).await;
    let first = wait_version(&cut, 2, limit).await;
    fixture::publish_record(&world, rotated(3, &keys[2], &keys[1])).await;
    let followed = wait_version(&cut, 3, limit).await;
    fixture::publish_record(&world, rotated(4, &keys[3], &keys[2])).await;
    fixture::publish_record(&world, rotated(5, &keys[3], &keys[3])).await;
    let ahead = wait_version(&sound, 5, limit).await;
    faults::pause(3).await;
    let missed = wait_version(&cut, 5, Duration::ZERO).await;
    door.set_faults(LogFaults::default());
    let after = wait_version(&cut, 5, limit).await;

    // Assert: a heartbeat may have carried version 4 in the moment before version 5.
    expect_that!((first, followed, ahead, after), eq((2, 3, 5, 5)));
    expect_true!([3, 5].contains(&missed));
    token.cancel();
}
