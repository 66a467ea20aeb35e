use crate::kernel::{
    ClassKey, GangReservation, JobExplanation, JobMover, JobOutcome, LeaseTiming, PlacementPass,
    PluginRegistry, ReclaimPlanner, ReportReconciler, ScheduleEffect, ScheduleEvent, ShardState,
    ShardSummary, TeamWaits, WorkerDrain, WorkerReport, WorkerVm, job_explanation,
};
use crate::prelude::*;

/// Maximum number of tasks of ended or cancelled jobs that are examined for a stop in one call, so that
/// cancelling a large job does not block the scheduler.
const MAX_STOPS_PER_CALL: usize = 1_000;
/// Maximum number of workers whose lease expiry is checked in one tick.
const MAX_LEASE_CHECKS_PER_TICK: usize = 256;

/// Places, stops and moves the tasks of one shard.
///
/// Handles one event at a time and returns the resulting effects; it performs no I/O and reads no clock.
pub struct ShardScheduler {
    registry: PluginRegistry,
    bundle: Option<Arc<PolicyBundle>>,
    state: ShardState,
    gang: GangReservation,
    drain: WorkerDrain,
    reclaim: ReclaimPlanner,
    mover: JobMover,
    /// Listed workers that have not yet accepted a sync of this owner.
    unsynced: FastSet<VmId>,
    /// Workers that left the VM list before this owner synced with them; they may still run tasks of an
    /// earlier owner.
    delisted: FastSet<VmId>,
    /// Whether an earlier owner synced with workers that were not on the VM list. This owner does not know
    /// them.
    has_unknown_workers: bool,
    /// Time up to which the policy bundle is known to be fresh; no task starts after it. Unbounded if `None`.
    bundle_fresh_until: Option<Instant>,
    /// When all leases granted by earlier owners have expired. Until then, inherited jobs wait for workers
    /// that have not been synced.
    old_leases_end: Instant,
    /// Whether lease checks, stops or placements were left over, so that the caller should send another
    /// [`ScheduleEvent::Tick`] soon.
    pub backlog: bool,
    /// Whether lease checks were left over at the last tick.
    lease_backlog: bool,
    /// Total number of workers examined by placement searches.
    pub workers_examined: u64,
    /// Total number of placement attempts for classes of waiting tasks.
    pub classes_tried: u64,
}

impl ShardScheduler {
    /// Returns the scheduler of a newly claimed shard. Leases granted by earlier owners have expired by
    /// `old_leases_end`.
    #[must_use]
    pub fn new(registry: PluginRegistry, old_leases_end: Instant) -> Self {
        Self {
            registry,
            bundle: None,
            state: ShardState::default(),
            gang: GangReservation::default(),
            drain: WorkerDrain::default(),
            reclaim: ReclaimPlanner::default(),
            mover: JobMover::default(),
            unsynced: FastSet::default(),
            delisted: FastSet::default(),
            has_unknown_workers: false,
            bundle_fresh_until: None,
            old_leases_end,
            backlog: false,
            lease_backlog: false,
            workers_examined: 0,
            classes_tried: 0,
        }
    }

    /// Sets the lease timing; the default is a lease of 30 s and a report lag of 2 s.
    #[must_use]
    pub fn with_timing(mut self, timing: LeaseTiming) -> Self {
        self.state.timing = timing;
        self
    }

    /// Sets the lowest attempt number that this owner assigns to tasks of inherited jobs.
    ///
    /// It must be higher than any number that earlier owners assigned. Otherwise a late report of the end of
    /// an earlier owner's attempt would be taken for the end of an attempt of this owner with the same name.
    #[must_use]
    pub const fn with_first_attempt(mut self, first_attempt: AttemptNumber) -> Self {
        self.state.first_attempt = first_attempt;
        self
    }

    /// Adds a job that was accepted before this process claimed the shard.
    ///
    /// Its tasks are placed only once all workers have reported which tasks already run, or the leases of
    /// earlier owners have expired.
    pub fn restore_job(&mut self, spec: &Arc<JobSpec>, cancelled: bool) {
        self.state.add_job(spec, true);
        if cancelled && let Some(job) = self.state.jobs.get_mut(&spec.id) {
            job.cancelled = true;
        }
    }

