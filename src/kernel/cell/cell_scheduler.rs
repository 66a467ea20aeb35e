use crate::kernel::cell::{
    CLOSED_JOB_RETENTION, CellConfig, CellEffect, CellEvent, CellJob, CellRecord, CellState, CellSummary,
    CommandAnswer, CommandOutcome, FORMER_CALL_TIME, GangWatch, GraphSpec, InheritedLeases, JobSnapshot,
    JobStatus, LeaseWatch, ListingUpdate, LogPosition, LookPlanner, PartitionBound, PollReconciler,
    PollReport, ProgressUpdate, RankUpdate, RecordReplayer, RestartRule, SkippedRecords, SlowRunWatch,
    StartPass, StepKey, TaskKey, TeamUsage, UsageRecord, UsageSchedule, UsageWatch, WorkerFence,
};
use crate::kernel::{UsageDecay, WorkerHealth};
use crate::prelude::*;

/// Part of the interval between two start passes that each ready step adds, so that passes usually take a few
/// percent of a core at most. The bound for slow passes is [`MIN_PASS_INTERVAL_FACTOR`].
const PASS_INTERVAL_PER_STEP: Duration = Duration::from_micros(150);
/// Maximum number of ready steps that count towards the pass interval, which limits that part of the
/// interval to 30 ms.
const MAX_COUNTED_STEPS: u32 = 200;
/// Minimum time from one pass to the next, as a multiple of the duration of the last one, so that at least
/// half of the time is left for poll reports and commands.
const MIN_PASS_INTERVAL_FACTOR: u32 = 2;
/// Snapshots of a job that are written within the retention time of the store, so that the store always keeps
/// one of them.
const SNAPSHOTS_PER_RETENTION: u32 = 3;
/// Snapshots that are written at one tick beyond those of [`SNAPSHOT_RATE_FACTOR`].
const MIN_SNAPSHOTS_PER_TICK: usize = 20;
/// Rate at which snapshots are written at most, as a multiple of the rate at which they fall due. A new owner,
/// for which those of all old jobs are due at once, thus spreads them over half of the interval.
const SNAPSHOT_RATE_FACTOR: u128 = 2;
/// Longest time between two ticks that counts for the number of snapshots.
const MAX_SNAPSHOT_TICK: Duration = Duration::from_secs(1);

/// Decides for one cell which tasks start, stop and end.
///
/// It does no I/O: [`Self::handle`] applies events, and [`Self::decide`] returns the effects to carry out.
#[derive(Clone, Default)]
pub struct CellScheduler {
    state: CellState,
    /// Whether an event since the last start pass may allow further starts.
    changed: bool,
    last_pass: Option<Instant>,
    last_pass_duration: Duration,
    /// Time since the submission or the last snapshot of a job after which its next snapshot is written;
    /// `None` disables snapshots.
    snapshot_interval: Option<Duration>,
    /// When snapshots were last written.
    last_snapshots: Option<Instant>,
    /// Numbers of replayed records that could not be applied.
    skipped_records: SkippedRecords,
    /// When past use is recorded; `None` while it is not accounted for.
    usage_schedule: Option<UsageSchedule>,
    /// Position in the log at which past use was recorded last.
    usage_position: LogPosition,
}

impl CellScheduler {
    /// Returns the scheduler of a new owner; `inherited` says when the leases that earlier owners granted have
    /// expired.
    #[must_use]
    pub fn new(inherited: impl Into<InheritedLeases>) -> Self {
        let mut state = CellState::default();
        state.inherited_leases = Some(inherited.into());
        Self {
            state,
            changed: false,
            last_pass: None,
            last_pass_duration: Duration::ZERO,
            snapshot_interval: None,
            last_snapshots: None,
            skipped_records: SkippedRecords::default(),
            usage_schedule: None,
            usage_position: 0,
        }
    }

    /// Sets how long the store keeps records. A job is recorded again as a snapshot before its records
    /// expire.
    #[must_use]
    pub fn with_log_retention(mut self, retention: Duration) -> Self {
        self.snapshot_interval = Some(retention / SNAPSHOTS_PER_RETENTION);
        self.state.log_retention = Some(retention);
        self
    }

    /// Sets how many bytes of the log the store keeps. A job is recorded again before they are full.
    #[must_use]
    pub fn with_partition_bytes(mut self, bytes: u64) -> Self {
        self.state.partition_bound = PartitionBound::new(bytes);
        self
    }

