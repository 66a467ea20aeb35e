use std::collections::VecDeque;

use crate::kernel::{
    JobExplanation, JobKind, JobOutcome, PlacementPolicy, PluginRegistry, ScheduleEffect, ScheduleEvent,
    ShardSummary, TaskEnd, TaskEnding, WorkerCommand, WorkerReport, WorkerState, WorkerVm,
};
use crate::prelude::*;

/// Queue, workers and running tasks of one shard.
pub struct ShardScheduler {
    registry: PluginRegistry,
    bundle: Option<Arc<PolicyBundle>>,
    workers: FastMap<VmId, WorkerState>,
    jobs: FastMap<JobId, JobProgress>,
    placed: FastMap<TaskId, PlacedTask>,
    queue: VecDeque<(JobId, u32)>,
    use_by_team: FastMap<TeamId, ResourceVector>,
    allotments: FastMap<TeamId, ResourceVector>,
    /// No task starts after this time; not bounded if `None`.
    current_until: Option<Instant>,
    /// Until then, jobs accepted before the take-over wait for workers that were not heard.
    settled_at: Instant,
}

struct JobProgress {
    spec: Arc<JobSpec>,
    attempts: Vec<u32>,
    results: Vec<Option<String>>,
    failures: Vec<u32>,
    running: u32,
    cancelled: bool,
    ended: bool,
    inherited: bool,
}

struct PlacedTask {
    vm: VmId,
    job: JobId,
    index: u32,
    team: TeamId,
    need: ResourceVector,
}

impl ShardScheduler {
    /// Returns the scheduler of a shard that was just claimed; leases granted by an earlier owner end by `settled_at`.
    #[must_use]
    pub fn new(registry: PluginRegistry, settled_at: Instant) -> Self {
        Self {
            registry,
            bundle: None,
            workers: FastMap::default(),
            jobs: FastMap::default(),
            placed: FastMap::default(),
            queue: VecDeque::new(),
            use_by_team: FastMap::default(),
            allotments: FastMap::default(),
            current_until: None,
            settled_at,
        }
    }

    /// Adds a job that was accepted before this process claimed the shard.
    pub fn inherit(&mut self, spec: &Arc<JobSpec>, cancelled: bool) {
        self.add_job(spec, true);
        if let Some(job) = self.jobs.get_mut(&spec.id) {
            job.cancelled |= cancelled;
        }
    }

    /// Handles one event and returns its effects in order.
    pub fn handle(&mut self, event: ScheduleEvent, now: Instant) -> Vec<ScheduleEffect> {
        let mut effects = Vec::new();
        match event {
            ScheduleEvent::BundleAdopted(bundle) => self.bundle = Some(bundle),
            ScheduleEvent::WorkersListed(vms) => self.list_workers(vms),
            ScheduleEvent::AllotmentChanged(team, amount) => {
                self.allotments.insert(team, amount);
            }
            ScheduleEvent::JobAccepted(spec) => self.add_job(&spec, false),
            ScheduleEvent::JobCancelled(job) => self.cancel_job(&job, &mut effects),
            ScheduleEvent::SyncAnswered(vm, report) => self.apply_report(&vm, report, now, &mut effects),
            ScheduleEvent::CurrentUntil(until) => self.current_until = Some(until),
            ScheduleEvent::SyncFailed(_) | ScheduleEvent::Tick => {}
        }
        self.place_waiting(now, &mut effects);
        effects
    }

    /// Explains where the tasks of a job are; `None` if the job is not in this shard.
    #[must_use]
    pub fn explain(&self, id: &JobId) -> Option<JobExplanation> {
        let job = self.jobs.get(id)?;
        let placed = self.placed.iter().filter(|(_, placed)| placed.job == *id);
        let running = placed.map(|(task, placed)| (task.clone(), placed.vm.clone())).collect();
        let waiting = self.queue.iter().filter(|(waiting, _)| waiting == id).count();
        let mut explanation = JobExplanation {
            running,
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            reasons: Vec::new(),
        };
        if let Some(bundle) = self.bundle.as_ref().filter(|_| waiting > 0) {
            let reasons = self.workers.values().filter_map(|state| reject_worker(state, bundle, &job.spec));
            let mut counts: FastMap<&str, u32> = FastMap::default();
            for reason in reasons {
                *counts.entry(reason).or_default() += 1;
            }
            explanation.reasons =
                counts.into_iter().map(|(reason, count)| (reason.to_owned(), count)).collect();
        }
        Some(explanation)
    }

