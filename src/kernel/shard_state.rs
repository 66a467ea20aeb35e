use std::collections::{BTreeSet, VecDeque};

use crate::kernel::{
    ClassId, FleetView, JobKind, JobOutcome, JobProgress, JobSpec, LeaseTiming, PlacedTask, PriorityClass,
    ScheduleEffect, ShareAccounting, StopReason, TeamDemand, TeamEstimator, WaitQueue, WorkerCommand,
    divide_fairly,
};
use crate::prelude::*;

/// First wait before a failed or lost task is tried again; it doubles each time.
const BACKOFF: Duration = Duration::from_millis(500);
/// Doublings of the wait at most, so that it stays near half a minute.
const MAX_DOUBLINGS: u32 = 6;
/// Jobs of one class whose waiting tasks count as demand, so that a long queue does not slow the division down.
const COUNTED: usize = 256;

/// Jobs, tasks, workers and shares of one shard, with the changes that keep them consistent.
#[derive(Default)]
pub struct ShardState {
    /// The workers.
    pub fleet: FleetView,
    /// Use of the teams.
    pub shares: ShareAccounting,
    /// Waiting tasks.
    pub queue: WaitQueue,
    /// Jobs whose outcome is not in the ledger; boxed, so that a growing table moves little.
    pub jobs: FastMap<JobId, Box<JobProgress>>,
    /// Tasks that count on a worker; boxed for the same reason.
    pub tasks: FastMap<TaskId, Box<PlacedTask>>,
    /// Tasks that may be reclaimed, by team, least work first from the back.
    pub reclaimable_tasks: FastMap<TeamId, BTreeSet<(Instant, TaskId)>>,
    /// Gang jobs with placed tasks.
    pub running_gangs: BTreeSet<JobId>,
    /// Run times of the teams.
    pub run_times: TeamEstimator,
    /// Lowest attempt that this owner starts, above all those of earlier owners.
    pub first_attempt: AttemptNumber,
    /// Bounds on leases.
    pub timing: LeaseTiming,
    /// Jobs that wait until leases of an earlier owner are over.
    pub inherited_jobs: Vec<JobId>,
    /// Tasks that back off, by time.
    pub delayed: BTreeSet<(Instant, JobId, u32)>,
    /// Workers on probation, by its end.
    pub probations: BTreeSet<(Instant, VmId)>,
    /// Workers whose lease is checked, by time.
    pub lease_checks: BTreeSet<(Instant, VmId)>,
    /// Classes whose last search was cut off; they are tried again with the next tick.
    pub truncated_classes: Vec<ClassId>,
    /// Where ticks go on to try classes again that a bounded search may have left out.
    pub retry_cursor: Option<ClassId>,
    /// Worker shapes for which misfits were refused.
    pub shapes_checked: Vec<(ResourceVector, u32)>,
    /// Jobs whose tasks are stopped in slices, with the index of the next task.
    pub stop_backlog: VecDeque<(JobId, usize)>,
    /// Classes tried by all calls so far.
    pub tried: u64,
    /// What is to be done.
    pub effects: Vec<ScheduleEffect>,
    sequence: u64,
}

