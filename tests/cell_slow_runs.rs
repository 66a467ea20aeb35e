//! Tests of how slow runs are found and restarted, without a network.

mod fixture_cell;

use std::time::Duration;

use fixture_cell::{
    CellDriver, INCARNATION, cell, cell_with, config, job, report, running, step, submit, worker,
};
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::{
    CellEvent, CellNotice, CellScheduler, CommandOutcome, EndCause, EndedRun, JobStatus, SlowRunAction,
    SlowRunEvidence, StepSpec, TaskKey,
};
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

/// Returns a cell with a job `j` of five tasks that may run twice, of which the first reports `percent` after 200 ms
/// and the others the usual progress, and the worker of the slow run.
fn cell_with_slow_run(percent: u32, copies: bool) -> (CellDriver, String) {
    cell_with_slow_run_and_attempts(percent, copies, 4)
}

/// The same with a number of failed attempts after which a job fails.
fn cell_with_slow_run_and_attempts(percent: u32, copies: bool, attempts: u32) -> (CellDriver, String) {
    let mut config = config(None);
    config.queues.values_mut().for_each(|rule| rule.max_attempts = attempts);
    let mut driver = cell_with(config, (0..4).map(|number| worker(&format!("w{number}"))).collect());
    let mut spec = job("j", "urgent", vec![StepSpec { copies, ..step(5) }]);
    spec.submitted -= RUN_TIME * 2;
    submit(&mut driver, spec);
    driver.advance(200);
    for index in 1..5 {
        report_progress(&mut driver, &[(&format!("j.0.0.{index}"), 25)]);
    }
    let slow = driver.started("j.0.0.0").expect("the task was started").worker.to_string();
    report_progress(&mut driver, &[("j.0.0.0", percent)]);
    (driver, slow)
}

/// Reports that a run of the first task of `j` ended on a worker that runs nothing else.
fn end_run(driver: &mut CellDriver, worker: &str, run: u64, cause: EndCause) {
    let task = TaskKey::parse("j.0.0.0").expect("the name is valid");
    let ended = EndedRun { number: 100 + run, task, run, cause, checkpoint: None };
    let running = driver.running_on(worker).into_iter().filter(|reported| reported.run != run);
    let report = report(driver.now, running.collect(), vec![ended]);
    driver.handle(CellEvent::WorkerPolled(worker.into(), report));
}

/// A task that must not run twice breaks that rule if it starts again before its slow run has ended.
#[gtest]
fn without_copies_a_task_starts_again_after_its_slow_run_has_ended() -> Result<()> {
    let (mut driver, slow) = cell_with_slow_run(3, false);

    let before = driver.started("j.0.0.0").or_fail()?.run;
    end_run(&mut driver, &slow, 1, EndCause::Stopped);

    verify_that!(before, eq(1))?;
    verify_that!(driver.started("j.0.0.0").or_fail()?.run, eq(2))
}

/// Waiting for the end of a slow run makes a job late whose tasks may run twice.
#[gtest]
fn with_copies_a_task_starts_again_at_once_on_another_worker() -> Result<()> {
    let (driver, slow) = cell_with_slow_run(2, true);

    let second = driver.started("j.0.0.0").or_fail()?;
    let action = |notice: &CellNotice| match notice {
        CellNotice::SlowRun { action, .. } => Some(*action),
        _ => None,
    };

    verify_that!(second.run, eq(2))?;
    verify_that!(&*second.worker, not(eq(&*slow)))?;
    verify_that!(slow_tasks(&driver), eq(&vec!["j.0.0.0".to_owned()]))?;
    verify_that!(driver.notices.iter().find_map(action), some(eq(SlowRunAction::Replace)))
}

/// The end of a copy that is not counted wastes its work; one that is counted twice ends the job too early, and a copy
/// that goes on occupies its worker.
#[gtest]
fn the_first_end_of_two_copies_counts_and_the_other_is_stopped() -> Result<()> {
    for first_wins in [true, false] {
        let (mut driver, slow) = cell_with_slow_run(6, true);
        let second = driver.started("j.0.0.0").or_fail()?;
        let stopped_early = driver.stops.len();
        driver.advance(100);

        let workers = [slow.clone(), second.worker.to_string()];
        let (winner, loser) = if first_wins { (1, 2) } else { (2, 1) };
        let worker_of = |run: u64| workers[usize::try_from(run).expect("the number is small") - 1].clone();
        end_run(&mut driver, &worker_of(winner), winner, EndCause::Done);
        let stops: Vec<u64> = driver.stops.iter().skip(stopped_early).map(|command| command.run).collect();
        (1..5).for_each(|index| driver.end(&format!("j.0.0.{index}"), EndCause::Done));
        let status = driver.scheduler.status("j");
        end_run(&mut driver, &worker_of(loser), loser, EndCause::Done);
        end_run(&mut driver, &worker_of(loser), loser, EndCause::Done);

        verify_that!(second.run, eq(2))?;
        verify_that!(stops, eq(&vec![loser]))?;
        verify_that!(status, some(eq(JobStatus::Completed)))?;
        verify_that!(driver.started("j.0.0.0").or_fail()?.run, eq(2))?;
        let state = driver.scheduler.state();
        verify_that!(state.copies.is_empty() && state.placements.is_empty(), eq(true))?;
        let idle = |name: &String| {
            let slot = state.slot(name).expect("the worker is known");
            state.worker(slot).is_some_and(|worker| worker.used == ResourceVector::default())
        };
        verify_that!(workers.iter().all(idle), eq(true))?;
    }
    Ok(())
}

