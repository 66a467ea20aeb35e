//! Guards against lost, stolen and fought-over shards, and against processes that act on old bundles.

#[path = "fixture/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::{Cluster, STEP};
use godwithaven::kernel::ShardClaim;
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a cluster whose shards all have owners.
fn settled(count: usize, shards: usize) -> Cluster {
    let mut cluster = Cluster::new(count, shards);
    cluster.run(20 * SECOND);
    cluster
}

/// Steps until the condition holds and returns the time it took.
fn run_until(cluster: &mut Cluster, condition: impl Fn(&Cluster) -> bool) -> Duration {
    let mut time = Duration::ZERO;
    while !condition(cluster) && time < 60 * SECOND {
        cluster.run(STEP);
        time += STEP;
    }
    time
}

#[gtest]
fn shards_are_spread_evenly_over_nine_processes() {
    // Act
    let cluster = settled(9, 64);

    // Assert
    expect_that!(cluster.owned().values().sum::<usize>(), eq(64));
    expect_that!(cluster.owned().values().max(), some(le(&9)));
    expect_that!(cluster.owned().values().min(), some(ge(&4)));
    expect_that!(cluster.appended, le(80));
}

/// Guards against syncs that cross regions: 16 shards in each of 4 regions, of which `r3` has no process.
#[gtest]
fn owners_are_in_the_region_of_their_shards_while_it_has_processes() {
    // Arrange
    let regions = vec!["r0", "r0", "r0", "r1", "r1", "r1", "r2", "r2"];
    let mut cluster = Cluster::in_regions(8, 64, regions.clone());
    cluster.run(20 * SECOND);
    let remote = |cluster: &Cluster| {
        let owner = |claim: &ShardClaim| claim.process[6..7].parse::<usize>().unwrap();
        let away = |region: &str, claim| region != "r3" && regions[owner(claim)] != region;
        cluster.ledger.claims.iter().filter(|(shard, claim)| away(&shard[..2], claim)).count()
    };

    // Act
    let at_first = remote(&cluster);
    let mut local = [0; 8];
    for (_, claim) in cluster.ledger.claims.iter().filter(|(shard, _)| !shard.starts_with("r3")) {
        local[claim.process[6..7].parse::<usize>().unwrap()] += 1;
    }
    cluster.members[6].up = false;
    cluster.run(20 * SECOND);
    let with_one = remote(&cluster);
    cluster.members[7].up = false;
    cluster.run(20 * SECOND);

    // Assert: without a process of its own, `r2` is served from elsewhere.
    expect_that!((at_first, with_one, remote(&cluster)), eq((0, 0, 16)));
    // The mean of 16 shards by 3 or by 2 processes.
    expect_that!(local[..6], each(le(&6)));
    expect_that!(local[6..], each(eq(&8)));
    expect_true!(cluster.served());
    expect_that!(cluster.owned().values().max(), some(le(&14)));
}

#[gtest]
fn a_killed_owner_is_replaced_within_five_seconds() {
    // Arrange
    let mut cluster = settled(9, 64);

    // Act
    cluster.members[3].up = false;
    let time = run_until(&mut cluster, Cluster::served);

    // Assert
    expect_that!(time, le(4 * SECOND));
}

#[gtest]
fn a_stopping_process_hands_over_every_shard_while_it_still_serves() {
    // Arrange
    let mut cluster = settled(9, 64);

    // Act
    cluster.leave(3);
    let time = run_until(&mut cluster, |cluster| cluster.left(3));

    // Assert
    expect_that!(time, le(2 * SECOND));
    expect_true!(cluster.served());
    expect_that!(cluster.owned().get("entry-3.1"), none());
}

