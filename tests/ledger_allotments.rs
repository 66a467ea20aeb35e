//! Guards against teams that exceed their limit, and against allotment that stays unused in one shard while
//! tasks of the team wait in another.

mod fixture;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use godwithaven::kernel::id::{ProcessId, ShardId, TeamId};
use godwithaven::kernel::{
    AllotmentTransfer, JobKind, JobOutcome, JobSpec, LedgerState, LogRecord, PendingTransfers,
    PluginRegistry, PriorityClass, RecordGroup, ResourceVector, ShardAllotment, ShardSummary,
};
use godwithaven::plugins::bundle_signature;
use googletest::prelude::*;
use proptest::prelude::{Strategy, any, prop};
use proptest::test_runner::{Config, TestRunner};

/// Returns a ledger whose bundle has `shards` worker shards and a limit of `cores` for team `blue`.
fn ledger(shards: usize, cores: u64) -> LedgerState {
    let verifier = bundle_signature::verifier(PluginRegistry::collect(), vec![fixture::public_key()], 1);
    let mut ledger = LedgerState::new(verifier);
    apply(&mut ledger, "operator", vec![bundle(1, shards, cores)]);
    ledger
}

fn bundle(version: u64, shards: usize, cores: u64) -> LogRecord {
    let text = fixture::bundle_text(version, version - 1)
        .replace("shards_per_region = 2", &format!("shards_per_region = {shards}"))
        .replace("cores_milli = 64000", &format!("cores_milli = {}", cores * 1_000));
    LogRecord::Bundle(fixture::signed(version, version - 1, text))
}

fn apply(ledger: &mut LedgerState, process: &str, records: Vec<LogRecord>) {
    let sequence = ledger.processes.sequence(process) + 1;
    let group = RecordGroup { process: process.into(), sequence, at_ms: 0, records };
    ledger.apply_group(ledger.next, &group);
}

fn sum(ledger: &LedgerState, team: &str) -> ResourceVector {
    let mine = ledger.allotments.iter().filter(|((_, held_by), _)| &**held_by == team);
    mine.fold(ResourceVector::default(), |sum, (_, amount)| sum.plus(*amount))
}

