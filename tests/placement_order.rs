//! Guards against unfair order, starvation, and decisions whose cost grows with the fleet.

mod fixture_placement;

use std::time::Duration;

use googletest::prelude::*;

use fixture_placement::{WORKER, batch, bundle, gang, outcomes, service, shard, starts, urgent, worker};
use godwithaven::kernel::{
    JobOutcome, ResourceVector, ScheduleEvent, TaskOutcome, TeamDemand, divide_fairly,
};

/// Guards against placement that scans all workers.
#[gtest]
fn examined_workers_do_not_grow_with_the_fleet() {
    // Arrange
    let workers_examined = |count: usize| {
        let mut shard = shard(count);
        let before = shard.scheduler.workers_examined;
        for number in 0..500 {
            shard.accept(batch(&format!("blue/load{number}"), 1, 1_000 * (1 + number % 7)));
        }
        shard.scheduler.workers_examined - before
    };

    // Act
    let (few, many) = (workers_examined(790), workers_examined(7_900));

    // Assert
    expect_that!(few, le(500 * 64));
    expect_that!(many, le(few * 2));
}

/// Guards against searches for a class that fits nowhere on every event, although no worker gained room.
#[gtest]
fn a_class_that_fits_nowhere_is_not_tried_again() {
    // Arrange
    let mut shard = shard(30);
    shard.accept(batch("red/fill", 30, 64_000));
    shard.accept(batch("red/load", 1_000, 8_000));
    shard.run(Duration::from_secs(1));
    let before = shard.scheduler.workers_examined;

    // Act
    for number in 0..100 {
        shard.accept(batch(&format!("red/more{number}"), 10, 8_000));
    }

    // Assert
    expect_that!(shard.scheduler.workers_examined, eq(before));
    expect_that!(shard.reasons("red/more0"), contains(eq(&("cores".to_owned(), 30))));
}

/// Guards against the cancellation of large jobs that blocks the scheduler in one long call.
#[gtest]
fn a_cancellation_wave_is_processed_in_slices() {
    // Arrange
    let mut shard = shard(100);
    shard.accept(batch("blue/load", 5_000, 1_000));
    shard.accept(batch("blue/wait", 20_000, 60_000));
    shard.run(Duration::from_secs(20));
    let running = shard.running.len();

    // Act
    let waiting = shard.send_event(ScheduleEvent::JobCancelled("blue/wait".into()));
    let first = shard.send_event(ScheduleEvent::JobCancelled("blue/load".into()));
    let backlog = shard.scheduler.backlog;
    shard.run(Duration::from_secs(5));

    // Assert
    expect_that!(running, ge(5_000));
    expect_that!(outcomes(&waiting, "blue/wait").len() + waiting.len(), ge(1));
    expect_that!(first.len(), le(2_000));
    expect_that!(backlog, eq(true));
    expect_that!(shard.running, is_empty());
    expect_that!(shard.outcome("blue/load"), some(eq(&JobOutcome::Cancelled)));
    expect_that!(shard.outcome("blue/wait"), some(eq(&JobOutcome::Cancelled)));
}

/// Guards against a team with many waiting jobs that gets all the capacity that is freed.
#[gtest]
fn freed_capacity_goes_to_the_team_with_the_lowest_share() {
    // Arrange
    let mut shard = shard(4);
    shard.accept(batch("red/fill", 64, 4_000));
    shard.accept(batch("red/more", 64, 4_000));
    shard.accept(batch("blue/load", 4, 4_000));
    shard.run(Duration::from_secs(1));

    // Act
    let tasks: Vec<String> = shard.running.iter().take(4).map(|(_, task, ..)| task.clone()).collect();
    for task in tasks {
        shard.end(&task, TaskOutcome::Finished);
    }
    shard.run(Duration::from_secs(1));

    // Assert
    expect_that!(shard.workers_of("blue/load").len(), eq(4));
}

/// Guards against a team that keeps idle capacity it was lent after another team needs its fair share of it.
#[gtest]
fn a_team_below_its_share_gets_lent_capacity_back() {
    // Arrange
    let mut shard = shard(4);
    shard.accept(batch("red/fill", 64, 4_000));
    shard.run(Duration::from_secs(60));

    // Act
    shard.accept(batch("blue/load", 64, 4_000));
    shard.run(Duration::from_secs(120));

    // Assert
    let (red, blue) = (shard.workers_of("red/fill").len(), shard.workers_of("blue/load").len());
    expect_that!(red + blue, eq(64));
    expect_that!(blue, all!(ge(28), le(36)));
}