    /// Lets workers that have restarted a short time ago hold the leases of earlier owners for longer.
    #[must_use]
    pub const fn with_restart_rule(mut self, rule: RestartRule) -> Self {
        self.state.restart_rule = rule;
        self
    }

    /// Lets the past use of the teams correct the order of starts; use loses half of its weight in `half_life`.
    /// With a half-life of zero, past use is not accounted for.
    #[must_use]
    pub fn with_usage_half_life(mut self, half_life: Duration) -> Self {
        self.state.shares.set_decay(UsageDecay::with_half_life(half_life));
        self.usage_schedule = (!half_life.is_zero()).then(UsageSchedule::default);
        self
    }

    /// Applies one event; [`Self::decide`] returns the effects that follow from it.
    pub fn handle(&mut self, event: CellEvent, now: Instant) {
        // An accepted start and a report of progress change nothing that a start pass depends on.
        let changes = !matches!(
            event,
            CellEvent::StartAnswered(_, _, _, CommandOutcome::Accepted)
                | CellEvent::ProgressReported(..)
                | CellEvent::WorkerUnfenced(..)
        );
        if changes {
            self.changed = true;
            self.state.rotation.restart();
        }
        match event {
            CellEvent::Configured(config) => self.configure(config),
            CellEvent::ZonesClosed(zones) => self.set_closed_zones(zones),
            CellEvent::WorkersListed(listings) => {
                ListingUpdate { state: &mut self.state, now }.apply(listings);
            }
            CellEvent::Submitted(spec) => self.submit(spec, now),
            CellEvent::Cancelled(job) => self.cancel(job, now),
            CellEvent::PermitsAnswered { step, requested_workers, granted, validity } => {
                self.apply_permits(&step, &requested_workers, granted, validity, now);
            }
            CellEvent::ProxiesChanged(proxies) => self.state.permit_load.set_proxies(proxies),
            CellEvent::PermitsFailed(step) => {
                self.state.permit_load.remove(&step);
                if let Some(state) = self.state.step_mut(&step) {
                    state.permit_cache.fail_request(now);
                }
            }
            CellEvent::StartAnswered(task, run, worker, outcome) => {
                CommandAnswer { state: &mut self.state, now }.apply_to_start(&task, run, &worker, outcome);
            }
            CellEvent::StopAnswered(task, run, worker, outcome) => {
                CommandAnswer { state: &mut self.state, now }.apply_to_stop(&task, run, &worker, outcome);
            }
            CellEvent::WorkerPolled(worker, report) => self.apply_report(&worker, report, now),
            CellEvent::ProgressReported(worker, incarnation, running) => {
                let mut update = ProgressUpdate { state: &mut self.state, now };
                self.changed |= update.apply(&worker, incarnation, &running);
            }
            CellEvent::WorkerUnfenced(worker) => {
                let expires_by = now + FORMER_CALL_TIME + self.state.restart_rule.unfenced_lease();
                if let Some(slot) = self.state.slot(&worker)
                    && let Some(worker) = self.state.worker_mut(slot)
                {
                    worker.note_unfenced(expires_by, now);
                }
            }
            CellEvent::WorkerFenced(worker, fence) => self.note_fence(&worker, fence),
            CellEvent::WorkerUnresponsive(worker, lease_expires_at) => {
                if let Some(slot) = self.state.slot(&worker)
                    && let Some(worker) = self.state.worker_mut(slot)
                {
                    worker.fall_silent(now);
                    worker.lease_expires_at = lease_expires_at;
                }
            }
            CellEvent::Tick(unix_time) => self.tick(unix_time, now),
        }
    }

    /// Returns the effects that have accumulated since the last call. With `may_start`, runs a start pass
    /// first if one is due.
    pub fn decide(&mut self, may_start: bool, now: Instant) -> Vec<CellEffect> {
        if may_start && self.next_pass(now).is_some_and(|due| now >= due) {
            self.last_pass = Some(now);
            StartPass::new(&mut self.state, now).run();
            self.changed = self.state.rotation.needs_pass();
        }
        std::mem::take(&mut self.state.effects)
    }

    /// Returns when the next start pass is due; `None` if nothing has changed since the last one.
    ///
    /// A pass over many ready steps takes long, so changes are collected between two passes.
    #[must_use]
    pub fn next_pass(&self, now: Instant) -> Option<Instant> {
        if !self.changed {
            return None;
        }
        let steps = u32::try_from(self.state.ready.len()).unwrap_or(u32::MAX).min(MAX_COUNTED_STEPS);
        let interval =
            (PASS_INTERVAL_PER_STEP * steps).max(self.last_pass_duration * MIN_PASS_INTERVAL_FACTOR);
        Some(self.last_pass.map_or(now, |last| last + interval))
    }

