//! Tests of the starts and ends of gangs.

mod fixture_cell;

use fixture_cell::{cell, job, step, submit};
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::{EndCause, JobStatus, StepSpec};
use googletest::prelude::*;

/// A gang that is started in part occupies workers without making progress.
#[gtest]
fn a_gang_starts_whole_or_not_at_all() -> Result<()> {
    let mut driver = cell(2);
    let gang = |tasks| StepSpec { gang: true, need: ResourceVector::new(8_000, 0, 0), ..step(tasks) };

    submit(&mut driver, job("large", "urgent", vec![gang(3)]));
    submit(&mut driver, job("small", "urgent", vec![gang(2)]));

    verify_that!(driver.started_tasks(), unordered_elements_are![eq("small.0.0.0"), eq("small.0.0.1")])
}

/// Members of a gang find each other by the run number, so a restart must give all of them the same one.
#[gtest]
fn a_broken_gang_starts_again_with_one_run_number() -> Result<()> {
    let mut driver = cell(2);
    let gang = StepSpec { gang: true, need: ResourceVector::new(8_000, 0, 0), ..step(2) };
    submit(&mut driver, job("j", "urgent", vec![gang]));

    driver.end("j.0.0.0", EndCause::LeaseExpired);
    let starts_after_one_end = driver.starts.len();
    driver.end("j.0.0.1", EndCause::Stopped);

    verify_that!(starts_after_one_end, eq(2))?;
    let runs: Vec<u64> = driver.starts.iter().map(|command| command.run).collect();
    verify_that!(runs, eq(&vec![1, 1, 2, 2]))
}

/// The members of a gang end together, but the reports of some ends may be lost with their workers. The job
/// must still complete.
#[gtest]
fn the_end_of_one_member_completes_a_gang() -> Result<()> {
    let mut driver = cell(2);
    let gang = StepSpec { gang: true, need: ResourceVector::new(8_000, 0, 0), ..step(2) };
    submit(&mut driver, job("j", "urgent", vec![gang]));

    driver.end("j.0.0.1", EndCause::Done);

    verify_that!(driver.scheduler.status("j"), some(eq(JobStatus::Completed)))
}
