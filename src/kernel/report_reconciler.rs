use crate::kernel::{
    JobKind, JobOutcome, PlacedTask, PriorityClass, ScheduleEffect, ShardState, StopReason, TaskEnd,
    TaskOutcome, TaskReport, WorkerCommand, WorkerReport,
};
use crate::prelude::*;

/// Number of workers on which tasks of a job must fail before the job counts as faulty. The failure on the
/// last of them and all later ones do not count against workers, unless the job has no retries.
const FAULTY_JOB_WORKERS: usize = 3;
/// Of this many workers, at most one may be on probation at a time.
const WORKERS_PER_PROBATION: usize = 20;

/// Applies the reports of one worker to the state of the shard.
pub struct ReportReconciler<'a> {
    /// State of the shard, which reports change.
    pub state: &'a mut ShardState,
    /// VM of the worker that sent the report.
    pub vm: VmId,
    /// Slot of the worker in the fleet view.
    pub slot: u32,
    /// Time at which the report arrived.
    pub now: Instant,
}

impl ReportReconciler<'_> {
    /// Applies the answer to an accepted sync: renews the lease, then reconciles running, ended and missing
    /// tasks.
    pub fn apply(&mut self, report: WorkerReport) {
        let (now, lease_end) = (self.now, self.state.timing.latest_expiry(self.now));
        let mut sequence = 0;
        self.state.fleet.update(self.slot, |worker| {
            worker.synced = true;
            worker.last_sync = Some(now);
            worker.failed_syncs = 0;
            worker.lease_end = Some(lease_end);
            worker.report_sequence += 1;
            sequence = worker.report_sequence;
        });
        for running in &report.running {
            self.apply_running(running, sequence);
        }
        for end in report.ended {
            self.apply_end(end);
        }
        self.mark_missing_lost(sequence);
    }

    /// Records that an answered sync delivered the start and stop commands of these tasks.
    pub fn confirm_delivery(&mut self, tasks: &[TaskId]) {
        for task in tasks {
            let Some(placed) = self.state.tasks.get_mut(task).filter(|placed| placed.vm == self.vm) else {
                continue;
            };
            placed.confirmed_at.get_or_insert(self.now);
            if placed.stopping.is_some() {
                placed.stop_confirmed_at.get_or_insert(self.now);
            }
        }
    }

    fn apply_running(&mut self, report: &TaskReport, sequence: u64) {
        if !self.state.tasks.contains_key(&report.task) {
            self.adopt(report);
        }
        let Some(placed) = self.state.tasks.get_mut(&report.task).filter(|placed| placed.vm == self.vm)
        else {
            return;
        };
        let first = !placed.running;
        placed.running = true;
        placed.report_sequence = sequence;
        placed.confirmed_at.get_or_insert(self.now);
        let saved = report.checkpointed && !placed.checkpointed;
        placed.checkpointed |= report.checkpointed;
        if saved {
            let old = std::mem::replace(&mut placed.work_since, self.now);
            if let Some(by_work_start) = self.state.reclaimable_tasks.get_mut(&placed.team)
                && by_work_start.remove(&(old, report.task.clone()))
            {
                by_work_start.insert((self.now, report.task.clone()));
            }
        }
        if first {
            self.confirm_start(&report.task);
        }
    }

    /// Allocates resources to a running task that this owner did not start, and stops it if it must not run.
    fn adopt(&mut self, report: &TaskReport) {
        let Some((id, index, attempt)) = JobSpec::split_task_id(&report.task) else { return };
        let Some(job) = self.state.jobs.get_mut(&id) else {
            self.adopt_superseded(report, id, index);
            return;
        };
        let is_replacement = index >= job.spec.tasks;
        // The bound of 1,000 limits how far the index in a report can extend the list of tasks.
        if is_replacement && job.spec.kind == JobKind::Service && (index as usize) < job.tasks.len() + 1_000 {
            let length = job.tasks.len().max(index as usize + 1);
            job.tasks.resize_with(length, Default::default);
        }
        let Some(progress) = job.tasks.get_mut(index as usize) else {
            self.adopt_superseded(report, id, index);
            return;
        };
        if !progress.is_last(attempt) || progress.has_ended(attempt) {
            // A late report of an attempt whose end was reported does not show that it runs. If an attempt of
            // the task was declared lost without a report, however, this one may still run.
            if progress.declared_lost {
                self.adopt_superseded(report, id, index);
            }
            return;
        }
        if progress.placed.is_some() || progress.result.is_some() {
            self.adopt_superseded(report, id, index);
            return;
        }
        progress.last_attempt = Some(attempt);
        progress.end_reported = false;
        let taken = job.waiting.remove(&index);
        job.backing_off.remove(&index);
        if taken && job.inherited {
            self.state.shares.remove_expected(&job.spec.team, job.spec.need);
        }
        // A replacement that an earlier owner started makes one of the declared tasks redundant.
        if is_replacement && job.inherited {
            job.surplus_replacements += 1;
        } else if is_replacement && let Some(redundant) = job.waiting.pop_last() {
            job.tasks[redundant as usize].retired = true;
        }
        if job.waiting.is_empty() {
            self.state.queue.remove(job);
        }
        let stop = !job.is_live();
        let mut placed = PlacedTask::new(self.vm.clone(), &job.spec, index, self.now);
        placed.need = report.need;
        placed.expected_end = job.spec.run_time.map(|run_time| self.now + run_time);
        let reclaimable = placed.priority == PriorityClass::Normal;
        self.state.allocate(report.task.clone(), placed);
        if stop {
            self.state.stop(&report.task, StopReason::JobEnded);
        } else if reclaimable {
            self.lift_throttle(&report.task);
        }
    }

    /// Removes a throttle that an earlier owner may have set for a reclaim plan that this owner does not
    /// know.
    fn lift_throttle(&mut self, task: &TaskId) {
        let lift = WorkerCommand::Throttle { task: task.clone(), percent: 100 };
        self.state.effects.push(ScheduleEffect::Command(self.vm.clone(), lift));
    }

    /// Allocates resources to a running task that must not run, and stops it.
    ///
    /// Its job may be unknown, and with it kind and priority. Urgent priority keeps the task out of
    /// `reclaimable_tasks`.
    fn adopt_superseded(&mut self, report: &TaskReport, job: JobId, index: u32) {
        let placed = PlacedTask {
            vm: self.vm.clone(),
            job,
            index,
            team: report.team.clone(),
            need: report.need,
            kind: JobKind::Batch,
            priority: PriorityClass::Urgent,
            placed_at: self.now,
            work_since: self.now,
            expected_end: None,
            confirmed_at: Some(self.now),
            stop_confirmed_at: None,
            stopping: None,
            running: true,
            report_sequence: 0,
            checkpointed: false,
        };
        let task = report.task.clone();
        self.state.effects.push(ScheduleEffect::Stopped {
            task: task.clone(),
            vm: self.vm.clone(),
            reason: StopReason::Superseded.label(),
        });
        let stop = WorkerCommand::Stop { task: task.clone() };
        self.state.effects.push(ScheduleEffect::Command(self.vm.clone(), stop));
        self.state.allocate(task, PlacedTask { stopping: Some(StopReason::Superseded), ..placed });
    }

    /// Acknowledges the ends of earlier attempts and stops the task that the started one replaces.
    fn confirm_start(&mut self, task: &TaskId) {
        let Some((id, index, _)) = JobSpec::split_task_id(task) else { return };
        let Some(job) = self.state.jobs.get_mut(&id) else { return };
        let Some(progress) = job.tasks.get_mut(index as usize) else { return };
        if progress.placed.as_ref() != Some(task) {
            return;
        }
        for (task, vm) in progress.unacknowledged.drain(..) {
            self.state.effects.push(ScheduleEffect::Command(vm, WorkerCommand::Acknowledge { task }));
        }
        let replaced = progress.replaces.take().and_then(|index| job.tasks.get_mut(index as usize));
        if let Some(attempt) = replaced.and_then(|replaced| replaced.placed.clone()) {
            self.state.stop(&attempt, StopReason::Replaced);
        }
    }

    fn apply_end(&mut self, end: TaskEnd) {
        let Some((id, index, attempt)) = JobSpec::split_task_id(&end.task) else { return };
        let on_this_worker = self.state.tasks.get(&end.task).is_some_and(|placed| placed.vm == self.vm);
        let released = on_this_worker.then(|| self.state.release(&end.task)).flatten();
        let known = self
            .state
            .jobs
            .get_mut(&id)
            .and_then(|job| job.tasks.get_mut(index as usize))
            .filter(|progress| progress.is_last(attempt) && progress.placed.is_none())
            .filter(|progress| !progress.has_ended(attempt));
        let Some(progress) = known else {
            self.acknowledge_duplicate(&id, index, end.task);
            return;
        };
        let superseded =
            released.as_ref().is_some_and(|placed| placed.stopping == Some(StopReason::Superseded));
        if superseded {
            self.acknowledge_duplicate(&id, index, end.task);
            return;
        }
        // Both ends of a task that finished twice are kept until the outcome is recorded. If only one
        // were, a new owner that cannot reach the worker that keeps it would place the task again.
        if progress.result.is_some() {
            let kept = (end.task, self.vm.clone());
            if !progress.unacknowledged.contains(&kept) {
                progress.unacknowledged.push(kept);
            }
            self.state.finish_if_done(&id);
            return;
        }
        progress.last_attempt = Some(attempt);
        progress.end_reported = true;
        progress.unacknowledged.push((end.task.clone(), self.vm.clone()));
        self.apply_outcome(&id, index, end, released.as_ref());
        self.state.finish_if_done(&id);
    }

    /// Acknowledges a repeated or outdated end, unless it is kept until the outcome is recorded.
    fn acknowledge_duplicate(&mut self, id: &JobId, index: u32, task: TaskId) {
        let progress = self.state.jobs.get(id).and_then(|job| job.tasks.get(index as usize));
        if progress.is_some_and(|progress| progress.unacknowledged.iter().any(|(kept, _)| *kept == task)) {
            return;
        }
        let command = WorkerCommand::Acknowledge { task };
        self.state.effects.push(ScheduleEffect::Command(self.vm.clone(), command));
        self.state.finish_if_done(id);
    }

    /// Applies the outcome of the latest attempt: records the result, or requeues the task, or fails the job.
    fn apply_outcome(&mut self, id: &JobId, index: u32, end: TaskEnd, released: Option<&PlacedTask>) {
        let Some(job) = self.state.jobs.get_mut(id) else { return };
        let Some(progress) = job.tasks.get_mut(index as usize) else { return };
        match end.outcome {
            TaskOutcome::Finished => {
                progress.result = Some(end.result);
                job.finished += 1;
                let was_waiting = job.waiting.remove(&index);
                if was_waiting && job.inherited {
                    self.state.shares.remove_expected(&job.spec.team, job.spec.need);
                } else if was_waiting && job.waiting.is_empty() {
                    self.state.queue.remove(job);
                }
                if let (Some(placed), Some(declared)) = (released, job.spec.run_time) {
                    let took = self.now.saturating_duration_since(placed.placed_at);
                    self.state.run_times.observe(&job.spec.team, declared, took);
                }
                self.state.fleet.update(self.slot, |worker| worker.health.record_success());
            }
            TaskOutcome::Failed => {
                progress.failures += 1;
                let (failures, retries) = (progress.failures, job.spec.retries);
                let live = job.is_live();
                if job.failed_on.len() < FAULTY_JOB_WORKERS {
                    job.failed_on.insert(self.vm.clone());
                }
                let counts_against_worker = job.failed_on.len() < FAULTY_JOB_WORKERS || retries == 0;
                let team = job.spec.team.clone();
                if counts_against_worker {
                    self.record_worker_failure(id, &team);
                }
                if live && failures > retries {
                    self.state.end_job(id, JobOutcome::Failed(end.result));
                } else {
                    self.state.requeue(id, index, ShardState::backoff(failures), self.now);
                }
            }
            TaskOutcome::Stopped | TaskOutcome::LeaseExpired => {
                progress.retired |=
                    released.is_some_and(|placed| placed.stopping == Some(StopReason::Replaced));
                self.state.requeue(id, index, Duration::ZERO, self.now);
            }
        }
    }

    /// Records a failure against the worker and puts it on probation if enough jobs have failed on it and few
    /// others are on probation.
    fn record_worker_failure(&mut self, job: &JobId, team: &TeamId) {
        let max_probations = (self.state.fleet.len() / WORKERS_PER_PROBATION).max(1);
        let may_start_probation = self.state.probations.len() < max_probations;
        let (now, mut until) = (self.now, None);
        self.state.fleet.update(self.slot, |worker| {
            if worker.health.record_failure(job, team) && may_start_probation && !worker.health.on_probation()
            {
                until = Some(worker.health.start_probation(now));
            }
        });
        if let Some(until) = until {
            self.state.probations.insert((until, self.vm.clone()));
        }
    }

    /// Marks as lost the tasks that the worker must have received but does not report.
    fn mark_missing_lost(&mut self, sequence: u64) {
        let lag = self.state.timing.report_lag;
        let Some(worker) = self.state.fleet.get(self.slot) else { return };
        let lost: Vec<TaskId> = worker
            .tasks
            .iter()
            .filter(|task| {
                self.state.tasks.get(*task).is_some_and(|placed| {
                    placed.report_sequence != sequence && placed.absence_proves_end(self.now, lag)
                })
            })
            .cloned()
            .collect();
        for task in lost {
            self.state.mark_lost(&task, true, self.now);
        }
    }
}
