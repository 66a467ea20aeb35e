//! Tests of what a new owner learns from the records of its predecessors about jobs that run repeatedly.

mod fixture_cell;

use std::time::Duration;

use fixture_cell::{CellDriver, START_UNIX_TIME, cell, job, report, step, submit, worker};
use godwithaven::kernel::cell::{
    CellEvent, CellRecord, EndCause, GraphSpec, JobStatus, MAX_TASKS_PER_JOB, RepeatSchedule, SkippedRecords,
    TaskKey,
};
use googletest::prelude::*;

/// Returns the job `j`, each of whose occurrences has `tasks` tasks; one is due each second.
fn repeated_job(tasks: u32, count: u32) -> GraphSpec {
    let schedule = RepeatSchedule { first: START_UNIX_TIME, interval: Duration::from_secs(1), count };
    GraphSpec { schedule: Some(schedule), ..job("j", "urgent", vec![step(tasks)]) }
}

/// Returns the key of a task of the job `j`.
fn task(occurrence: u32, index: u32) -> TaskKey {
    TaskKey::parse(&format!("j.{occurrence}.0.{index}")).expect("the name is valid")
}

/// Returns the records of a run on the worker `w0` that is done.
fn done_run(occurrence: u32, index: u32) -> [CellRecord; 2] {
    let task = task(occurrence, index);
    [CellRecord::Started(task.clone(), 1, "w0".into()), CellRecord::Ended(task, 1, EndCause::Done, None)]
}

/// Returns a new owner at `millis` after the start of the test that has replayed the records and then read an
/// empty report of `w0`, and the number of records of unknown steps of open jobs that it has skipped.
fn new_owner(spec: &GraphSpec, records: Vec<CellRecord>, millis: u64) -> (CellDriver, usize) {
    let mut driver = cell(0);
    driver.answers_first_poll = false;
    driver.advance(millis);
    submit(&mut driver, spec.clone());
    for record in records {
        driver.scheduler.replay(record, driver.now);
    }
    let skipped = driver.scheduler.end_replay().unknown_steps;
    driver.handle(CellEvent::WorkersListed(vec![worker("w0")]));
    let polled = report(driver.now, Vec::new(), Vec::new());
    driver.handle(CellEvent::WorkerPolled("w0".into(), polled));
    driver.advance(0);
    (driver, skipped)
}

/// Guards against tasks that run again after they were done: a new owner dropped the records of occurrences
/// that had opened after the last snapshot of their job, and opened these occurrences once more.
#[gtest]
fn occurrences_after_a_snapshot_do_not_run_again() -> Result<()> {
    let spec = repeated_job(2, 200);
    let mut old = cell(1);
    old.scheduler = std::mem::take(&mut old.scheduler).with_log_retention(Duration::from_secs(300));
    submit(&mut old, spec.clone());
    while old.now.duration_since(old.start) < Duration::from_secs(104) {
        for run in old.running_on("w0") {
            old.end(&run.task.to_string(), EndCause::Done);
        }
        old.advance(1_000);
    }
    let is_snapshot = |record: &CellRecord| matches!(record, CellRecord::Snapshot(_));
    let snapshots = old.records.iter().filter(|record| is_snapshot(record)).count();
    let elapsed = u64::try_from(old.now.duration_since(old.start).as_millis())?;

    let (new, skipped) = new_owner(&spec, old.records.clone(), elapsed);

    let is_done = |task: &TaskKey| {
        let is_end = |record: &&CellRecord| matches!(record, CellRecord::Ended(ended, ..) if ended == task);
        old.records.iter().any(|record| is_end(&record))
    };
    let repeated = new.starts.iter().filter(|command| is_done(&command.task));
    let repeated: Vec<String> = repeated.map(|command| command.task.to_string()).collect();
    verify_that!(snapshots, ge(1))?;
    verify_that!(repeated, is_empty())?;
    verify_that!(skipped, eq(0))
}

/// Guards against the same fault before the first snapshot: a new owner opened only as many occurrences as may
/// be open at the same time, and dropped the records of all later ones.
#[gtest]
fn occurrences_beyond_those_that_may_be_open_do_not_run_again() -> Result<()> {
    let spec = repeated_job(MAX_TASKS_PER_JOB / 2, 4);
    let done = (0..4).flat_map(|occurrence| (0..MAX_TASKS_PER_JOB / 2).map(move |index| (occurrence, index)));
    let records = done.flat_map(|(occurrence, index)| done_run(occurrence, index)).collect();

    let (new, skipped) = new_owner(&spec, records, 10_000);

    verify_that!(new.started_tasks(), is_empty())?;
    verify_that!(new.scheduler.status("j"), some(eq(JobStatus::Completed)))?;
    verify_that!(skipped, eq(0))
}

/// Guards against the same fault on a process whose clock is behind: occurrences that the former owner has run
/// are not due there yet.
#[gtest]
fn occurrences_that_are_not_due_by_the_clock_of_a_new_owner_do_not_run_again() -> Result<()> {
    let spec = repeated_job(1, 6);
    let records = (0..6).flat_map(|occurrence| done_run(occurrence, 0)).collect();

    let (mut new, skipped) = new_owner(&spec, records, 2_000);
    new.advance(10_000);

    verify_that!(new.started_tasks(), is_empty())?;
    verify_that!(new.scheduler.status("j"), some(eq(JobStatus::Completed)))?;
    verify_that!(skipped, eq(0))
}

/// Guards against a process that runs out of memory during its recovery: if records are missing, one record
/// must not open more occurrences than may be open, and a record beyond the schedule opens none.
#[gtest]
fn a_record_far_ahead_opens_a_bounded_number_of_occurrences() -> Result<()> {
    let spec = repeated_job(4, 3_000_000);
    let ahead = CellRecord::Started(task(2_999_999, 0), 1, "w0".into());
    let beyond = CellRecord::Started(task(u32::MAX, 0), 1, "w0".into());

    let (new, skipped) = new_owner(&spec, vec![beyond, ahead], 0);

    let job = &new.scheduler.state().jobs["j"];
    verify_that!(job.occurrences.len(), le(1 + MAX_TASKS_PER_JOB as usize / 4))?;
    verify_that!(job.next_occurrence, eq(3_000_000))?;
    verify_that!(skipped, eq(1))
}

/// Guards against records that a new owner skips without being able to tell why.
#[gtest]
fn skipped_records_are_counted_by_their_reason() -> Result<()> {
    let mut driver = cell(0);
    submit(&mut driver, job("j", "urgent", vec![step(1)]));
    let unknown = TaskKey::parse("other.0.0.0").or_fail()?;
    let records = [
        CellRecord::Started(task(0, 0), 1, "w0".into()),
        CellRecord::Started(unknown.clone(), 1, "w0".into()),
        CellRecord::Lost(unknown, 1),
        CellRecord::Closed("other".into(), JobStatus::Completed),
        CellRecord::Started(TaskKey::parse("j.0.5.0").or_fail()?, 1, "w0".into()),
        CellRecord::Closed("j".into(), JobStatus::Cancelled),
        CellRecord::Ended(task(0, 0), 1, EndCause::Stopped, None),
    ];

    for record in records {
        driver.scheduler.replay(record, driver.now);
    }
    let skipped = driver.scheduler.end_replay();

    verify_that!(skipped, eq(SkippedRecords { unknown_jobs: 3, closed_jobs: 1, unknown_steps: 1 }))?;
    verify_that!(driver.scheduler.state().placements.len(), eq(0))
}