    /// Handles one event and returns the effects in the order in which they are to be carried out.
    pub fn handle(&mut self, event: ScheduleEvent, now: Instant) -> Vec<ScheduleEffect> {
        match event {
            ScheduleEvent::BundleAdopted(bundle) => self.adopt_bundle(bundle),
            ScheduleEvent::WorkersListed(vms) => self.list_workers(vms),
            ScheduleEvent::WorkersDelisted(vms) => self.delisted.extend(vms),
            ScheduleEvent::UnknownWorkersReported => self.has_unknown_workers = true,
            ScheduleEvent::AllotmentChanged(team, amount) => {
                self.state.shares.set_allotment(&team, amount);
                self.state.queue.unblock_team(&team);
            }
            ScheduleEvent::JobAccepted(spec) => {
                self.state.add_job(&spec, false);
                self.move_or_refuse_if_infeasible(&spec);
            }
            ScheduleEvent::JobMovedIn(spec, first_attempt) => {
                self.state.accept_moved_job(&spec, first_attempt);
                self.move_or_refuse_if_infeasible(&spec);
            }
            ScheduleEvent::OtherShardsListed(others) => self.mover.set_other_shards(others),
            ScheduleEvent::JobCancelled(job) => self.cancel(&job),
            ScheduleEvent::JobEnded(job) | ScheduleEvent::JobMovedOut(job) => self.state.remove_job(&job),
            ScheduleEvent::CommandsDelivered(vm, tasks) => {
                if let Some(mut reconciler) = self.reconciler(vm, now) {
                    reconciler.confirm_delivery(&tasks);
                }
            }
            ScheduleEvent::StartWithdrawn(vm, task) => self.withdraw_start(&vm, &task, now),
            ScheduleEvent::SyncAnswered(vm, report) => self.apply_report(vm, report, now),
            ScheduleEvent::SyncFailed(vm) => self.record_failed_sync(&vm, now),
            ScheduleEvent::BundleFreshUntil(until) => self.bundle_fresh_until = Some(until),
            ScheduleEvent::Tick => self.tick(now),
        }
        self.place_tasks(now);
        std::mem::take(&mut self.state.effects)
    }

    /// Whether the job belongs to this shard and has no outcome in the ledger yet.
    #[must_use]
    pub fn has_job(&self, id: &JobId) -> bool {
        self.state.jobs.contains_key(id)
    }

    /// Explains where the tasks of a job run and why others wait; `None` if the job is not in this shard.
    #[must_use]
    pub fn explain(&self, id: &JobId) -> Option<JobExplanation> {
        JobExplanation::of(id, &self.state, &self.gang)
    }

    /// Returns the number of waiting tasks of each team by wait reason.
    #[must_use]
    pub fn team_waits(&self) -> TeamWaits {
        job_explanation::team_waits(&self.state)
    }

    /// Returns a summary of the shard for operators.
    #[must_use]
    pub fn summary(&self, shard: ShardId) -> ShardSummary {
        let mut summary = ShardSummary::of(shard, &self.state);
        let inherited = self.delisted.len() + usize::from(self.has_unknown_workers);
        summary.workers_unlisted += u32::try_from(inherited).unwrap_or(u32::MAX);
        summary
    }

    fn adopt_bundle(&mut self, bundle: Arc<PolicyBundle>) {
        self.state.shares.apply_bundle(&bundle);
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
        // The new bundle may change placement policies, zones and shares, so all classes are retried.
        self.state.queue.unblock_all();
        self.bundle = Some(bundle);
    }

