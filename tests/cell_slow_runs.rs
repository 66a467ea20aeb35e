//! Tests of how slow runs are found and restarted, without a network.

mod fixture_cell;

use std::time::Duration;

use fixture_cell::{CellDriver, INCARNATION, cell, job, running, step, submit};
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::{CellEvent, CellNotice, EndCause, SlowRunEvidence, StepSpec};
use googletest::prelude::*;

/// Run time of the usual tasks.
const RUN_TIME: Duration = Duration::from_secs(1);

/// Reports the progress of the newest run of each task that is given with its percentage.
fn report_progress(driver: &mut CellDriver, progress: &[(&str, u32)]) {
    for (task, percent) in progress {
        let command = driver.started(task).expect("the task was started");
        let running = vec![running(task, command.run, *percent)];
        let event = CellEvent::ProgressReported(command.worker, INCARNATION, running);
        driver.handle(event);
    }
}

/// Returns the tasks that were stopped as slow, in the order of the stops.
fn slow_tasks(driver: &CellDriver) -> Vec<String> {
    let slow = driver.stops.iter().filter(|command| command.reason == "too_slow");
    slow.map(|command| command.task.to_string()).collect()
}

/// Returns a cell that has run `count` tasks of the queue `urgent` for [`RUN_TIME`] each, by the estimate given.
fn cell_with_history(workers: usize, count: u32, estimate: Duration) -> CellDriver {
    let mut driver = cell(workers);
    for number in 0..count {
        let id = format!("earlier{number}");
        submit(&mut driver, job(&id, "urgent", vec![StepSpec { estimate, ..step(1) }]));
        driver.advance(u64::try_from(RUN_TIME.as_millis()).expect("the time is short"));
        driver.end(&format!("{id}.0.0.0"), EndCause::Done);
    }
    driver
}

/// A run that takes seven times as long is found only when its siblings have long ended, too late for a restart to
/// meet the objective.
#[gtest]
fn a_long_run_is_stopped_before_its_siblings_end() -> Result<()> {
    let mut driver = cell(4);
    submit(&mut driver, job("j", "urgent", vec![step(5)]));
    driver.advance(200);

    let usual: Vec<(String, u32)> = (1..5).map(|index| (format!("j.0.0.{index}"), 25)).collect();
    let usual: Vec<(&str, u32)> = usual.iter().map(|(task, percent)| (&**task, *percent)).collect();
    report_progress(&mut driver, &usual);
    report_progress(&mut driver, &[("j.0.0.0", 3)]);

    verify_that!(slow_tasks(&driver), eq(&vec!["j.0.0.0".to_owned()]))?;
    verify_that!(driver.now.duration_since(driver.start), lt(RUN_TIME))
}

/// Without other tasks of the step, a long run is found only by its estimate, which is wrong by up to 90%: usual runs
/// are stopped, or long ones never.
#[gtest]
fn far_off_estimates_are_corrected_by_the_queue() -> Result<()> {
    for factor in [0.1, 1.9] {
        let estimate = RUN_TIME.mul_f64(factor);
        let mut driver = cell_with_history(8, 25, estimate);
        for (id, percent) in [("usual", 30), ("long", 4)] {
            let mut spec = job(id, "urgent", vec![StepSpec { estimate, ..step(1) }]);
            spec.submitted += driver.now.duration_since(driver.start);
            submit(&mut driver, spec);
            driver.advance(300);
            report_progress(&mut driver, &[(&format!("{id}.0.0.0"), percent)]);
        }

        verify_that!(slow_tasks(&driver), eq(&vec!["long.0.0.0".to_owned()]))?;
    }
    Ok(())
}

/// Restarts of runs that are within the usual spread would throw work away and make jobs late.
#[gtest]
fn a_run_within_the_usual_spread_goes_on() -> Result<()> {
    let mut driver = cell(4);
    submit(&mut driver, job("j", "urgent", vec![step(4)]));
    driver.advance(250);

    report_progress(&mut driver, &[("j.0.0.0", 30), ("j.0.0.1", 28), ("j.0.0.2", 26), ("j.0.0.3", 16)]);
    driver.advance(500);

    verify_that!(slow_tasks(&driver), eq(&Vec::<String>::new()))
}

/// Runs whose usual report comes too late for a restart in time are judged too late; looks at all others cost calls
/// without use.
#[gtest]
fn only_urgent_runs_are_looked_at_and_each_once() -> Result<()> {
    let mut driver = cell(2);
    let mut spec = job("urgent", "urgent", vec![step(1)]);
    spec.submitted -= RUN_TIME;
    submit(&mut driver, spec);
    let worker = driver.started("urgent.0.0.0").or_fail()?.worker.to_string();
    driver.advance(100);
    driver.advance(100);
    let looks = driver.looks.clone();
    driver.advance(100);

    let mut patient = cell(2);
    let long_step = StepSpec { estimate: Duration::from_secs(60), ..step(1) };
    submit(&mut patient, job("patient", "batch", vec![long_step]));
    (0..5).for_each(|_| patient.advance(100));

    verify_that!(looks, eq(&vec![worker]))?;
    verify_that!(driver.looks.len(), eq(1))?;
    verify_that!(patient.looks.len(), eq(0))
}

