//! Log lines of the owner's decisions.

use crate::kernel::cell::{CellRecord, StartCommand};
use crate::prelude::*;

/// Logs the decision to start a task; the command is sent once the record of the start is stored, and not at
/// all if that takes too long.
pub(super) fn log_start_decision(command: &StartCommand) {
    let inputs = &command.inputs;
    log::info!(task:% = command.task, run = command.run, worker = &*command.worker, config = inputs.config,
        report_age_ms = milliseconds(inputs.report_age), waited_ms = milliseconds(inputs.waited),
        free:% = inputs.free, permit = command.ticket.is_some(), checkpoint = command.checkpoint.is_some();
        "task is started");
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Logs the decision in a record.
pub(super) fn log_record(record: &CellRecord) {
    match record {
        // Logged by `log_start_decision`, together with the inputs of the decision.
        CellRecord::Started(..) => {}
        CellRecord::Ended(task, run, cause, _) => {
            log::info!(task:%, run = *run, cause:%; "task has ended");
        }
        // Only the run has ended; the task may be started again.
        CellRecord::Lost(task, run) => log::info!(task:%, run = *run; "task is given up"),
        CellRecord::LeaseBounds(bounds) => {
            for (worker, left) in bounds {
                let left_ms = left.map_or(0, milliseconds);
                log::info!(worker = &**worker, silent = left.is_some(), left_ms = left_ms;
                    "bound of a lease is recorded");
            }
        }
        CellRecord::Closed(job, status) => log::info!(job = &**job, status:%; "job is closed"),
        CellRecord::Snapshot(snapshot) => {
            log::info!(job = &*snapshot.spec.id, status:% = snapshot.status, placed = snapshot.placed.len();
                "job is recorded again before its records expire");
        }
    }
}
