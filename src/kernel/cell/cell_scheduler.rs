use crate::kernel::WorkerHealth;
use crate::kernel::cell::{
    CellConfig, CellEffect, CellEvent, CellJob, CellRecord, CellState, CellSummary, CellWorker,
    CommandOutcome, EndHandler, GraphSpec, JobSnapshot, JobStatus, PlacementPhase, PollReconciler,
    PollReport, StartPass, StepKey, StragglerWatch, TaskKey, TaskPlacement, WorkerListing,
};
use crate::prelude::*;

/// How long the state of a closed job can be asked for.
const CLOSED_KEPT: Duration = Duration::from_secs(150);
/// Time between passes for each waiting step, so that passes take a few percent of a core at most.
const PASS_PAUSE: Duration = Duration::from_micros(150);
/// Waiting steps that lengthen the time between passes; more of them bring it to 30 ms at most.
const MOST_COLLECTED: u32 = 200;
/// Time from one pass to the next as a multiple of what the last one took, so that passes leave half of the time at least
/// to looks and orders.
const PASS_SPACING: u32 = 2;
/// Time within which all members of a gang must be confirmed, before the others give up waiting for them.
const GANG_CONFIRM: Duration = Duration::from_millis(1_800);
/// Images of a job that are written in the time for which the store keeps records, so that one of them is always kept.
const SNAPSHOTS_PER_HISTORY: u32 = 3;
/// Images that are written at a tick, so that a new owner does not write those of all old jobs at once.
const SNAPSHOTS_PER_TICK: usize = 20;

/// Decides for one cell which tasks start, stop and end.
#[derive(Default)]
pub struct CellScheduler {
    state: CellState,
    /// Whether something has changed since the last pass over the waiting steps.
    changed: bool,
    last_pass: Option<Instant>,
    /// How long the last pass took.
    pass_time: Duration,
    /// Age of the records of a job at which an image of it is written.
    snapshot_interval: Option<Duration>,
}

impl CellScheduler {
    /// Returns the scheduler of a cell in which every lease of earlier owners is over at the time.
    #[must_use]
    pub fn new(inherited_lease_over: Instant) -> Self {
        let mut state = CellState::default();
        state.inherited_lease_expires_at = Some(inherited_lease_over);
        Self { state, changed: false, last_pass: None, pass_time: Duration::ZERO, snapshot_interval: None }
    }

    /// Returns the scheduler for a store that drops records of this age.
    #[must_use]
    pub fn with_history(mut self, history: Duration) -> Self {
        self.snapshot_interval = Some(history / SNAPSHOTS_PER_HISTORY);
        self
    }

    /// Notes one event; [`Self::decide`] says what follows.
    pub fn handle(&mut self, event: CellEvent, now: Instant) {
        // A start that went as planned gives nothing to decide.
        self.changed |= !matches!(event, CellEvent::StartAnswered(_, _, _, CommandOutcome::Accepted));
        match event {
            CellEvent::Configured(config) => self.configure(config),
            CellEvent::ZonesClosed(zones) => self.close_zones(zones),
            CellEvent::WorkersListed(listings) => self.list_workers(listings, now),
            CellEvent::Submitted(spec) => self.submit(spec, now),
            CellEvent::Cancelled(job) => self.cancel(job, now),
            CellEvent::PermitsGranted { step, asked, granted, valid } => {
                self.note_permits(&step, &asked, granted, valid, now);
            }
            CellEvent::ProxiesChanged(proxies) => self.state.advisor_proxies = proxies,
            CellEvent::PermitsFailed(step) => {
                self.state.open_questions = self.state.open_questions.saturating_sub(1);
                if let Some(state) = self.state.step_mut(&step) {
                    state.permits.fail(now);
                }
            }
            CellEvent::StartAnswered(task, run, worker, outcome) => {
                if self.is_current(&task, run, &worker, outcome, now) {
                    self.note_start(&task, outcome, now);
                }
            }
            CellEvent::StopAnswered(task, run, worker, outcome) => {
                if self.is_current(&task, run, &worker, outcome, now) {
                    self.note_stop(&task, outcome, now);
                }
            }
            CellEvent::WorkerPolled(worker, report) => self.apply_report(&worker, report, now),
            CellEvent::WorkerUnresponsive(worker, lease_over) => {
                if let Some(slot) = self.state.slot(&worker)
                    && let Some(worker) = self.state.worker_mut(slot)
                {
                    worker.responsive = false;
                    worker.lease_expires_at = lease_over;
                }
            }
            CellEvent::Tick(wall) => self.tick(wall, now),
        }
    }

