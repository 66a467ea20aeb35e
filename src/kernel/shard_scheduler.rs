use crate::kernel::{
    ClassKey, GangReservation, JobExplanation, JobMover, JobOutcome, LeaseTiming, PlacementPass,
    PluginRegistry, ReclaimPlanner, ReportReconciler, ScheduleEffect, ScheduleEvent, ShardState,
    ShardSummary, TeamWaits, WorkerDrain, WorkerReport, WorkerVm, job_explanation,
};
use crate::prelude::*;

/// Tasks of cancelled and ended jobs that are stopped in one call.
const STOPS: usize = 1_000;
/// Workers whose lease is checked in one call.
const LEASE_CHECKS: usize = 256;

/// Decides where the tasks of one shard run.
pub struct ShardScheduler {
    registry: PluginRegistry,
    bundle: Option<Arc<PolicyBundle>>,
    state: ShardState,
    gang: GangReservation,
    drain: WorkerDrain,
    reclaim: ReclaimPlanner,
    mover: JobMover,
    /// Workers that have not accepted this owner yet.
    unheard: FastSet<VmId>,
    /// Workers that had left the VM list shortly before the shard was claimed.
    vanished: FastSet<VmId>,
    /// No task starts after this time; not bounded if `None`.
    current_until: Option<Instant>,
    /// Until then, jobs accepted before the take-over wait for workers that were not heard.
    settled_at: Instant,
    /// Whether calls have left work for the next [`ScheduleEvent::Tick`].
    pub backlog: bool,
    /// Workers examined by all searches for a worker so far.
    pub examined: u64,
    /// Classes of waiting tasks tried by all calls so far.
    pub tried: u64,
}

impl ShardScheduler {
    /// Returns the scheduler of a shard that was just claimed; leases granted by an earlier owner end by `settled_at`.
    #[must_use]
    pub fn new(registry: PluginRegistry, settled_at: Instant) -> Self {
        Self {
            registry,
            bundle: None,
            state: ShardState::default(),
            gang: GangReservation::default(),
            drain: WorkerDrain::default(),
            reclaim: ReclaimPlanner::default(),
            mover: JobMover::default(),
            unheard: FastSet::default(),
            vanished: FastSet::default(),
            current_until: None,
            settled_at,
            backlog: false,
            examined: 0,
            tried: 0,
        }
    }

    /// Sets the bounds on leases; the default is a lease of 30 s and a report lag of 2 s.
    #[must_use]
    pub fn with_timing(mut self, timing: LeaseTiming) -> Self {
        self.state.timing = timing;
        self
    }

    /// Sets the lowest number of attempts that this owner starts.
    ///
    /// It must be above those of earlier owners: a name that is used twice would let the end of one attempt,
    /// reported late by a worker that was silent, pass for the end of the other.
    #[must_use]
    pub const fn with_first_attempt(mut self, first_attempt: AttemptNumber) -> Self {
        self.state.first_attempt = first_attempt;
        self
    }

    /// Adds a job that was accepted before this process claimed the shard.
    pub fn inherit(&mut self, spec: &Arc<JobSpec>, cancelled: bool) {
        self.state.add_job(spec, true);
        if cancelled && let Some(job) = self.state.jobs.get_mut(&spec.id) {
            job.cancelled = true;
        }
    }