    /// Records the duration of the last start pass, which bounds the time until the next one.
    pub const fn record_pass_duration(&mut self, took: Duration) {
        self.last_pass_duration = took;
    }

    /// Counts a record that takes this many bytes in the log: one that is replayed next, or one that this owner
    /// appends.
    pub const fn count_record(&mut self, record: &CellRecord, bytes: u64) {
        match record {
            CellRecord::Snapshot(_) => self.state.partition_bound.count_snapshot(bytes),
            _ => self.state.partition_bound.count_record(bytes),
        }
    }

    /// Counts a submission that takes this many bytes in its partition, and is handled next.
    pub const fn count_submission(&mut self, bytes: u64) {
        self.state.partition_bound.count_record(bytes);
    }

    /// Replays a record of an earlier owner; this produces no effects.
    pub fn replay(&mut self, record: CellRecord, now: Instant) {
        let outcome = RecordReplayer { state: &mut self.state, now }.apply(record);
        self.skipped_records.count(outcome);
        self.state.effects.clear();
    }

    /// Ends the replay. Suspensions and failure counts of workers, and the times of sent stops, are reset,
    /// as the replayed ones say nothing about the present state of the workers. Failure counts of tasks are
    /// kept.
    ///
    /// Returns the numbers of records that could not be applied.
    pub fn end_replay(&mut self) -> SkippedRecords {
        for worker in &mut self.state.workers {
            worker.suspended_until = None;
            worker.health = WorkerHealth::default();
        }
        for placement in self.state.placements.values_mut().chain(self.state.copies.values_mut()) {
            placement.stop_sent = None;
        }
        for job in self.state.jobs.values_mut() {
            job.submission_outlives = true;
        }
        self.state.effects.clear();
        std::mem::take(&mut self.skipped_records)
    }

    /// Returns the state of a job; `None` if the job is unknown or its retention time after closing is over.
    #[must_use]
    pub fn status(&self, job: &str) -> Option<JobStatus> {
        self.state.jobs.get(job).map(|job| job.status)
    }

    /// Emits records of how long the workers that do not answer may hold a lease, and of those that refuse calls for
    /// their former incarnations.
    pub fn record_lease_bounds(&mut self, now: Instant) {
        let mut watch = LeaseWatch { state: &mut self.state, now };
        watch.record_bounds();
        watch.record_fences();
    }

    /// Returns from when a worker refuses calls for its former incarnation; `None` if the records do not tell.
    #[must_use]
    pub fn fence_of(&self, worker: &str) -> Option<WorkerFence> {
        self.state.worker(self.state.slot(worker)?)?.fence
    }

    /// Returns when every lease that earlier owners granted to a worker has expired; `None` once this owner has
    /// polled it.
    #[must_use]
    pub fn inherited_lease_of(&self, worker: &str) -> Option<Instant> {
        let worker = self.state.worker(self.state.slot(worker)?)?;
        worker.polled_at.is_none().then_some(worker.lease_bound())
    }

    /// Returns whether a start that was decided earlier may still be sent: the run was neither given up nor
    /// stopped since, and no other run of the task was reported.
    #[must_use]
    pub fn may_start(&self, task: &TaskKey, run: RunNumber) -> bool {
        let placement = self.state.placements.get(task);
        placement.is_some_and(|placement| placement.run == run && placement.stop_reason.is_none())
            && self.state.late_runs.may_start(&task.step, task.index, &self.state.workers)
    }

    /// Returns the number of jobs of a queue of which no task has started yet.
    #[must_use]
    pub fn queued_jobs(&self, queue: &QueueId) -> usize {
        let is_queued = |job: &&CellJob| job.status == JobStatus::Queued && job.spec.queue == *queue;
        self.state.jobs.values().filter(is_queued).count()
    }

    /// Returns the load of the cell at `now`, for logs and metrics.
    #[must_use]
    pub fn summary(&self, now: Instant) -> CellSummary {
        CellSummary::of(&self.state, now)
    }

    /// Returns the past use of each configured team and its effect; nothing while it is not accounted for.
    #[must_use]
    pub fn team_usages(&self) -> Vec<TeamUsage> {
        if self.usage_schedule.is_some() { TeamUsage::all(&self.state) } else { Vec::new() }
    }

