//! What workers do in a replay: tasks, syncs and commands.

use super::*;

impl ReplayRun {
    /// Ends tasks that are done or whose lease ended.
    pub(super) fn run_tasks(&mut self, index: usize) {
        let (now, worker) = (self.now, &self.workers[index]);
        let lapsed = worker.lease_end.is_some_and(|end| end <= now);
        let done = |task: &ReplayTask| task.length.is_some_and(|length| task.progress(now) >= length);
        let ended = worker.running.iter().filter(|(_, task)| lapsed || done(task));
        let ended: Vec<(TaskId, TaskOutcome)> = ended
            .map(|(id, task)| {
                (id.clone(), if done(task) { TaskOutcome::Finished } else { TaskOutcome::LeaseExpired })
            })
            .collect();
        for (task, ending) in ended {
            self.end_task(index, &task, ending);
        }
    }

    pub(super) fn end_task(&mut self, index: usize, id: &TaskId, ending: TaskOutcome) {
        let worker = &mut self.workers[index];
        let Some(task) = worker.running.remove(id) else { return };
        worker.used = worker.used.minus(task.need);
        let result = format!("{ending} {id}");
        worker.ended.insert(id.clone(), TaskEnd { task: id.clone(), ending, result: result.clone() });
        self.forget_task(&task.key, id);
        let Some(job) = self.jobs.get_mut(&task.key.0) else { return };
        let position = task.key.1 as usize;
        match ending {
            TaskOutcome::Finished => job.results[position].push(result),
            TaskOutcome::Failed => job.failures += 1,
            _ => self.lost_work += task.progress(self.now).saturating_sub(job.saved[position]),
        }
    }

    pub(super) fn forget_task(&mut self, key: &(JobId, u32), id: &TaskId) {
        let Some(attempts) = self.live.get_mut(key) else { return };
        let Some(position) = attempts.iter().position(|(task, ..)| task == id) else { return };
        let (_, vm, need) = attempts.swap_remove(position);
        self.workers[vm].assigned = self.workers[vm].assigned.minus(need);
        let team = &self.jobs[&key.0].spec.team;
        let used = self.used_by_team.entry(team.clone()).or_default();
        *used = used.minus(need);
    }

    pub(super) fn forget_live(&mut self, gone: impl Fn(&TaskId, usize) -> bool) {
        let found = self.live.iter().flat_map(|(key, attempts)| {
            let gone = attempts.iter().filter(|(task, vm, _)| gone(task, *vm));
            gone.map(move |(task, ..)| (key.clone(), task.clone()))
        });
        for (key, task) in found.collect::<Vec<_>>() {
            self.forget_task(&key, &task);
        }
    }

    /// Delivers the answer that is due and sends the next sync; one is in flight at a time.
    pub(super) fn exchange(&mut self, index: usize) {
        let now = self.now;
        if self.workers[index].in_flight.as_ref().is_some_and(|sync| sync.due <= now) {
            self.deliver(index);
        }
        let worker = &mut self.workers[index];
        let idle = worker.next_sync > now && worker.commands.is_empty() && worker.withdrawn.is_empty();
        if worker.in_flight.is_some() || !worker.owned || idle {
            return;
        }
        let carried = |(command, sent): &mut (WorkerCommand, bool)| {
            *sent = true;
            let placed = matches!(command, WorkerCommand::Start { .. } | WorkerCommand::Stop { .. });
            placed.then(|| command.task().clone())
        };
        let carried = worker.commands.iter_mut().filter_map(carried).collect();
        let link = if worker.alive { worker.link } else { SyncLink::Cut };
        let report = (link != SyncLink::Cut).then(|| self.carry_out(index));
        let (due, report) = match link {
            SyncLink::Prompt => (now, report),
            SyncLink::Late(steps) => (now + STEP * steps, report),
            SyncLink::Cut | SyncLink::Mute => (now + SYNC_TIMEOUT, None),
        };
        let worker = &mut self.workers[index];
        worker.next_sync = now + SYNC_INTERVAL;
        worker.in_flight = Some(PendingSync { due, report, carried });
        if due == now {
            self.deliver(index);
        }
    }

