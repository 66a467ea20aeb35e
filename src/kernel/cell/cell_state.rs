use std::ops::Range;

use crate::kernel::ShareAccounting;
use crate::kernel::cell::{
    COMMAND_VALIDITY, CellConfig, CellEffect, CellJob, CellRecord, CellWorker, CopyKeeper, DiscardedRun,
    EndSource, EstimateRatios, GraphSpec, InheritedLeases, JobStatus, LossCause, OccurrenceState,
    PartitionBound, PassRotation, PermitLoad, PermitStats, PlacementPhase, PreemptionHeadroom, ReadySteps,
    RestartRule, RoomForecast, RunEnd, RunTimeEstimator, RunWatch, ShareStanding, SlowRunState, StartCommand,
    StartInputs, StepClass, StepKey, StepRanking, StepSpec, StepState, StopCommand, SubmitRate, TaskKey,
    TaskPlacement, TaskState, UsageCorrection, UsageWatch, WorkerPools,
};
use crate::prelude::*;

/// Backoff of a preempted task before it starts again; it doubles with each preemption.
const PREEMPTION_BACKOFF: Duration = Duration::from_millis(400);
/// Bounds the doublings of the backoff, so that it is at most 3.2 s.
const MAX_PREEMPTION_DOUBLINGS: u32 = 3;

/// The specification of a job, and the specification and the state of one of its steps.
pub type StepView<'a> = (&'a GraphSpec, &'a StepSpec, &'a StepState);

/// Jobs, placements and workers of a cell.
///
/// The methods keep the counts of workers, teams, jobs and steps consistent with the placements.
#[derive(Clone, Default)]
pub struct CellState {
    /// Configuration in force.
    pub config: Arc<CellConfig>,
    /// Availability zones that are out of service; no task starts there.
    pub closed_zones: FastSet<ZoneId>,
    /// Workers by slot. Slots are never reused, so that one names the same worker for the whole term.
    pub workers: Vec<CellWorker>,
    slots: FastMap<WorkerId, u32>,
    /// Whether the list of workers was applied in this term.
    pub workers_listed: bool,
    /// The listed workers by what a step may ask for.
    pub pools: WorkerPools,
    /// Open jobs, and closed ones until their retention time is over.
    pub jobs: FastMap<JobId, CellJob>,
    /// Jobs whose cancellation was read before their submission, with the time of that read.
    pub early_cancels: FastMap<JobId, Instant>,
    /// The current run of each placed task. It occupies its worker until its end is known.
    pub placements: FastMap<TaskKey, TaskPlacement>,
    /// Runs beside the current run of their task, by task and number; see
    /// [`CopyKeeper`](crate::kernel::cell::CopyKeeper).
    pub copies: FastMap<(TaskKey, RunNumber), TaskPlacement>,
    /// Runs that may be at work although they are not placed.
    pub late_runs: RunWatch,
    /// The ready steps in the order of starts.
    pub ready: ReadySteps,
    /// Where the next start pass goes on with the steps that the last one did not try.
    pub rotation: PassRotation,
    /// Resources that each team uses, and its limit, which is called allotment there.
    pub shares: ShareAccounting,
    /// How much longer than estimated the tasks of each queue may take.
    pub estimate_ratios: EstimateRatios,
    /// How the past use of the teams corrects the order of starts; nothing while past use is not accounted for.
    pub usage_correction: UsageCorrection,
    /// How long the store keeps records; `None` if they do not expire.
    pub log_retention: Option<Duration>,
    /// The end of the log, and how much of it the store keeps.
    pub partition_bound: PartitionBound,
    /// Teams far above their weighted share.
    pub share_standing: ShareStanding,
    /// Submission rates of the teams.
    pub rates: SubmitRate,
    /// Ratios of observed to estimated run times, by queue.
    pub run_time_estimator: RunTimeEstimator,
    /// What is known about slow runs.
    pub slow_runs: SlowRunState,
    /// The part of its limit that each team keeps free for tasks of queues of priority 0, gangs and
    /// long-running tasks.
    pub headroom: PreemptionHeadroom,
    /// Total capacity of the listed workers.
    pub capacity: ResourceVector,
    /// Unix time at the last tick.
    pub unix_time: Duration,
    /// When the leases that earlier owners granted have expired; `None` only in the default state.
    pub inherited_leases: Option<InheritedLeases>,
    /// How much longer workers that have restarted may hold a lease.
    pub restart_rule: RestartRule,
    /// Permit requests to the advisor without an answer, and the processes that send them.
    pub permit_load: PermitLoad,
    /// Permit requests and answers by queue.
    pub permit_stats: PermitStats,
    /// Expected ends of the running tasks, as of the last pass that needed them.
    pub room_forecast: RoomForecast,
    /// Effects to carry out, in order.
    pub effects: Vec<CellEffect>,
}