    /// Handles one event and returns its effects in order.
    pub fn handle(&mut self, event: ScheduleEvent, now: Instant) -> Vec<ScheduleEffect> {
        match event {
            ScheduleEvent::BundleAdopted(bundle) => self.adopt_bundle(bundle),
            ScheduleEvent::WorkersListed(vms) => self.list_workers(vms),
            ScheduleEvent::WorkersVanished(vms) => self.vanished.extend(vms),
            ScheduleEvent::AllotmentChanged(team, amount) => {
                self.state.shares.allot(&team, amount);
                self.state.queue.unblock_team(&team);
            }
            ScheduleEvent::JobAccepted(spec) => {
                self.state.add_job(&spec, false);
                self.refuse_misfit(&spec);
            }
            ScheduleEvent::JobMovedIn(spec, first_attempt) => {
                self.state.accept_moved_job(&spec, first_attempt);
                self.refuse_misfit(&spec);
            }
            ScheduleEvent::OtherShardsListed(others) => self.mover.set_other_shards(others),
            ScheduleEvent::JobCancelled(job) => self.cancel(&job),
            ScheduleEvent::JobEnded(job) | ScheduleEvent::JobMovedOut(job) => self.state.forget(&job),
            ScheduleEvent::CommandsDelivered(vm, tasks) => {
                if let Some(mut reconciler) = self.reconciler(vm, now) {
                    reconciler.confirm_delivery(&tasks);
                }
            }
            ScheduleEvent::StartWithdrawn(vm, task) => self.withdraw(&vm, &task, now),
            ScheduleEvent::SyncAnswered(vm, report) => self.apply_report(vm, report, now),
            ScheduleEvent::SyncFailed(vm) => self.note_silence(&vm, now),
            ScheduleEvent::BundleFreshUntil(until) => self.current_until = Some(until),
            ScheduleEvent::Tick => self.tick(now),
        }
        self.decide(now);
        std::mem::take(&mut self.state.effects)
    }

    /// Whether the shard has the job and its outcome is not in the ledger.
    #[must_use]
    pub fn has_job(&self, id: &JobId) -> bool {
        self.state.jobs.contains_key(id)
    }

    /// Explains where the tasks of a job are; `None` if the job is not in this shard.
    #[must_use]
    pub fn explain(&self, id: &JobId) -> Option<JobExplanation> {
        JobExplanation::of(id, &self.state, &self.gang)
    }

    /// Returns the number of waiting tasks of each team by reason.
    #[must_use]
    pub fn team_waits(&self) -> TeamWaits {
        job_explanation::team_waits(&self.state)
    }

    /// Summarises the shard for operators.
    #[must_use]
    pub fn summary(&self, shard: ShardId) -> ShardSummary {
        ShardSummary::of(shard, &self.state)
    }

    fn adopt_bundle(&mut self, bundle: Arc<PolicyBundle>) {
        self.state.shares.adopt(&bundle);
        let slots: Vec<(u32, bool)> = self
            .state
            .fleet
            .iter()
            .map(|(slot, worker)| (slot, worker.zone_open, bundle.zone_open(&worker.vm.zone)))
            .filter_map(|(slot, old, new)| (old != new).then_some((slot, new)))
            .collect();
        for (slot, open) in slots {
            self.state.fleet.update(slot, |worker| worker.zone_open = open);
            if !open {
                self.drain.add_worker(&mut self.state, slot);
            }
        }
        // Another policy may place what the old one could not.
        self.state.queue.unblock_all();
        self.bundle = Some(bundle);
    }

    fn list_workers(&mut self, vms: Vec<WorkerVm>) {
        let named: FastSet<VmId> = vms.iter().map(|vm| vm.vm.clone()).collect();
        let gone: Vec<u32> = self
            .state
            .fleet
            .iter()
            .filter(|(_, worker)| worker.listed && !named.contains(&worker.vm.vm))
            .map(|(slot, _)| slot)
            .collect();
        for slot in gone {
            self.state.fleet.update(slot, |worker| worker.listed = false);
            if self.state.fleet.get(slot).is_some_and(|worker| worker.lease_end.is_none()) {
                self.forget_worker(slot);
            }
        }
        for vm in vms {
            let open = self.bundle.as_ref().is_some_and(|bundle| bundle.zone_open(&vm.zone));
            let leaving = vm.leaving;
            let slot = self.state.fleet.upsert(vm, open);
            if let Some(worker) = self.state.fleet.get(slot).filter(|worker| !worker.token_accepted) {
                self.unheard.insert(worker.vm.vm.clone());
            }
            if leaving {
                self.drain.add_worker(&mut self.state, slot);
            }
        }
        // A worker that leaves the list before it is heard may still run tasks of an earlier owner.
        let (unheard, vanished) =
            std::mem::take(&mut self.unheard).into_iter().partition(|vm| named.contains(vm));
        self.unheard = unheard;
        let vanished: FastSet<VmId> = vanished;
        self.vanished.extend(vanished);
        self.refuse_misfits();
    }