#[gtest]
fn a_joining_process_gets_its_part_shard_by_shard() {
    // Arrange
    let mut cluster = settled(8, 64);
    let before = cluster.transcript.len();

    // Act
    cluster.join();
    cluster.run(4 * SECOND);
    let at_first = cluster.transcript.len() - before;
    cluster.run(60 * SECOND);

    // Assert
    expect_that!(at_first, eq(0));
    expect_that!(cluster.owned().get("entry-8.1"), some(ge(&3)));
    expect_that!(cluster.transcript.len() - before, le(30));
    expect_true!(cluster.served());
}

#[gtest]
fn lost_messages_between_two_processes_steal_no_shard() {
    for cut in [vec![(0, 1)], vec![(0, 1), (1, 0)]] {
        // Arrange
        let mut cluster = settled(3, 16);
        let claims = cluster.transcript.len();

        // Act
        cluster.cut.extend(cut);
        cluster.run(60 * SECOND);

        // Assert: the third process vouches for both.
        expect_that!(cluster.transcript.len(), eq(claims));
    }
}

/// Guards against traffic that grows with the square of the processes, as when each beat names all peers.
#[gtest]
fn heartbeats_name_no_peer_while_all_are_heard() {
    for count in [3, 9, 36] {
        // Arrange
        let mut cluster = settled(count, 16);
        let before = cluster.named;

        // Act: an operators' command appends to the log, too, and sends no heartbeats.
        let now = cluster.now;
        cluster.members.iter_mut().for_each(|member| member.view.note_group(&"operator".into(), now));
        cluster.run(60 * SECOND);

        // Assert
        expect_that!(cluster.named - before, eq(0), "{count} processes");
    }
}

/// Guards against a process that takes shards because nobody learns that it misses their owner: its own messages
/// to the third process, which hears the owner, are lost as well.
#[gtest]
fn a_process_that_cannot_ask_is_told_whom_others_hear() {
    // Arrange
    let mut cluster = settled(3, 16);
    let claims = cluster.transcript.len();

    // Act
    cluster.cut.extend([(0, 1), (1, 2)]);
    cluster.run(60 * SECOND);

    // Assert
    expect_that!(cluster.transcript.len(), eq(claims));
    expect_that!(cluster.named, gt(0));
}

#[gtest]
fn a_process_cut_off_from_all_peers_but_not_from_the_log_starts_no_fight() {
    // Arrange
    let mut cluster = settled(6, 32);
    let claims = cluster.transcript.len();

    // Act
    cluster.isolate(2, true);
    cluster.run(60 * SECOND);

    // Assert
    expect_that!(cluster.transcript.len(), eq(claims));
}

#[gtest]
fn a_resumed_process_claims_nothing_before_it_has_read_the_log() {
    for pause in [SECOND, 30 * SECOND, 120 * SECOND] {
        // Arrange
        let mut cluster = settled(3, 16);

        // Act
        cluster.members[0].up = false;
        cluster.run(pause + STEP);
        cluster.members[0].up = true;
        cluster.members[0].log = false;
        let claims = cluster.appended;
        cluster.run(2 * SECOND);
        let (bundle_fresh, ready) =
            (cluster.members[0].view.is_bundle_fresh(cluster.now), cluster.members[0].view.ready());
        cluster.members[0].log = true;
        cluster.run(30 * SECOND);

        // Assert: its peers read the log, so its bundle is fresh by their answers, but it is not ready.
        expect_true!(bundle_fresh);
        expect_false!(ready);
        expect_true!(cluster.served());
        expect_that!(cluster.appended - claims, le(16), "after {pause:?}");
    }
}

#[gtest]
fn all_processes_replaced_at_once_leave_no_shard_behind() {
    // Arrange
    let mut cluster = settled(3, 16);

    // Act
    cluster.members.iter_mut().for_each(|member| member.up = false);
    (0..3).for_each(|_| cluster.join());
    let time = run_until(&mut cluster, Cluster::served);

    // Assert
    expect_that!(time, le(5 * SECOND));
}

