//! Tests of what is told about the end of a run, for logs: its worker and how the owner learned of it. The records
//! do not contain that.

mod fixture_cell;

use std::time::Duration;

use fixture_cell::{CellDriver, INCARNATION, cell, job, report, running, step, submit, worker};
use godwithaven::kernel::cell::{
    CellEvent, CellNotice, CellRecord, CommandOutcome, EndCause, EndSource, EndedRun, JobStatus, LossCause,
    PollReport, RunEnd, TaskKey,
};
use googletest::prelude::*;

/// Returns a cell with one worker, on which the only task of a job is placed.
fn cell_with_a_run() -> CellDriver {
    let mut driver = cell(1);
    submit(&mut driver, job("j", "urgent", vec![step(1)]));
    driver.advance(100);
    driver
}

fn task(name: &str) -> TaskKey {
    TaskKey::parse(name).expect("the name is valid")
}

fn ended(number: u64, name: &str, run: u64) -> EndedRun {
    EndedRun { number, task: task(name), run, cause: EndCause::Done, checkpoint: None }
}

/// Returns the end of a run on `w0`.
fn end_of(source: EndSource) -> RunEnd {
    RunEnd { worker: "w0".into(), source }
}

/// Lets the worker `w0` report these ended runs and no running one.
fn report_ends(driver: &mut CellDriver, ends: Vec<EndedRun>) {
    driver.now += Duration::from_millis(10);
    let polled = report(driver.now, Vec::new(), ends);
    driver.handle(CellEvent::WorkerPolled("w0".into(), polled));
}

/// Guards against logs that cannot tell a reported end from a run that was given up.
#[gtest]
fn a_reported_end_names_its_worker() -> Result<()> {
    let mut driver = cell_with_a_run();

    report_ends(&mut driver, vec![ended(1, "j.0.0.0", 1)]);

    verify_that!(driver.run_ends, eq(&vec![end_of(EndSource::Reported)]))?;
    verify_that!(driver.notices, is_empty())
}

/// Guards against logs that give no cause for a run that a report lacks.
#[gtest]
fn a_run_that_a_report_lacks_is_lost_for_that_cause() -> Result<()> {
    let mut driver = cell_with_a_run();

    report_ends(&mut driver, Vec::new());

    let expected = end_of(EndSource::Lost(LossCause::AbsentFromReport));
    verify_that!(driver.run_ends, eq(&vec![expected]))
}

/// Guards against logs that do not tell the expiry of a lease, or tell it at each tick.
#[gtest]
fn the_expiry_of_a_lease_is_the_cause_of_the_loss_and_noted_once() -> Result<()> {
    let mut driver = cell_with_a_run();
    let lease_expires_at = driver.now + Duration::from_secs(1);
    driver.handle(CellEvent::WorkerUnresponsive("w0".into(), lease_expires_at));

    for _ in 0..30 {
        driver.advance(100);
    }

    let expired = CellNotice::LeaseExpired { worker: "w0".into(), tasks: 1 };
    verify_that!(driver.run_ends, eq(&vec![end_of(EndSource::Lost(LossCause::LeaseExpired))]))?;
    verify_that!(driver.notices, eq(&vec![expired]))
}

/// Guards against logs that do not tell a refused start from one that was not sent.
#[gtest]
fn the_outcome_of_a_failed_start_is_the_cause_of_the_loss() -> Result<()> {
    for (outcome, text) in
        [(CommandOutcome::NotSent, "start_not_sent"), (CommandOutcome::Refused, "start_refused")]
    {
        let mut driver = cell_with_a_run();

        driver.handle(CellEvent::StartAnswered(task("j.0.0.0"), 1, "w0".into(), outcome));

        let expected = end_of(EndSource::Lost(LossCause::StartFailed(outcome)));
        verify_that!(driver.run_ends, eq(&vec![expected.clone()]))?;
        verify_that!(expected.source.to_string(), eq(text))?;
    }
    Ok(())
}