/// A worker that claims that all work is done, or whose progress goes back, hides a run that never ends, or gets
/// each of its runs stopped.
#[gtest]
fn a_run_with_contradicting_reports_is_judged_by_its_run_time() -> Result<()> {
    for reports in [[100, 100], [60, 5]] {
        let mut driver = cell(4);
        submit(&mut driver, job("j", "urgent", vec![step(4)]));
        driver.advance(200);
        report_progress(&mut driver, &[("j.0.0.0", reports[0])]);
        report_progress(&mut driver, &[("j.0.0.0", reports[1])]);
        let early = slow_tasks(&driver);
        driver.advance(700);
        (1..4).for_each(|index| driver.end(&format!("j.0.0.{index}"), EndCause::Done));
        (0..40).for_each(|_| driver.advance(100));

        verify_that!(early, eq(&Vec::<String>::new()))?;
        verify_that!(slow_tasks(&driver), eq(&vec!["j.0.0.0".to_owned()]))?;
        let elapsed = |notice: &CellNotice| matches!(notice, CellNotice::SlowRun { slow, .. } if slow.evidence == SlowRunEvidence::Elapsed);
        verify_that!(driver.notices.iter().any(elapsed), eq(true))?;
    }
    Ok(())
}

/// A worker that reports no progress of runs that end as usual gets all of its runs stopped again and again.
#[gtest]
fn a_worker_whose_reports_were_wrong_is_not_believed() -> Result<()> {
    let mut driver = cell_with_history(1, 25, RUN_TIME);
    // Runs of a queue without known run times are not stopped.
    for id in ["wrong0", "wrong1"] {
        submit(&mut driver, job(id, "middle", vec![step(1)]));
        driver.advance(200);
        report_progress(&mut driver, &[(&format!("{id}.0.0.0"), 1)]);
        driver.advance(800);
        driver.end(&format!("{id}.0.0.0"), EndCause::Done);
    }

    submit(&mut driver, job("j", "urgent", vec![step(1)]));
    driver.advance(200);
    report_progress(&mut driver, &[("j.0.0.0", 1)]);

    verify_that!(slow_tasks(&driver), eq(&Vec::<String>::new()))
}

/// If most runs look slow, the cause is not the runs; restarts would keep the workers from ending any.
#[gtest]
fn restarts_throw_away_a_bounded_share_of_the_work() -> Result<()> {
    let mut driver = cell_with_history(8, 25, RUN_TIME);
    let restarts_before = driver.stops.len();
    let wide = StepSpec { need: ResourceVector::new(8_000, 100, 0), ..step(2) };
    let jobs = 40;
    for number in 0..jobs {
        submit(&mut driver, job(&format!("j{number}"), "urgent", vec![wide.clone()]));
    }

    for _ in 0..20 {
        driver.advance(1_000);
        let started = driver.started_tasks();
        let stopped = slow_tasks(&driver);
        for task in started.iter().filter(|task| task.starts_with('j') && !stopped.contains(task)) {
            report_progress(&mut driver, &[(task, 1)]);
        }
        for task in slow_tasks(&driver).into_iter().skip(stopped.len()) {
            driver.end(&task, EndCause::Stopped);
        }
    }

    // 64 cores: a tenth of 20 s of work, and of the 10 s of the bucket.
    let discarded = driver.notices.iter().filter_map(|notice| match notice {
        CellNotice::SlowRun { slow, .. } => Some(slow.elapsed.as_secs_f64() * 8.0),
        _ => None,
    });
    let discarded: f64 = discarded.sum();
    verify_that!(driver.stops.len(), gt(restarts_before))?;
    verify_that!(discarded, le(64.0 * 0.1 * 40.0))
}

/// Progress of an earlier incarnation says nothing about the runs of the present one.
#[gtest]
fn progress_of_another_incarnation_is_ignored() -> Result<()> {
    let mut driver = cell(1);
    submit(&mut driver, job("j", "urgent", vec![step(1)]));
    let command = driver.started("j.0.0.0").or_fail()?;

    let other = INCARNATION + Duration::from_secs(1);
    let reported = vec![running("j.0.0.0", command.run, 40)];
    driver.handle(CellEvent::ProgressReported(command.worker, other, reported));

    let progress = driver.scheduler.state().placements.values().next().map(|placement| placement.progress.0);
    verify_that!(progress, some(eq(0)))
}
