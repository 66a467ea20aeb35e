//! Guards against shards without an owner, shards that are claimed from a live owner or claimed back and
//! forth, and processes that act on old bundles.

#[path = "fixture/cluster.rs"]
mod cluster;

use std::time::Duration;

use cluster::{Cluster, STEP};
use godwithaven::kernel::ShardClaim;
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a cluster that has run for 20 s, after which all shards have owners.
fn settled_cluster(count: usize, shards: usize) -> Cluster {
    let mut cluster = Cluster::new(count, shards);
    cluster.run(20 * SECOND);
    cluster
}

/// Runs the cluster until the condition holds, for at most 60 s, and returns the time that passed.
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
    let cluster = settled_cluster(9, 64);

    // Assert
    expect_that!(cluster.shards_by_owner().values().sum::<usize>(), eq(64));
    expect_that!(cluster.shards_by_owner().values().max(), some(le(&9)));
    expect_that!(cluster.shards_by_owner().values().min(), some(ge(&4)));
    expect_that!(cluster.claims_issued, le(80));
}

/// Guards against owners in another region, whose syncs with workers would cross regions. Each of 4 regions
/// has 16 shards, and `r3` has no process.
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
    cluster.members[6].running = false;
    cluster.run(20 * SECOND);
    let after_one_loss = remote(&cluster);
    cluster.members[7].running = false;
    cluster.run(20 * SECOND);

    // Assert: once `r2` has no process left, processes of other regions own its 16 shards.
    expect_that!((at_first, after_one_loss, remote(&cluster)), eq((0, 0, 16)));
    // The 16 shards of a region are spread over 3 processes, at most 6 each, or over 2 processes, 8 each.
    expect_that!(local[..6], each(le(&6)));
    expect_that!(local[6..], each(eq(&8)));
    expect_true!(cluster.all_shards_served());
    expect_that!(cluster.shards_by_owner().values().max(), some(le(&14)));
}

#[gtest]
fn a_killed_owner_is_replaced_within_five_seconds() {
    // Arrange
    let mut cluster = settled_cluster(9, 64);

    // Act
    cluster.members[3].running = false;
    let time = run_until(&mut cluster, Cluster::all_shards_served);

    // Assert
    expect_that!(time, le(4 * SECOND));
}

#[gtest]
fn a_stopping_process_hands_over_every_shard_while_it_still_serves() {
    // Arrange
    let mut cluster = settled_cluster(9, 64);

    // Act
    cluster.start_handover(3);
    let time = run_until(&mut cluster, |cluster| cluster.is_handover_complete(3));

    // Assert
    expect_that!(time, le(2 * SECOND));
    expect_true!(cluster.all_shards_served());
    expect_that!(cluster.shards_by_owner().get("entry-3.1"), none());
}

#[gtest]
fn a_joining_process_gets_its_share_one_shard_at_a_time() {
    // Arrange
    let mut cluster = settled_cluster(8, 64);
    let before = cluster.transcript.len();

    // Act
    cluster.join();
    cluster.run(4 * SECOND);
    let at_first = cluster.transcript.len() - before;
    cluster.run(60 * SECOND);

    // Assert
    expect_that!(at_first, eq(0));
    expect_that!(cluster.shards_by_owner().get("entry-8.1"), some(ge(&3)));
    expect_that!(cluster.transcript.len() - before, le(30));
    expect_true!(cluster.all_shards_served());
}

#[gtest]
fn lost_messages_between_two_processes_move_no_shard() {
    for cut in [vec![(0, 1)], vec![(0, 1), (1, 0)]] {
        // Arrange
        let mut cluster = settled_cluster(3, 16);
        let claims = cluster.transcript.len();

        // Act
        cluster.cut_links.extend(cut);
        cluster.run(60 * SECOND);

        // Assert: the third process reports both as alive.
        expect_that!(cluster.transcript.len(), eq(claims));
    }
}