/// Guards against fair shares that ignore the demand of a team or a resource that is used up.
#[gtest]
fn the_fleet_is_divided_by_weight_and_demand() {
    // Arrange
    let total = ResourceVector::new(100, 100, 10);
    let wants = |team: &str, weight, demand| TeamDemand { team: team.into(), weight, demand };
    let demands = [
        wants("small", 1.0, ResourceVector::new(10, 0, 0)),
        wants("large", 1.0, ResourceVector::new(1_000, 0, 0)),
        wants("heavy", 2.0, ResourceVector::new(1_000, 0, 0)),
        wants("other", 1.0, ResourceVector::new(0, 0, 4)),
    ];

    // Act
    let fair = divide_fairly(&demands, total, total);

    // Assert
    expect_that!(fair, elements_are![near(0.1, 1e-9), near(0.3, 1e-9), near(0.6, 1e-9), near(0.4, 1e-9)]);
}

/// Guards against a gang job that has to wait until tasks of a team above its fair share end by themselves.
#[gtest]
fn a_gang_gets_lent_capacity_back() {
    // Arrange
    let mut shard = shard(4);
    shard.accept(batch("red/fill", 64, 4_000));
    shard.run(Duration::from_secs(60));

    // Act
    shard.accept(gang("blue/mesh", 2, 64_000));
    shard.run(Duration::from_secs(10));

    // Assert
    expect_that!(shard.workers_of("blue/mesh").len(), eq(2));
    expect_that!(shard.workers_of("red/fill").len(), eq(32));
}

/// Guards against a gang job that takes far more than the fair share of its team at once, and against one
/// that never runs for that reason.
#[gtest]
fn a_gang_above_the_share_of_its_team_waits_for_a_bounded_time() {
    // Arrange
    let mut shard = shard(4);
    shard.accept(batch("red/fill", 64, 4_000));
    shard.accept(batch("green/fill", 64, 4_000));
    shard.run(Duration::from_secs(60));

    // Act
    shard.accept(gang("blue/mesh", 4, 64_000));
    shard.run(Duration::from_secs(580));
    let (early, reasons) = (shard.workers_of("blue/mesh").len(), shard.reasons("blue/mesh"));
    shard.run(Duration::from_secs(40));

    // Assert
    expect_that!(early, eq(0));
    expect_that!(reasons, contains(eq(&("above_share".to_owned(), 4))));
    expect_that!(shard.workers_of("blue/mesh").len(), eq(4));
}

/// Guards against urgent jobs that wait for normal tasks to end on a full fleet.
#[gtest]
fn urgent_work_starts_within_its_bound_on_a_full_fleet() {
    // Arrange
    let mut shard = shard(10);
    shard.accept(batch("blue/fill", 160, 4_000));
    shard.run(Duration::from_secs(60));
    let full = shard.running.len();

    // Act
    shard.accept(urgent(batch("blue/now", 5, 8_000)));
    shard.run(Duration::from_millis(8_500));

    // Assert
    expect_that!(full, eq(160));
    expect_that!(shard.workers_of("blue/now").len(), eq(5));
    for vm in &shard.workers {
        let on_it = shard.running.iter().filter(|(on, ..)| **on == *vm.vm);
        let used: u64 = on_it.map(|(.., need)| need.cores_milli).sum();
        expect_that!(used, le(WORKER.cores_milli));
    }
}

/// Guards against a job that can never run and blocks others or waits forever.
#[gtest]
fn a_job_that_fits_no_worker_is_refused_with_the_dimension() {
    // Arrange
    let mut shard = shard(2);
    let mut spec = batch("blue/huge", 1, 1_000);
    spec.need = ResourceVector::new(1_000, 300_000, 0);

    // Act
    let refused = shard.accept(spec);
    let next = shard.accept(batch("blue/next", 1, 1_000));

    // Assert
    let text = "memory: a task needs 1000m cores, 300000 MiB, 0 accelerators, the largest VM holds \
                64000m cores, 262144 MiB, 0 accelerators";
    expect_that!(outcomes(&refused, "blue/huge"), elements_are![eq(&JobOutcome::Refused(text.into()))]);
    expect_that!(starts(&next).len(), eq(1));
}

/// Guards against a job that waits forever because the last worker that could hold it was removed.
#[gtest]
fn a_job_that_fits_no_worker_after_the_fleet_shrank_is_refused() {
    // Arrange
    let mut shard = shard(1);
    let large = worker(1, ResourceVector::new(128_000, 524_288, 0));
    shard.workers.push(large);
    let listed = shard.workers.clone();
    shard.send_event(ScheduleEvent::WorkersListed(listed));
    shard.sync("w1");
    shard.accept(batch("red/fill", 1, 128_000));
    shard.accept(batch("blue/wide", 1, 100_000));

    // Act
    shard.workers.pop();
    let listed = shard.workers.clone();
    let at_once = shard.send_event(ScheduleEvent::WorkersListed(listed));
    shard.run(Duration::from_secs(40));

    // Assert
    expect_that!(outcomes(&at_once, "blue/wide"), is_empty());
    expect_that!(
        shard.outcome("blue/wide"),
        some(matches_pattern!(JobOutcome::Refused(starts_with("cores"))))
    );
}

