//! Guards against jobs that are refused, lost or run twice because they no longer fit the shard that accepted
//! them.

mod fixture;

#[path = "fixture/cluster.rs"]
mod cluster;
#[path = "fixture/faults.rs"]
mod faults;
mod fixture_placement;

use std::sync::Arc;
use std::time::Duration;

use fixture::BLUE_KEY;
use fixture_placement::TestShard;
use godwithaven::kernel::{
    JobOutcome, JobSpec, LedgerChange, LedgerState, LogRecord, RecordGroup, ResourceVector, ScheduleEffect,
    ScheduleEvent, ShardCapacities, TaskOutcome,
};
use godwithaven_standins::invariant::InvariantViolations;
use godwithaven_standins::worker::WorkerFaults;
use godwithaven_standins::world::StandinWorld;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

/// The workers with accelerators of shard `r1/0`. Those of `r1/1` are in the first rack of each zone.
const ACCELERATED_WORKERS: [&str; 3] = ["worker-a4", "worker-b4", "worker-c4"];

/// Returns the moves and outcomes in the log as process, job and either `move` or `outcome`.
async fn read_moves_and_outcomes(world: &StandinWorld) -> Vec<(String, String, &'static str)> {
    let groups = world.log.read_all("control").await.into_iter();
    let groups = groups.filter_map(|(_, body)| serde_json::from_str::<RecordGroup>(&body).ok());
    let entry = |process: &str, record: &LogRecord| match record {
        LogRecord::Move { job, .. } => Some((process.to_owned(), job.to_string(), "move")),
        LogRecord::Outcome { job, .. } => Some((process.to_owned(), job.to_string(), "outcome")),
        _ => None,
    };
    let entries = groups.flat_map(|group| {
        group.records.iter().filter_map(|record| entry(&group.process, record)).collect::<Vec<_>>()
    });
    entries.collect()
}

/// Silences the workers with accelerators of shard `r1/0` and removes them from the VM list, as if their VMs
/// had died.
async fn remove_accelerated_workers(world: &StandinWorld) {
    for vm in ACCELERATED_WORKERS {
        world.workers.set_faults(vm, WorkerFaults { silent: true, ..WorkerFaults::default() }).await;
        world.unlist(vm);
    }
}

/// Guards against the refusal of a job that fits another shard, and against a move that is lost if the
/// process that recorded it is killed.
#[gtest]
#[actix_rt::test]
async fn jobs_that_no_longer_fit_finish_in_another_shard_though_their_owner_is_killed() {
    // Arrange: the jobs wait because all zones are closed.
    let token = CancellationToken::new();
    let (world, mut entries) = faults::start_world_and_entries(&token).await;
    let closed = fixture::bundle_text(2, 1).replace("state = \"in\"", "state = \"out\"");
    fixture::publish(&world, 2, 1, closed).await;
    faults::sleep_seconds(1).await;
    let mut jobs = Vec::new();
    for index in 0..6 {
        let mut job = fixture::batch_job("blue", &format!("job-{index}"), 1);
        job["need"]["accelerators"] = 8.into();
        expect_that!(fixture::submit(&entries[index % 3], BLUE_KEY, &job).await.0, eq(202));
        jobs.push(format!("blue/job-{index}"));
    }

    // Act
    remove_accelerated_workers(&world).await;
    let deadline = tokio::time::Instant::now() + Duration::from_secs(15);
    let mut seen = Vec::new();
    while seen.is_empty() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
        seen = read_moves_and_outcomes(&world).await;
    }
    let author = entries.iter().position(|entry| *entry.process == *seen[0].0);
    let killed = entries.remove(author.unwrap());
    world.unlist(killed.process.split('.').next().unwrap());
    killed.kill();
    fixture::publish(&world, 3, 2, fixture::bundle_text(3, 2)).await;
    let finished = faults::count_finished(&entries[0], &jobs).await;

    // Assert
    let log = read_moves_and_outcomes(&world).await;
    let count = |job: &str, kind: &str| log.iter().filter(|(_, of, is)| of == job && *is == kind).count();
    expect_that!(finished, eq(6));
    expect_that!(jobs.iter().map(|job| count(job, "move")).sum::<usize>(), ge(1));
    expect_true!(jobs.iter().all(|job| count(job, "move") <= 1 && count(job, "outcome") == 1));
    expect_that!(faults::find_violations(&world).await, eq(InvariantViolations::default()));
    token.cancel();
}

/// Capacity of a worker with accelerators.
const ACCELERATED_CAPACITY: ResourceVector = ResourceVector::new(64_000, 262_144, 8);

/// Returns a ledger in which process `a` owns shard `r1/0` (token 1) with the job, and `b` owns `r1/1` (token
/// 2).
fn ledger_with(spec: &JobSpec) -> LedgerState {
    let mut ledger = LedgerState::new(cluster::rejecting_verifier());
    for (process, shard) in [("a", "r1/0"), ("b", "r1/1")] {
        let claim = LogRecord::Claim { shard: shard.into(), process: process.into(), over: 0 };
        apply(&mut ledger, process, claim);
    }
    apply(&mut ledger, "a", LogRecord::Submit { spec: spec.clone(), shard: "r1/0".into() });
    ledger
}