    /// Summarises the shard for operators.
    #[must_use]
    pub fn summary(&self, shard: ShardId) -> ShardSummary {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let sum = |amounts: &mut dyn Iterator<Item = ResourceVector>| {
            amounts.fold(ResourceVector::default(), ResourceVector::plus)
        };
        ShardSummary {
            shard,
            workers: count(self.workers.len()),
            workers_heard: count(self.workers.values().filter(|state| state.heard).count()),
            capacity: sum(&mut self.workers.values().map(|state| state.vm.capacity)),
            used: sum(&mut self.workers.values().map(|state| state.used)),
            waiting: count(self.queue.len()),
            used_by_team: self.use_by_team.iter().map(|(team, used)| (team.clone(), *used)).collect(),
            allotments: self.allotments.iter().map(|(team, amount)| (team.clone(), *amount)).collect(),
        }
    }

    fn list_workers(&mut self, vms: Vec<WorkerVm>) {
        for vm in vms {
            match self.workers.get_mut(&vm.vm) {
                Some(state) => state.vm = vm,
                None => {
                    self.workers.insert(vm.vm.clone(), WorkerState::new(vm));
                }
            }
        }
    }

    fn add_job(&mut self, spec: &Arc<JobSpec>, inherited: bool) {
        let count = spec.tasks as usize;
        self.queue.extend((0..spec.tasks).map(|index| (spec.id.clone(), index)));
        let progress = JobProgress {
            attempts: vec![0; count],
            results: vec![None; count],
            failures: vec![0; count],
            running: 0,
            cancelled: false,
            ended: false,
            inherited,
            spec: spec.clone(),
        };
        self.jobs.insert(spec.id.clone(), progress);
    }

