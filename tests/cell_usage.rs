//! Tests of the account of past use, its records and its effect on the order of starts.

mod fixture_cell;

use std::time::{Duration, Instant};

use fixture_cell::{CellDriver, START_UNIX_TIME, cell, job, step, submit};
use godwithaven::kernel::cell::{
    CellEvent, CellNotice, CellRecord, CellScheduler, EndCause, GraphSpec, JobForecast, JobForecaster,
    StepSpec, TeamStanding, TeamUsage, UsageCorrection, UsageRecord,
};
use godwithaven::kernel::{DecayedShare, ResourceVector, ShareAccounting, UsageDecay};
use googletest::prelude::*;

const HALF_LIFE: Duration = Duration::from_secs(3_600);
const RETENTION: Duration = Duration::from_secs(20);

/// Returns a cell of 16 cores that accounts for past use.
fn accounting_cell() -> CellDriver {
    let mut driver = cell(2);
    let scheduler = std::mem::take(&mut driver.scheduler);
    driver.scheduler = scheduler.with_log_retention(RETENTION).with_usage_half_life(HALF_LIFE);
    driver
}

/// Returns the job of a team that is submitted now.
fn job_of(driver: &CellDriver, team: &str, id: &str, step: StepSpec) -> GraphSpec {
    let submitted = START_UNIX_TIME + driver.now.duration_since(driver.start);
    GraphSpec { team: team.into(), submitted, ..job(id, "batch", vec![step]) }
}

/// Lets the team `red` use the whole cell for a time, while a job of `blue` that no worker can run waits.
fn use_by_red(driver: &mut CellDriver, seconds: u64) {
    let impossible = StepSpec { label: Some("nowhere".into()), ..step(1) };
    let waiting = job_of(driver, "blue", "waiting", impossible);
    submit(driver, waiting);
    let wide = job_of(driver, "red", "wide", StepSpec { estimate: Duration::from_secs(3_600), ..step(16) });
    submit(driver, wide);
    (0..seconds).for_each(|_| driver.advance(1_000));
}

fn end_all(driver: &mut CellDriver, id: &str) {
    (0..16).for_each(|index| driver.end(&format!("{id}.0.0.{index}"), EndCause::Done));
}

fn past_use(driver: &CellDriver, team: &str) -> f64 {
    driver.scheduler.state().shares.past_use(team).get()
}

fn correction(driver: &CellDriver, team: &str) -> f64 {
    driver.scheduler.state().usage_correction.objective_part(team)
}

fn usage_records(records: &[CellRecord]) -> Vec<UsageRecord> {
    let usage = records.iter().filter_map(|record| match record {
        CellRecord::Usage(record) => Some(record.clone()),
        _ => None,
    });
    usage.collect()
}

fn standing(team: &str, weight: f64, past_use: f64) -> TeamStanding {
    TeamStanding { team: team.into(), weight, past_use }
}

/// Returns a record at the start of the tests plus `seconds`, with half of the cell used by `red`.
fn recorded(seconds: u64) -> UsageRecord {
    let unix_ms = u64::try_from(START_UNIX_TIME.as_millis()).expect("the time is small") + seconds * 1_000;
    UsageRecord { unix_ms, teams: vec![("red".into(), 500_000_000)] }
}

/// Returns the use of `red` after the record was read at `unix_time` by an owner with this retention.
fn restored(record: &UsageRecord, unix_time: Duration, max_age: Duration) -> f64 {
    let mut shares = ShareAccounting::default();
    shares.set_decay(UsageDecay::with_half_life(HALF_LIFE));
    record.restore(&mut shares, unix_time, max_age);
    shares.past_use("red").get()
}

/// Guards against use that never loses its weight, and against one that is counted by the number of updates and
/// not by time.
#[gtest]
fn use_grows_and_decays_with_the_half_life() -> Result<()> {
    let total = ResourceVector::new(8_000, 0, 0);
    let mut shares = ShareAccounting::default();
    shares.set_decay(UsageDecay::with_half_life(HALF_LIFE));
    let start = Instant::now();
    shares.refresh(start, total);
    shares.add(&"red".into(), ResourceVector::new(4_000, 0, 0), total);

    (1..=60).for_each(|minute| shares.refresh(start + Duration::from_secs(60 * minute), total));
    let used = shares.past_use("red").get();
    shares.remove(&"red".into(), ResourceVector::new(4_000, 0, 0), total);
    shares.refresh(start + 2 * HALF_LIFE, total);

    verify_that!(used, near(0.25, 1e-9))?;
    verify_that!(shares.past_use("red").get(), near(0.125, 1e-9))
}