/// Guards against logs that do not tell a replaced worker, whose runs are all given up at once.
#[gtest]
fn a_replaced_worker_is_the_cause_of_the_loss_of_all_its_runs() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("j", "urgent", vec![step(2)]));
    driver.advance(100);

    let replaced = CommandOutcome::Replaced;
    driver.handle(CellEvent::StopAnswered(task("j.0.0.0"), 1, "w0".into(), replaced));

    let expected = end_of(EndSource::Lost(LossCause::WorkerReplaced));
    verify_that!(driver.run_ends, eq(&vec![expected.clone(), expected]))
}

/// Guards against logs that do not tell the end of a run that had been given up.
#[gtest]
fn a_late_end_is_told_from_a_current_one() -> Result<()> {
    let mut driver = cell_with_a_run();
    let lease_expires_at = driver.now;
    driver.handle(CellEvent::WorkerUnresponsive("w0".into(), lease_expires_at));
    driver.advance(100);

    report_ends(&mut driver, vec![ended(1, "j.0.0.0", 1)]);

    let sources: Vec<EndSource> = driver.run_ends.iter().map(|end| end.source).collect();
    verify_that!(sources, eq(&vec![EndSource::Lost(LossCause::LeaseExpired), EndSource::LateReport]))?;
    verify_that!(driver.scheduler.status("j").map(JobStatus::is_final), some(eq(true)))
}

/// Guards against ends that are acknowledged in silence although their run is not current, and against a line for
/// each repetition of the same end: a worker reports it until it is acknowledged.
#[gtest]
fn an_end_of_a_run_that_is_not_current_is_noted_once() -> Result<()> {
    let mut driver = cell_with_a_run();
    let ends = vec![ended(1, "j.0.0.0", 1), ended(2, "j.0.0.0", 9), ended(3, "other.0.0.0", 1)];

    report_ends(&mut driver, ends.clone());
    report_ends(&mut driver, ends);

    let ignored = |end, job_known| CellNotice::EndIgnored {
        worker: "w0".into(),
        incarnation: INCARNATION,
        end,
        job_known,
        last_run: None,
    };
    // The end of the only task has completed the job, whose occurrences are then dropped.
    let expected = vec![ignored(ended(2, "j.0.0.0", 9), true), ignored(ended(3, "other.0.0.0", 1), false)];
    verify_that!(driver.notices, eq(&expected))
}

/// Guards against the same for another incarnation of the worker, whose ends have the same numbers.
#[gtest]
fn an_end_is_noted_again_for_another_incarnation() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("j", "urgent", vec![step(1)]));
    driver.advance(100);
    let kept = vec![running("j.0.0.0", 1, 10)];

    for incarnation in [INCARNATION, INCARNATION + Duration::from_secs(1)] {
        let ends = vec![ended(1, "other.0.0.0", 1)];
        let polled = report(driver.now, kept.clone(), ends);
        let polled = PollReport { incarnation, ..polled };
        driver.handle(CellEvent::WorkerPolled(worker("w0").worker, polled));
    }

    verify_that!(driver.notices.len(), eq(2))
}

/// Guards against records that other releases cannot read: what is told for logs is no part of them.
#[gtest]
fn the_records_of_ends_keep_their_format() -> Result<()> {
    let mut driver = cell_with_a_run();
    report_ends(&mut driver, Vec::new());
    driver.advance(100);
    report_ends(&mut driver, vec![ended(1, "j.0.0.0", 2)]);

    let is_end = |record: &&CellRecord| matches!(record, CellRecord::Lost(..) | CellRecord::Ended(..));
    let ends = driver.records.iter().filter(is_end).map(serde_json::to_string);
    let ends = ends.collect::<std::result::Result<Vec<String>, _>>()?;

    let key = r#"{"step":{"job":"j","occurrence":0,"step":0},"index":0}"#;
    let expected = [format!(r#"{{"l":[{key},1]}}"#), format!(r#"{{"e":[{key},2,"done",null]}}"#)];
    verify_that!(ends, eq(&expected.to_vec()))
}