    fn list_workers(&mut self, vms: Vec<WorkerVm>) {
        let listed_vms: FastSet<VmId> = vms.iter().map(|vm| vm.vm.clone()).collect();
        let left_list: Vec<u32> = self
            .state
            .fleet
            .iter()
            .filter(|(_, worker)| worker.listed && !listed_vms.contains(&worker.vm.vm))
            .map(|(slot, _)| slot)
            .collect();
        for slot in left_list {
            self.state.fleet.update(slot, |worker| worker.listed = false);
            if self.state.fleet.get(slot).is_some_and(|worker| worker.lease_end.is_none()) {
                self.remove_worker(slot);
            }
        }
        for vm in vms {
            let open = self.bundle.as_ref().is_some_and(|bundle| bundle.zone_open(&vm.zone));
            let leaving = vm.leaving;
            let slot = self.state.fleet.upsert(vm, open);
            if let Some(worker) = self.state.fleet.get(slot).filter(|worker| !worker.synced) {
                self.unsynced.insert(worker.vm.vm.clone());
            }
            if leaving {
                self.drain.add_worker(&mut self.state, slot);
            }
        }
        // A worker that leaves the list before its first sync may still run tasks of an earlier owner.
        let (unsynced, delisted) =
            std::mem::take(&mut self.unsynced).into_iter().partition(|vm| listed_vms.contains(vm));
        self.unsynced = unsynced;
        let delisted: FastSet<VmId> = delisted;
        self.delisted.extend(delisted);
        self.move_or_refuse_infeasible_jobs();
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
        // Ignores a late report of a worker that has been removed.
        let known = self.state.fleet.slot(&vm).and_then(|slot| self.state.fleet.get(slot));
        let Some(had_no_lease) = known.map(|worker| worker.lease_end.is_none()) else { return };
        self.unsynced.remove(&vm);
        self.delisted.remove(&vm);
        if let Some(mut reconciler) = self.reconciler(vm.clone(), now) {
            reconciler.apply(report);
        }
        if had_no_lease {
            self.state.lease_checks.insert((self.state.timing.latest_expiry(now), vm));
        }
    }

    /// Records a failed sync, which may nevertheless have extended the lease and delivered its commands.
    fn record_failed_sync(&mut self, vm: &VmId, now: Instant) {
        let Some(slot) = self.state.fleet.slot(vm) else { return };
        let bound = self.state.timing.latest_expiry(now);
        let first_failure =
            self.state.fleet.get(slot).is_some_and(|worker| !worker.synced && worker.failed_syncs == 0);
        if first_failure && !self.state.inherited_jobs.is_empty() {
            // The sync may have extended the lease under which tasks of an earlier owner run.
            self.old_leases_end = self.old_leases_end.max(bound);
        }
        self.state.fleet.update(slot, |worker| {
            // Syncs after the first failed one do not extend the lease beyond what that one may have
            // granted.
            if worker.failed_syncs == 0 && worker.synced {
                worker.lease_end = Some(bound);
            }
            worker.failed_syncs += 1;
        });
    }

    /// Releases the resources of a start that was never sent and requeues the task.
    fn withdraw_start(&mut self, vm: &VmId, task: &TaskId, now: Instant) {
        if self.state.tasks.get(task).is_none_or(|placed| placed.vm != *vm || placed.confirmed_at.is_some()) {
            return;
        }
        let Some(placed) = self.state.release(task) else { return };
        self.state.requeue(&placed.job, placed.index, Duration::ZERO, now);
        self.state.finish_if_done(&placed.job);
    }

    fn tick(&mut self, now: Instant) {
        self.state.resume_backed_off(now);
        self.state.end_due_probations(now);
        for class in std::mem::take(&mut self.state.truncated_classes) {
            self.state.queue.unblock(class);
        }
        self.state.retry_cursor =
            self.state.retry_cursor.and_then(|from| self.state.queue.unblock_next(from));
        self.lease_backlog = self.check_leases(now);
        for job in self.mover.take_due(now) {
            self.move_infeasible_job(&job);
        }
        self.gang.expire(&mut self.state, now);
        self.drain.advance(&mut self.state, now);
        self.reclaim.advance(&mut self.state, &mut self.gang, now);
    }

    /// Declares lost the tasks of workers whose lease has expired; returns whether further checks may be due.
    fn check_leases(&mut self, now: Instant) -> bool {
        for _ in 0..MAX_LEASE_CHECKS_PER_TICK {
            let due = self.state.lease_checks.first().is_some_and(|(due, _)| *due <= now);
            let Some((_, vm)) = due.then(|| self.state.lease_checks.pop_first()).flatten() else {
                return false;
            };
            let Some(slot) = self.state.fleet.slot(&vm) else { continue };
            let Some(worker) = self.state.fleet.get(slot) else { continue };
            let Some(end) = worker.lease_end else { continue };
            if end > now {
                self.state.lease_checks.insert((end, vm));
                continue;
            }
            self.expire_lease(slot, now);
        }
        true
    }

