//! What the simulated workers do: run tasks, answer syncs and execute commands.

use super::*;

impl ReplayRun {
    /// Ends the tasks that are complete, and all tasks if the lease has expired.
    pub(super) fn end_due_tasks(&mut self, index: usize) {
        let (now, worker) = (self.now, &self.workers[index]);
        let lease_expired = worker.lease_end.is_some_and(|end| end <= now);
        let done = |task: &ReplayTask| {
            task.true_run_time.is_some_and(|true_run_time| task.progress(now) >= true_run_time)
        };
        let ended = worker.running.iter().filter(|(_, task)| lease_expired || done(task));
        let ended: Vec<(TaskId, TaskOutcome)> = ended
            .map(|(id, task)| {
                (id.clone(), if done(task) { TaskOutcome::Finished } else { TaskOutcome::LeaseExpired })
            })
            .collect();
        for (task, ending) in ended {
            self.end_task(index, &task, ending);
        }
    }

    /// Ends a running attempt and records its result, failure or lost work.
    pub(super) fn end_task(&mut self, index: usize, id: &TaskId, ending: TaskOutcome) {
        let worker = &mut self.workers[index];
        let Some(task) = worker.running.remove(id) else { return };
        worker.used = worker.used.minus(task.need);
        let result = format!("{ending} {id}");
        worker
            .ended
            .insert(id.clone(), TaskEnd { task: id.clone(), outcome: ending, result: result.clone() });
        self.forget_attempt(&task.key, id);
        let Some(job) = self.jobs.get_mut(&task.key.0) else { return };
        let position = task.key.1 as usize;
        match ending {
            TaskOutcome::Finished => job.results[position].push(result),
            TaskOutcome::Failed => job.failures += 1,
            _ => self.lost_work += task.progress(self.now).saturating_sub(job.saved_progress[position]),
        }
    }

    /// Forgets an assigned attempt and releases its resources.
    pub(super) fn forget_attempt(&mut self, key: &(JobId, u32), id: &TaskId) {
        let Some(attempts) = self.assigned_attempts.get_mut(key) else { return };
        let Some(position) = attempts.iter().position(|(task, ..)| task == id) else { return };
        let (_, vm, need) = attempts.swap_remove(position);
        self.workers[vm].assigned = self.workers[vm].assigned.minus(need);
        let team = &self.jobs[&key.0].spec.team;
        let used = self.used_by_team.entry(team.clone()).or_default();
        *used = used.minus(need);
    }

    /// Forgets all assigned attempts for which `is_lost` holds.
    pub(super) fn forget_attempts(&mut self, is_lost: impl Fn(&TaskId, usize) -> bool) {
        let found = self.assigned_attempts.iter().flat_map(|(key, attempts)| {
            let lost = attempts.iter().filter(|(task, vm, _)| is_lost(task, *vm));
            lost.map(move |(task, ..)| (key.clone(), task.clone()))
        });
        for (key, task) in found.collect::<Vec<_>>() {
            self.forget_attempt(&key, &task);
        }
    }

    /// Delivers an answer that is due and sends the next sync. At most one sync is in flight per worker.
    pub(super) fn sync(&mut self, index: usize) {
        let now = self.now;
        if self.workers[index].in_flight.as_ref().is_some_and(|sync| sync.due <= now) {
            self.deliver_answer(index);
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
        let link = if worker.alive { worker.link } else { SyncLink::RequestLost };
        let report = (link != SyncLink::RequestLost).then(|| self.execute_commands(index));
        let (due, report) = match link {
            SyncLink::Prompt => (now, report),
            SyncLink::Delayed(steps) => (now + STEP * steps, report),
            SyncLink::RequestLost | SyncLink::AnswerLost => (now + SYNC_TIMEOUT, None),
        };
        let worker = &mut self.workers[index];
        worker.next_sync = now + SYNC_INTERVAL;
        worker.in_flight = Some(PendingSync { due, report, carried });
        if due == now {
            self.deliver_answer(index);
        }
    }

    /// Delivers the answer of the sync in flight, or its failure, and reports withdrawn starts.
    pub(super) fn deliver_answer(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let Some(sync) = worker.in_flight.take() else { return };
        let vm = worker.vm.vm.clone();
        if let Some(report) = sync.report {
            worker.granted_until = None;
            worker.commands.retain(|(_, sent)| !sent);
            worker.last_answer = Some(report.clone());
            worker.synced = true;
            for end in report.ended.iter().filter(|end| end.outcome == TaskOutcome::Finished) {
                let Some((job, position, attempt)) = JobSpec::split_task_id(&end.task) else { continue };
                let position = position as usize;
                let Some(job) = self.jobs.get_mut(&job) else { continue };
                if job.commanded[position] == attempt + 1 {
                    (job.reported[position], job.ended_on[position]) = (true, Some(index));
                }
            }
            if !sync.carried.is_empty() {
                self.send_event(ScheduleEvent::CommandsDelivered(vm.clone(), sync.carried));
            }
            self.send_event(ScheduleEvent::SyncAnswered(vm.clone(), report));
        } else {
            worker.granted_until.get_or_insert(self.now + LEASE);
            self.send_event(ScheduleEvent::SyncFailed(vm.clone()));
        }
        while let Some(task) = self.workers[index].withdrawn.pop() {
            self.send_event(ScheduleEvent::StartWithdrawn(vm.clone(), task));
        }
    }

    /// Executes the pending commands as a worker does and returns its report.
    pub(super) fn execute_commands(&mut self, index: usize) -> WorkerReport {
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
                            job.saved_progress[position] = running.progress(self.now);
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

    /// Starts an attempt on a worker and checks it against the promises.
    pub(super) fn start_task(&mut self, index: usize, task: &TaskId, team: TeamId, need: ResourceVector) {
        let now = self.now;
        if !self.workers[index].seen_starts.insert(task.clone()) {
            return;
        }
        let Some((job_id, position, attempt)) = JobSpec::split_task_id(task) else { return };
        let key = (job_id, position);
        let elsewhere = self.assigned_attempts.get(&key).into_iter().flatten();
        for (other, vm, _) in elsewhere.filter(|(other, ..)| other != task) {
            if self.workers[*vm].running.contains_key(other) {
                self.violations.push(format!("P2: {task} starts while {other} runs on worker {vm}"));
            }
        }
        let worker = &mut self.workers[index];
        if self.closed_at.get(&worker.vm.zone).is_some_and(|closed| now > *closed + ZONE_GRACE) {
            self.violations.push(format!("P5: {task} starts in closed zone {}", worker.vm.zone));
        }
        worker.used = worker.used.plus(need);
        if !worker.used.fits(worker.vm.capacity) {
            self.violations
                .push(format!("P1: {} runs {} of {}", worker.vm.vm, worker.used, worker.vm.capacity));
        }
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        job.started[position as usize].get_or_insert(now);
        let running = ReplayTask {
            team,
            need,
            done: job.saved_progress[position as usize],
            key,
            since: now,
            true_run_time: (job.spec.kind != JobKind::Service).then_some(job.true_run_time),
            percent: 100,
            checkpointed: false,
        };
        let fails = worker.fails_tasks || (attempt & 0xffff) < u64::from(job.failing_attempts);
        worker.running.insert(task.clone(), running);
        if fails {
            self.end_task(index, task, TaskOutcome::Failed);
        }
    }
}