/// Guards against records that create or destroy allotment, so that a team exceeds or
/// never reaches its limit.
#[gtest]
fn allotments_add_up_to_the_limit_whatever_is_appended() {
    // Arrange: claims, transfers with current, wrong and old tokens, bundles with other limits and shard
    // counts.
    let step = (0..10_u8, 0..4_usize, 0..4_usize, 0..30_000_u64, any::<bool>(), 0..3_usize);
    let steps = prop::collection::vec(step, 1..80);
    let mut runner = TestRunner::new(Config { cases: 100, failure_persistence: None, ..Config::default() });

    // Act and assert
    let result = runner.run(&steps.no_shrink(), |steps| {
        let (mut ledger, mut limit, mut version) = (ledger(4, 64), 64, 1);
        for (kind, from, to, amount, stale, author) in steps {
            let (from, to): (ShardId, ShardId) = (format!("r1/{from}").into(), format!("r1/{to}").into());
            let process = format!("p{author}");
            let token = ledger.token(&from).saturating_sub(u64::from(stale));
            let record = match kind {
                0 => {
                    version += 1;
                    limit = amount % 97 + 1;
                    bundle(version, usize::try_from(amount % 5).unwrap() + 1, limit)
                }
                1..3 => LogRecord::Claim { shard: from, process: process.as_str().into(), over: token },
                _ => {
                    let amount = ResourceVector::new(amount, amount / 7, u64::from(kind) / 9);
                    LogRecord::Transfer { team: "blue".into(), from, to, amount, token }
                }
            };
            apply(&mut ledger, &process, vec![record]);
            proptest::prop_assert_eq!(sum(&ledger, "blue"), ResourceVector::new(limit * 1_000, 262_144, 16));
            proptest::prop_assert_eq!(sum(&ledger, "red").memory_mib, 262_144);
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// Guards against a transfer of an amount that tasks still use, by a process that no longer owns the shard.
#[gtest]
fn a_transfer_takes_effect_only_from_the_owner_under_its_token() {
    // Arrange
    let mut ledger = ledger(2, 64);
    let claim =
        |process: &str, over| LogRecord::Claim { shard: "r1/0".into(), process: process.into(), over };
    apply(&mut ledger, "a", vec![claim("a", 0)]);
    apply(&mut ledger, "b", vec![claim("b", 2)]);
    let transfer = |token| LogRecord::Transfer {
        team: "blue".into(),
        from: "r1/0".into(),
        to: "r1/1".into(),
        amount: ResourceVector::new(1_000, 0, 0),
        token,
    };

    // Act: the old owner under both tokens, then the current owner.
    apply(&mut ledger, "a", vec![transfer(2), transfer(3)]);
    let after_old = ledger.allotments.get(&"r1/0".into(), &"blue".into()).cores_milli;
    apply(&mut ledger, "b", vec![transfer(3)]);

    // Assert
    expect_that!(after_old, eq(32_000));
    expect_that!(ledger.allotments.get(&"r1/0".into(), &"blue".into()).cores_milli, eq(31_000));
}

#[gtest]
fn a_plan_fills_shortfalls_and_ignores_small_ones() {
    // Arrange
    let plan = |parts: &[(u64, u64)]| -> Vec<(ShardId, ShardId, u64)> {
        let allotment = |(index, (held, demand)): (usize, &(u64, u64))| ShardAllotment {
            shard: format!("r1/{index}").into(),
            held: ResourceVector::new(*held, 0, 0),
            demand: ResourceVector::new(*demand, 0, 0),
        };
        let allotments: Vec<ShardAllotment> = parts.iter().enumerate().map(allotment).collect();
        let transfers = AllotmentTransfer::plan(&"blue".into(), &allotments).into_iter();
        transfers.map(|transfer| (transfer.from, transfer.to, transfer.amount.cores_milli)).collect()
    };

    // Act
    let covered = plan(&[(100, 10), (100, 150), (100, 0)]);
    let contested = plan(&[(150, 1_000), (150, 1_000), (0, 1_000)]);
    let nearly_fair = plan(&[(110, 1_000), (110, 1_000), (80, 1_000)]);

    // Assert
    expect_that!(covered, eq(&vec![("r1/2".into(), "r1/1".into(), 50)]));
    expect_that!(contested.iter().map(|(_, _, amount)| amount).sum::<u64>(), eq(100));
    expect_that!(nearly_fair, is_empty());
}

/// Result of one simulated run: unused limit while tasks wait, waiting time of tasks,
/// and number of transfers.
struct FloodResult {
    idle_core_seconds: u64,
    delayed_task_seconds: u64,
    transfers: usize,
}

/// Simulates a team with 512 cores over 16 shards that submits 10 s tasks to one shard
/// after another, on a logical clock.
fn simulate_flood(with_transfers: bool) -> FloodResult {
    let mut ledger = ledger(16, 512);
    let shards = ledger.worker_shards();
    let (owner, team): (ProcessId, TeamId) = ("a".into(), "blue".into());
    let claims =
        shards.iter().map(|shard| LogRecord::Claim { shard: shard.clone(), process: owner.clone(), over: 0 });
    apply(&mut ledger, "a", claims.collect());
    let (mut pending, start) = (PendingTransfers::default(), Instant::now());
    let mut running: Vec<VecDeque<u64>> = vec![VecDeque::new(); shards.len()];
    let mut waiting = vec![0_u64; shards.len()];
    let mut result = FloodResult { idle_core_seconds: 0, delayed_task_seconds: 0, transfers: 0 };
    for second in 0..600_u64 {
        // 40 tasks of one core per second use 400 of 512 cores. Their shard changes every minute.
        let busy = usize::try_from(second / 60 * 7 % 16).unwrap();
        let job = submit(second, &shards[busy]);
        apply(&mut ledger, "a", vec![job]);
        waiting[busy] += 40;
        let mut records = Vec::new();
        if second >= 14 {
            let outcome = JobOutcome::Finished(Vec::new());
            let token = ledger.token(&shards[busy]);
            records.push(LogRecord::Outcome { job: format!("blue/{}", second - 14).into(), token, outcome });
        }
        let mut idle = 0;
        for (index, shard) in shards.iter().enumerate() {
            running[index].retain(|end| *end > second);
            let usable =
                pending.usable(shard, &team, ledger.allotments.get(shard, &team)).cores_milli / 1_000;
            let free = usable.saturating_sub(running[index].len() as u64);
            let started = free.min(waiting[index]);
            running[index].extend((0..started).map(|_| second + 10));
            waiting[index] -= started;
            idle += free - started;
        }
        let delayed: u64 = waiting.iter().sum();
        result.delayed_task_seconds += delayed;
        result.idle_core_seconds += idle.min(delayed);
        if with_transfers {
            let used: Vec<ShardSummary> = shards.iter().zip(&running).map(summary).collect();
            let now = start + Duration::from_secs(second);
            for transfer in pending.propose(&ledger, &owner, &used, now) {
                result.transfers += 1;
                pending.complete(&transfer.from, &team, transfer.amount);
                let AllotmentTransfer { team, from, to, amount } = transfer;
                let token = ledger.token(&from);
                records.push(LogRecord::Transfer { team, from, to, amount, token });
            }
        }
        apply(&mut ledger, "a", records);
    }
    result
}

fn summary((shard, running): (&ShardId, &VecDeque<u64>)) -> ShardSummary {
    let used = ResourceVector::new(running.len() as u64 * 1_000, 0, 0);
    ShardSummary {
        shard: shard.clone(),
        used_by_team: vec![("blue".into(), used)],
        ..ShardSummary::default()
    }
}

fn submit(second: u64, shard: &ShardId) -> LogRecord {
    let spec = JobSpec {
        id: format!("blue/{second}").into(),
        team: "blue".into(),
        queue: "main".into(),
        kind: JobKind::Batch,
        priority: PriorityClass::Normal,
        tasks: 40,
        need: ResourceVector::new(1_000, 0, 0),
        run_time: None,
        retries: 0,
    };
    LogRecord::Submit { spec, shard: shard.clone() }
}

/// Guards against allotment that stays in idle shards while the tasks of the team wait in a busy one.
#[gtest]
fn transfers_move_allotment_to_the_shard_with_demand() {
    // Act
    let (without, with) = (simulate_flood(false), simulate_flood(true));
    println!(
        "without transfers: {} idle core-s, {} delayed task-s",
        without.idle_core_seconds, without.delayed_task_seconds
    );
    println!(
        "with transfers: {} idle core-s, {} delayed task-s, {} transfers",
        with.idle_core_seconds, with.delayed_task_seconds, with.transfers
    );

    // Assert
    expect_that!(with.delayed_task_seconds * 20, le(without.delayed_task_seconds));
    expect_that!(with.idle_core_seconds * 10, le(without.idle_core_seconds));
    expect_that!(with.transfers, le(600));
}