/// Guards against heartbeat traffic that grows with the square of the number of processes, as it would if
/// each heartbeat listed all peers.
#[gtest]
fn heartbeats_name_no_peer_while_all_are_heard() {
    for count in [3, 9, 36] {
        // Arrange
        let mut cluster = settled_cluster(count, 16);
        let before = cluster.listed_peers;

        // Act: a command of an operator also appends groups to the log, but sends no heartbeats.
        let now = cluster.now;
        cluster.members.iter_mut().for_each(|member| member.view.note_group(&"operator".into(), now));
        cluster.run(60 * SECOND);

        // Assert
        expect_that!(cluster.listed_peers - before, eq(0), "{count} processes");
    }
}

/// Guards against a process that takes over shards of a live owner. It hears nothing from the owner, and the
/// third process, which hears the owner, does not learn this, as messages to it are lost as well.
#[gtest]
fn a_process_that_cannot_send_to_a_peer_learns_whom_the_peer_hears() {
    // Arrange
    let mut cluster = settled_cluster(3, 16);
    let claims = cluster.transcript.len();

    // Act
    cluster.cut_links.extend([(0, 1), (1, 2)]);
    cluster.run(60 * SECOND);

    // Assert
    expect_that!(cluster.transcript.len(), eq(claims));
    expect_that!(cluster.listed_peers, gt(0));
}

#[gtest]
fn a_process_cut_off_from_all_peers_but_not_from_the_log_moves_no_shard() {
    // Arrange
    let mut cluster = settled_cluster(6, 32);
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
        let mut cluster = settled_cluster(3, 16);

        // Act
        cluster.members[0].running = false;
        cluster.run(pause + STEP);
        cluster.members[0].running = true;
        cluster.members[0].reaches_log = false;
        let claims = cluster.claims_issued;
        cluster.run(2 * SECOND);
        let (current, ready) =
            (cluster.members[0].view.is_bundle_fresh(cluster.now), cluster.members[0].view.ready());
        cluster.members[0].reaches_log = true;
        cluster.run(30 * SECOND);

        // Assert: its peers read the log and confirm that it is current, but it is not ready until it has
        // read the log.
        expect_true!(current);
        expect_false!(ready);
        expect_true!(cluster.all_shards_served());
        expect_that!(cluster.claims_issued - claims, le(16), "after {pause:?}");
    }
}

#[gtest]
fn all_shards_get_owners_after_all_processes_are_replaced_at_once() {
    // Arrange
    let mut cluster = settled_cluster(3, 16);

    // Act
    cluster.members.iter_mut().for_each(|member| member.running = false);
    (0..3).for_each(|_| cluster.join());
    let time = run_until(&mut cluster, Cluster::all_shards_served);

    // Assert
    expect_that!(time, le(5 * SECOND));
}

#[gtest]
fn a_process_cut_off_from_log_and_peers_stops_being_current() {
    // Arrange
    let mut cluster = settled_cluster(3, 16);

    // Act
    cluster.members[0].reaches_log = false;
    cluster.run(30 * SECOND);
    let while_confirmed_by_peers = cluster.members[0].view.is_bundle_fresh(cluster.now);
    cluster.isolate(0, true);
    let time = run_until(&mut cluster, |cluster| !cluster.members[0].view.is_bundle_fresh(cluster.now));

    // Assert
    expect_true!(while_confirmed_by_peers);
    expect_that!(time, le(7 * SECOND));
}

#[gtest]
fn an_owner_without_the_log_yields_its_shards_to_those_that_read_it() {
    // Arrange
    let mut cluster = settled_cluster(3, 16);

    // Act
    cluster.members[0].reaches_log = false;
    let time = run_until(&mut cluster, |cluster| !cluster.shards_by_owner().contains_key("entry-0.1"));
    let claims = cluster.transcript.len();
    cluster.run(60 * SECOND);

    // Assert
    expect_that!(time, all!(ge(10 * SECOND), le(14 * SECOND)));
    expect_that!(cluster.transcript.len(), eq(claims));
}

#[gtest]
fn processes_that_hear_all_peers_stay_current_during_a_log_outage() {
    // Arrange
    let mut cluster = settled_cluster(3, 16);
    let claims = cluster.transcript.len();

    // Act
    cluster.members.iter_mut().for_each(|member| member.reaches_log = false);
    cluster.run(3_600 * SECOND);
    let current: Vec<bool> =
        cluster.members.iter().map(|member| member.view.is_bundle_fresh(cluster.now)).collect();
    cluster.members[2].running = false;
    cluster.run(10 * SECOND);

    // Assert: once a process is silent, the others are not current, as it may have read a newer bundle from
    // the log.
    expect_that!(current, each(eq(&true)));
    expect_false!(cluster.members[0].view.is_bundle_fresh(cluster.now));
    expect_that!(cluster.transcript.len(), eq(claims));
}

