use std::collections::BTreeSet;

use godwithaven::kernel::cell::{CellRecord, EndCause, EndSource, LossCause};
use godwithaven::prelude::*;
use godwithaven_standins::platform::{ModelHost, WorkerEvent};

use super::OpenMoments;

/// Task and number of a run.
pub type RunKey = (String, u64);

/// What workers did with runs, and what the records say of them. Notes the first contradiction.
#[derive(Default)]
pub struct RunLedger {
    /// Runs that count as gone, with the cause and the newest incarnation of the troubled worker that the owner
    /// knew then.
    gone: FastMap<RunKey, (EndSource, u32)>,
    /// Incarnation of the worker that the start of the run was meant for.
    pub start_lives: FastMap<RunKey, u32>,
    /// Runs that are done, by the worker.
    done: FastSet<RunKey>,
    /// Runs that are done, by the records.
    recorded: FastSet<RunKey>,
    /// Tasks that are done, by the records.
    pub done_tasks: BTreeSet<String>,
    pub violation: Option<String>,
    /// Whether the rest of the case is left out.
    pub is_left_out: bool,
}

impl RunLedger {
    /// Notes a stored record. The owner knows incarnations of the troubled worker up to `known_life`.
    pub fn note_record(
        &mut self,
        record: &CellRecord,
        source: Option<EndSource>,
        workers: &[ModelHost],
        known_life: u32,
        moments: OpenMoments,
    ) {
        match (record, source) {
            (CellRecord::Lost(task, run), Some(source)) => {
                let task = task.to_string();
                let runs = workers.iter().find(|worker| worker.model.running_run(&task) == Some(*run));
                let key = (task.clone(), *run);
                self.gone.insert(key.clone(), (source, known_life));
                if let Some(host) = runs {
                    self.is_left_out |= self.is_open_moment(&key, host.life(), moments);
                    if !self.is_left_out {
                        self.fail(format!("run {run} of {task} counts as gone ({source}) while it runs"));
                    }
                }
            }
            (CellRecord::Ended(task, run, EndCause::Done, _), _) => {
                self.recorded.insert((task.to_string(), *run));
                self.done_tasks.insert(task.to_string());
            }
            _ => {}
        }
    }

    /// Notes an event of a worker.
    pub fn note_event(&mut self, event: &WorkerEvent, workers: &[ModelHost]) {
        match event {
            WorkerEvent::Started(worker, task, run) => {
                if let Some((source, _)) = self.gone.get(&(task.clone(), *run)) {
                    self.fail(format!(
                        "run {run} of {task} counted as gone ({source}) and starts on {worker}"
                    ));
                }
                let running = workers.iter().filter_map(|host| host.model.running_run(task));
                for other in running.filter(|other| other != run) {
                    self.fail(format!("run {run} of {task} starts on {worker} while run {other} runs"));
                }
            }
            WorkerEvent::Ended(_, task, run, true) => {
                self.done.insert((task.clone(), *run));
            }
            WorkerEvent::Acknowledged(worker, task, run) => {
                let key = (task.clone(), *run);
                if self.is_unrecorded(&key) {
                    self.fail(format!(
                        "run {run} of {task} is done on {worker}, and forgotten without a record"
                    ));
                }
            }
            _ => {}
        }
    }

    /// Returns whether a run is done and no record says that it has ended.
    pub fn is_unrecorded(&self, key: &RunKey) -> bool {
        self.done.contains(key) && !self.recorded.contains(key) && !self.gone.contains_key(key)
    }

    /// Returns whether one of the moments that a case leaves out is that this incarnation runs a run that counts as
    /// gone.
    pub fn is_open_moment(&self, key: &RunKey, life: u32, moments: OpenMoments) -> bool {
        let Some((source, known_life)) = self.gone.get(key) else { return false };
        let is_left_out = match source {
            EndSource::Lost(LossCause::AbsentFromReport) => !moments.restarts_after_proofs,
            EndSource::Lost(LossCause::LeaseExpired) => !moments.unknown_restarts,
            _ => false,
        };
        is_left_out && life > *known_life
    }

    pub fn fail(&mut self, reason: String) {
        self.violation.get_or_insert(reason);
    }
}