    pub(super) fn deliver(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let Some(sync) = worker.in_flight.take() else { return };
        let vm = worker.vm.vm.clone();
        if let Some(report) = sync.report {
            worker.granted_until = None;
            worker.commands.retain(|(_, sent)| !sent);
            worker.last_answer = Some(report.clone());
            worker.heard = true;
            for end in report.ended.iter().filter(|end| end.ending == TaskOutcome::Finished) {
                let Some((job, position, attempt)) = JobSpec::split_task_id(&end.task) else { continue };
                let position = position as usize;
                let Some(job) = self.jobs.get_mut(&job) else { continue };
                if job.commanded[position] == attempt + 1 {
                    (job.reported[position], job.ended_on[position]) = (true, Some(index));
                }
            }
            if !sync.carried.is_empty() {
                self.tell(ScheduleEvent::CommandsDelivered(vm.clone(), sync.carried));
            }
            self.tell(ScheduleEvent::SyncAnswered(vm.clone(), report));
        } else {
            worker.granted_until.get_or_insert(self.now + LEASE);
            self.tell(ScheduleEvent::SyncFailed(vm.clone()));
        }
        while let Some(task) = self.workers[index].withdrawn.pop() {
            self.tell(ScheduleEvent::StartWithdrawn(vm.clone(), task));
        }
    }

    /// Carries out the pending commands as the worker does and returns its report.
    pub(super) fn carry_out(&mut self, index: usize) -> WorkerReport {
        let until = self.workers[index].granted_until.unwrap_or(self.now + LEASE);
        self.workers[index].lease_end = Some(until);
        for (command, _) in self.workers[index].commands.clone() {
            match command {
                WorkerCommand::Start { task, team, need, .. } => self.start_task(index, &task, team, need),
                WorkerCommand::Stop { task } => self.end_task(index, &task, TaskOutcome::Stopped),
                WorkerCommand::Checkpoint { task } => {
                    if let Some(running) = self.workers[index].running.get_mut(&task) {
                        running.checkpointed = true;
                        let (job, position) = (&running.key.0, running.key.1 as usize);
                        if let Some(job) = self.jobs.get_mut(job) {
                            job.saved[position] = running.progress(self.now);
                        }
                    }
                }
                WorkerCommand::Throttle { task, percent } => {
                    if let Some(running) = self.workers[index].running.get_mut(&task) {
                        (running.done, running.since) = (running.progress(self.now), self.now);
                        running.percent = percent;
                    }
                }
                WorkerCommand::Acknowledge { task } => {
                    self.workers[index].ended.remove(&task);
                }
            }
        }
        let worker = &self.workers[index];
        let report = |(task, running): (&TaskId, &ReplayTask)| TaskReport {
            task: task.clone(),
            team: running.team.clone(),
            need: running.need,
            used: running.need,
            checkpointed: running.checkpointed,
        };
        WorkerReport {
            running: worker.running.iter().map(report).collect(),
            ended: worker.ended.values().cloned().collect(),
        }
    }

    pub(super) fn start_task(&mut self, index: usize, task: &TaskId, team: TeamId, need: ResourceVector) {
        let now = self.now;
        if !self.workers[index].known.insert(task.clone()) {
            return;
        }
        let Some((job_id, position, attempt)) = JobSpec::split_task_id(task) else { return };
        let key = (job_id, position);
        let elsewhere = self.live.get(&key).into_iter().flatten();
        for (other, vm, _) in elsewhere.filter(|(other, ..)| other != task) {
            if self.workers[*vm].running.contains_key(other) {
                self.faults.push(format!("P2: {task} starts while {other} runs on worker {vm}"));
            }
        }
        let worker = &mut self.workers[index];
        if self.closed_at.get(&worker.vm.zone).is_some_and(|closed| now > *closed + ZONE_GRACE) {
            self.faults.push(format!("P5: {task} starts in closed zone {}", worker.vm.zone));
        }
        worker.used = worker.used.plus(need);
        if !worker.used.fits(worker.vm.capacity) {
            self.faults.push(format!("P1: {} runs {} of {}", worker.vm.vm, worker.used, worker.vm.capacity));
        }
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        job.started[position as usize].get_or_insert(now);
        let running = ReplayTask {
            team,
            need,
            done: job.saved[position as usize],
            key,
            since: now,
            length: (job.spec.kind != JobKind::Service).then_some(job.length),
            percent: 100,
            checkpointed: false,
        };
        let fails = worker.fails || (attempt & 0xffff) < u64::from(job.failing);
        worker.running.insert(task.clone(), running);
        if fails {
            self.end_task(index, task, TaskOutcome::Failed);
        }
    }
}
