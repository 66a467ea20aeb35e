//! Guards against jobs that are refused because their shard has no fitting worker,
//! although another shard has one.

mod fixture;

use godwithaven::kernel::{JobKind, JobSpec, PriorityClass, ResourceVector, ShardCapacities, WorkerVm};
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

use fixture::BLUE_KEY;

const PLAIN: ResourceVector = ResourceVector::new(64_000, 262_144, 0);
const WITH_ACCELERATORS: ResourceVector = ResourceVector::new(64_000, 262_144, 8);

fn worker(index: usize, capacity: ResourceVector, leaving: bool) -> WorkerVm {
    WorkerVm {
        vm: format!("w{index}").into(),
        zone: "a".into(),
        region: "r1".into(),
        rack: format!("rack-{index}").into(),
        address: "127.0.0.1:1".into(),
        capacity,
        leaving,
    }
}

fn job(kind: JobKind, tasks: u32, accelerators: u64) -> JobSpec {
    JobSpec {
        id: "blue/j".into(),
        team: "blue".into(),
        queue: "main".into(),
        kind,
        priority: PriorityClass::Normal,
        tasks,
        need: ResourceVector::new(1_000, 1_024, accelerators),
        run_time: None,
        retries: 0,
    }
}

#[gtest]
fn shard_capacities_fit_a_task_or_a_whole_gang() -> Result<()> {
    // Arrange
    let workers =
        [worker(0, PLAIN, false), worker(1, WITH_ACCELERATORS, false), worker(2, WITH_ACCELERATORS, true)];
    let shard = workers[0].shard(1);

    // Act
    let capacities = ShardCapacities::new(&workers, 1);

    // Assert
    expect_that!(capacities.can_fit(&shard, &job(JobKind::Batch, 100, 8)), eq(true));
    expect_that!(capacities.can_fit(&shard, &job(JobKind::Batch, 1, 9)), eq(false));
    expect_that!(capacities.can_fit(&shard, &job(JobKind::Gang, 4, 2)), eq(true));
    expect_that!(capacities.can_fit(&shard, &job(JobKind::Gang, 5, 2)), eq(false), "a leaving worker counts");
    verify_that!(capacities.can_fit(&"r1/9".into(), &job(JobKind::Batch, 1, 0)), eq(false))
}

#[gtest]
#[actix_rt::test]
async fn accelerator_jobs_go_to_the_shard_that_has_accelerators() {
    // Arrange
    let token = CancellationToken::new();
    let world = fixture::start_world(&token).await;
    let rack = |list: &[godwithaven_standins::directory::ListedVm]| {
        list.iter().find(|vm| vm.accelerators > 0).map(|vm| vm.rack.clone())
    };
    world.directory.change(|list| {
        let only = rack(list);
        list.retain(|vm| vm.accelerators == 0 || Some(&vm.rack) == only.as_ref());
    });
    let entry = fixture::start_entry(&world, "entry-1", "a").await;
    fixture::publish(&world, 1, 0, fixture::bundle_text(1, 0)).await;
    fixture::wait_ready(&entry).await;

    // Act
    let mut states = Vec::new();
    for index in 0..6 {
        let mut job = fixture::batch_job("blue", &format!("acc-{index}"), 1);
        job["need"]["accelerators"] = 1.into();
        fixture::submit(&entry, BLUE_KEY, &job).await;
    }
    for index in 0..6 {
        states.push(fixture::wait_job(&entry, BLUE_KEY, &format!("blue/acc-{index}")).await);
    }

    // Assert
    for state in states {
        expect_that!(state["outcome"]["finished"].as_array().map(Vec::len), some(eq(1)), "{state}");
    }
    entry.stop().await;
    token.cancel();
}
