//! Log lines of the owner's decisions.

use crate::kernel::cell::{CellNotice, CellRecord, NotSentReason, RunEnd, StartCommand, StopCommand};
use crate::prelude::*;

/// Logs the decision to start a task; the command is sent once the record of the start is stored, and not at
/// all if that takes too long.
pub(super) fn log_start_decision(command: &StartCommand, token: FencingToken) {
    let inputs = &command.inputs;
    log::info!(task:% = command.task, run = command.run, worker = &*command.worker, token = token,
        config = inputs.config, class:% = inputs.class, report_age_ms = milliseconds(inputs.report_age),
        waited_ms = milliseconds(inputs.waited), free:% = inputs.free, permit = command.ticket.is_some(),
        checkpoint = command.checkpoint.is_some(); "task is started");
}

/// Logs that a start command is not sent although its start is recorded.
pub(super) fn log_start_not_sent(command: &StartCommand, token: FencingToken, reason: NotSentReason) {
    log::info!(task:% = command.task, run = command.run, worker = &*command.worker, token = token, reason:%;
        "start is not sent");
}

/// Logs the command to stop a run.
pub(super) fn log_stop(command: &StopCommand, token: FencingToken) {
    log::info!(task:% = command.task, run = command.run, worker = &*command.worker, token = token,
        reason = command.reason; "task is stopped");
}

/// Returns the duration in whole milliseconds, as log lines give it.
pub(super) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Logs the record of the end of a run. After that of a lost run, the task may be started again.
pub(super) fn log_run_end(record: &CellRecord, end: &RunEnd, token: FencingToken) {
    let (worker, source) = (&*end.worker, end.source);
    match record {
        CellRecord::Ended(task, run, cause, _) => {
            log::info!(task:%, run = *run, worker = worker, token = token, cause:%, source:%;
                "task has ended");
        }
        CellRecord::Lost(task, run) => {
            log::info!(task:%, run = *run, worker = worker, token = token, cause:% = source;
                "task is given up");
        }
        other => log_record(other),
    }
}

/// Logs an observation of the scheduler.
pub(super) fn log_notice(notice: &CellNotice, token: FencingToken) {
    match notice {
        CellNotice::EndIgnored { worker, incarnation, end, job_known, last_run } => {
            log::info!(worker = &**worker, token = token, incarnation = milliseconds(*incarnation),
                number = end.number, task:% = end.task, run = end.run, cause:% = end.cause,
                job_known = *job_known, task_known = last_run.is_some(), last_run = last_run.unwrap_or_default();
                "end of an unknown run is acknowledged");
        }
        CellNotice::SlowRun { worker, task, run, slow, action } => {
            let source = slow.source.map_or_else(|| "none".to_owned(), |source| source.to_string());
            log::info!(task:%, run = *run, worker = &**worker, token = token, action:%, evidence:% = slow.evidence,
                elapsed_ms = milliseconds(slow.elapsed), percent = slow.percent,
                left_ms = milliseconds(slow.left), rerun_ms = milliseconds(slow.rerun),
                expected_ms = milliseconds(slow.expected), source:%, misses_objective = slow.misses_objective;
                "run is too slow");
        }
        CellNotice::ShareStandingChanged { team, above, used } => {
            log::info!(team = &**team, token = token, above = *above, used:%; "share of a team has changed");
        }
        CellNotice::LeaseExpired { worker, tasks } => {
            log::info!(worker = &**worker, token = token, tasks = *tasks; "lease has expired");
        }
        CellNotice::MovedBack { step, team, correction, steps } => {
            log::info!(step:%, team = &**team, token = token, correction_ms = milliseconds(*correction),
                steps = *steps; "step is ranked later for past use");
        }
    }
}

/// Logs the decision in a record.
pub(super) fn log_record(record: &CellRecord) {
    match record {
        // Starts are logged by `log_start_decision`, together with the inputs of the decision, and ends of runs
        // by `log_run_end`. Past use is in the metrics.
        CellRecord::Started(..) | CellRecord::Ended(..) | CellRecord::Lost(..) | CellRecord::Usage(_) => {}
        CellRecord::LeaseBounds(bounds) => {
            for (worker, left) in bounds {
                let left_ms = left.map_or(0, milliseconds);
                log::info!(worker = &**worker, silent = left.is_some(), left_ms = left_ms;
                    "bound of a lease is recorded");
            }
        }
        CellRecord::FormerBounds(bounds) => {
            for (worker, incarnation, left) in bounds {
                log::info!(worker = &**worker, incarnation = milliseconds(*incarnation),
                    left_ms = milliseconds(*left); "bound of a lease by a former incarnation is recorded");
            }
        }
        CellRecord::Fences(fences) => {
            log::info!(workers = fences.len(); "fences of workers are recorded");
        }
        CellRecord::Closed(job, status) => log::info!(job = &**job, status:%; "job is closed"),
        CellRecord::Snapshot(snapshot) => {
            log::info!(job = &*snapshot.spec.id, status:% = snapshot.status, placed = snapshot.placed.len();
                "job is recorded again before its records expire");
        }
    }
}