    fn cancel_job(&mut self, id: &JobId, effects: &mut Vec<ScheduleEffect>) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.cancelled = true;
        self.queue.retain(|(waiting, _)| waiting != id);
        for (task, placed) in self.placed.iter().filter(|(_, placed)| placed.job == *id) {
            effects
                .push(ScheduleEffect::Command(placed.vm.clone(), WorkerCommand::Stop { task: task.clone() }));
        }
        self.finish_job(id, effects);
    }

    fn apply_report(
        &mut self,
        vm: &VmId,
        report: WorkerReport,
        now: Instant,
        effects: &mut Vec<ScheduleEffect>,
    ) {
        let Some(state) = self.workers.get_mut(vm) else { return };
        state.heard = true;
        state.last_sync = Some(now);
        for running in &report.running {
            self.adopt_task(vm, &running.task, running.need);
        }
        for end in report.ended {
            self.apply_end(vm, &end, effects);
            let command = WorkerCommand::Acknowledge { task: end.task };
            effects.push(ScheduleEffect::Command(vm.clone(), command));
        }
    }

    /// Counts a running task that this owner did not start itself.
    fn adopt_task(&mut self, vm: &VmId, task: &TaskId, need: ResourceVector) {
        if self.placed.contains_key(task) {
            return;
        }
        let Some((job, index, attempt)) = JobSpec::split_task_id(task) else { return };
        let Some(progress) = self.jobs.get_mut(&job) else { return };
        progress.attempts[index as usize] = attempt;
        progress.running += 1;
        let team = progress.spec.team.clone();
        self.queue.retain(|(waiting, waiting_index)| *waiting != job || *waiting_index != index);
        self.occupy(task.clone(), PlacedTask { vm: vm.clone(), job, index, team, need });
    }

    fn occupy(&mut self, task: TaskId, placed: PlacedTask) {
        if let Some(state) = self.workers.get_mut(&placed.vm) {
            state.used = state.used.plus(placed.need);
            state.tasks.insert(task.clone());
        }
        let used = self.use_by_team.entry(placed.team.clone()).or_default();
        *used = used.plus(placed.need);
        self.placed.insert(task, placed);
    }

    fn apply_end(&mut self, vm: &VmId, end: &TaskEnd, effects: &mut Vec<ScheduleEffect>) {
        if !self.placed.contains_key(&end.task) {
            self.adopt_task(vm, &end.task, ResourceVector::default());
        }
        let Some(placed) = self.placed.remove(&end.task) else { return };
        if let Some(state) = self.workers.get_mut(&placed.vm) {
            state.used = state.used.minus(placed.need);
            state.tasks.remove(&end.task);
        }
        if let Some(used) = self.use_by_team.get_mut(&placed.team) {
            *used = used.minus(placed.need);
        }
        let Some(job) = self.jobs.get_mut(&placed.job) else { return };
        job.running -= 1;
        let index = placed.index as usize;
        match end.ending {
            TaskEnding::Finished => job.results[index] = Some(end.result.clone()),
            _ if job.cancelled || job.ended => {}
            TaskEnding::Failed if job.failures[index] >= job.spec.retries => {
                job.ended = true;
                effects.push(ScheduleEffect::End(placed.job.clone(), JobOutcome::Failed(end.result.clone())));
            }
            ending => {
                job.failures[index] += u32::from(ending == TaskEnding::Failed);
                job.attempts[index] += 1;
                self.queue.push_back((placed.job.clone(), placed.index));
            }
        }
        self.finish_job(&placed.job, effects);
    }

    fn finish_job(&mut self, id: &JobId, effects: &mut Vec<ScheduleEffect>) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.ended || job.running > 0 {
            return;
        }
        if job.cancelled {
            job.ended = true;
            effects.push(ScheduleEffect::End(id.clone(), JobOutcome::Cancelled));
        } else if job.results.iter().all(Option::is_some) {
            job.ended = true;
            let results = job.results.iter_mut().filter_map(Option::take).collect();
            effects.push(ScheduleEffect::End(id.clone(), JobOutcome::Finished(results)));
        }
    }

    fn place_waiting(&mut self, now: Instant, effects: &mut Vec<ScheduleEffect>) {
        let Some(bundle) = self.bundle.clone() else { return };
        if self.current_until.is_some_and(|until| now >= until) {
            return;
        }
        let settled = now >= self.settled_at || self.workers.values().all(|state| state.heard);
        for _ in 0..self.queue.len() {
            let Some((id, index)) = self.queue.pop_front() else { return };
            let Some(job) = self.jobs.get(&id).filter(|job| !job.cancelled && !job.ended) else { continue };
            let blocked = job.inherited && !settled;
            if blocked || !self.place_task(&bundle, &id, index, effects) {
                self.queue.push_back((id, index));
            }
        }
    }

    fn place_task(
        &mut self,
        bundle: &PolicyBundle,
        id: &JobId,
        index: u32,
        effects: &mut Vec<ScheduleEffect>,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let spec = job.spec.clone();
        let used = self.use_by_team.get(&spec.team).copied().unwrap_or_default();
        let allotment = self.allotments.get(&spec.team).copied().unwrap_or_default();
        if !used.plus(spec.need).fits(allotment) {
            return false;
        }
        let Some(policy) = self.registry.placement(bundle, spec.kind) else { return false };
        let (chosen, rejected) = choose_worker(self.workers.values(), bundle, &spec, &policy);
        let Some(vm) = chosen else { return false };
        let task = spec.task_id(index, job.attempts[index as usize]);
        job.running += 1;
        let run_time = spec.run_time.filter(|_| spec.kind != JobKind::Service);
        let command =
            WorkerCommand::Start { task: task.clone(), team: spec.team.clone(), need: spec.need, run_time };
        effects.push(ScheduleEffect::Placed {
            task: task.clone(),
            team: spec.team.clone(),
            vm: vm.clone(),
            reason: policy.name,
            rejected,
        });
        effects.push(ScheduleEffect::Command(vm.clone(), command));
        let placed = PlacedTask { vm, job: id.clone(), index, team: spec.team.clone(), need: spec.need };
        self.occupy(task, placed);
        true
    }
}

/// Returns the best worker for a task and the rejected ones counted by reason.
fn choose_worker<'a>(
    workers: impl Iterator<Item = &'a WorkerState>,
    bundle: &PolicyBundle,
    spec: &JobSpec,
    policy: &PlacementPolicy,
) -> (Option<VmId>, Vec<(&'static str, u32)>) {
    let mut rejected: FastMap<&'static str, u32> = FastMap::default();
    let mut best: Option<(i64, &VmId)> = None;
    for state in workers {
        if let Some(reason) = reject_worker(state, bundle, spec) {
            *rejected.entry(reason).or_default() += 1;
            continue;
        }
        let candidate = ((policy.score)(state, spec), &state.vm.vm);
        if best.is_none_or(|best| candidate > best) {
            best = Some(candidate);
        }
    }
    let mut rejected: Vec<_> = rejected.into_iter().collect();
    rejected.sort_unstable();
    (best.map(|(_, vm)| vm.clone()), rejected)
}

fn reject_worker(state: &WorkerState, bundle: &PolicyBundle, spec: &JobSpec) -> Option<&'static str> {
    if !state.heard {
        return Some("not_heard");
    }
    if state.vm.leaving {
        return Some("leaving");
    }
    if !bundle.zone_open(&state.vm.zone) {
        return Some("zone_closed");
    }
    spec.need.lacking(state.free())
}
