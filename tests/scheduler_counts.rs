//! Bounds the cost of placement decisions by counts of work, which do not depend on the speed of the machine.

mod fixture_replay;

use fixture_replay::load::{TEAMS, load_bundle, load_workers};
use fixture_replay::{job_spec, new_scheduler};
use godwithaven::kernel::{
    JobKind, ScheduleEffect, ScheduleEvent, ShardScheduler, TaskEnd, TaskOutcome, WorkerCommand, WorkerReport,
};
use godwithaven::prelude::*;
use googletest::prelude::*;

/// Number of jobs or ends for which work is counted.
const DECISIONS: u32 = 1_000;

/// Returns a scheduler whose workers have all accepted a sync.
fn synced_fleet(workers: usize, now: Instant) -> ShardScheduler {
    let (vms, mut scheduler) = (load_workers(workers), new_scheduler(now));
    let bundle = load_bundle(&vms);
    let names: Vec<VmId> = vms.iter().map(|vm| vm.vm.clone()).collect();
    for team in &bundle.teams {
        scheduler.handle(ScheduleEvent::AllotmentChanged(team.id.clone(), team.limit), now);
    }
    scheduler.handle(ScheduleEvent::BundleAdopted(Arc::new(bundle)), now);
    scheduler.handle(ScheduleEvent::WorkersListed(vms), now);
    for vm in names {
        scheduler.handle(ScheduleEvent::SyncAnswered(vm, WorkerReport::default()), now);
    }
    scheduler
}

/// Submits a job of one task; returns the attempts that it starts and the number of all effects.
fn submit(
    scheduler: &mut ShardScheduler,
    number: u32,
    need: ResourceVector,
    now: Instant,
) -> (Vec<(VmId, TaskId)>, usize) {
    let team = format!("team{:02}", number % u32::try_from(TEAMS).unwrap_or(1));
    let mut spec = job_spec(&team, &format!("j{number}"), JobKind::Batch, 1, need);
    spec.run_time = Some(Duration::from_secs(600));
    let effects = scheduler.handle(ScheduleEvent::JobAccepted(Arc::new(spec)), now);
    (starts(&effects), effects.len())
}

/// Returns worker and name of each attempt that the effects start.
fn starts(effects: &[ScheduleEffect]) -> Vec<(VmId, TaskId)> {
    let start = |effect: &ScheduleEffect| match effect {
        ScheduleEffect::Command(vm, WorkerCommand::Start { task, .. }) => Some((vm.clone(), task.clone())),
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

/// Returns the numbers of examined workers and of effects for `DECISIONS` jobs that fit.
fn count_fitting(workers: usize) -> (u64, usize) {
    let now = Instant::now();
    let mut scheduler = synced_fleet(workers, now);
    let (before, need) = (scheduler.workers_examined, ResourceVector::new(4_000, 8_192, 0));
    let effects = (0..DECISIONS).map(|number| submit(&mut scheduler, number, need, now).1).sum();
    (scheduler.workers_examined - before, effects)
}

/// Returns the numbers of tried classes, examined workers and started tasks for `DECISIONS` ends on a full
/// fleet, while as many jobs wait.
fn count_contended(workers: usize) -> (u64, u64, usize) {
    let now = Instant::now();
    let mut scheduler = synced_fleet(workers, now);
    let (need, count) = (ResourceVector::new(64_000, 262_144, 0), u32::try_from(workers).unwrap_or(0));
    let mut running = std::collections::VecDeque::new();
    for number in 0..count + DECISIONS {
        running.extend(submit(&mut scheduler, number, need, now).0);
    }
    let (classes_tried, workers_examined, mut started) =
        (scheduler.classes_tried, scheduler.workers_examined, 0);
    for _ in 0..DECISIONS {
        let Some((vm, task)) = running.pop_front() else { break };
        let end = TaskEnd { task, outcome: TaskOutcome::Finished, result: String::new() };
        let report = WorkerReport { running: Vec::new(), ended: vec![end] };
        let new = starts(&scheduler.handle(ScheduleEvent::SyncAnswered(vm, report), now));
        started += new.len();
        running.extend(new);
    }
    (scheduler.classes_tried - classes_tried, scheduler.workers_examined - workers_examined, started)
}

/// Guards the target that a decision costs less than twice as much with 7,900 workers as with 790.
#[gtest]
fn examined_workers_grow_less_than_twice_with_ten_times_the_fleet() {
    let (small, _) = count_fitting(790);
    let (large, effects) = count_fitting(7_900);
    println!("fitting: {small} and {large} workers examined in {DECISIONS} decisions, {effects} effects");

    expect_that!(large, lt(2 * small));
    // Each decision has one start command and one log entry.
    expect_that!(effects, eq(2 * DECISIONS as usize));
}

/// Guards the same target while the fleet is full and jobs wait. Each end must let one job start.
#[gtest]
fn examined_workers_grow_less_than_twice_on_a_full_fleet() {
    let (_, small, few) = count_contended(790);
    let (classes_tried, large, many) = count_contended(7_900);
    println!(
        "contended: {small} and {large} workers examined for {few} and {many} starts, {classes_tried} classes tried"
    );

    expect_that!(large, lt(2 * small));
    expect_that!([few, many], eq([DECISIONS as usize; 2]));
    // Guards against trying each of the 42 waiting classes whenever one worker gains room.
    expect_that!(classes_tried, le(3 * u64::from(DECISIONS)));
}