    /// Returns the state, for a scheduler that is a copy.
    #[must_use]
    pub fn into_state(self) -> CellState {
        self.state
    }

    /// Gives forecasts and tests read access to the state.
    #[must_use]
    pub const fn state(&self) -> &CellState {
        &self.state
    }

    fn configure(&mut self, config: Arc<CellConfig>) {
        if config.version < self.state.config.version {
            return;
        }
        let zero_as_unlimited = |amount: u64| if amount == 0 { u64::MAX } else { amount };
        for (team, rule) in &config.teams {
            // `zip` serves as a map here; the second operand is ignored.
            let limit = rule.limit.zip(ResourceVector::default(), |amount, _| zero_as_unlimited(amount));
            self.state.shares.set_allotment(team, limit);
            self.state.shares.set_weight(team, rule.weight);
        }
        self.state.config = config;
        self.state.ready.bring_all_back();
    }

    fn set_closed_zones(&mut self, zones: FastSet<ZoneId>) {
        for worker in &mut self.state.workers {
            worker.zone_open = !zones.contains(&worker.listing.zone);
        }
        self.state.closed_zones = zones;
    }

    fn submit(&mut self, spec: Arc<GraphSpec>, now: Instant) {
        if let Some(job) = self.state.jobs.get_mut(&spec.id) {
            job.submission_outlives = true;
            return;
        }
        let submit_rate = self.state.config.teams.get(&spec.team).map_or(u32::MAX, |team| team.weight.max(1));
        let excess = self.state.rates.record_submission(&spec.team, submit_rate, spec.submitted);
        let id = spec.id.clone();
        self.state
            .jobs
            .insert(id.clone(), CellJob::new(spec, now, excess, self.state.partition_bound.position()));
        if self.state.early_cancels.remove(&id).is_some() {
            self.state.close(&id, JobStatus::Cancelled, now);
            return;
        }
        self.activate_due_occurrences(&id, now);
    }

    fn cancel(&mut self, job: JobId, now: Instant) {
        if self.state.jobs.contains_key(&job) {
            self.state.close(&job, JobStatus::Cancelled, now);
        } else {
            // Submissions and cancellations may be read from different partitions, so this one may overtake
            // its submission.
            self.state.early_cancels.insert(job, now);
        }
    }

    fn activate_due_occurrences(&mut self, id: &JobId, now: Instant) {
        while let Some(job) = self.state.jobs.get(id).filter(|job| !job.status.is_final()) {
            let next = job.next_occurrence;
            let due = job.spec.schedule.is_none() || job.spec.due(next) <= self.state.unix_time;
            if next >= job.spec.occurrences() || !due || !job.may_open_occurrence() {
                return;
            }
            self.state.activate_occurrence(id, next, now);
        }
    }

    fn apply_permits(
        &mut self,
        step: &StepKey,
        requested_workers: &[WorkerId],
        granted: Vec<(WorkerId, PermitTicket)>,
        validity: Duration,
        now: Instant,
    ) {
        self.state.permit_load.remove(step);
        let requested_slots: Vec<u32> =
            requested_workers.iter().filter_map(|worker| self.state.slot(worker)).collect();
        let granted = granted.into_iter();
        let granted = granted.filter_map(|(worker, ticket)| Some((self.state.slot(&worker)?, ticket)));
        let granted: Vec<(u32, PermitTicket)> = granted.collect();
        let Some((spec, _, state)) = self.state.step(step) else { return };
        let (queue, tickets) = (spec.queue.clone(), granted.len() as u64);
        let judged =
            requested_slots.iter().filter(|slot| !state.permit_cache.has_verdict(**slot)).count() as u64;
        let newly_granted =
            granted.iter().filter(|(slot, _)| !state.permit_cache.has_verdict(*slot)).count() as u64;
        self.state.permit_stats.count_answer(&queue, tickets, judged, newly_granted);
        if let Some(state) = self.state.step_mut(step) {
            state.permit_cache.apply_answer(&requested_slots, granted, validity, now);
        }
    }

    /// Notes from when a worker refuses calls for its former incarnation. Only the first of such times for an
    /// incarnation counts.
    fn note_fence(&mut self, worker: &str, fence: WorkerFence) {
        let Some(slot) = self.state.slot(worker) else { return };
        let Some(worker) = self.state.worker_mut(slot) else { return };
        worker.unfenced = false;
        if worker.fence.is_none_or(|known| known.incarnation != fence.incarnation) {
            (worker.fence, worker.fence_recorded_at) = (Some(fence), None);
        }
    }