    fn expire_lease(&mut self, slot: u32, now: Instant) {
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
            self.remove_worker(slot);
            self.move_or_refuse_infeasible_jobs();
        }
    }

    /// Removes a worker that is neither listed nor holds a lease, and ends the syncs with it.
    fn remove_worker(&mut self, slot: u32) {
        let Some(worker) = self.state.fleet.remove(slot) else { return };
        self.state.effects.push(ScheduleEffect::DisconnectWorker(worker.vm.vm));
    }

    /// Plans the moves of waiting jobs that no worker of the shard can hold, or refuses them. Does nothing
    /// while the set of worker capacities is unchanged.
    fn move_or_refuse_infeasible_jobs(&mut self) {
        let capacity_counts = self.state.fleet.capacity_counts().collect::<Vec<_>>();
        if capacity_counts == self.state.feasibility_checked_for {
            return;
        }
        self.state.feasibility_checked_for = capacity_counts;
        let is_infeasible =
            |key: &ClassKey| self.state.fleet.infeasible_reason(key.need, u64::from(key.gang_size)).is_some();
        let jobs: Vec<JobId> = self
            .state
            .queue
            .iter()
            .filter(|(_, class)| is_infeasible(&class.key))
            .flat_map(|(_, class)| class.jobs.values().cloned())
            .collect();
        for job in jobs {
            let Some(spec) = self.state.jobs.get(&job).map(|job| job.spec.clone()) else { continue };
            self.move_or_refuse_if_infeasible(&spec);
        }
    }

    /// Plans the move of a job whose tasks fit no worker of the shard even if it is empty, or refuses the job
    /// if no other shard can hold them either.
    ///
    /// A job that has already started is not refused but waits for suitable workers to return: a refusal
    /// would state that nothing of it ran.
    fn move_or_refuse_if_infeasible(&mut self, spec: &JobSpec) {
        let key = ClassKey::of(spec);
        let Some(reason) = self.state.fleet.infeasible_reason(key.need, u64::from(key.gang_size)) else {
            return;
        };
        let started = self.state.jobs.get(&spec.id).is_some_and(|job| job.has_started());
        if !self.mover.plan(spec) && !started {
            self.state.end_job(&spec.id, JobOutcome::Refused(reason));
        }
    }

    /// Moves a job that still fits no worker to another shard. If tasks of it may still run here, the move is
    /// retried later.
    fn move_infeasible_job(&mut self, id: &JobId) {
        let Some(job) = self.state.jobs.get(id).filter(|job| job.is_live()) else { return };
        let spec = job.spec.clone();
        let key = ClassKey::of(&spec);
        if self.state.fleet.infeasible_reason(key.need, u64::from(key.gang_size)).is_none() {
            return;
        }
        let is_moving = self.mover.target(&spec).is_some_and(|to| self.state.move_job(id, to));
        if !is_moving {
            self.move_or_refuse_if_infeasible(&spec);
        } else if self.gang.held().is_some_and(|held| held.job == *id) {
            self.gang.release(&mut self.state);
        }
    }

    fn place_tasks(&mut self, now: Instant) {
        if now >= self.old_leases_end {
            self.delisted.clear();
            self.has_unknown_workers = false;
        }
        let may_run_unseen = self.has_unknown_workers || !self.delisted.is_empty();
        let all_synced = self.unsynced.is_empty() && !may_run_unseen && !self.state.fleet.is_empty();
        if !self.state.inherited_jobs.is_empty() && (all_synced || now >= self.old_leases_end) {
            self.queue_inherited();
        }
        self.state.drain_stops(MAX_STOPS_PER_CALL);
        self.state.shares.refresh(now, self.state.fleet.capacity);
        let mut more = self.lease_backlog || !self.state.stop_backlog.is_empty();
        let bundle_is_fresh = self.bundle_fresh_until.is_none_or(|until| now < until);
        let stale_owners_excluded = self.state.timing.supports_fencing || now >= self.old_leases_end;
        if let Some(bundle) = self.bundle.clone().filter(|_| bundle_is_fresh && stale_owners_excluded) {
            let (state, gang, registry) = (&mut self.state, &mut self.gang, &self.registry);
            more |= PlacementPass { state, gang, registry, bundle: &bundle, now }.run();
        }
        self.backlog = more;
        self.workers_examined = self.state.fleet.workers_examined;
        self.classes_tried = self.state.classes_tried;
    }

    fn queue_inherited(&mut self) {
        for id in self.state.inherited_jobs.clone() {
            let Some(job) = self.state.jobs.get(&id) else { continue };
            if job.is_live() && !job.waiting.is_empty() {
                let spec = job.spec.clone();
                self.move_or_refuse_if_infeasible(&spec);
            }
        }
        self.state.queue_inherited();
        self.delisted.clear();
    }
}