/// Guards against an order that changes among teams with equal use by weight, and against one that depends on the
/// last digits of their use.
#[gtest]
fn teams_with_equal_use_are_not_corrected() -> Result<()> {
    let decay = UsageDecay::with_half_life(HALF_LIFE);
    let teams = [standing("a", 1.0, 0.1), standing("b", 2.0, 0.2), standing("c", 3.0, 0.3 + 1e-9)];

    let corrections = TeamStanding::corrections(&teams, decay);

    verify_that!(corrections.is_empty(), is_true())
}

/// Guards against corrections of a team without competition, of the first seconds after a cold start, and of use
/// that is not a number.
#[gtest]
fn a_correction_needs_other_teams_and_more_than_a_burst() -> Result<()> {
    let decay = UsageDecay::with_half_life(HALF_LIFE);
    let burst = 1.0 - decay.kept_part(Duration::from_secs(20));
    let cases = [
        vec![standing("a", 1.0, 0.9)],
        vec![standing("a", 1.0, burst), standing("b", 1.0, 0.0)],
        vec![standing("a", 1.0, f64::NAN), standing("b", 1.0, 0.1)],
        vec![standing("a", 0.0, 0.1), standing("b", 0.0, 0.1)],
        Vec::new(),
    ];

    let corrected = cases.iter().filter(|teams| !TeamStanding::corrections(teams, decay).is_empty()).count();

    verify_that!(corrected, eq(0))
}

/// Guards against a team that used far more than its part and still starts before one that used nothing.
#[gtest]
fn a_team_that_used_less_starts_first() -> Result<()> {
    let mut driver = accounting_cell();
    use_by_red(&mut driver, 600);
    let full = correction(&driver, "red");

    let of_red = job_of(&driver, "red", "r", step(16));
    submit(&mut driver, of_red);
    driver.now += Duration::from_millis(100);
    let of_blue = job_of(&driver, "blue", "b", step(16));
    submit(&mut driver, of_blue);
    end_all(&mut driver, "wide");
    driver.advance(100);

    verify_that!((full, correction(&driver, "blue")), eq((0.25, 0.0)))?;
    verify_that!(driver.started("b.0.0.15"), some(anything()))?;
    verify_that!(driver.started("r.0.0.0"), none())
}

/// Guards against an account that takes effect where it is switched off.
#[gtest]
fn without_an_account_the_order_is_by_latest_start() -> Result<()> {
    let mut driver = cell(2);
    use_by_red(&mut driver, 600);

    let of_red = job_of(&driver, "red", "r", step(16));
    submit(&mut driver, of_red);
    driver.now += Duration::from_millis(100);
    let of_blue = job_of(&driver, "blue", "b", step(16));
    submit(&mut driver, of_blue);
    end_all(&mut driver, "wide");
    driver.advance(100);

    verify_that!(driver.started("r.0.0.15"), some(anything()))?;
    verify_that!(driver.started("b.0.0.0"), none())?;
    verify_that!(usage_records(&driver.records), is_empty())
}

/// Guards against a team that waits for as long as teams with less use submit work, and against one that is late
/// as its correction holds until its latest start.
#[gtest]
fn a_team_with_much_use_moves_while_others_go_on_submitting() -> Result<()> {
    let mut driver = accounting_cell();
    use_by_red(&mut driver, 600);
    let of_red = job_of(&driver, "red", "r", step(8));
    submit(&mut driver, of_red);
    let submitted = driver.now;

    let mut rounds = 0;
    while driver.started("r.0.0.0").is_none() && rounds < 100 {
        let of_blue = job_of(&driver, "blue", &format!("b{rounds}"), step(8));
        submit(&mut driver, of_blue);
        // Half of the cell becomes free each 200 ms.
        if rounds == 0 {
            (0..8).for_each(|index| driver.end(&format!("wide.0.0.{index}"), EndCause::Done));
        } else {
            let running = driver.scheduler.state().placements.keys().map(ToString::to_string);
            let of_blue: Vec<String> = running.filter(|task| task.starts_with('b')).take(8).collect();
            for task in &of_blue {
                driver.end(task, EndCause::Done);
            }
        }
        driver.advance(200);
        rounds += 1;
    }

    // Its objective is 3 s with a run time of 1 s, so its latest start is 2 s after the submission.
    verify_that!(driver.now - submitted, le(Duration::from_secs(2)))
}