    /// Returns all that is to be done since the last call; with `may_start`, decides which tasks start.
    pub fn decide(&mut self, may_start: bool, now: Instant) -> Vec<CellEffect> {
        if may_start && self.next_pass(now).is_some_and(|due| now >= due) {
            self.changed = false;
            self.last_pass = Some(now);
            StartPass::new(&mut self.state, now).run();
        }
        std::mem::take(&mut self.state.effects)
    }

    /// Returns when [`Self::decide`] has to be called again, if at all; a pass over many waiting steps takes long, so
    /// that changes are collected before the next one.
    #[must_use]
    pub fn next_pass(&self, now: Instant) -> Option<Instant> {
        if !self.changed {
            return None;
        }
        let steps = u32::try_from(self.state.ready.len()).unwrap_or(u32::MAX).min(MOST_COLLECTED);
        let pause = (PASS_PAUSE * steps).max(self.pass_time * PASS_SPACING);
        Some(self.last_pass.map_or(now, |last| last + pause))
    }

    /// Notes how long the last pass took.
    pub const fn note_pass(&mut self, took: Duration) {
        self.pass_time = took;
    }

    /// Applies a record of an earlier owner; nothing is done in turn.
    pub fn replay(&mut self, record: CellRecord, now: Instant) {
        let slot_of = |state: &mut CellState, worker: WorkerId| {
            state.slot(&worker).unwrap_or_else(|| add_unlisted(state, worker, now))
        };
        match record {
            CellRecord::Started(task, run, worker) => {
                let slot = slot_of(&mut self.state, worker);
                if let Some(key) = self.state.placements.contains_key(&task).then(|| task.clone()) {
                    self.state.release(&key);
                }
                self.state.occupy(&task, TaskPlacement::new(slot, run, PlacementPhase::Inherited, now));
            }
            CellRecord::Ended(task, run, cause, checkpoint) => {
                EndHandler { state: &mut self.state, now }.apply(&task, run, cause, checkpoint);
            }
            CellRecord::Lost(task, run) => {
                if self.state.placements.get(&task).is_some_and(|placement| placement.run == run) {
                    self.state.release(&task);
                    self.state.requeue(&task);
                }
            }
            CellRecord::Closed(job, status) => self.state.close(&job, status, now),
            CellRecord::Snapshot(snapshot) => snapshot.restore(&mut self.state, slot_of, now),
        }
        self.state.effects.clear();
    }

    /// Forgets what was noted while records were applied that says nothing about the present.
    pub fn end_replay(&mut self) {
        for worker in &mut self.state.workers {
            worker.suspended_until = None;
            worker.health = WorkerHealth::default();
        }
        for placement in self.state.placements.values_mut() {
            placement.stop_sent = None;
        }
        self.state.effects.clear();
    }

    /// Returns the state of a job; `None` if it is not known.
    #[must_use]
    pub fn status(&self, job: &str) -> Option<JobStatus> {
        self.state.jobs.get(job).map(|job| job.status)
    }

    /// Returns the number of jobs of a queue of which no task has started.
    #[must_use]
    pub fn pending(&self, queue: &QueueId) -> usize {
        let waits = |job: &&CellJob| job.status == JobStatus::Queued && job.spec.queue == *queue;
        self.state.jobs.values().filter(waits).count()
    }

    /// Returns the present load.
    #[must_use]
    pub fn summary(&self, now: Instant) -> CellSummary {
        CellSummary::of(&self.state, now)
    }

    /// Returns the state, for tests.
    #[must_use]
    pub const fn state(&self) -> &CellState {
        &self.state
    }

    fn configure(&mut self, config: Arc<CellConfig>) {
        if config.version < self.state.config.version {
            return;
        }
        let limit = |amount: u64| if amount == 0 { u64::MAX } else { amount };
        for (team, rule) in &config.teams {
            let limit = rule.limit.zip(ResourceVector::default(), |amount, _| limit(amount));
            self.state.shares.allot(team, limit);
        }
        self.state.config = config;
    }

    fn close_zones(&mut self, zones: FastSet<ZoneId>) {
        for worker in &mut self.state.workers {
            worker.zone_open = !zones.contains(&worker.listing.zone);
        }
        self.state.closed_zones = zones;
    }

    fn list_workers(&mut self, listings: Vec<WorkerListing>, now: Instant) {
        let named: FastSet<WorkerId> = listings.iter().map(|listing| listing.worker.clone()).collect();
        for worker in &mut self.state.workers {
            worker.listed &= named.contains(&worker.listing.worker);
        }
        self.state.pools.clear();
        self.state.racks.clear();
        self.state.capacity = ResourceVector::default();
        for listing in listings {
            self.list_worker(listing, now);
        }
    }

