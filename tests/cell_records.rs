//! Tests of the records with which an owner keeps the state of old jobs in the store.

mod fixture_cell;

use std::time::{Duration, Instant};

use bytes::Bytes;
use fixture_cell::{CellDriver, START_UNIX_TIME, cell, cell_with, config, job, step, submit, worker};
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::{CellEvent, CellRecord, GraphSpec, JobStatus, StepSpec};
use godwithaven::prelude::FastMap;
use godwithaven::tasks::cell::record_codec::{RecordDecoder, encode};
use googletest::prelude::*;

/// Largest record of the store.
const MAX_RECORD_BYTES: usize = 16_384;
/// Retention time of the store.
const RETENTION: Duration = Duration::from_secs(20);

/// Retention time of a store of which a third is longer than a cell keeps closed jobs.
const LONG_RETENTION: Duration = Duration::from_secs(600);

/// Returns a cell whose store keeps records for [`RETENTION`].
fn cell_with_retention(mut driver: CellDriver) -> CellDriver {
    driver.scheduler = std::mem::take(&mut driver.scheduler).with_log_retention(RETENTION);
    driver
}

/// Returns the snapshot of a job with 2,000 running tasks.
fn large_snapshot() -> Result<CellRecord> {
    let mut worker = worker("w0");
    worker.capacity = ResourceVector::new(2_000_000, 1_000_000, 0);
    let mut driver = cell_with_retention(cell_with(config(None), vec![worker]));
    let tasks = StepSpec { need: ResourceVector::new(100, 1, 0), ..step(2_000) };
    submit(&mut driver, job("j", "urgent", vec![tasks]));
    driver.advance(10_000);
    driver.records.into_iter().rfind(|record| matches!(record, CellRecord::Snapshot(_))).or_fail()
}

/// Decodes stored records; ones that cannot be decoded are left out.
fn decode(values: &[Bytes]) -> Vec<CellRecord> {
    let mut decoder = RecordDecoder::default();
    values.iter().filter_map(|value| decoder.decode(value).ok().flatten()).collect()
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

/// Returns a cell that has cancelled a job and whose store keeps records for longer than the cell keeps closed jobs.
fn cell_with_a_closed_job() -> CellDriver {
    let mut driver = cell(0);
    driver.scheduler = std::mem::take(&mut driver.scheduler).with_log_retention(LONG_RETENTION);
    submit(&mut driver, job("j", "urgent", vec![step(1)]));
    driver.handle(CellEvent::Cancelled("j".into()));
    driver
}

/// Lets so much time pass that closed jobs are forgotten.
fn forget_closed_jobs(driver: &mut CellDriver) {
    driver.records.clear();
    for _ in 0..170 {
        driver.advance(1_000);
    }
    assert_eq!(driver.scheduler.status("j"), None, "the job is forgotten");
}

/// Guards against a job that runs again: its submission was repeated, and the store kept that for longer than the
/// record of the job's end.
#[gtest]
fn a_closed_job_is_recorded_after_its_submission_was_repeated() -> Result<()> {
    let mut driver = cell_with_a_closed_job();
    driver.advance(100_000);
    submit(&mut driver, job("j", "urgent", vec![step(1)]));

    forget_closed_jobs(&mut driver);
    let mut new = cell(0);
    submit(&mut new, job("j", "urgent", vec![step(1)]));
    for record in driver.records {
        new.scheduler.replay(record, new.now);
    }

    verify_that!(new.scheduler.status("j"), some(eq(JobStatus::Cancelled)))
}

/// Guards against the same after a change of the owner, which does not know what the store drops first.
#[gtest]
fn a_new_owner_records_closed_jobs_before_it_forgets_them() -> Result<()> {
    let mut driver = cell_with_a_closed_job();
    driver.scheduler.end_replay();

    forget_closed_jobs(&mut driver);

    verify_that!(driver.records.len(), eq(1))
}

/// Guards against one more record of each job.
#[gtest]
fn a_closed_job_that_was_submitted_once_is_not_recorded_again() -> Result<()> {
    let mut driver = cell_with_a_closed_job();

    forget_closed_jobs(&mut driver);

    verify_that!(driver.records, is_empty())
}

/// Guards against a job that is forgotten, with thousands of running tasks, because its snapshot is larger than
/// a record of the store.
#[gtest]
fn a_record_larger_than_the_store_accepts_is_stored_in_parts() -> Result<()> {
    let record = large_snapshot()?;

    let values = encode(&record, MAX_RECORD_BYTES).or_fail()?;
    let decoded = decode(&values);

    let largest = values.iter().map(Bytes::len).max();
    verify_that!(values.len(), gt(10))?;
    verify_that!(largest, some(le(MAX_RECORD_BYTES)))?;
    verify_that!(decoded, eq(&vec![record]))
}

/// Guards against a snapshot that is put together from parts of two: an owner that is replaced before it has
/// stored all parts leaves an incomplete record behind.
#[gtest]
fn incomplete_parts_of_a_record_are_dropped() -> Result<()> {
    let record = large_snapshot()?;
    let values = encode(&record, MAX_RECORD_BYTES).or_fail()?;
    let closed = CellRecord::Closed("other".into(), JobStatus::Completed);
    let whole = encode(&closed, MAX_RECORD_BYTES).or_fail()?;
    let (first, last) = (&values[..3], &values[3..]);

    let interrupted = decode(&[first, &whole, last].concat());
    let repeated = decode(&[first, &values].concat());
    let without_first = decode(last);

    verify_that!(interrupted, eq(&vec![closed]))?;
    verify_that!(repeated, eq(&vec![record]))?;
    verify_that!(without_first, is_empty())
}