/// Guards against corrections larger than a quarter of the objective, and against any if little time is left.
#[gtest]
fn a_correction_is_bounded_by_the_objective_and_the_slack() -> Result<()> {
    let mut usage = UsageCorrection::default();
    usage.set([("red".into(), 1.0)].into_iter().collect(), Instant::now());
    let objective = Duration::from_secs(4);

    let with_slack = |millis| usage.of("red", objective, Duration::from_millis(millis));

    verify_that!(with_slack(60_000), eq(Duration::from_secs(1)))?;
    verify_that!((with_slack(2_000), with_slack(1_999)), eq((Duration::from_secs(1), Duration::ZERO)))?;
    verify_that!(usage.of("blue", objective, objective), eq(Duration::ZERO))?;
    verify_that!(usage.of("red", Duration::MAX, Duration::ZERO), eq(Duration::ZERO))
}

/// Guards against a new owner that starts from an empty account, counts the use of its predecessor twice, or is
/// misled by a record that it has read before.
#[gtest]
fn a_new_owner_goes_on_from_the_last_record() -> Result<()> {
    let mut old = accounting_cell();
    use_by_red(&mut old, 60);
    let records = usage_records(&old.records);
    let last = records.last().cloned().unwrap_or_default();
    let mut new = CellScheduler::new(old.now).with_log_retention(RETENTION).with_usage_half_life(HALF_LIFE);
    new.handle(CellEvent::Tick(Duration::from_millis(last.unix_ms)), old.now);

    for record in records.iter().chain([&last, &last]) {
        new.replay(CellRecord::Usage(record.clone()), old.now);
    }
    new.end_replay();

    let restored = UsageRecord::of(&new.state().shares, Duration::from_millis(last.unix_ms));
    let difference = restored.teams[0].1.abs_diff(last.teams[0].1);
    verify_that!(records.len(), ge(2))?;
    verify_that!(last.teams[0].1, gt(1_000_000))?;
    // The record rounds to billionths.
    verify_that!(difference, le(1))
}

/// Guards against clocks: one that is behind must not add use, and one that is far ahead must not clear the account.
#[gtest]
fn a_clock_that_jumps_changes_the_account_by_little() -> Result<()> {
    let record = recorded(0);
    let day = Duration::from_secs(86_400);

    let behind = restored(&record, Duration::ZERO, RETENTION);
    let ahead = restored(&record, START_UNIX_TIME + day, RETENTION);
    let after_a_half_life = restored(&record, START_UNIX_TIME + HALF_LIFE, Duration::MAX);

    verify_that!(behind, near(0.5, 1e-12))?;
    verify_that!(ahead, all!(gt(0.49), lt(0.5)))?;
    verify_that!(after_a_half_life, near(0.25, 1e-9))
}

/// Guards against an account that is lost when its last record expires while nothing runs, and against records at
/// each tick.
#[gtest]
fn the_account_is_recorded_within_the_retention_and_no_more_often() -> Result<()> {
    let mut driver = accounting_cell();
    use_by_red(&mut driver, 30);
    end_all(&mut driver, "wide");
    driver.records.clear();

    (0..600).for_each(|_| driver.advance(100));

    // At most one a third of the retention time, for about 80 s as the fixture adds to each tick.
    let records = usage_records(&driver.records).len();
    verify_that!(records, all!(ge(9), le(13)))
}