/// Applies a group with one record and returns the changes, except that the group was applied.
fn apply(ledger: &mut LedgerState, process: &str, record: LogRecord) -> Vec<LedgerChange> {
    let (offset, sequence) = (ledger.next, ledger.next + 1);
    let group = RecordGroup { process: process.into(), sequence, at_ms: 0, records: vec![record] };
    let changes = ledger.apply_group(offset, &group).into_iter();
    changes.filter(|change| !matches!(change, LedgerChange::GroupApplied(..))).collect()
}

/// Returns the scheduler of shard `r1/0` after it has moved the job, as the only worker that fits the job has
/// died.
fn scheduler_that_moved(spec: &JobSpec) -> TestShard {
    let mut shard = fixture_placement::shard(2);
    let worker = |number| fixture_placement::worker(number, ACCELERATED_CAPACITY);
    let others = ShardCapacities::new(&[worker(7)], 1);
    shard.send_event(ScheduleEvent::OtherShardsListed(others));
    let rest = shard.workers.clone();
    shard.send_event(ScheduleEvent::WorkersListed([rest.clone(), vec![worker(2)]].concat()));
    shard.sync("w2");
    shard.accept(spec.clone());
    shard.unreachable.push("w2".into());
    shard.send_event(ScheduleEvent::WorkersListed(rest));
    shard.send_event(ScheduleEvent::SyncFailed("w2".into()));
    shard.run(Duration::from_secs(60));
    shard
}

/// Returns the number of effects that move a job.
fn count_moves(effects: &[ScheduleEffect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, ScheduleEffect::MoveJob(..))).count()
}

/// Returns the record with the first of the outcomes.
fn outcome(token: u64, outcomes: &[JobOutcome]) -> LogRecord {
    LogRecord::Outcome { job: "blue/job".into(), token, outcome: outcomes[0].clone() }
}

/// Guards against a job that two owners run or end, as one of them has not yet applied a record that the
/// other one has.
#[gtest]
fn a_moved_job_has_one_outcome_while_both_owners_hold_it() {
    // Arrange
    let spec = JobSpec { need: ACCELERATED_CAPACITY, ..fixture_placement::batch("blue/job", 1, 0) };
    let mut ledger = ledger_with(&spec);
    let mut old = scheduler_that_moved(&spec);
    let started = fixture_placement::starts(&old.effects).len();
    let mut new = fixture_placement::shard(0);
    new.workers = vec![fixture_placement::worker(7, ACCELERATED_CAPACITY)];

    // Act: before the old owner applies its own move, a fitting worker returns to it and it is asked to
    // cancel the job.
    let mut listed = old.workers.clone();
    listed.push(fixture_placement::worker(2, ACCELERATED_CAPACITY));
    old.send_event(ScheduleEvent::WorkersListed(listed));
    old.sync("w2");
    old.run(Duration::from_secs(5));
    old.send_event(ScheduleEvent::JobCancelled("blue/job".into()));
    let by_old = fixture_placement::outcomes(&old.effects, "blue/job");
    let moved =
        apply(&mut ledger, "a", LogRecord::Move { job: "blue/job".into(), to: "r1/1".into(), token: 1 });
    let refused = apply(&mut ledger, "a", outcome(1, &by_old));
    new.send_event(ScheduleEvent::WorkersListed(new.workers.clone()));
    new.sync("w7");
    new.send_event(ScheduleEvent::JobMovedIn(Arc::new(spec.clone()), 4 << 16));
    new.sync("w7");
    let task = fixture_placement::starts(&new.effects)[0].1.clone();
    new.end(&task, TaskOutcome::Finished);
    new.sync("w7");
    let by_new = fixture_placement::outcomes(&new.effects, "blue/job");
    let ended = apply(&mut ledger, "b", outcome(2, &by_new));
    let again = apply(&mut ledger, "b", outcome(2, &by_new));

    // Assert
    expect_that!((started, count_moves(&old.effects)), eq((1, 1)));
    expect_that!(fixture_placement::starts(&old.effects).len(), eq(1));
    expect_that!(moved, elements_are![eq(&LedgerChange::JobMoved(Arc::new(spec), "r1/1".into(), 3))]);
    expect_that!(by_old, elements_are![eq(&JobOutcome::Cancelled)]);
    expect_that!(task, eq("blue/job#0@262144"));
    expect_that!((refused.len(), ended.len(), again.len()), eq((0, 1, 0)));
}

/// Guards against a cancelled job that is moved and then runs, and against moves by owners that were
/// replaced.
#[gtest]
fn a_cancelled_job_stays_and_a_replaced_owner_moves_nothing() {
    // Arrange
    let spec = fixture_placement::batch("blue/job", 1, 1_000);
    let (mut cancelled, mut replaced) = (ledger_with(&spec), ledger_with(&spec));
    let record = LogRecord::Move { job: "blue/job".into(), to: "r1/1".into(), token: 1 };

    // Act
    apply(&mut cancelled, "c", LogRecord::Cancel { job: "blue/job".into() });
    let after_cancel = apply(&mut cancelled, "a", record.clone());
    let ended = apply(&mut cancelled, "a", outcome(1, &[JobOutcome::Cancelled]));
    apply(&mut replaced, "b", LogRecord::Claim { shard: "r1/0".into(), process: "b".into(), over: 1 });
    let after_claim = apply(&mut replaced, "a", record);

    // Assert
    expect_that!((after_cancel.len(), ended.len(), after_claim.len()), eq((0, 1, 0)));
    expect_that!(&*replaced.jobs.get("blue/job").unwrap().shard, eq("r1/0"));
}
