use std::collections::{BTreeSet, VecDeque};

use crate::kernel::{
    ClassId, FleetView, JobKind, JobOutcome, JobProgress, JobSpec, LeaseTiming, PlacedTask, PriorityClass,
    RunTimeCorrection, ScheduleEffect, ShareAccounting, StopReason, TeamDemand, WaitQueue, WorkerCommand,
    divide_fairly,
};
use crate::prelude::*;

/// Delay before a failed or lost task is retried for the first time; it doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of doublings of the backoff, which caps it at 32 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Maximum number of jobs of one class whose waiting tasks count as demand, so that a long queue does not
/// slow down the computation of fair shares.
const MAX_JOBS_COUNTED_PER_CLASS: usize = 256;

/// Jobs, tasks, workers and shares of one shard, with the operations that keep them consistent.
#[derive(Default)]
pub struct ShardState {
    /// Workers of the shard with their free capacity.
    pub fleet: FleetView,
    /// Resource usage, share and allotment of each team.
    pub shares: ShareAccounting,
    /// Jobs with tasks that wait for placement.
    pub queue: WaitQueue,
    /// Jobs without an outcome in the ledger. Boxed, so that growing the table moves pointers only.
    pub jobs: FastMap<JobId, Box<JobProgress>>,
    /// Placed tasks, each of which uses resources of a worker until its end is confirmed. Boxed for the same
    /// reason.
    pub tasks: FastMap<TaskId, Box<PlacedTask>>,
    /// Tasks of normal priority by team and by the start of their unsaved work; those that started last are
    /// examined first as victims of a preemption, because they lose the least run time.
    pub reclaimable_tasks: FastMap<TeamId, BTreeSet<(Instant, TaskId)>>,
    /// Gang jobs with at least one placed task.
    pub running_gangs: BTreeSet<JobId>,
    /// Corrections of declared run times, by team.
    pub run_times: RunTimeCorrection,
    /// Lowest attempt number that this owner assigns to tasks of inherited jobs; higher than all numbers of
    /// earlier owners.
    pub first_attempt: AttemptNumber,
    /// Lease duration and report lag.
    pub timing: LeaseTiming,
    /// Jobs accepted under an earlier owner whose tasks are not placed yet, because they may still run under
    /// its leases.
    pub inherited_jobs: Vec<JobId>,
    /// Tasks that back off after a failure or a loss, by the time at which they are requeued.
    pub backoff_deadlines: BTreeSet<(Instant, JobId, u32)>,
    /// Workers on probation, by the time at which it ends.
    pub probations: BTreeSet<(Instant, VmId)>,
    /// Workers with a lease, by the time at which its expiry is checked next.
    pub lease_checks: BTreeSet<(Instant, VmId)>,
    /// Classes whose last search for a worker hit its bound without a result; the next tick retries them.
    pub truncated_classes: Vec<ClassId>,
    /// Last class that ticks have retried because a bounded comparison with a freed worker may have
    /// skipped it; `None` if no such retry is under way.
    pub retry_cursor: Option<ClassId>,
    /// Worker capacities with their counts at the last check for infeasible jobs.
    pub feasibility_checked_for: Vec<(ResourceVector, u32)>,
    /// Ended jobs whose tasks are stopped over several calls, with the index of the next task.
    pub stop_backlog: VecDeque<(JobId, usize)>,
    /// Total number of placement attempts for classes of waiting tasks.
    pub classes_tried: u64,
    /// Effects collected during the current call.
    pub effects: Vec<ScheduleEffect>,
    /// Sequence number of the job added last.
    last_sequence: u64,
}