/// Guards against a gang of which some tasks run while they wait for the others.
#[gtest]
fn a_gang_starts_completely_or_not_at_all() {
    // Arrange
    let mut shard = shard(4);
    shard.accept(batch("red/fill", 2, 64_000));
    shard.run(Duration::from_secs(1));

    // Act
    let early = shard.accept(gang("blue/mesh", 3, 64_000));
    let reasons = shard.reasons("blue/mesh");
    shard.end("red/fill#0@0", TaskOutcome::Finished);
    shard.run(Duration::from_secs(1));

    // Assert
    expect_that!(starts(&early), is_empty());
    expect_that!(reasons, contains(eq(&("fits_nowhere".to_owned(), 3))));
    expect_that!(shard.workers_of("blue/mesh").len(), eq(3));
}

/// Guards against small jobs that starve a gang job, and against workers that stay idle while they are
/// reserved for it.
#[gtest]
fn a_reservation_lets_only_short_work_pass() {
    // Arrange
    let mut shard = shard(2);
    shard.accept(batch("red/fill", 1, 64_000));
    shard.run(Duration::from_secs(3_300));
    shard.accept(gang("blue/mesh", 2, 64_000));
    let mut short = batch("green/short", 1, 8_000);
    short.run_time = Some(Duration::from_secs(60));

    // Act
    let long = starts(&shard.accept(batch("green/long", 1, 8_000)));
    let short = starts(&shard.accept(short));
    let reasons = shard.reasons("blue/mesh");

    // Assert
    expect_that!(long, is_empty());
    expect_that!(short.len(), eq(1));
    expect_that!(reasons, contains(eq(&("holds_reservation".to_owned(), 2))));
}

/// Guards against replicas of one service that fail together because they share a zone or rack.
#[gtest]
fn replicas_spread_over_zones_and_racks() {
    // Arrange
    let mut shard = shard(48);

    // Act
    shard.accept(service("blue/web", 6, 1_000));
    shard.run(Duration::from_secs(1));

    // Assert
    let on = shard.workers_of("blue/web");
    let of = |vm: &String| shard.workers.iter().find(|listed| *listed.vm == **vm).unwrap();
    for zone in ["a", "b", "c"] {
        expect_that!(on.iter().filter(|vm| *of(vm).zone == *zone).count(), eq(2));
    }
    let mut racks: Vec<_> = on.iter().map(|vm| of(vm).rack.clone()).collect();
    racks.sort_unstable();
    racks.dedup();
    expect_that!(racks.len(), eq(6));
}

/// Guards against a service that loses replicas before their replacements run when its zone is closed.
#[gtest]
fn replicas_are_replaced_before_a_zone_is_emptied() {
    // Arrange
    let mut shard = shard(6);
    shard.accept(service("blue/web", 6, 1_000));
    shard.accept(batch("blue/load", 6, 1_000));
    shard.run(Duration::from_secs(1));
    let closed = |shard: &fixture_placement::TestShard, job: &str| {
        let zone =
            |vm: &String| shard.workers.iter().any(|listed| *listed.vm == **vm && &*listed.zone == "a");
        shard.workers_of(job).iter().filter(|vm| zone(vm)).count()
    };
    let before = closed(&shard, "blue/web");

    // Act
    shard.send_event(ScheduleEvent::BundleAdopted(bundle(&["a"])));
    let mut fewest = usize::MAX;
    for _ in 0..20 {
        shard.run(Duration::from_millis(500));
        fewest = fewest.min(shard.workers_of("blue/web").len());
    }

    // Assert
    expect_that!(before, eq(2));
    expect_that!(fewest, eq(6));
    expect_that!(closed(&shard, "blue/web"), eq(0));
    expect_that!(closed(&shard, "blue/load"), eq(0));
    expect_that!(shard.workers_of("blue/web").len(), eq(6));
    expect_that!(shard.workers_of("blue/load").len(), eq(6));
}

/// Guards against tasks without accelerators that take up accelerator VMs while others have room.
#[gtest]
fn processor_work_avoids_accelerator_workers() {
    // Arrange
    let mut shard = shard(1);
    let accelerated = worker(1, ResourceVector::new(64_000, 262_144, 8));
    shard.workers.push(accelerated);
    let listed = shard.workers.clone();
    shard.send_event(ScheduleEvent::WorkersListed(listed));
    shard.sync("w1");

    // Act
    shard.accept(batch("blue/load", 32, 2_000));
    shard.run(Duration::from_secs(1));
    let overflow = starts(&shard.accept(batch("blue/more", 1, 2_000)));

    // Assert
    expect_that!(shard.workers_of("blue/load"), each(eq("w0")));
    expect_that!(overflow.len(), eq(1));
}
