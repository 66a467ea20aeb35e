//! Checks on a logical clock that no task runs twice and no result is forgotten, whatever life of a worker carries
//! out a call: a permission that does not name the life of its holder has to be safe for each later one.
//!
//! `GODWITHAVEN_LONG_TESTS=1` runs cases of further seeds for ten minutes a test, and a higher number for so many
//! seconds; both print the number of cases.

mod fixture_cell;
mod fixture_lives;

use std::ops::Range;
use std::time::{Duration, Instant};

use fixture_lives::{CellWorld, LifeAction, LifeCase, OpenMoments, OwnerChange};
use godwithaven_standins::platform::{CallDelay, CallKind, CutSide};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

/// Variable that selects the long run, and for how many seconds each test runs.
const LONG_TESTS: &str = "GODWITHAVEN_LONG_TESTS";
/// Seeds of the short run. Each finds a fault that the code has or had, or one of the moments that are left out.
const SEEDS: [u64; 5] = [3, 5, 10, 16, 277];
/// Seconds of the long run.
const LONG_RUN_SECONDS: u64 = 600;
/// Cases of one seed.
const CASES: u32 = 200;
/// Largest number of faults, or groups of faults, of a case.
const MAX_STEPS: usize = 7;
/// Lines of the timeline that are printed.
const MAX_PRINTED_LINES: usize = 400;

fn submit(run_ms: Range<u64>) -> impl Strategy<Value = LifeAction> + Clone {
    (1..5_u32, run_ms).prop_map(|(tasks, run_ms)| LifeAction::Submit { tasks, run_ms })
}

fn delay(delay_ms: Range<u64>) -> impl Strategy<Value = LifeAction> + Clone {
    let kinds = vec![None, Some(CallKind::Poll), Some(CallKind::Start), Some(CallKind::Stop)];
    let delay_ms = prop::option::weighted(0.85, delay_ms);
    let for_ms = prop_oneof![20..300_u64, 300..2_500_u64];
    (for_ms, delay_ms, prop::sample::select(kinds), prop::bool::weighted(0.2)).prop_map(
        |(for_ms, delay_ms, kind, reversed)| {
            LifeAction::Delay(CallDelay { for_ms, delay_ms, kind, reversed })
        },
    )
}

fn restart() -> impl Strategy<Value = LifeAction> + Clone {
    let clock_ms = prop_oneof![3 => Just(-4_000_000), 2 => -12_000..12_000_i64, 1 => Just(1_000_000)];
    let dark_ms = prop_oneof![2 => 0..60_u64, 2 => 60..700_u64, 1 => 700..5_000_u64];
    let wall_ms = prop_oneof![3 => Just(0), 1 => -60_000..60_000_i64];
    (dark_ms, clock_ms, wall_ms, 0..2_000_u64, prop::bool::ANY).prop_map(
        |(dark_ms, clock_ms, wall_ms, listed_after_ms, resets)| LifeAction::Restart {
            dark_ms,
            clock_ms,
            wall_ms,
            listed_after_ms,
            resets,
        },
    )
}

fn cut(for_ms: Range<u64>) -> impl Strategy<Value = LifeAction> + Clone {
    let side = prop_oneof![4 => Just(CutSide::All), 1 => Just(CutSide::Newest), 1 => Just(CutSide::Former)];
    (for_ms, side).prop_map(|(for_ms, side)| LifeAction::Cut { for_ms, side })
}

fn replace() -> impl Strategy<Value = LifeAction> + Clone {
    let takeover_ms = prop_oneof![0..60_u64, 60..2_500_u64];
    let kill = (prop::option::weighted(0.4, 0..4_usize), takeover_ms.clone());
    let change = prop_oneof![
        3 => kill.prop_map(|(stores_left, takeover_ms)| OwnerChange::Kill { stores_left, takeover_ms }),
        2 => (0..5_000_u64).prop_map(|for_ms| OwnerChange::Depose { for_ms }),
        1 => takeover_ms.prop_map(|takeover_ms| OwnerChange::Release { takeover_ms }),
    ];
    change.prop_map(LifeAction::Replace)
}

fn move_worker() -> impl Strategy<Value = LifeAction> + Clone {
    prop_oneof![0..60_u64, 60..1_000_u64].prop_map(|listed_after_ms| LifeAction::Move { listed_after_ms })
}

/// Times in milliseconds, and the share of each step, of faults that meet at one restart.
struct MeetingTimes {
    run: Range<u64>,
    delay: Range<u64>,
    cut: Range<u64>,
    gap: Range<u64>,
    shares: [f64; 10],
}

fn meeting(times: MeetingTimes) -> impl Strategy<Value = Vec<(u64, LifeAction)>> {
    let MeetingTimes { run, delay: delay_ms, cut: cut_ms, gap, shares } = times;
    let soon = |step: usize, action: BoxedStrategy<LifeAction>| {
        prop::option::weighted(shares[step], (gap.clone(), action))
    };
    let steps = (
        soon(0, replace().boxed()),
        soon(1, submit(run.clone()).boxed()),
        soon(2, delay(delay_ms.clone()).boxed()),
        soon(3, restart().boxed()),
        soon(4, submit(run).boxed()),
        soon(5, delay(delay_ms).boxed()),
        soon(6, restart().boxed()),
        soon(7, replace().boxed()),
        soon(8, move_worker().boxed()),
        soon(9, cut(cut_ms).boxed()),
    );
    steps.prop_map(|(a, b, c, d, e, f, g, h, i, j)| {
        [a, b, c, d, e, f, g, h, i, j].into_iter().flatten().collect()
    })
}