#[gtest]
fn a_peer_with_a_newer_bundle_does_not_vouch_for_an_older_one() {
    // Arrange
    let mut cluster = settled_cluster(3, 16);
    cluster.members[0].reaches_log = false;

    // Act
    cluster.members[1].view.version = 2;
    cluster.members[2].view.version = 2;
    cluster.run(10 * SECOND);

    // Assert
    expect_false!(cluster.members[0].view.is_bundle_fresh(cluster.now));
}

#[gtest]
fn the_take_over_transcript_matches_the_golden_file() {
    // Arrange
    let mut cluster = settled_cluster(3, 6);

    // Act: one process is killed, a new one joins, and another one is stopped gracefully.
    cluster.members[1].running = false;
    cluster.run(10 * SECOND);
    cluster.join();
    cluster.run(20 * SECOND);
    cluster.start_handover(0);
    cluster.run(5 * SECOND);

    // Assert
    let golden = include_str!("golden/take_over.txt");
    expect_that!(format!("{}\n", cluster.transcript.join("\n")), eq(golden));
}

#[gtest]
fn two_faults_at_once_never_leave_a_shard_without_owner_for_long() {
    let mut random_state = 1_u64;
    let mut next_below = |bound: u64| {
        random_state =
            random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        usize::try_from((random_state >> 33) % bound).unwrap()
    };
    for round in 0..40 {
        // Arrange
        let mut cluster = settled_cluster(6, 32);
        let (first, second) = (next_below(6), next_below(6));

        // Act: inject two faults, each a pause, a loss of the log or a loss of all links to peers; then end
        // them.
        for index in [first, second] {
            match next_below(3) {
                0 => cluster.members[index].running = false,
                1 => cluster.members[index].reaches_log = false,
                _ => cluster.isolate(index, true),
            }
            cluster.run(u32::try_from(next_below(8)).unwrap() * SECOND);
        }
        cluster.run(u32::try_from(next_below(40)).unwrap() * SECOND);
        for index in [first, second] {
            cluster.members[index].running = true;
            cluster.members[index].reaches_log = true;
            cluster.isolate(index, false);
        }
        cluster.run(15 * SECOND);

        // Assert
        expect_true!(cluster.all_shards_served(), "round {round}");
        expect_that!(cluster.claims_issued, le(32 * 8), "round {round}");
    }
}

/// Guards against an outage of the log that ends the leases of workers although all processes hear each
/// other, and against peers that confirm an owner which others have succeeded.
#[gtest]
fn ownership_is_confirmed_until_a_peer_is_silent_or_has_a_newer_claim() {
    let age = |cluster: &Cluster| {
        let confirmed = cluster.members[0].view.ownership_confirmed_at(cluster.now);
        cluster.now - confirmed.unwrap()
    };
    // Arrange
    let mut cluster = settled_cluster(3, 16);

    // Act: nobody reads the log; then one peer is not heard either.
    cluster.members.iter_mut().for_each(|member| member.reaches_log = false);
    cluster.run(60 * SECOND);
    let in_outage = age(&cluster);
    cluster.cut_links.insert((0, 1));
    cluster.run(20 * SECOND);
    let with_silent_peer = age(&cluster);

    // Act: only the first process does not read the log, so its peers claim its shards after some time.
    cluster.cut_links.clear();
    cluster.members.iter_mut().skip(1).for_each(|member| member.reaches_log = true);
    let claims = cluster.transcript.len();
    let until_claimed = run_until(&mut cluster, |cluster| cluster.transcript.len() > claims);
    let when_claimed = age(&cluster);
    cluster.run(20 * SECOND);

    // Assert
    expect_that!(in_outage, le(SECOND));
    expect_that!(with_silent_peer, ge(19 * SECOND));
    expect_that!(until_claimed, lt(60 * SECOND));
    expect_that!(when_claimed, le(SECOND));
    expect_that!(age(&cluster), ge(19 * SECOND));
}