    fn list_worker(&mut self, listing: WorkerListing, now: Instant) {
        let slot = self.state.slot(&listing.worker).unwrap_or_else(|| {
            let lease_over = self.state.inherited_lease_expires_at.unwrap_or(now);
            self.state.add_worker(CellWorker::new(listing.clone(), lease_over))
        });
        let open = !self.state.closed_zones.contains(&listing.zone);
        self.state.capacity = self.state.capacity.plus(listing.capacity);
        self.state.pools.entry(listing.service.clone()).or_default().push(slot);
        if let Some(rack) = &listing.rack {
            self.state.racks.entry(rack.clone()).or_default().push(slot);
        }
        let Some(worker) = self.state.worker_mut(slot) else { return };
        worker.listed = true;
        worker.zone_open = open;
        let moved = worker.listing.address != listing.address;
        worker.listing = listing.clone();
        if !worker.watched || moved {
            worker.watched = true;
            self.state.effects.push(CellEffect::Watch(listing));
        }
    }

    fn submit(&mut self, spec: Arc<GraphSpec>, now: Instant) {
        if self.state.jobs.contains_key(&spec.id) {
            return;
        }
        let weight = self.state.config.teams.get(&spec.team).map_or(u32::MAX, |team| team.weight.max(1));
        let excess = self.state.rates.record_submission(&spec.team, weight, spec.submitted);
        let id = spec.id.clone();
        self.state.jobs.insert(id.clone(), CellJob::new(spec, now, excess));
        if self.state.early_cancels.remove(&id).is_some() {
            self.state.close(&id, JobStatus::Cancelled, now);
            return;
        }
        self.activate_due(&id, now);
    }

    fn cancel(&mut self, job: JobId, now: Instant) {
        if self.state.jobs.contains_key(&job) {
            self.state.close(&job, JobStatus::Cancelled, now);
        } else {
            // Submissions and cancellations may be read from different partitions.
            self.state.early_cancels.insert(job, now);
        }
    }

    fn activate_due(&mut self, id: &JobId, now: Instant) {
        while let Some(job) = self.state.jobs.get(id).filter(|job| !job.status.is_final()) {
            let next = job.next_occurrence;
            let due = job.spec.schedule.is_none() || job.spec.due(next) <= self.state.wall;
            if next >= job.spec.occurrences() || !due {
                return;
            }
            self.state.activate(id, next, now);
        }
    }

    fn note_permits(
        &mut self,
        step: &StepKey,
        asked: &[WorkerId],
        granted: Vec<(WorkerId, PermitTicket)>,
        valid: Duration,
        now: Instant,
    ) {
        self.state.open_questions = self.state.open_questions.saturating_sub(1);
        let asked: Vec<u32> = asked.iter().filter_map(|worker| self.state.slot(worker)).collect();
        let granted = granted.into_iter();
        let granted = granted.filter_map(|(worker, ticket)| Some((self.state.slot(&worker)?, ticket)));
        let granted: Vec<(u32, PermitTicket)> = granted.collect();
        if let Some(state) = self.state.step_mut(step) {
            state.permits.answer(&asked, granted, valid, now);
        }
    }

    /// Whether an answer is about the run that counts, and comes from the life of the worker that it was started on; if
    /// another life answers, all that ran there is given up.
    fn is_current(
        &mut self,
        task: &TaskKey,
        run: RunNumber,
        worker: &str,
        outcome: CommandOutcome,
        now: Instant,
    ) -> bool {
        let counts = self.state.placements.get(task).is_some_and(|placement| placement.run == run);
        if counts && outcome == CommandOutcome::Replaced {
            self.lose_worker(worker, now);
            return false;
        }
        counts
    }

    fn note_start(&mut self, task: &TaskKey, outcome: CommandOutcome, now: Instant) {
        let Some(placement) = self.state.placements.get_mut(task) else { return };
        let slot = placement.slot;
        match outcome {
            CommandOutcome::Accepted => placement.phase = PlacementPhase::Running(now),
            CommandOutcome::Unknown => placement.phase = PlacementPhase::Unsure(now),
            // The term ends, or the worker was given up before.
            CommandOutcome::Fenced | CommandOutcome::Replaced => {}
            CommandOutcome::NoPermit
            | CommandOutcome::NoRoom
            | CommandOutcome::Refused
            | CommandOutcome::NotSent => {
                if outcome == CommandOutcome::NoPermit
                    && let Some(state) = self.state.step_mut(&task.step)
                {
                    state.permits.revoke(slot);
                }
                self.state.mark_lost(task, now);
            }
        }
    }

