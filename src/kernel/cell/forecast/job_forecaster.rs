use std::collections::BTreeMap;

use crate::kernel::cell::{
    CellEffect, CellEvent, CellScheduler, CellState, GraphSpec, JobForecast, StartPass, StepForecast,
    StepKey, StepRank, WorkerFit,
};
use crate::prelude::*;

/// Largest number of jobs and of their tasks in a cell that is copied. The owner does nothing else meanwhile.
const MAX_COPIED_ITEMS: usize = 50_000;

/// Tells what the owner would do now with a job: it submits the job to a copy of the scheduler, and runs a start
/// pass there.
pub struct JobForecaster<'a> {
    /// The scheduler, which is not changed.
    pub scheduler: &'a CellScheduler,
    /// Time of the forecast.
    pub now: Instant,
}

impl JobForecaster<'_> {
    /// Returns the forecast of a job.
    ///
    /// # Errors
    ///
    /// Returns the reason if the cell is too large to be copied beside its work.
    pub fn forecast(&self, spec: GraphSpec) -> Result<JobForecast, String> {
        let state = self.scheduler.state();
        let steps =
            state.jobs.values().flat_map(|job| job.occurrences.values()).flat_map(|state| &state.steps);
        let items = state.jobs.len() + steps.map(|step| step.tasks.len()).sum::<usize>();
        if items > MAX_COPIED_ITEMS {
            return Err(format!("cell of {items} jobs and tasks is too large for a forecast"));
        }
        let mut forecast =
            JobForecast { queue: spec.queue.clone(), team: spec.team.clone(), ..JobForecast::default() };
        if let Some(status) = self.scheduler.status(&spec.id) {
            return Ok(JobForecast { known: Some(status), ..forecast });
        }
        let mut copy = self.scheduler.clone();
        let id = spec.id.clone();
        copy.handle(CellEvent::Submitted(spec.into()), self.now);
        let mut state = copy.into_state();
        forecast.excess = state.jobs.get(&id).is_some_and(|job| job.excess);
        let ranked = state.ready.all().filter(|(_, key)| key.job == id);
        let ranked: Vec<(StepRank, StepKey)> = ranked.cloned().collect();
        forecast.steps = ranked.iter().map(|(rank, key)| self.describe(&state, *rank, key)).collect();
        forecast.oldest_report_ms = self.oldest_report(&state, &forecast.queue);
        state.effects.clear();
        StartPass::new(&mut state, self.now).run();
        for ((_, key), step) in ranked.iter().zip(&mut forecast.steps) {
            apply_decisions(&state, key, step);
        }
        Ok(forecast)
    }

    /// Returns what is known of a step before the start pass.
    fn describe(&self, state: &CellState, rank: StepRank, key: &StepKey) -> StepForecast {
        let Some((spec, step, _)) = state.step(key) else { return StepForecast::default() };
        let mut before: BTreeMap<TeamId, usize> = BTreeMap::new();
        for (_, other) in state.ready.range(..(rank, key.clone())) {
            if let Some(job) = state.jobs.get(&other.job) {
                *before.entry(job.spec.team.clone()).or_default() += 1;
            }
        }
        let mut workers: BTreeMap<WorkerFit, usize> = BTreeMap::new();
        let service = state.config.queues.get(&spec.queue).map(|rule| &rule.service);
        for slot in service.map_or(&[][..], |service| state.pools.of_service(service)) {
            if let Some(worker) = state.worker(*slot) {
                *workers.entry(WorkerFit::of(worker, step, self.now)).or_default() += 1;
            }
        }
        let left = rank.latest_start.saturating_duration_since(self.now);
        let over = self.now.saturating_duration_since(rank.latest_start);
        StepForecast {
            step: key.step,
            tasks: step.tasks,
            latest_start_ms: signed_milliseconds(left) - signed_milliseconds(over),
            correction_ms: milliseconds(rank.correction),
            before: before.into_iter().collect(),
            workers: workers.into_iter().map(|(fit, count)| (fit.to_string(), count)).collect(),
            expected_start_ms: self.expected_start(state, rank, key).map(milliseconds),
            ..StepForecast::default()
        }
    }

    /// Returns when what is free, and what ends by its estimate, gives room for the step and those before it in
    /// its service. Labels, single workers and permits are not looked at.
    fn expected_start(&self, state: &CellState, rank: StepRank, key: &StepKey) -> Option<Duration> {
        let service_of = |key: &StepKey| {
            state.config.queues.get(&state.jobs.get(&key.job)?.spec.queue).map(|rule| &rule.service)
        };
        let service = service_of(key)?;
        let up_to = state.ready.range(..=(rank, key.clone())).map(|(_, key)| key);
        let of_service = up_to.filter(|key| service_of(key) == Some(service));
        let needs = of_service.filter_map(|key| state.step(key)).map(|(_, step, step_state)| {
            step.occupied_capacity().times(u64::try_from(step_state.waiting.len()).unwrap_or(u64::MAX))
        });
        let wanted = needs.fold(ResourceVector::default(), ResourceVector::plus);
        let workers = state.workers.iter().filter(|worker| worker.listing.service == *service);
        let mut free = workers
            .filter(|worker| worker.is_schedulable(self.now))
            .fold(ResourceVector::default(), |sum, worker| sum.plus(worker.free()));
        let mut ends: Vec<(Duration, ResourceVector)> = Vec::new();
        for (task, placement) in &state.placements {
            let Some((spec, step, _)) = state.step(&task.step) else { continue };
            if step.long_running || service_of(&task.step) != Some(service) {
                continue;
            }
            let estimate = state.run_time_estimator.corrected_run_time(&spec.queue, step.estimate);
            let elapsed = self.now.saturating_duration_since(placement.placed_at);
            let left = estimate.unwrap_or(step.estimate).saturating_sub(elapsed);
            ends.push((left, step.occupied_capacity()));
        }
        ends.sort_unstable_by_key(|(left, _)| *left);
        if wanted.fits(free) {
            return Some(Duration::ZERO);
        }
        ends.into_iter().find_map(|(left, freed)| {
            free = free.plus(freed);
            wanted.fits(free).then_some(left)
        })
    }

    fn oldest_report(&self, state: &CellState, queue: &QueueId) -> u64 {
        let service = state.config.queues.get(queue).map(|rule| &rule.service);
        let slots = service.map_or(&[][..], |service| state.pools.of_service(service));
        let workers = slots.iter().filter_map(|slot| state.worker(*slot)).filter(|worker| worker.responsive);
        let ages = workers.filter_map(|worker| worker.polled_at);
        ages.map(|at| milliseconds(self.now.saturating_duration_since(at))).max().unwrap_or_default()
    }
}

/// Adds what the start pass has decided for a step.
fn apply_decisions(state: &CellState, key: &StepKey, forecast: &mut StepForecast) {
    let mut starts: BTreeMap<WorkerId, u32> = BTreeMap::new();
    for effect in &state.effects {
        match effect {
            CellEffect::Start(command) if command.task.step == *key => {
                *starts.entry(command.worker.clone()).or_default() += 1;
            }
            CellEffect::RequestPermits(request) if request.step == *key => {
                forecast.permits_asked += request.workers.len();
            }
            _ => {}
        }
    }
    let started: u32 = starts.values().sum();
    forecast.starts = starts.into_iter().collect();
    if started < forecast.tasks {
        let reason = state.step(key).and_then(|(_, _, step)| step.wait_reason);
        forecast.wait = reason.map(|reason| reason.to_string());
    } else {
        forecast.expected_start_ms = Some(0);
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn signed_milliseconds(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