#[gtest]
fn a_process_cut_off_from_log_and_peers_stops_being_current() {
    // Arrange
    let mut cluster = settled(3, 16);

    // Act
    cluster.members[0].log = false;
    cluster.run(30 * SECOND);
    let by_peers = cluster.members[0].view.is_bundle_fresh(cluster.now);
    cluster.isolate(0, true);
    let time = run_until(&mut cluster, |cluster| !cluster.members[0].view.is_bundle_fresh(cluster.now));

    // Assert
    expect_true!(by_peers);
    expect_that!(time, le(7 * SECOND));
}

#[gtest]
fn an_owner_without_the_log_yields_its_shards_to_those_that_read_it() {
    // Arrange
    let mut cluster = settled(3, 16);

    // Act
    cluster.members[0].log = false;
    let time = run_until(&mut cluster, |cluster| !cluster.owned().contains_key("entry-0.1"));
    let claims = cluster.transcript.len();
    cluster.run(60 * SECOND);

    // Assert
    expect_that!(time, all!(ge(10 * SECOND), le(14 * SECOND)));
    expect_that!(cluster.transcript.len(), eq(claims));
}

#[gtest]
fn an_outage_of_the_log_stops_nobody_who_hears_everybody() {
    // Arrange
    let mut cluster = settled(3, 16);
    let claims = cluster.transcript.len();

    // Act
    cluster.members.iter_mut().for_each(|member| member.log = false);
    cluster.run(3_600 * SECOND);
    let bundle_fresh: Vec<bool> =
        cluster.members.iter().map(|member| member.view.is_bundle_fresh(cluster.now)).collect();
    cluster.members[2].up = false;
    cluster.run(10 * SECOND);

    // Assert: once one is silent, it may be the one that reads the log.
    expect_that!(bundle_fresh, each(eq(&true)));
    expect_false!(cluster.members[0].view.is_bundle_fresh(cluster.now));
    expect_that!(cluster.transcript.len(), eq(claims));
}

#[gtest]
fn a_peer_with_a_newer_bundle_does_not_vouch_for_an_older_one() {
    // Arrange
    let mut cluster = settled(3, 16);
    cluster.members[0].log = false;

    // Act
    cluster.members[1].view.version = 2;
    cluster.members[2].view.version = 2;
    cluster.run(10 * SECOND);

    // Assert
    expect_false!(cluster.members[0].view.is_bundle_fresh(cluster.now));
}

#[gtest]
fn a_take_over_session_reads_as_recorded() {
    // Arrange
    let mut cluster = settled(3, 6);

    // Act: kill one, let it return as another process, stop one as planned.
    cluster.members[1].up = false;
    cluster.run(10 * SECOND);
    cluster.join();
    cluster.run(20 * SECOND);
    cluster.leave(0);
    cluster.run(5 * SECOND);

    // Assert
    let golden = include_str!("golden/take_over.txt");
    expect_that!(format!("{}\n", cluster.transcript.join("\n")), eq(golden));
}

#[gtest]
fn two_faults_at_once_never_leave_a_shard_without_owner_for_long() {
    let mut random = 1_u64;
    let mut next = |bound: u64| {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        usize::try_from((random >> 33) % bound).unwrap()
    };
    for round in 0..40 {
        // Arrange
        let mut cluster = settled(6, 32);
        let (first, second) = (next(6), next(6));

        // Act: two of pause, cut from the log and cut from the peers, then heal.
        for index in [first, second] {
            match next(3) {
                0 => cluster.members[index].up = false,
                1 => cluster.members[index].log = false,
                _ => cluster.isolate(index, true),
            }
            cluster.run(u32::try_from(next(8)).unwrap() * SECOND);
        }
        cluster.run(u32::try_from(next(40)).unwrap() * SECOND);
        for index in [first, second] {
            cluster.members[index].up = true;
            cluster.members[index].log = true;
            cluster.isolate(index, false);
        }
        cluster.run(15 * SECOND);

        // Assert
        expect_true!(cluster.served(), "round {round}");
        expect_that!(cluster.appended, le(32 * 8), "round {round}");
    }
}
