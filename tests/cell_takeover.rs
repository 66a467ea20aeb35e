//! Tests of what a new owner learns of jobs from the records of its predecessors and the reports of workers.

mod fixture_cell;

use std::time::Duration;

use fixture_cell::{CellDriver, cell, job, report, running, step, submit, worker};
use godwithaven::kernel::cell::{CellEvent, CellRecord, EndCause, JobStatus, StepKey, StepSpec, TaskKey};
use googletest::prelude::*;

/// A new owner that restarts running tasks runs them twice; one that adopts runs that have ended never
/// completes their tasks.
#[gtest]
fn a_new_owner_adopts_running_tasks_and_restarts_the_others() -> Result<()> {
    let mut old = cell(2);
    let spec = job("j", "urgent", vec![step(3)]);
    submit(&mut old, spec.clone());
    old.end("j.0.0.2", EndCause::Done);
    let records = old.records.clone();
    let mut new = cell(0);
    new.answers_first_poll = false;
    submit(&mut new, spec);
    for record in records {
        new.scheduler.replay(record, new.now);
    }
    new.scheduler.end_replay();
    let worker_of_lost_run = old.started("j.0.0.1").or_fail()?.worker;
    let worker_of_kept_run = old.started("j.0.0.0").or_fail()?.worker;

    new.scheduler.handle(CellEvent::WorkersListed(vec![worker("w0"), worker("w1")]), new.now);
    let kept_run =
        if worker_of_kept_run == worker_of_lost_run { vec![] } else { vec![running("j.0.0.0", 1, 10)] };
    new.scheduler.handle(
        CellEvent::WorkerPolled(worker_of_kept_run.clone(), report(new.now, kept_run, vec![])),
        new.now,
    );
    new.scheduler
        .handle(CellEvent::WorkerPolled(worker_of_lost_run, report(new.now, vec![], vec![])), new.now);
    new.advance(100);

    verify_that!(worker_of_kept_run == old.started("j.0.0.1").or_fail()?.worker, eq(false))?;
    verify_that!(new.started_tasks(), eq(&vec!["j.0.0.1".to_owned()]))?;
    verify_that!(new.started("j.0.0.1").map(|command| command.run), some(eq(2)))
}

/// The store drops records after its retention time. A new owner that knows a long job only from dropped
/// records would forget it and stop its runs as unexpected.
#[gtest]
fn a_job_older_than_the_stored_records_survives_a_change_of_the_owner() -> Result<()> {
    let mut old = cell(2);
    old.scheduler = std::mem::take(&mut old.scheduler).with_log_retention(Duration::from_secs(300));
    let first = StepSpec { long_running: true, ..step(3) };
    let last = StepSpec { after: vec![1], ..step(1) };
    submit(&mut old, job("j", "urgent", vec![first, step(2), last]));
    old.end("j.0.1.0", EndCause::Done);
    old.end("j.0.1.1", EndCause::Failed);
    let early = old.records.len();

    // Snapshots are written once a third of the store's retention time, 100 s, is over.
    old.advance(101_000);
    let snapshots: Vec<_> = old.records.split_off(early);
    old.end("j.0.1.1", EndCause::Done);
    let later = old.records.split_off(early);
    let mut new = cell(0);
    for record in snapshots.into_iter().chain(later) {
        let stored = serde_json::to_vec(&record)?;
        new.scheduler.replay(serde_json::from_slice(&stored)?, new.now);
    }
    new.scheduler.end_replay();

    verify_that!(new.scheduler.status("j"), some(eq(JobStatus::Running)))?;
    verify_that!(states_of(&new), eq(&states_of(&old)))
}

/// The state of a closed job must stay available to callers for the whole time that closed jobs are kept,
/// also after a change of the owner.
#[gtest]
fn a_closed_job_older_than_the_stored_records_is_known_to_a_new_owner() -> Result<()> {
    let mut old = cell(1);
    old.scheduler = std::mem::take(&mut old.scheduler).with_log_retention(Duration::from_secs(300));
    submit(&mut old, job("j", "urgent", vec![step(1)]));
    old.end("j.0.0.0", EndCause::Done);
    let early = old.records.len();

    // Snapshots are written once a third of the store's retention time, 100 s, is over.
    old.advance(101_000);
    let mut new = cell(0);
    for record in old.records.split_off(early) {
        new.scheduler.replay(record, new.now);
    }

    verify_that!(new.scheduler.status("j"), some(eq(JobStatus::Completed)))
}

/// Replayed failures say nothing about the present health of workers. Suspending all of them would stop a
/// recovered cell for seconds.
#[gtest]
fn a_new_owner_suspends_no_worker_for_replayed_failures() -> Result<()> {
    let mut driver = cell(1);
    for number in 0..6 {
        let id = format!("j{number}");
        submit(&mut driver, job(&id, "urgent", vec![step(1)]));
        let task = TaskKey::parse(&format!("{id}.0.0.0")).or_fail()?;
        driver.scheduler.replay(CellRecord::Ended(task, 1, EndCause::Failed, None), driver.now);
    }

    driver.scheduler.end_replay();
    submit(&mut driver, job("last", "urgent", vec![step(1)]));

    verify_that!(driver.started_tasks(), contains(eq("last.0.0.0")))
}

/// Returns the scheduler's state of all tasks: the last run, the number of failures, and which run is placed.
fn states_of(driver: &CellDriver) -> Vec<String> {
    let state = driver.scheduler.state();
    let mut states = Vec::new();
    for (id, job) in &state.jobs {
        for (occurrence, occurrence_state) in &job.occurrences {
            for (step, step_state) in (0u32..).zip(&occurrence_state.steps) {
                let key = StepKey { job: id.clone(), occurrence: *occurrence, step };
                let placed_run =
                    |index| state.placements.get(&key.task(index)).map(|placement| placement.run);
                let indices = 0..u32::try_from(step_state.tasks.len()).expect("the step is small");
                for (index, task) in indices.filter_map(|index| Some((index, step_state.tasks.get(index)?))) {
                    // A completed task never starts again, so its runs do not matter.
                    let runs = if task.done { None } else { Some((task.last_run, task.failures)) };
                    states.push(format!("{key}.{index} {runs:?} {:?}", placed_run(index)));
                }
                states.push(format!("{key} waiting {:?} of {}", step_state.waiting, step_state.remaining));
            }
        }
    }
    states
}