    fn note_stop(&mut self, task: &TaskKey, outcome: CommandOutcome, now: Instant) {
        if outcome == CommandOutcome::Accepted
            && let Some(placement) = self.state.placements.get_mut(task)
        {
            placement.stop_confirmed = Some(now);
        }
    }

    /// Gives up all that ran on a worker whose life has ended.
    fn lose_worker(&mut self, worker: &str, now: Instant) {
        let Some(slot) = self.state.slot(worker) else { return };
        let Some(worker) = self.state.worker_mut(slot) else { return };
        worker.responsive = false;
        let tasks: Vec<TaskKey> = worker.tasks.iter().cloned().collect();
        for task in tasks {
            self.state.mark_lost(&task, now);
        }
    }

    fn apply_report(&mut self, worker: &str, report: PollReport, now: Instant) {
        let Some(slot) = self.state.slot(worker) else { return };
        PollReconciler { state: &mut self.state, slot, now }.apply(report);
    }

    fn tick(&mut self, wall: Duration, now: Instant) {
        self.state.wall = wall;
        self.check_leases(now);
        self.check_gangs(now);
        StragglerWatch { state: &mut self.state, now }.run();
        self.state.demote_late(now);
        let scheduled: Vec<JobId> = self
            .state
            .jobs
            .values()
            .filter(|job| !job.status.is_final() && job.next_occurrence < job.spec.occurrences())
            .map(|job| job.spec.id.clone())
            .collect();
        for id in scheduled {
            self.activate_due(&id, now);
        }
        self.keep_old_jobs();
        self.state.early_cancels.retain(|_, at| now.saturating_duration_since(*at) < CLOSED_KEPT);
        self.state.jobs.retain(|_, job| {
            job.closed_at.is_none_or(|at| job.placed > 0 || now.saturating_duration_since(at) < CLOSED_KEPT)
        });
    }

    /// Records what is known of jobs whose records the store will drop.
    fn keep_old_jobs(&mut self) {
        let Some(interval) = self.snapshot_interval else { return };
        let wall = self.state.wall;
        let old = |job: &&CellJob| wall.saturating_sub(job.recorded_at) >= interval;
        let due = self.state.jobs.values().filter(old).take(SNAPSHOTS_PER_TICK);
        let snapshots: Vec<JobSnapshot> = due.map(|job| JobSnapshot::of(&self.state, job)).collect();
        for snapshot in snapshots {
            if let Some(job) = self.state.jobs.get_mut(&snapshot.spec.id) {
                job.recorded_at = wall;
            }
            self.state.effects.push(CellEffect::Record(CellRecord::Snapshot(Box::new(snapshot))));
        }
    }

    /// Gives up what ran on silent workers whose lease is over, and forgets workers that are gone.
    fn check_leases(&mut self, now: Instant) {
        for slot in 0..u32::try_from(self.state.workers.len()).unwrap_or(u32::MAX) {
            let Some(worker) = self.state.worker(slot) else { continue };
            if worker.responsive || worker.lease_expires_at > now {
                continue;
            }
            let tasks: Vec<TaskKey> = worker.tasks.iter().cloned().collect();
            let forget = worker.watched && !worker.listed;
            let name = worker.listing.worker.clone();
            for task in tasks {
                self.state.mark_lost(&task, now);
            }
            if forget && let Some(worker) = self.state.worker_mut(slot) {
                worker.watched = false;
                self.state.effects.push(CellEffect::Unwatch(name));
            }
        }
    }

    /// Stops gangs of which a member was not confirmed in time, before the others end on their own.
    fn check_gangs(&mut self, now: Instant) {
        let late = self.state.placements.iter().filter(|(_, placement)| {
            !matches!(placement.phase, PlacementPhase::Running(_))
                && placement.stopping.is_none()
                && now.saturating_duration_since(placement.placed_at) > GANG_CONFIRM
        });
        let late: Vec<TaskKey> = late.map(|(key, _)| key.clone()).collect();
        for key in late {
            self.state.break_gang(&key, now);
        }
    }
}

/// Adds a worker that an earlier owner used and that is not listed.
fn add_unlisted(state: &mut CellState, worker: WorkerId, now: Instant) -> u32 {
    let listing = WorkerListing {
        worker,
        address: "".into(),
        service: "".into(),
        zone: "".into(),
        capacity: ResourceVector::default(),
        labels: Vec::new(),
        rack: None,
        draining: false,
    };
    let lease_over = state.inherited_lease_expires_at.unwrap_or(now);
    state.add_worker(CellWorker::new(listing, lease_over))
}
