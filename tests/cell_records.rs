//! Tests of the records with which an owner keeps the state of old jobs in the store.

mod fixture_cell;

use std::time::{Duration, Instant};

use fixture_cell::{CellDriver, START_UNIX_TIME, cell, job, step, submit};
use godwithaven::kernel::cell::{CellEvent, CellRecord, GraphSpec, JobStatus};
use godwithaven::prelude::FastMap;
use googletest::prelude::*;

/// Retention time of the store.
const RETENTION: Duration = Duration::from_secs(20);

/// Returns a cell whose store keeps records for [`RETENTION`].
fn cell_with_retention(mut driver: CellDriver) -> CellDriver {
    driver.scheduler = std::mem::take(&mut driver.scheduler).with_log_retention(RETENTION);
    driver
}

/// Guards against jobs that a new owner does not know: at most 20 snapshots were written at a tick, always of
/// the same jobs, so that the records of the others expired.
#[gtest]
fn every_job_is_recorded_again_before_its_records_expire() -> Result<()> {
    let mut driver = cell_with_retention(cell(0));
    let count = 1_500;
    for number in 0..count {
        let spec = job(&format!("j{number}"), "urgent", vec![step(1)]);
        driver.scheduler.handle(CellEvent::Submitted(spec.into()), driver.now);
    }
    let submitted_at = driver.now;
    let mut recorded: FastMap<String, Instant> = FastMap::default();
    let mut longest_gap = Duration::ZERO;

    while driver.now.duration_since(submitted_at) < RETENTION * 3 {
        driver.advance(100);
        for record in std::mem::take(&mut driver.records) {
            if let CellRecord::Snapshot(snapshot) = record {
                let last = recorded.insert(snapshot.spec.id.to_string(), driver.now).unwrap_or(submitted_at);
                longest_gap = longest_gap.max(driver.now.duration_since(last));
            }
        }
    }

    let end = driver.now;
    let open_gap = recorded.values().map(|at| end.duration_since(*at)).max();
    verify_that!(recorded.len(), eq(count))?;
    verify_that!(longest_gap, lt(RETENTION))?;
    verify_that!(open_gap, some(lt(RETENTION)))
}

/// Guards against a burst of writes after a change of the owner, when the snapshots of all old jobs are due.
#[gtest]
fn the_snapshots_of_many_old_jobs_are_spread_over_time() -> Result<()> {
    let mut driver = cell_with_retention(cell(0));
    for number in 0..3_000 {
        let submitted = START_UNIX_TIME.saturating_sub(RETENTION);
        let spec = GraphSpec { submitted, ..job(&format!("j{number}"), "urgent", vec![step(1)]) };
        driver.scheduler.handle(CellEvent::Submitted(spec.into()), driver.now);
    }
    driver.records.clear();

    let per_tick: Vec<usize> = (0..30)
        .map(|_| {
            driver.advance(100);
            std::mem::take(&mut driver.records).len()
        })
        .collect();

    verify_that!(per_tick.iter().max(), some(le(&300)))
}

/// Guards against a closed job that is lost with the payload and the steps that its later snapshots leave out.
#[gtest]
fn the_snapshot_of_a_closed_job_is_small_and_keeps_its_state() -> Result<()> {
    let mut driver = cell_with_retention(cell(0));
    let payload = "x".repeat(4_000);
    submit(&mut driver, GraphSpec { payload: payload.into(), ..job("j", "urgent", vec![step(100)]) });
    driver.handle(CellEvent::Cancelled("j".into()));
    driver.records.clear();

    driver.advance(10_000);
    let snapshot = driver.records.pop().or_fail()?;
    let bytes = serde_json::to_vec(&snapshot)?.len();
    let mut new = cell(0);
    new.scheduler.replay(snapshot, new.now);

    verify_that!(bytes, lt(500))?;
    verify_that!(new.scheduler.status("j"), some(eq(JobStatus::Cancelled)))
}