    fn apply_report(&mut self, worker: &str, report: PollReport, now: Instant) {
        let Some(slot) = self.state.slot(worker) else { return };
        PollReconciler { state: &mut self.state, slot, now }.apply(report);
    }

    fn tick(&mut self, unix_time: Duration, now: Instant) {
        self.state.unix_time = unix_time;
        LeaseWatch { state: &mut self.state, now }.expire();
        GangWatch { state: &mut self.state, now }.run();
        SlowRunWatch { state: &mut self.state, now }.run();
        LookPlanner { state: &mut self.state, now }.run();
        self.account_usage(now);
        RankUpdate { state: &mut self.state, now }.run();
        let scheduled: Vec<JobId> = self
            .state
            .jobs
            .values()
            .filter(|job| !job.status.is_final() && job.next_occurrence < job.spec.occurrences())
            .map(|job| job.spec.id.clone())
            .collect();
        for id in scheduled {
            self.activate_due_occurrences(&id, now);
        }
        self.snapshot_old_jobs(now);
        for job in self.state.jobs.values_mut().filter(|job| job.status.is_final() && job.placed == 0) {
            job.drop_steps();
        }
        self.state.early_cancels.retain(|_, at| now.saturating_duration_since(*at) < CLOSED_JOB_RETENTION);
        let has_snapshots = self.snapshot_interval.is_some();
        self.state.jobs.retain(|_, job| !job.has_expired(now) || has_snapshots && job.submission_outlives);
    }

    /// Charges what teams use, and records the account if that is due.
    fn account_usage(&mut self, now: Instant) {
        let Some(schedule) = &mut self.usage_schedule else { return };
        UsageWatch { state: &mut self.state, now }.run();
        let retention = self.state.log_retention.unwrap_or(Duration::MAX);
        let bound = &self.state.partition_bound;
        if bound.is_due(self.usage_position, self.state.jobs.len()) {
            self.usage_position = bound.position();
            schedule.expire();
        }
        if !schedule.is_due(retention, now) {
            return;
        }
        let record = UsageRecord::of(&self.state.shares, self.state.unix_time);
        if let Some(record) = schedule.record(record, retention, now) {
            self.usage_position = self.state.partition_bound.position();
            self.state.effects.push(CellEffect::Record(CellRecord::Usage(record)));
        }
    }

    /// Emits snapshots of jobs whose submission or last snapshot is older than the snapshot interval or far back in
    /// the log, and of closed jobs that are to be forgotten; those farthest back first, so that none is left out for long.
    fn snapshot_old_jobs(&mut self, now: Instant) {
        let Some(interval) = self.snapshot_interval else { return };
        let unix_time = self.state.unix_time;
        let (bound, count) = (&self.state.partition_bound, self.state.jobs.len());
        let due = self.state.jobs.values().filter(|job| {
            unix_time.saturating_sub(job.recorded_at) >= interval
                || bound.is_due(job.recorded_position, count)
                || job.submission_outlives && job.has_expired(now)
        });
        let due = due.map(|job| (job.recorded_position, job.recorded_at, job.spec.id.clone()));
        let mut due: Vec<(LogPosition, Duration, JobId)> = due.collect();
        due.sort_unstable();
        due.truncate(self.max_snapshots(interval, now));
        for (_, _, id) in due {
            let Some(job) = self.state.jobs.get(&id) else { continue };
            let snapshot = Box::new(JobSnapshot::of(&self.state, job));
            self.state.effects.push(CellEffect::Record(CellRecord::Snapshot(snapshot)));
            if let Some(job) = self.state.jobs.get_mut(&id) {
                job.submission_outlives = false;
                job.recorded_at = unix_time;
                job.recorded_position = self.state.partition_bound.position();
            }
        }
    }

    /// Returns how many snapshots may be written at this tick. All known jobs fall due in each interval.
    fn max_snapshots(&mut self, interval: Duration, now: Instant) -> usize {
        let last = self.last_snapshots.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last).min(MAX_SNAPSHOT_TICK);
        let jobs = self.state.jobs.len() as u128;
        let due = jobs * SNAPSHOT_RATE_FACTOR * elapsed.as_millis() / interval.as_millis().max(1);
        let due_by_time = usize::try_from(due).unwrap_or(usize::MAX / 4);
        let due_by_size = self.state.partition_bound.take_budget(self.state.jobs.len());
        MIN_SNAPSHOTS_PER_TICK + due_by_time + due_by_size
    }
}