    fn cancel(&mut self, id: &JobId) {
        self.state.cancel(id);
        if self.gang.held().is_some_and(|held| held.job == *id) {
            self.gang.release(&mut self.state);
        }
    }

    fn reconciler(&mut self, vm: VmId, now: Instant) -> Option<ReportReconciler<'_>> {
        let slot = self.state.fleet.slot(&vm)?;
        Some(ReportReconciler { state: &mut self.state, vm, slot, now })
    }

    fn apply_report(&mut self, vm: VmId, report: WorkerReport, now: Instant) {
        // A report of a worker that was forgotten meanwhile settles nothing.
        let known = self.state.fleet.slot(&vm).and_then(|slot| self.state.fleet.get(slot));
        let Some(first) = known.map(|worker| worker.lease_end.is_none()) else { return };
        self.unheard.remove(&vm);
        self.vanished.remove(&vm);
        if let Some(mut reconciler) = self.reconciler(vm.clone(), now) {
            reconciler.apply(report);
        }
        if first {
            self.state.lease_checks.insert((self.state.timing.latest_expiry(now), vm));
        }
    }

    /// Notes that a sync may or may not have extended the lease and carried its commands.
    fn note_silence(&mut self, vm: &VmId, now: Instant) {
        let Some(slot) = self.state.fleet.slot(vm) else { return };
        let bound = self.state.timing.latest_expiry(now);
        let first = self
            .state
            .fleet
            .get(slot)
            .is_some_and(|worker| !worker.token_accepted && worker.failed_syncs == 0);
        if first && !self.state.inherited_jobs.is_empty() {
            // The sync may have extended the lease of tasks that an earlier owner started.
            self.settled_at = self.settled_at.max(bound);
        }
        self.state.fleet.update(slot, |worker| {
            // Later syncs grant only the rest of the lease that the first failed one may have granted.
            if worker.failed_syncs == 0 && worker.token_accepted {
                worker.lease_end = Some(bound);
            }
            worker.failed_syncs += 1;
        });
    }

    /// Frees the room of a start that was never sent.
    fn withdraw(&mut self, vm: &VmId, task: &TaskId, now: Instant) {
        if self.state.tasks.get(task).is_none_or(|placed| placed.vm != *vm || placed.confirmed_at.is_some()) {
            return;
        }
        let Some(placed) = self.state.release(task) else { return };
        self.state.requeue(&placed.job, placed.index, Duration::ZERO, now);
        self.state.finish_if_done(&placed.job);
    }

    fn tick(&mut self, now: Instant) {
        self.state.resume_delayed(now);
        self.state.resume_probations(now);
        for class in std::mem::take(&mut self.state.truncated_classes) {
            self.state.queue.unblock(class);
        }
        self.state.retry_cursor =
            self.state.retry_cursor.and_then(|from| self.state.queue.unblock_next(from));
        self.check_leases(now);
        for job in self.mover.take_due(now) {
            self.move_misfit(&job);
        }
        self.gang.expire(&mut self.state, now);
        self.drain.advance(&mut self.state, now);
        self.reclaim.advance(&mut self.state, &mut self.gang, now);
    }

    /// Gives up tasks of workers whose lease is surely over.
    fn check_leases(&mut self, now: Instant) {
        for _ in 0..LEASE_CHECKS {
            let due = self.state.lease_checks.first().is_some_and(|(due, _)| *due <= now);
            let Some((_, vm)) = due.then(|| self.state.lease_checks.pop_first()).flatten() else { return };
            let Some(slot) = self.state.fleet.slot(&vm) else { continue };
            let Some(worker) = self.state.fleet.get(slot) else { continue };
            let Some(end) = worker.lease_end else { continue };
            if end > now {
                self.state.lease_checks.insert((end, vm));
                continue;
            }
            self.lapse(slot, now);
        }
        self.backlog = true;
    }

    fn lapse(&mut self, slot: u32, now: Instant) {
        let Some(worker) = self.state.fleet.get(slot) else { return };
        let listed = worker.listed;
        for task in worker.tasks.iter().cloned().collect::<Vec<_>>() {
            self.state.mark_lost(&task, false, now);
        }
        self.state.fleet.update(slot, |worker| {
            worker.lease_end = None;
            worker.failed_syncs = worker.failed_syncs.max(1);
        });
        if !listed {
            self.forget_worker(slot);
            self.refuse_misfits();
        }
    }

    /// Forgets a worker that is not listed and holds no lease.
    fn forget_worker(&mut self, slot: u32) {
        let Some(worker) = self.state.fleet.remove(slot) else { return };
        self.state.effects.push(ScheduleEffect::DisconnectWorker(worker.vm.vm));
    }

    /// Refuses waiting jobs that no worker can hold.
    fn refuse_misfits(&mut self) {
        let shapes = self.state.fleet.shapes().collect::<Vec<_>>();
        if shapes == self.state.shapes_checked {
            return;
        }
        self.state.shapes_checked = shapes;
        let misfits =
            |key: &ClassKey| self.state.fleet.infeasible_reason(key.need, u64::from(key.gang_size)).is_some();
        let jobs: Vec<JobId> = self
            .state
            .queue
            .iter()
            .filter(|(_, class)| misfits(&class.key))
            .flat_map(|(_, class)| class.jobs.values().cloned())
            .collect();
        for job in jobs {
            let Some(spec) = self.state.jobs.get(&job).map(|job| job.spec.clone()) else { continue };
            self.refuse_misfit(&spec);
        }
    }

    /// Refuses a job that no worker can hold, unless those of another shard can. One that has started waits for
    /// workers that return, as a refusal would deny what ran.
    fn refuse_misfit(&mut self, spec: &JobSpec) {
        let key = ClassKey::of(spec);
        let Some(reason) = self.state.fleet.infeasible_reason(key.need, u64::from(key.gang_size)) else {
            return;
        };
        let started = self.state.jobs.get(&spec.id).is_some_and(|job| job.has_started());
        if !self.mover.plan(spec) && !started {
            self.state.end_job(&spec.id, JobOutcome::Refused(reason));
        }
    }

    /// Hands a job that still fits no worker to another shard, or waits until nothing of it runs here.
    fn move_misfit(&mut self, id: &JobId) {
        let Some(job) = self.state.jobs.get(id).filter(|job| job.is_live()) else { return };
        let spec = job.spec.clone();
        let key = ClassKey::of(&spec);
        if self.state.fleet.infeasible_reason(key.need, u64::from(key.gang_size)).is_none() {
            return;
        }
        let moved = self.mover.target(&spec).is_some_and(|to| self.state.move_job(id, to));
        if !moved {
            self.refuse_misfit(&spec);
        } else if self.gang.held().is_some_and(|held| held.job == *id) {
            self.gang.release(&mut self.state);
        }
    }

    fn decide(&mut self, now: Instant) {
        let heard_all = self.unheard.is_empty() && self.vanished.is_empty() && !self.state.fleet.is_empty();
        if !self.state.inherited_jobs.is_empty() && (heard_all || now >= self.settled_at) {
            self.release_inherited();
        }
        self.state.drain_stops(STOPS);
        self.state.shares.refresh(now, self.state.fleet.capacity);
        let mut more = !self.state.stop_backlog.is_empty();
        let current = self.current_until.is_none_or(|until| now < until);
        let fenced = self.state.timing.fences || now >= self.settled_at;
        if let Some(bundle) = self.bundle.clone().filter(|_| current && fenced) {
            let (state, gang, registry) = (&mut self.state, &mut self.gang, &self.registry);
            more |= PlacementPass { state, gang, registry, bundle: &bundle, now }.run();
        }
        self.backlog = more;
        self.examined = self.state.fleet.examined;
        self.tried = self.state.tried;
    }

    fn release_inherited(&mut self) {
        for id in self.state.inherited_jobs.clone() {
            let Some(job) = self.state.jobs.get(&id) else { continue };
            if job.is_live() && !job.waiting.is_empty() {
                let spec = job.spec.clone();
                self.refuse_misfit(&spec);
            }
        }
        self.state.release_inherited();
        self.vanished.clear();
    }
}
