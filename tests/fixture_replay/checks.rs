//! Checks what the scheduler decides in a replay.

use super::*;

impl ReplayRun {
    /// Sends an event to the decider, and checks and records the effects.
    pub fn send_event(&mut self, event: ScheduleEvent) {
        let effects = (self.decide)(event, self.now);
        self.events += 1;
        self.effects += effects.len() as u64;
        let mut gangs = FastSet::default();
        for effect in effects {
            match effect {
                ScheduleEffect::Command(vm, command) => self.record_command(&vm, command, &mut gangs),
                ScheduleEffect::RecordOutcome(job, outcome) => self.record_end(&job, outcome),
                ScheduleEffect::DisconnectWorker(vm) => {
                    if let Some(index) = self.index.get(&vm) {
                        self.end_syncs(*index);
                    }
                }
                ScheduleEffect::MoveJob(job, _) => panic!("{job} is moved, but there is one shard"),
                ScheduleEffect::Placed { .. } | ScheduleEffect::Stopped { .. } => {}
            }
        }
        for id in gangs {
            let commanded = &self.jobs[&id].commanded;
            let count = commanded.iter().filter(|attempts| **attempts > 0).count();
            if count < commanded.len() {
                self.violations.push(format!("gang {id} starts {count} of {} tasks", commanded.len()));
            }
        }
    }

    /// Records a command. Adds the job to `gangs` if the command starts a task of a gang job.
    pub(super) fn record_command(&mut self, vm: &VmId, command: WorkerCommand, gangs: &mut FastSet<JobId>) {
        let Some(&index) = self.index.get(vm) else {
            self.violations.push(format!("command for unknown worker {vm}"));
            return;
        };
        match &command {
            WorkerCommand::Start { task, team, need, .. } => {
                self.starts += 1;
                self.record_start(index, task, team, *need, gangs);
            }
            WorkerCommand::Stop { task } => {
                let task = task.clone();
                if self.replace_start(index, &task) {
                    return;
                }
            }
            _ => {}
        }
        if self.workers[index].owned {
            self.workers[index].commands.push((command, false));
        }
    }

    /// Replaces the pending commands of a task by a stop; returns whether this withdraws a start that was not
    /// sent.
    pub(super) fn replace_start(&mut self, index: usize, task: &TaskId) -> bool {
        let worker = &mut self.workers[index];
        let unsent = |(command, sent): &(WorkerCommand, bool)| {
            !sent && matches!(command, WorkerCommand::Start { task: start, .. } if start == task)
        };
        let withdrawn = worker.commands.iter().any(unsent);
        worker.commands.retain(|(command, _)| command.task() != task);
        if withdrawn {
            worker.withdrawn.push(task.clone());
        }
        if !worker.running.contains_key(task)
            && let Some((job, position, _)) = JobSpec::split_task_id(task)
        {
            self.forget_attempt(&(job, position), task);
        }
        withdrawn
    }

    /// Checks a start command against the promises and records the assigned attempt.
    pub(super) fn record_start(
        &mut self,
        index: usize,
        task: &TaskId,
        team: &TeamId,
        need: ResourceVector,
        gangs: &mut FastSet<JobId>,
    ) {
        let split = JobSpec::split_task_id(task);
        let Some((job_id, position, attempt)) = split.filter(|(job, ..)| self.jobs.contains_key(job)) else {
            self.violations.push(format!("start of unknown task {task}"));
            return;
        };
        // A new owner knows of an end, unless it has not synced the only worker that keeps it.
        let ends = self.jobs[&job_id].ended_on.get(position as usize).copied().flatten();
        let known = ends.is_some_and(|kept| self.workers[kept].synced);
        let worker = &mut self.workers[index];
        if !self.bundle.zone_open(&worker.vm.zone) {
            self.violations.push(format!("P5: {task} is placed in closed zone {}", worker.vm.zone));
        }
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        job.extend_to(position);
        if !job.outcomes.is_empty() || job.reported[position as usize] || known {
            self.violations.push(format!("{task} is placed although it ended"));
        }
        job.ended_on[position as usize] = None;
        job.commanded[position as usize] = attempt + 1;
        if job.spec.kind == JobKind::Gang {
            gangs.insert(job_id.clone());
        }
        if worker.vm.leaving || !worker.owned {
            self.violations.push(format!("P9: {task} is placed on leaving or forgotten {}", worker.vm.vm));
        }
        worker.assigned = worker.assigned.plus(need);
        if !worker.assigned.fits(worker.vm.capacity) {
            self.violations.push(format!("P1: {} is assigned {} by {task}", worker.vm.vm, worker.assigned));
        }
        let used = self.used_by_team.entry(team.clone()).or_default();
        *used = used.plus(need);
        let allotment = self.allotments.get(team).copied().unwrap_or_default();
        if !used.fits(allotment) {
            self.violations.push(format!("P4: {team} has {used} of {allotment} with {task}"));
        }
        let attempts = self.assigned_attempts.entry((job_id, position)).or_default();
        if let Some((other, ..)) = attempts.first() {
            self.violations.push(format!("P2: {task} is placed while {other} is assigned"));
        }
        attempts.push((task.clone(), index, need));
    }

    /// Checks a recorded outcome against what the workers did.
    pub(super) fn record_end(&mut self, id: &JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(id) else {
            self.violations.push(format!("outcome of unknown job {id}"));
            return;
        };
        let untrue = match &outcome {
            JobOutcome::Finished(results) => {
                let known = job.results.iter().zip(results).filter(|(known, result)| known.contains(result));
                results.len() != job.spec.tasks as usize || known.count() != results.len()
            }
            JobOutcome::Failed(_) => job.failures <= job.spec.retries,
            JobOutcome::Cancelled => !job.cancelled,
            JobOutcome::Refused(_) => job.commanded.iter().any(|attempts| *attempts > 0),
        };
        job.outcomes.push(outcome);
        self.ledger.push_back((self.now + self.log_lag, id.clone()));
        let outcomes = &job.outcomes;
        if untrue || outcomes.len() > 1 {
            self.violations.push(format!("P12: outcomes of {id} are {outcomes:?}"));
        }
    }
}