/// Returns single faults, and faults that meet at one restart.
fn life_actions() -> impl Strategy<Value = Vec<(u64, LifeAction)>> {
    let single = prop_oneof![
        2 => submit(100..2_000),
        2 => submit(2_000..15_000),
        3 => delay(100..2_000),
        2 => delay(2_000..12_000),
        3 => restart(),
        3 => cut(100..18_000),
        3 => replace(),
        1 => move_worker(),
    ];
    // Long runs outlive leases that are bounded wrongly; the ends of short ones are acknowledged.
    let long_runs = MeetingTimes {
        run: 8_000..15_000,
        delay: 50..1_500,
        cut: 6_000..18_000,
        gap: 0..500,
        shares: [0.3, 0.7, 0.8, 0.9, 0.7, 0.2, 0.2, 0.4, 0.3, 0.8],
    };
    let short_runs = MeetingTimes {
        run: 100..250,
        delay: 500..4_000,
        cut: 500..4_000,
        gap: 0..150,
        shares: [0.7, 0.9, 0.9, 0.9, 0.9, 0.2, 0.2, 0.1, 0.1, 0.7],
    };
    let gap = prop_oneof![6 => 0..700_u64, 2 => 700..3_000_u64, 1 => 3_000..9_000_u64];
    let step = prop_oneof![
        2 => (gap, single).prop_map(|step| vec![step]),
        1 => meeting(long_runs),
        1 => meeting(short_runs),
    ];
    prop::collection::vec(step, 2..MAX_STEPS).prop_map(|steps| steps.concat())
}

/// Returns cases with or without the kinds of moments that are known to be open.
fn life_case(moments: OpenMoments) -> impl Strategy<Value = LifeCase> {
    let wall_ms = prop::array::uniform4(-60_000..60_000_i64);
    (980..1_001_u32, wall_ms, life_actions()).prop_map(move |(clock_rate, wall_ms, actions)| LifeCase {
        moments,
        clock_rate,
        wall_ms,
        actions,
    })
}

/// Plays cases of one seed, or of many for as long as the variable says. Fails with a minimal case, the timeline of
/// its calls, and the run.
fn check_lives(strategy: &impl Strategy<Value = LifeCase>, seeds: &[u64]) -> Result<()> {
    let long = std::env::var(LONG_TESTS).ok();
    let seconds = long.as_ref().and_then(|text| text.parse().ok()).filter(|seconds| *seconds > 1);
    let time = Duration::from_secs(seconds.unwrap_or(LONG_RUN_SECONDS));
    let (started, mut played) = (Instant::now(), std::cell::Cell::new(0_u64));
    let further = 1..if long.is_some() { u64::MAX } else { 1 };
    for seed in further.chain(seeds.iter().copied().filter(|_| long.is_none())) {
        let config =
            Config { cases: CASES, failure_persistence: None, max_shrink_iters: 4_000, ..Config::default() };
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes));
        let first_failure = std::cell::Cell::new(None);
        let result = runner.run(strategy, |case| {
            if first_failure.get().is_none() {
                played.set(played.get() + 1);
            }
            let violation = CellWorld::play(&case, false).0;
            if violation.is_some() && first_failure.get().is_none() {
                first_failure.set(Some(played.get()));
            }
            prop_assert!(violation.is_none(), "{}", violation.unwrap_or_default());
            Ok(())
        });
        let number = first_failure.get().unwrap_or_default();
        match result {
            Err(TestError::Fail(reason, case)) => {
                let timeline = CellWorld::play(&case, true).1;
                let lines = timeline[timeline.len().saturating_sub(MAX_PRINTED_LINES)..].join("\n");
                return fail!("seed {seed}, case {number}: {reason}\n{case:#?}\n{lines}");
            }
            Err(TestError::Abort(reason)) => return fail!("seed {seed}: {reason}"),
            Ok(()) => {}
        }
        if long.is_some() && started.elapsed() >= time {
            break;
        }
    }
    println!("{} cases in {} s", played.get_mut(), started.elapsed().as_secs());
    Ok(())
}

/// Guards against tasks that run twice and results that are forgotten because a call grants, starts, stops or
/// acknowledges something for another life of a worker than it was sent to. Three kinds of moments are left out, which
/// the other tests play.
#[gtest]
fn no_life_of_a_worker_uses_the_permission_of_another() -> Result<()> {
    check_lives(&life_case(OpenMoments::default()), &SEEDS)
}

/// Guards against a result that is forgotten before the first answer after a restart: a call for the former
/// incarnation acknowledges the end of a run whose start was sent to the former incarnation too.
#[gtest]
fn no_late_call_acknowledges_the_end_of_an_open_start() -> Result<()> {
    let moments = OpenMoments { restarts_with_open_starts: true, ..OpenMoments::default() };
    check_lives(&life_case(moments), &SEEDS)
}

/// Guards against a task that runs twice: a worker restarts once more after a report or a stop has proved that a run
/// is absent, and carries out the start of that run.
#[gtest]
fn no_start_is_carried_out_after_its_run_was_proved_absent() -> Result<()> {
    let moments = OpenMoments { restarts_after_proofs: true, ..OpenMoments::default() };
    check_lives(&life_case(moments), &SEEDS)
}

/// Guards against a task that runs twice: an incarnation that no owner knows of carries out a start for the former one,
/// and the bound of the lease is that of the former one.
#[gtest]
fn no_unknown_incarnation_runs_a_task_beyond_the_bound_of_its_lease() -> Result<()> {
    let moments = OpenMoments { unknown_restarts: true, ..OpenMoments::default() };
    check_lives(&life_case(moments), &SEEDS)
}