/// Guards against records without bound, and against use that overflows or becomes negative.
#[gtest]
fn records_and_use_are_bounded() -> Result<()> {
    let mut shares = ShareAccounting::default();
    let teams = (0..5_000u32).map(|team| (format!("team-{team}").into(), DecayedShare::new(f64::from(team))));
    shares.restore_past_uses(teams);
    let total = ResourceVector::new(1, 1, 1);
    let huge = ResourceVector::new(u64::MAX, u64::MAX, u64::MAX);
    let start = Instant::now();
    shares.refresh(start, total);
    shares.add(&"team-1".into(), huge, total);
    shares.refresh(start + Duration::from_secs(u64::from(u32::MAX)), total);
    shares.refund("team-0", huge, Duration::MAX, total);

    let record = UsageRecord::of(&shares, Duration::MAX);
    let bounded = [f64::NAN, f64::INFINITY, -1.0].map(|share| DecayedShare::new(share).get());

    verify_that!(record.teams.len(), le(1_000))?;
    verify_that!(shares.past_use("team-1").get(), all!(ge(0.0), le(4.0)))?;
    verify_that!(shares.past_use("team-0").get(), eq(0.0))?;
    verify_that!(bounded, eq([0.0, 4.0, 0.0]))
}

/// Guards against teams that pay for work that the system threw away, and against those that do not pay for work
/// that they cancelled.
#[gtest]
fn only_work_that_the_system_threw_away_is_taken_back() -> Result<()> {
    let left_after = |finish: fn(&mut CellDriver)| {
        let mut driver = accounting_cell();
        use_by_red(&mut driver, 60);
        let before = past_use(&driver, "red");
        finish(&mut driver);
        past_use(&driver, "red") / before
    };
    let stop_all = |driver: &mut CellDriver| {
        (0..16).for_each(|index| driver.end(&format!("wide.0.0.{index}"), EndCause::Stopped));
    };

    let stopped = left_after(stop_all);
    let done = left_after(|driver| end_all(driver, "wide"));
    let cancelled = left_after(|driver| {
        driver.handle(CellEvent::Cancelled("wide".into()));
        (0..16).for_each(|index| driver.end(&format!("wide.0.0.{index}"), EndCause::Stopped));
    });

    verify_that!(stopped, lt(0.1))?;
    verify_that!((done, cancelled), (ge(0.95), ge(0.95)))
}

/// Guards against operators who cannot see why the order changed.
#[gtest]
fn operators_see_use_and_correction_and_when_the_order_changes() -> Result<()> {
    let mut driver = accounting_cell();
    use_by_red(&mut driver, 600);
    let of_blue = job_of(&driver, "blue", "b", step(16));
    submit(&mut driver, of_blue);
    driver.now -= Duration::from_millis(100);

    let of_red = job_of(&driver, "red", "r", step(16));
    submit(&mut driver, of_red);

    let red = driver.scheduler.team_usages().into_iter().find(|usage| &*usage.team == "red");
    let expected = TeamUsage {
        team: "red".into(),
        past_use: past_use(&driver, "red"),
        weight: 10.0,
        correction: 0.25,
        steps_moved_back: 1,
    };
    verify_that!(red, some(eq(&expected)))?;
    verify_that!(driver.notices, contains(matches_pattern!(CellNotice::MovedBack { steps: ge(&1), .. })))
}

/// Guards against a forecast that differs from what is done, or that changes the order, the account or the submission
/// rate of the team.
#[gtest]
fn a_forecast_tells_what_happens_and_changes_nothing() -> Result<()> {
    let mut driver = accounting_cell();
    let running = job_of(&driver, "blue", "running", step(12));
    submit(&mut driver, running);
    let spec = job_of(&driver, "red", "r", step(8));
    let forecaster = JobForecaster { scheduler: &driver.scheduler, now: driver.now };

    let forecasts: Vec<JobForecast> =
        (0..100).filter_map(|_| forecaster.forecast(spec.clone()).ok()).collect();
    submit(&mut driver, spec);

    let forecast = forecasts.last().or_fail()?;
    let starts: u32 = forecast.steps[0].starts.iter().map(|(_, tasks)| tasks).sum();
    let started = driver.started_tasks().iter().filter(|task| task.starts_with("r.")).count();
    verify_that!((starts, started), eq((4, 4)))?;
    verify_that!(forecast.steps[0].wait.as_deref(), some(eq("room")))?;
    verify_that!((forecasts.len(), forecast.excess), eq((100, false)))?;
    // The run times of the others are estimated as a second.
    verify_that!(forecast.steps[0].expected_start_ms, some(all!(gt(0), le(1_000))))
}