/// A task that fails by its own fault fails in both copies, so that its job fails although the next attempt would
/// have been done.
#[gtest]
fn no_copy_uses_up_the_last_attempts_of_a_task() -> Result<()> {
    let (driver, _) = cell_with_slow_run_and_attempts(6, true, 2);

    verify_that!(driver.started("j.0.0.0").or_fail()?.run, eq(2))?;
    verify_that!(slow_tasks(&driver), eq(&vec!["j.0.0.0".to_owned()]))
}

/// A copy on a worker that is gone must neither complete its task nor keep its team's share.
#[gtest]
fn a_copy_on_a_replaced_worker_leaves_the_task_with_its_other_run() -> Result<()> {
    let (mut driver, slow) = cell_with_slow_run(6, true);
    let second = driver.started("j.0.0.0").or_fail()?;
    let task = TaskKey::parse("j.0.0.0").or_fail()?;

    driver.handle(CellEvent::StopAnswered(task.clone(), 1, slow.into(), CommandOutcome::Replaced));

    let state = driver.scheduler.state();
    verify_that!(state.copies.is_empty(), eq(true))?;
    verify_that!(state.placements.get(&task).map(|placement| placement.run), some(eq(second.run)))?;
    verify_that!(driver.started("j.0.0.0").or_fail()?.run, eq(2))
}

/// A new owner that does not know of a copy starts another one, or never stops it.
#[gtest]
fn a_new_owner_adopts_both_copies() -> Result<()> {
    let (mut driver, slow) = cell_with_slow_run(6, true);
    let second = driver.started("j.0.0.0").or_fail()?;
    let mut spec = job("j", "urgent", vec![StepSpec { copies: true, ..step(5) }]);
    spec.submitted -= RUN_TIME * 2;

    driver.scheduler = CellScheduler::new(driver.now);
    submit(&mut driver, spec);
    let records = driver.records.clone();
    let starts = driver.starts.len();
    for record in records {
        driver.scheduler.replay(record, driver.now);
    }
    driver.scheduler.end_replay();
    let workers = (0..4).map(|number| worker(&format!("w{number}"))).collect();
    driver.answers_first_poll = false;
    driver.handle(CellEvent::Configured(config(None).into()));
    driver.handle(CellEvent::WorkersListed(workers));
    let first = report(driver.now, vec![running("j.0.0.0", 1, 10)], vec![]);
    driver.handle(CellEvent::WorkerPolled(slow.as_str().into(), first));
    let adopted = driver.scheduler.state().copies.len();
    end_run(&mut driver, &second.worker, 2, EndCause::Done);

    verify_that!(adopted, eq(1))?;
    verify_that!(driver.starts.iter().skip(starts).any(|command| command.task.index == 0), eq(false))?;
    let last = driver.stops.last().map(|command| (command.run, command.worker.to_string()));
    verify_that!(last, some(eq(&(1, slow))))
}

/// A second copy must not take the room for which urgent work waits.
#[gtest]
fn no_copy_starts_while_urgent_work_waits_for_room() -> Result<()> {
    let mut driver = cell(1);
    let mut spec = job("j", "urgent", vec![StepSpec { copies: true, ..step(5) }]);
    spec.submitted -= RUN_TIME * 2;
    submit(&mut driver, spec);
    submit(&mut driver, job("other", "urgent", vec![step(12)]));
    driver.advance(200);

    (1..5).for_each(|index| report_progress(&mut driver, &[(&format!("j.0.0.{index}"), 25)]));
    report_progress(&mut driver, &[("j.0.0.0", 3)]);

    verify_that!(slow_tasks(&driver), eq(&vec!["j.0.0.0".to_owned()]))?;
    verify_that!(driver.scheduler.state().copies.is_empty(), eq(true))
}

/// Urgent tasks on workers that are known to be slow miss objectives that other workers would meet.
#[gtest]
fn urgent_tasks_prefer_workers_that_are_not_slow() -> Result<()> {
    let mut driver = cell(4);
    for number in 0..10 {
        let id = format!("wide{number}");
        submit(&mut driver, job(&id, "urgent", vec![step(8)]));
        let tasks: Vec<String> = (0..8).map(|index| format!("{id}.0.0.{index}")).collect();
        let on_slow = |driver: &CellDriver, task: &String| {
            driver.started(task).is_some_and(|command| &*command.worker == "w0")
        };
        let (slow, usual): (Vec<String>, Vec<String>) =
            tasks.into_iter().partition(|task| on_slow(&driver, task));
        driver.advance(1_000);
        for task in &usual {
            driver.end(task, EndCause::Done);
        }
        driver.advance(500);
        for task in &slow {
            driver.end(task, EndCause::Done);
        }
    }

    let before = driver.starts.len();
    submit(&mut driver, job("urgent", "urgent", vec![step(3)]));
    submit(&mut driver, job("batch", "batch", vec![step(4)]));

    let on_slow = |prefix: &str| {
        let started = driver.starts.iter().skip(before);
        started
            .filter(|command| command.task.to_string().starts_with(prefix) && &*command.worker == "w0")
            .count()
    };
    verify_that!(on_slow("urgent"), eq(0))?;
    verify_that!(on_slow("batch"), ge(1))
}