impl CellState {
    /// Returns when every lease of earlier owners has expired, unless a worker has restarted.
    #[must_use]
    pub fn inherited_leases_expire_by(&self, now: Instant) -> Instant {
        self.inherited_leases.map_or(now, |leases| leases.expire_by)
    }

    /// Returns the slot of a worker; `None` if the worker is not known.
    #[must_use]
    pub fn slot(&self, worker: &str) -> Option<u32> {
        self.slots.get(worker).copied()
    }

    /// Returns the worker in a slot.
    #[must_use]
    pub fn worker(&self, slot: u32) -> Option<&CellWorker> {
        self.workers.get(slot as usize)
    }

    /// Returns the worker in a slot for modification.
    pub fn worker_mut(&mut self, slot: u32) -> Option<&mut CellWorker> {
        self.workers.get_mut(slot as usize)
    }

    /// Adds a worker that has no slot yet, and returns its new slot.
    pub fn add_worker(&mut self, worker: CellWorker) -> u32 {
        let slot = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        self.slots.insert(worker.listing.worker.clone(), slot);
        self.workers.push(worker);
        slot
    }

    /// Returns the specification of the job, and the specification and the state of the step; `None` if the
    /// job or the occurrence is not known.
    #[must_use]
    pub fn step(&self, key: &StepKey) -> Option<StepView<'_>> {
        let job = self.jobs.get(&key.job)?;
        let state = job.occurrences.get(&key.occurrence)?.steps.get(key.step as usize)?;
        Some((&job.spec, job.spec.steps.get(key.step as usize)?, state))
    }

    /// Returns the state of a step for modification.
    pub fn step_mut(&mut self, key: &StepKey) -> Option<&mut StepState> {
        let job = self.jobs.get_mut(&key.job)?;
        job.occurrences.get_mut(&key.occurrence)?.steps.get_mut(key.step as usize)
    }

    /// Returns the state of a task for modification.
    pub fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        self.step_mut(&key.step)?.tasks.get_mut(key.index)
    }

    /// Creates the state of an occurrence and adds its steps without dependencies to the ready steps.
    pub fn activate_occurrence(&mut self, id: &JobId, occurrence: u32, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let steps = job.spec.steps.iter().map(|step| StepState::new(step.tasks)).collect();
        job.occurrences.insert(occurrence, OccurrenceState { steps });
        job.next_occurrence = job.next_occurrence.max(occurrence + 1);
        self.enqueue_ready_steps(id, occurrence, now);
    }

    /// Ranks the steps of an occurrence whose dependencies are complete, and adds them to the ready steps.
    pub fn enqueue_ready_steps(&mut self, id: &JobId, occurrence: u32, now: Instant) {
        let Some(job) = self.jobs.get(id).filter(|job| !job.status.is_final()) else { return };
        let Some(occurrence_state) = job.occurrences.get(&occurrence) else { return };
        let done = |after: &u32| {
            occurrence_state.steps.get(*after as usize).is_some_and(|step_state| step_state.remaining == 0)
        };
        let due: Vec<u32> = (0u32..)
            .zip(job.spec.steps.iter().zip(&occurrence_state.steps))
            .filter(|(_, (spec, step_state))| step_state.rank.is_none() && spec.after.iter().all(done))
            .filter(|(_, (_, step_state))| step_state.remaining > 0)
            .map(|(index, _)| index)
            .collect();
        for index in due {
            let key = StepKey { job: id.clone(), occurrence, step: index };
            let rank = StepRanking { state: self }.rank(&key, now);
            UsageWatch { state: self, now }.note_rank(&key, rank);
            if let Some(step_state) = self.step_mut(&key) {
                step_state.rank = Some(rank);
                if !step_state.waiting.is_empty() {
                    self.ready.insert((rank, key));
                }
            }
        }
    }

    /// Places a waiting task on a worker, and emits the record and the command of its start.
    pub fn start(&mut self, key: &TaskKey, slot: u32, ticket: Option<PermitTicket>, now: Instant) {
        let Some((spec, _, state)) = self.step(&key.step) else { return };
        let Some(task) = state.tasks.get(key.index) else { return };
        let payload = spec.payload.clone();
        let (run, checkpoint) = (task.last_run + 1, task.checkpoint.clone());
        let resumed = checkpoint.is_some();
        let Some(inputs) = self.start_inputs(key, slot, now) else { return };
        let Some(worker) = self.worker(slot) else { return };
        let (worker, incarnation) = (worker.listing.worker.clone(), worker.incarnation);
        self.effects.push(CellEffect::Record(CellRecord::Started(key.clone(), run, worker.clone())));
        let command = StartCommand {
            worker,
            incarnation,
            task: key.clone(),
            run,
            payload,
            checkpoint,
            ticket,
            inputs,
            expires_at: now + COMMAND_VALIDITY,
        };
        self.effects.push(CellEffect::Start(command));
        let placement = TaskPlacement::new(slot, run, PlacementPhase::Starting, now);
        self.add_placement(key, TaskPlacement { resumed, ..placement });
    }

    /// Returns the inputs of the decision to start a task, for logs.
    fn start_inputs(&self, key: &TaskKey, slot: u32, now: Instant) -> Option<StartInputs> {
        let worker = self.worker(slot)?;
        let rank = self.step(&key.step).and_then(|(_, _, step)| step.rank);
        let class = rank.map_or(StepClass::Useful, |rank| rank.class);
        let since = |at: Option<Instant>| at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        Some(StartInputs {
            config: self.config.version,
            class,
            report_age: since(worker.polled_at),
            waited: since(self.jobs.get(&key.step.job).map(|job| job.known_since)),
            free: worker.free(),
        })
    }

    /// Starts all tasks of a gang on the given workers. They share one run number, by which the members find
    /// each other.
    pub fn start_gang(&mut self, key: &StepKey, slots: &[(u32, Option<PermitTicket>)], now: Instant) {
        let Some(state) = self.step_mut(key) else { return };
        let last = state.tasks.begun().map(|task| task.last_run).max().unwrap_or_default();
        for task in state.tasks.all_mut() {
            task.last_run = last;
        }
        for (index, (slot, ticket)) in (0u32..).zip(slots) {
            self.start(&key.task(index), *slot, ticket.clone(), now);
        }
    }

    /// Adds the current run of a task and counts it for its worker, team, job and step.
    pub fn add_placement(&mut self, key: &TaskKey, placement: TaskPlacement) {
        let Some((spec, step, _)) = self.step(&key.step) else { return };
        let (team, need, occupied) = (spec.team.clone(), step.need, step.occupied_capacity());
        let (slot, run) = (placement.slot, placement.run);
        self.shares.add(&team, need, self.capacity);
        if let Some(worker) = self.worker_mut(slot) {
            worker.used = worker.used.plus(occupied);
            worker.tasks.insert(key.clone());
        }
        self.placements.insert(key.clone(), placement);
        if let Some(job) = self.jobs.get_mut(&key.step.job) {
            job.placed += 1;
            if job.status == JobStatus::Queued {
                job.status = JobStatus::Running;
            }
        }
        let Some(state) = self.step_mut(&key.step) else { return };
        state.placed += 1;
        *state.per_worker.entry(slot).or_default() += 1;
        if let Some(task) = state.tasks.get_mut(key.index) {
            task.last_run = task.last_run.max(run);
        }
        state.waiting.remove(key.index);
        if state.waiting.is_empty()
            && let Some(rank) = state.rank
        {
            self.ready.remove(&(rank, key.step.clone()));
        }
    }

    /// Removes the current run of a task from all counts. The caller must be sure that the run has ended or
    /// never starts.
    pub fn remove_placement(&mut self, key: &TaskKey) -> Option<TaskPlacement> {
        let placement = self.placements.remove(key)?;
        if let Some(worker) = self.worker_mut(placement.slot) {
            worker.tasks.remove(key);
        }
        self.uncount(key, &placement);
        Some(placement)
    }

    /// Removes a run from the counts of its worker, team, job and step.
    pub(super) fn uncount(&mut self, key: &TaskKey, placement: &TaskPlacement) {
        if let Some((spec, step, _)) = self.step(&key.step) {
            let (team, need, occupied) = (spec.team.clone(), step.need, step.occupied_capacity());
            self.shares.remove(&team, need, self.capacity);
            if let Some(worker) = self.worker_mut(placement.slot) {
                worker.used = worker.used.minus(occupied);
                if placement.stop_reason.is_some() {
                    worker.capacity_being_freed = worker.capacity_being_freed.minus(occupied);
                }
            }
        }
        if let Some(job) = self.jobs.get_mut(&key.step.job) {
            job.placed = job.placed.saturating_sub(1);
        }
        if let Some(state) = self.step_mut(&key.step) {
            state.placed = state.placed.saturating_sub(1);
            if let Some(count) = state.per_worker.get_mut(&placement.slot) {
                *count = count.saturating_sub(1);
            }
            if let Some(rank) = state.rank {
                // The worker may take another task of the step.
                self.ready.bring_back(&(rank, key.step.clone()));
            }
        }
    }

    /// Lets a task wait to be placed again, unless it is done or its job is closed.
    pub fn requeue(&mut self, key: &TaskKey) {
        let live = self.jobs.get(&key.step.job).is_some_and(|job| !job.status.is_final());
        let long_running = self.step(&key.step).is_some_and(|(_, step, _)| step.long_running);
        // The end of a copy leaves the task with its current run.
        let idle = live && !self.placements.contains_key(key);
        let Some(state) = self.step_mut(&key.step).filter(|_| idle) else { return };
        if state.tasks.get(key.index).is_none_or(|task| task.done) {
            return;
        }
        state.waiting.insert(key.index);
        let Some(rank) = state.rank else { return };
        let has_run_before = state.tasks.get(key.index).is_some_and(|task| task.last_run > 0);
        let new_rank = if long_running && has_run_before { rank.of_restart() } else { rank };
        state.rank = Some(new_rank);
        self.ready.remove(&(rank, key.step.clone()));
        self.ready.insert((new_rank, key.step.clone()));
    }

    /// Emits the record that a run has ended or will never start, without a report of its worker, and
    /// requeues its task. If the task is part of a gang, stops the gang.
    pub fn mark_lost(&mut self, key: &TaskKey, cause: LossCause, now: Instant) {
        let Some(placement) = self.remove_placement(key) else { return };
        if cause == LossCause::AbsentFromReport && !self.allows_duplicates(&key.step) {
            self.late_runs.note_absent(key, &placement, now);
        }
        let record = CellRecord::Lost(key.clone(), placement.run);
        self.record_end(record, placement.slot, EndSource::Lost(cause));
        DiscardedRun { state: self, task: key, placement: &placement, now }.refund();
        self.requeue(key);
        self.break_gang(key, now);
        self.complete_if_done(&key.step.job, now);
    }

    /// Whether tasks of a step may run more than once at the same time.
    #[must_use]
    pub fn allows_duplicates(&self, key: &StepKey) -> bool {
        self.step(key).is_some_and(|(_, step, _)| step.copies)
    }

    /// Emits the record of the end of a run that the worker in a slot reported or was running.
    pub fn record_end(&mut self, record: CellRecord, slot: u32, source: EndSource) {
        let worker = self.worker(slot).map_or_else(WorkerId::default, |worker| worker.listing.worker.clone());
        self.effects.push(CellEffect::RecordEnd(record, RunEnd { worker, source }));
    }

    /// Stops all placed members of the gang that `key` is part of, after one has ended or cannot be
    /// confirmed. Does nothing for other tasks.
    pub fn break_gang(&mut self, key: &TaskKey, now: Instant) {
        let Some((_, step, state)) = self.step(&key.step) else { return };
        if !step.gang || state.remaining == 0 || state.placed == 0 {
            return;
        }
        for index in 0..step.tasks {
            self.stop(&key.step.task(index), "gang_broken", now);
        }
    }

    /// Emits the command that stops a run, unless the stop is confirmed or was sent less than
    /// 400 ms ago. The run occupies its worker until its end is known.
    pub fn stop(&mut self, key: &TaskKey, reason: &'static str, now: Instant) {
        let Some(placement) = self.placements.get_mut(key) else { return };
        let Some((reason, first)) = placement.request_stop(reason, now) else { return };
        let (slot, run) = (placement.slot, placement.run);
        if first {
            self.count_capacity_being_freed(key, slot);
        }
        let Some(worker) = self.worker(slot).map(|worker| worker.listing.worker.clone()) else { return };
        self.effects.push(CellEffect::Stop(StopCommand { worker, task: key.clone(), run, reason }));
    }

    /// Stops a run in favour of a more urgent task. The preempted task backs off longer each time before it
    /// starts again.
    pub fn preempt(&mut self, key: &TaskKey, reason: &'static str, now: Instant) {
        if let Some(state) = self.step_mut(&key.step)
            && let Some(task) = state.tasks.get_mut(key.index)
        {
            let wait = PREEMPTION_BACKOFF * 2u32.pow(task.preemptions.min(MAX_PREEMPTION_DOUBLINGS));
            task.preemptions += 1;
            task.not_before = Some(now + wait);
        }
        self.stop(key, reason, now);
    }

    /// Counts the capacity that a run frees on its worker once it has stopped.
    pub(super) fn count_capacity_being_freed(&mut self, key: &TaskKey, slot: u32) {
        let Some(freed) = self.step(&key.step).map(|(_, step, _)| step.occupied_capacity()) else { return };
        if let Some(worker) = self.worker_mut(slot) {
            worker.capacity_being_freed = worker.capacity_being_freed.plus(freed);
        }
    }

    /// Sets the newest checkpoint of a task, or of all members if the task is part of a gang. Emits no
    /// record.
    pub fn set_checkpoint(&mut self, key: &TaskKey, checkpoint: Option<CheckpointId>) {
        let Some(checkpoint) = checkpoint else { return };
        let gang = self.step(&key.step).is_some_and(|(_, step, _)| step.gang);
        let Some(state) = self.step_mut(&key.step) else { return };
        if gang {
            for task in state.tasks.all_mut() {
                task.checkpoint = Some(checkpoint.clone());
            }
        } else if let Some(task) = state.tasks.get_mut(key.index) {
            task.checkpoint = Some(checkpoint);
        }
    }

    /// Drops complete occurrences once no run of the job is placed, and closes the job as completed once
    /// nothing of it is left to do.
    ///
    /// While a run is placed, its occurrence is kept, as [`Self::remove_placement`] looks up there what the
    /// run occupies.
    pub fn complete_if_done(&mut self, id: &JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.status.is_final()) else { return };
        let complete = |state: &OccurrenceState| state.steps.iter().all(|step| step.remaining == 0);
        let placed = job.placed;
        if placed == 0 {
            job.occurrences.retain(|_, state| !complete(state));
        }
        let last = job.next_occurrence >= job.spec.occurrences();
        if last && job.occurrences.values().all(complete) {
            job.status = JobStatus::Completed;
            job.closed_at = Some(now);
            self.effects.push(CellEffect::Record(CellRecord::Closed(id.clone(), JobStatus::Completed)));
            self.effects.push(CellEffect::Publish(id.clone()));
        }
    }

    /// Closes a job with a final state, drops its waiting tasks and stops its runs.
    pub fn close(&mut self, id: &JobId, status: JobStatus, now: Instant) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.status.is_final()) else { return };
        job.status = status;
        job.closed_at = Some(now);
        self.effects.push(CellEffect::Record(CellRecord::Closed(id.clone(), status)));
        self.effects.push(CellEffect::Publish(id.clone()));
        self.clear_waiting(id);
        self.stop_all(id, now);
    }

    /// Drops a job and its placements; emits no record and stops no run.
    pub fn remove_job(&mut self, id: &JobId, now: Instant) {
        let placed: Vec<TaskKey> =
            self.placements.keys().filter(|key| key.step.job == *id).cloned().collect();
        for key in placed {
            self.remove_placement(&key);
        }
        let copies = self.copies.keys().filter(|(key, _)| key.step.job == *id).cloned();
        let copies: Vec<(TaskKey, RunNumber)> = copies.collect();
        for (key, run) in copies {
            CopyKeeper { state: self, now }.remove(&key, run);
        }
        self.clear_waiting(id);
        self.jobs.remove(id);
    }

    /// Lets no task of a job wait any more, and removes its steps from the ready steps.
    fn clear_waiting(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for (occurrence, occurrence_state) in &mut job.occurrences {
            for (step, step_state) in (0u32..).zip(&mut occurrence_state.steps) {
                step_state.waiting.clear();
                if let Some(rank) = step_state.rank {
                    self.ready.remove(&(rank, StepKey { job: id.clone(), occurrence: *occurrence, step }));
                }
            }
        }
    }

    /// Stops all runs of a job.
    pub fn stop_all(&mut self, id: &JobId, now: Instant) {
        let Some(job) = self.jobs.get(id).filter(|job| job.placed > 0) else { return };
        let steps = job.occurrences.iter().flat_map(|(occurrence, occurrence_state)| {
            (0u32..)
                .zip(&occurrence_state.steps)
                .map(|(step, step_state)| (*occurrence, step, step_state.tasks.begun_indices()))
        });
        let steps: Vec<(u32, u32, Range<u32>)> = steps.collect();
        for (occurrence, step, tasks) in steps {
            let key = StepKey { job: id.clone(), occurrence, step };
            for index in tasks {
                self.stop(&key.task(index), "job_ended", now);
            }
        }
        let copies = self.copies.keys().filter(|(key, _)| key.step.job == *id).cloned();
        let copies: Vec<(TaskKey, RunNumber)> = copies.collect();
        for (key, run) in copies {
            CopyKeeper { state: self, now }.stop(&key, run, "job_ended");
        }
    }
}
