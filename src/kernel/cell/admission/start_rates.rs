use crate::kernel::cell::{CellJob, CellState, JobLateness, JobStatus};
use crate::prelude::*;

/// Rates at which jobs of each queue and team have started lately.
///
/// They show waits that have no other visible cause, such as workers or a store that answer late. A wait is known
/// only for queues and teams of which jobs have started: without any start, as in an outage, the rate says nothing
/// about the time after it.
#[derive(Clone, Debug, Default)]
pub struct StartRates {
    /// Jobs that waited at the last observation.
    waiting: FastSet<JobId>,
    observed_at: Option<Instant>,
}

/// Jobs of one queue and team.
#[derive(Clone, Copy, Debug, Default)]
struct JobCounts {
    /// Jobs that wait for their first start.
    waiting: u32,
    /// Jobs that have started since the last observation.
    started: u32,
}

/// Expected wait of a new job of a queue and team.
pub type ObservedWait = (QueueId, TeamId, Duration);

impl StartRates {
    /// Returns the waits of new jobs if jobs go on to start as they have since the last observation. A team waits
    /// at most for its own jobs in its weighted part of all starts.
    pub fn observe(&mut self, state: &CellState, now: Instant) -> Vec<ObservedWait> {
        let last_waiting = std::mem::take(&mut self.waiting);
        let last = self.observed_at.replace(now);
        let mut queues: FastMap<QueueId, FastMap<TeamId, JobCounts>> = FastMap::default();
        for job in state.jobs.values().filter(|job| has_first_start(job)) {
            let teams = queues.entry(job.spec.queue.clone()).or_default();
            let counts = teams.entry(job.spec.team.clone()).or_default();
            if job.status == JobStatus::Queued {
                counts.waiting += 1;
                self.waiting.insert(job.spec.id.clone());
            } else if last_waiting.contains(&job.spec.id) || last.is_some_and(|last| job.known_since >= last)
            {
                counts.started += 1;
            }
        }
        let Some(last) = last else { return Vec::new() };
        let elapsed = now.saturating_duration_since(last);
        queues.into_iter().flat_map(|(queue, teams)| waits(state, &queue, &teams, elapsed)).collect()
    }
}

/// Whether the rate of first starts includes a job: one that runs once, is within the submission rate of its team,
/// and has started or comes before new jobs, as those that are late do not.
fn has_first_start(job: &CellJob) -> bool {
    let is_late = || {
        let steps = job.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        steps.filter_map(|step| step.rank).any(|rank| rank.lateness != JobLateness::InTime)
    };
    !job.excess
        && job.spec.schedule.is_none()
        && match job.status {
            JobStatus::Queued => !is_late(),
            JobStatus::Running | JobStatus::Completed => true,
            JobStatus::Failed | JobStatus::Cancelled => false,
        }
}

fn waits(
    state: &CellState,
    queue: &QueueId,
    teams: &FastMap<TeamId, JobCounts>,
    elapsed: Duration,
) -> Vec<ObservedWait> {
    let weight =
        |team: &TeamId| state.config.teams.get(team).map_or(1.0, |rule| f64::from(rule.weight.max(1)));
    let started: u32 = teams.values().map(|counts| counts.started).sum();
    let waiting = teams.iter().filter(|(_, counts)| counts.waiting > 0);
    let weights: f64 = waiting.clone().map(|(team, _)| weight(team)).sum();
    waiting
        .filter(|(_, counts)| counts.started > 0)
        .map(|(team, counts)| {
            let own = f64::from(counts.waiting) / f64::from(counts.started);
            let shared = f64::from(counts.waiting) * weights / weight(team) / f64::from(started);
            (queue.clone(), team.clone(), elapsed.mul_f64(own.min(shared)))
        })
        .collect()
}