impl ShardState {
    /// Adds a job; does nothing if it is known already. An inherited job is not queued before
    /// [`Self::queue_inherited`].
    pub fn add_job(&mut self, spec: &Arc<JobSpec>, inherited: bool) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        self.last_sequence += 1;
        let mut job = Box::new(JobProgress::new(spec.clone(), self.last_sequence, inherited));
        if inherited {
            job.first_attempt = self.first_attempt;
            self.inherited_jobs.push(spec.id.clone());
            self.shares.add_expected(&spec.team, spec.need.times(u64::from(spec.tasks)));
        } else {
            self.queue.add(&job);
        }
        self.jobs.insert(spec.id.clone(), job);
    }

    /// Queues the inherited jobs once tasks of earlier owners have been found or their leases have expired.
    pub fn queue_inherited(&mut self) {
        self.shares.clear_expected();
        for id in std::mem::take(&mut self.inherited_jobs) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.inherited = false;
            // Each replacement found with an index beyond the declared tasks makes one declared task
            // redundant.
            for _ in 0..std::mem::take(&mut job.surplus_replacements) {
                if let Some(redundant) = job.waiting.pop_last() {
                    job.tasks[redundant as usize].retired = true;
                }
            }
            if !job.is_live() {
                self.clear_and_stop_tasks(&id);
                self.finish_if_done(&id);
            } else if !job.waiting.is_empty() {
                self.queue.add(job);
            }
        }
    }

    /// Recomputes the fair share of each team from its weight, usage and waiting tasks.
    pub fn update_fair_shares(&mut self) {
        let mut demands: FastMap<&TeamId, ResourceVector> = FastMap::default();
        for (team, used, _) in self.shares.iter() {
            demands.insert(team, used);
        }
        for (_, class) in self.queue.iter() {
            let jobs =
                class.jobs.values().take(MAX_JOBS_COUNTED_PER_CLASS).filter_map(|job| self.jobs.get(job));
            let waiting: usize = jobs.map(|job| job.waiting.len()).sum();
            let demand = demands.entry(&class.key.team).or_default();
            *demand = demand.plus(class.key.need.times(waiting as u64));
        }
        let demands_by_team: Vec<TeamDemand> = demands
            .into_iter()
            .map(|(team, demand)| TeamDemand { team: team.clone(), weight: self.shares.weight(team), demand })
            .collect();
        let fair = divide_fairly(&demands_by_team, self.fleet.schedulable_capacity(), self.fleet.capacity);
        for (demand, fair) in demands_by_team.iter().zip(fair) {
            self.shares.set_fair_share(&demand.team, fair);
        }
    }

    /// Places a waiting task on a worker under a new attempt number and emits its start command.
    pub fn start(
        &mut self,
        id: &JobId,
        index: u32,
        slot: u32,
        reason: &'static str,
        rejected: Vec<(&'static str, u32)>,
        now: Instant,
    ) {
        let Some(vm) = self.fleet.get(slot).map(|state| state.vm.vm.clone()) else { return };
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(progress) = job.tasks.get_mut(index as usize) else { return };
        let spec = job.spec.clone();
        let attempt = progress.last_attempt.map_or(0, |last| last + 1).max(job.first_attempt);
        let task = spec.task_id(index, attempt);
        progress.last_attempt = Some(attempt);
        progress.end_reported = false;
        job.waiting.remove(&index);
        job.backing_off.remove(&index);
        if job.waiting.is_empty() {
            self.queue.remove(job);
        }
        let run_time = spec.run_time.filter(|_| spec.kind != JobKind::Service);
        let team = spec.team.clone();
        let command =
            WorkerCommand::Start { task: task.clone(), team: team.clone(), need: spec.need, run_time };
        self.effects.push(ScheduleEffect::Placed {
            task: task.clone(),
            team,
            vm: vm.clone(),
            reason,
            rejected,
        });
        self.effects.push(ScheduleEffect::Command(vm.clone(), command));
        let expected_end = run_time.map(|run_time| now + self.run_times.estimate(&spec.team, run_time));
        self.allocate(task, PlacedTask { expected_end, ..PlacedTask::new(vm, &spec, index, now) });
    }

    /// Records a placed task: allocates its resources on its worker and to its team, and links it to its job.
    pub fn allocate(&mut self, task: TaskId, placed: PlacedTask) {
        let slot = self.fleet.slot(&placed.vm);
        if let Some(slot) = slot {
            self.fleet.update(slot, |state| {
                state.used = state.used.plus(placed.need);
                state.tasks.insert(task.clone());
            });
        }
        self.shares.add(&placed.team, placed.need, self.fleet.capacity);
        if placed.priority == PriorityClass::Normal {
            let by_work_start = self.reclaimable_tasks.entry(placed.team.clone()).or_default();
            by_work_start.insert((placed.work_since, task.clone()));
        }
        if let Some(job) = self.jobs.get_mut(&placed.job)
            && let Some(progress) = job.tasks.get_mut(placed.index as usize)
            && progress.placed.is_none()
            && placed.stopping != Some(StopReason::Superseded)
        {
            progress.placed = Some(task.clone());
            job.placed += 1;
            if job.is_gang() {
                self.running_gangs.insert(placed.job.clone());
            }
            if let Some(state) = slot.and_then(|slot| self.fleet.get(slot)) {
                job.spread.add(state);
            }
        }
        self.tasks.insert(task, Box::new(placed));
    }

    /// Releases the resources of a placed task; the caller must be sure that it no longer runs.
    pub fn release(&mut self, task: &TaskId) -> Option<PlacedTask> {
        let placed = *self.tasks.remove(task)?;
        let slot = self.fleet.slot(&placed.vm);
        if let Some(job) = self.jobs.get_mut(&placed.job)
            && let Some(progress) = job.tasks.get_mut(placed.index as usize)
            && progress.placed.as_ref() == Some(task)
        {
            progress.placed = None;
            job.placed -= 1;
            if job.placed == 0 {
                self.running_gangs.remove(&placed.job);
            }
            if let Some(state) = slot.and_then(|slot| self.fleet.get(slot)) {
                job.spread.remove(state);
            }
        }
        if let Some(slot) = slot {
            self.fleet.update(slot, |state| {
                state.used = state.used.minus(placed.need);
                state.tasks.remove(task);
            });
        }
        if let Some(by_work_start) = self.reclaimable_tasks.get_mut(&placed.team) {
            by_work_start.remove(&(placed.work_since, task.clone()));
        }
        self.shares.remove(&placed.team, placed.need, self.fleet.capacity);
        self.queue.unblock_team(&placed.team);
        Some(placed)
    }

    /// Treats a task as ended without a report of its end: it is missing from a report, or the lease of its
    /// worker has expired.
    ///
    /// The task is requeued. If `backs_off`, it waits longer each time it is lost.
    pub fn mark_lost(&mut self, task: &TaskId, backs_off: bool, now: Instant) {
        let Some(placed) = self.release(task) else { return };
        // The start command may not have been sent yet; a stop removes it.
        let stop = WorkerCommand::Stop { task: task.clone() };
        self.effects.push(ScheduleEffect::Command(placed.vm, stop));
        let Some(job) = self.jobs.get_mut(&placed.job) else { return };
        let Some(progress) = job.tasks.get_mut(placed.index as usize) else { return };
        progress.retired |= placed.stopping == Some(StopReason::Replaced);
        let delay = if placed.stopping.is_some() || !backs_off {
            Duration::ZERO
        } else {
            progress.losses += 1;
            Self::backoff(progress.losses)
        };
        if placed.stopping != Some(StopReason::Superseded) {
            progress.declared_lost = true;
            self.requeue(&placed.job, placed.index, delay, now);
        }
        self.finish_if_done(&placed.job);
    }

    /// Queues a task again after `delay`; does nothing if it has finished, was replaced or is placed.
    pub fn requeue(&mut self, id: &JobId, index: u32, delay: Duration, now: Instant) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_live()) else { return };
        let Some(progress) = job.tasks.get(index as usize) else { return };
        if progress.retired || progress.result.is_some() || progress.placed.is_some() {
            return;
        }
        if !delay.is_zero() {
            job.backing_off.insert(index);
            self.backoff_deadlines.insert((now + delay, id.clone(), index));
            return;
        }
        job.backing_off.remove(&index);
        let added = job.waiting.insert(index);
        if !job.inherited {
            self.queue.add(job);
        } else if added {
            self.shares.add_expected(&job.spec.team, job.spec.need);
        }
    }

    /// Requeues the tasks whose backoff has ended.
    pub fn resume_backed_off(&mut self, now: Instant) {
        while self.backoff_deadlines.first().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, job, index)) = self.backoff_deadlines.pop_first() else { return };
            self.requeue(&job, index, Duration::ZERO, now);
        }
    }

    /// Ends the probations that are due, so that tasks may start on these workers again.
    pub fn end_due_probations(&mut self, now: Instant) {
        while self.probations.first().is_some_and(|(due, _)| *due <= now) {
            let Some((_, vm)) = self.probations.pop_first() else { return };
            if let Some(slot) = self.fleet.slot(&vm) {
                self.fleet.update(slot, |worker| worker.health.end_probation());
            }
        }
    }

    /// Returns the delay after the `count`-th failure or loss of a task.
    #[must_use]
    pub fn backoff(count: u32) -> Duration {
        INITIAL_BACKOFF * 2u32.pow(count.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS))
    }

    /// Emits a stop command for a task; its resources stay allocated until its end is confirmed.
    pub fn stop(&mut self, task: &TaskId, reason: StopReason) {
        let Some(placed) = self.tasks.get_mut(task) else { return };
        if placed.stopping.is_some_and(|stopping| stopping == reason) {
            return;
        }
        let first_stop = placed.stopping.replace(reason).is_none();
        let vm = placed.vm.clone();
        if first_stop {
            let reason = reason.label();
            self.effects.push(ScheduleEffect::Stopped { task: task.clone(), vm: vm.clone(), reason });
            self.effects.push(ScheduleEffect::Command(vm, WorkerCommand::Stop { task: task.clone() }));
        }
    }

    /// Examines up to `limit` tasks of the stop backlog and stops those that are placed.
    pub fn drain_stops(&mut self, limit: usize) {
        let mut remaining = limit;
        while let Some((id, from)) = self.stop_backlog.pop_front() {
            let tasks = self.jobs.get(&id).map_or(&[][..], |job| &job.tasks);
            let slice = tasks.iter().skip(from).take(remaining);
            let placed: Vec<TaskId> = slice.filter_map(|progress| progress.placed.clone()).collect();
            let next = from + remaining;
            if next < tasks.len() {
                self.stop_backlog.push_front((id, next));
                remaining = 0;
            } else {
                remaining -= tasks.len().saturating_sub(from);
            }
            for task in placed {
                self.stop(&task, StopReason::JobEnded);
            }
            if remaining == 0 {
                return;
            }
        }
    }

    /// Cancels a job: none of its tasks starts any more, and placed ones are stopped.
    pub fn cancel(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.decided) else { return };
        job.cancelled = true;
        // An inherited job stays until tasks that an earlier owner started have been found.
        if !job.inherited {
            self.clear_and_stop_tasks(id);
            self.finish_if_done(id);
        }
    }

    /// Adds a job that another shard handed over. Attempt numbers start at `first_attempt`, above those of
    /// that shard.
    pub fn accept_moved_job(&mut self, spec: &Arc<JobSpec>, first_attempt: AttemptNumber) {
        self.add_job(spec, false);
        if let Some(job) = self.jobs.get_mut(&spec.id) {
            job.first_attempt = job.first_attempt.max(first_attempt);
        }
    }

    /// Hands a job over to another shard and starts none of its tasks here any more.
    ///
    /// Returns false if the job is inherited, or if a task of it may still run or has finished, as the other
    /// shard would run it again.
    pub fn move_job(&mut self, id: &JobId, to: ShardId) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        if job.placed > 0
            || job.finished > 0
            || job.inherited
            || self.tasks.values().any(|placed| placed.job == *id)
        {
            return false;
        }
        job.moving = true;
        self.clear_and_stop_tasks(id);
        self.effects.push(ScheduleEffect::MoveJob(id.clone(), to));
        true
    }

    /// Decides the outcome of a job and stops its placed tasks.
    ///
    /// The outcome is recorded only after the last task has ended, so that an owner that takes over the shard
    /// knows all jobs with running tasks.
    pub fn end_job(&mut self, id: &JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.decided) else { return };
        job.decided = true;
        job.outcome = Some(outcome);
        self.clear_and_stop_tasks(id);
        self.finish_if_done(id);
    }

    /// Emits the outcome of a job if it is decided or cancelled, or all its tasks have finished, and no task
    /// is placed any more. The outcome of a decided or cancelled inherited job waits for
    /// [`Self::queue_inherited`].
    pub fn finish_if_done(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.inherited && !job.is_live() || job.placed > 0 {
            return;
        }
        if !job.decided && job.cancelled {
            job.outcome = Some(JobOutcome::Cancelled);
        } else if !job.decided && job.finished >= job.spec.tasks {
            let results = job.tasks.iter_mut().filter_map(|progress| progress.result.take()).collect();
            job.outcome = Some(JobOutcome::Finished(results));
        }
        if let Some(outcome) = job.outcome.take() {
            job.decided = true;
            self.clear_and_stop_tasks(id);
            self.effects.push(ScheduleEffect::RecordOutcome(id.clone(), outcome));
        }
    }

    /// Removes a job whose outcome or move is in the ledger, and acknowledges the reported ends of its tasks.
    pub fn remove_job(&mut self, id: &JobId) {
        self.clear_and_stop_tasks(id);
        self.running_gangs.remove(id);
        let Some(job) = self.jobs.remove(id) else { return };
        for (task, vm) in job.tasks.into_iter().flat_map(|progress| progress.unacknowledged) {
            self.effects.push(ScheduleEffect::Command(vm, WorkerCommand::Acknowledge { task }));
        }
    }

    /// Clears the waiting tasks of a job and queues its placed tasks to be stopped.
    fn clear_and_stop_tasks(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        self.queue.remove(job);
        job.waiting.clear();
        if job.placed > 0 {
            self.stop_backlog.push_back((id.clone(), 0));
        }
    }
}