impl ShardState {
    /// Adds a job; one that is known already is left alone.
    pub fn add_job(&mut self, spec: &Arc<JobSpec>, inherited: bool) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        self.sequence += 1;
        let mut job = Box::new(JobProgress::new(spec.clone(), self.sequence, inherited));
        if inherited {
            job.first_attempt = self.first_attempt;
            self.inherited_jobs.push(spec.id.clone());
            self.shares.add_expected(&spec.team, spec.need.times(u64::from(spec.tasks)));
        } else {
            self.queue.add(&job);
        }
        self.jobs.insert(spec.id.clone(), job);
    }

    /// Lets jobs wait for workers that were held back for leases of an earlier owner.
    pub fn release_inherited(&mut self) {
        self.shares.clear_expected();
        for id in std::mem::take(&mut self.inherited_jobs) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.inherited = false;
            // Replacements that an earlier owner started stand for some of the first tasks.
            for _ in 0..std::mem::take(&mut job.surplus) {
                if let Some(spare) = job.waiting.pop_last() {
                    job.tasks[spare as usize].retired = true;
                }
            }
            if !job.is_live() {
                self.clear_waiting(&id);
                self.finish_if_done(&id);
            } else if !job.waiting.is_empty() {
                self.queue.add(job);
            }
        }
    }

    /// Divides the fleet among the teams by their shares and by what they use and wait for.
    pub fn divide_shares(&mut self) {
        let mut demands: FastMap<&TeamId, ResourceVector> = FastMap::default();
        for (team, used, _) in self.shares.iter() {
            demands.insert(team, used);
        }
        for (_, class) in self.queue.iter() {
            let jobs = class.jobs.values().take(COUNTED).filter_map(|job| self.jobs.get(job));
            let waiting: usize = jobs.map(|job| job.waiting.len()).sum();
            let demand = demands.entry(&class.key.team).or_default();
            *demand = demand.plus(class.key.need.times(waiting as u64));
        }
        let wanted: Vec<TeamDemand> = demands
            .into_iter()
            .map(|(team, demand)| TeamDemand { team: team.clone(), weight: self.shares.weight(team), demand })
            .collect();
        let fair = divide_fairly(&wanted, self.fleet.open_capacity(), self.fleet.capacity);
        for (wanted, fair) in wanted.iter().zip(fair) {
            self.shares.set_fair_share(&wanted.team, fair);
        }
    }

    /// Places a waiting task on a worker.
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
        let attempt = progress.last.map_or(0, |last| last + 1).max(job.first_attempt);
        let task = spec.task_id(index, attempt);
        progress.last = Some(attempt);
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
        self.occupy(task, PlacedTask { expected_end, ..PlacedTask::new(vm, &spec, index, now) });
    }

    /// Counts a task on its worker, against its team and for its job.
    pub fn occupy(&mut self, task: TaskId, placed: PlacedTask) {
        let slot = self.fleet.slot(&placed.vm);
        if let Some(slot) = slot {
            self.fleet.update(slot, |state| {
                state.used = state.used.plus(placed.need);
                state.tasks.insert(task.clone());
            });
        }
        self.shares.add(&placed.team, placed.need, self.fleet.capacity);
        if placed.priority == PriorityClass::Normal {
            let recent = self.reclaimable_tasks.entry(placed.team.clone()).or_default();
            recent.insert((placed.work_since, task.clone()));
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

    /// Counts a task no longer; the caller is sure that it does not run.
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
        if let Some(recent) = self.reclaimable_tasks.get_mut(&placed.team) {
            recent.remove(&(placed.work_since, task.clone()));
        }
        self.shares.remove(&placed.team, placed.need, self.fleet.capacity);
        self.queue.unblock_team(&placed.team);
        Some(placed)
    }

    /// Takes a task as ended without a report: it vanished from its worker, or the lease of the worker is over.
    ///
    /// With `backs_off`, the task waits longer each time before it is placed again.
    pub fn mark_lost(&mut self, task: &TaskId, backs_off: bool, now: Instant) {
        let Some(placed) = self.release(task) else { return };
        // The start may still wait to be sent.
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
            progress.lapsed = true;
            self.requeue(&placed.job, placed.index, delay, now);
        }
        self.finish_if_done(&placed.job);
    }

    /// Lets a task wait again, after `delay`; one that finished or was replaced does not.
    pub fn requeue(&mut self, id: &JobId, index: u32, delay: Duration, now: Instant) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_live()) else { return };
        let Some(progress) = job.tasks.get(index as usize) else { return };
        if progress.retired || progress.result.is_some() || progress.placed.is_some() {
            return;
        }
        if !delay.is_zero() {
            job.backing_off.insert(index);
            self.delayed.insert((now + delay, id.clone(), index));
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

    /// Lets tasks wait again whose backoff is over.
    pub fn resume_delayed(&mut self, now: Instant) {
        while self.delayed.first().is_some_and(|(due, ..)| *due <= now) {
            let Some((_, job, index)) = self.delayed.pop_first() else { return };
            self.requeue(&job, index, Duration::ZERO, now);
        }
    }

    /// Lets workers be tried again whose probation is over.
    pub fn resume_probations(&mut self, now: Instant) {
        while self.probations.first().is_some_and(|(due, _)| *due <= now) {
            let Some((_, vm)) = self.probations.pop_first() else { return };
            if let Some(slot) = self.fleet.slot(&vm) {
                self.fleet.update(slot, |worker| worker.health.resume());
            }
        }
    }

    /// Returns how long a task waits after its `count`-th failure or loss.
    #[must_use]
    pub fn backoff(count: u32) -> Duration {
        BACKOFF * 2u32.pow(count.saturating_sub(1).min(MAX_DOUBLINGS))
    }

    /// Asks the worker of a task to stop it; the task counts until its end is confirmed.
    pub fn stop(&mut self, task: &TaskId, reason: StopReason) {
        let Some(placed) = self.tasks.get_mut(task) else { return };
        if placed.stopping.is_some_and(|stopping| stopping == reason) {
            return;
        }
        let first = placed.stopping.replace(reason).is_none();
        let vm = placed.vm.clone();
        if first {
            let reason = reason.label();
            self.effects.push(ScheduleEffect::Stopped { task: task.clone(), vm: vm.clone(), reason });
            self.effects.push(ScheduleEffect::Command(vm, WorkerCommand::Stop { task: task.clone() }));
        }
    }

    /// Looks at up to `limit` tasks of the backlog and stops those that are placed.
    pub fn drain_stops(&mut self, limit: usize) {
        let mut left = limit;
        while let Some((id, from)) = self.stop_backlog.pop_front() {
            let tasks = self.jobs.get(&id).map_or(&[][..], |job| &job.tasks);
            let slice = tasks.iter().skip(from).take(left);
            let placed: Vec<TaskId> = slice.filter_map(|progress| progress.placed.clone()).collect();
            let next = from + left;
            if next < tasks.len() {
                self.stop_backlog.push_front((id, next));
                left = 0;
            } else {
                left -= tasks.len().saturating_sub(from);
            }
            for task in placed {
                self.stop(&task, StopReason::JobEnded);
            }
            if left == 0 {
                return;
            }
        }
    }

    /// Cancels a job: nothing of it starts any more, what runs is stopped.
    pub fn cancel(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.ended) else { return };
        job.cancelled = true;
        // Tasks that an earlier owner started may still be found.
        if !job.inherited {
            self.clear_waiting(id);
            self.finish_if_done(id);
        }
    }

    /// Adds a job that another shard handed over; its attempts are numbered above those of that shard.
    pub fn accept_moved_job(&mut self, spec: &Arc<JobSpec>, first_attempt: AttemptNumber) {
        self.add_job(spec, false);
        if let Some(job) = self.jobs.get_mut(&spec.id) {
            job.first_attempt = job.first_attempt.max(first_attempt);
        }
    }

    /// Hands a job to another shard unless something of it may still run or has finished, which the other shard would
    /// run again; nothing of it starts here any more.
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
        self.clear_waiting(id);
        self.effects.push(ScheduleEffect::MoveJob(id.clone(), to));
        true
    }

    /// Decides the outcome of a job and stops what still runs of it.
    ///
    /// The outcome is recorded after the last task has ended, so that an owner that takes over knows of all jobs
    /// with running tasks.
    pub fn end_job(&mut self, id: &JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.ended) else { return };
        job.ended = true;
        job.outcome = Some(outcome);
        self.clear_waiting(id);
        self.finish_if_done(id);
    }

    /// Records the outcome of a job if all its tasks are done.
    pub fn finish_if_done(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.inherited && !job.is_live() || job.placed > 0 {
            return;
        }
        if !job.ended && job.cancelled {
            job.outcome = Some(JobOutcome::Cancelled);
        } else if !job.ended && job.finished >= job.spec.tasks {
            let results = job.tasks.iter_mut().filter_map(|progress| progress.result.take()).collect();
            job.outcome = Some(JobOutcome::Finished(results));
        }
        if let Some(outcome) = job.outcome.take() {
            job.ended = true;
            self.clear_waiting(id);
            self.effects.push(ScheduleEffect::RecordOutcome(id.clone(), outcome));
        }
    }

    /// Forgets a job whose outcome is in the ledger; its ended tasks need not be repeated any more.
    pub fn forget(&mut self, id: &JobId) {
        self.clear_waiting(id);
        self.running_gangs.remove(id);
        let Some(job) = self.jobs.remove(id) else { return };
        for (task, vm) in job.tasks.into_iter().flat_map(|progress| progress.unacknowledged) {
            self.effects.push(ScheduleEffect::Command(vm, WorkerCommand::Acknowledge { task }));
        }
    }

    fn clear_waiting(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        self.queue.remove(job);
        job.waiting.clear();
        if job.placed > 0 {
            self.stop_backlog.push_back((id.clone(), 0));
        }
    }
}
